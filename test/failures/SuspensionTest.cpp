// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: a task runs on two workers after the suspension of a machine for some seconds.
 *
 * Cause: the steady clock of the machine excludes the time of the suspension. A sidecar that
 * resumes with that clock considers its expired lease valid and renews runs that have been started
 * elsewhere meanwhile (RunsATaskTwiceWithTheSteadyClock shows this).
 *
 * The fixture checks after each test that no task ran twice at once or again after it was done.
 */
#include <gtest/gtest.h>

#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":1000})";
constexpr const char* GANG =
        R"({"count":3,"cpu":1000,"mem_mb":100,"gpu":4,"est_ms":2000,"gang":true})";

enum class Target { LEADER, FOLLOWER, SIDECAR, LEADER_AND_SIDECAR, TWO_SIDECARS, TWO_GATEWAYS };
enum class Phase { PLACING, RUNNING, STOPPING, TAKING_OVER };

struct Suspension {
    Target m_target;
    Phase m_phase;
    /** Length; compare with the leases of the leader key (1 s) and of a worker (4.5 s). */
    Millis m_duration;
};

class SuspensionTest : public JobFleetTest, public ::testing::WithParamInterface<Suspension> {
protected:
    std::vector<ProcessLoop*> chooseLoops(Target target) {
        const auto workerIndex = findWorker(taskOf(ID));
        const std::size_t sidecar = workerIndex.value_or(0);
        const std::size_t other = findWorker(taskOf(ID, 1)).value_or((sidecar + 1) % 4);
        const std::size_t leader = m_fleet.findLeader().value_or(0);
        const auto gateway = [&](std::size_t number) {
            return m_fleet.m_gateways[number % 3].m_loop.get();
        };
        switch (target) {
            case Target::LEADER:
                return {gateway(leader)};
            case Target::FOLLOWER:
                return {gateway(leader + 1)};
            case Target::SIDECAR:
                return {getSidecar(sidecar).m_loop.get()};
            case Target::LEADER_AND_SIDECAR:
                return {gateway(leader), getSidecar(sidecar).m_loop.get()};
            case Target::TWO_SIDECARS:
                return {getSidecar(sidecar).m_loop.get(), getSidecar(other).m_loop.get()};
            case Target::TWO_GATEWAYS:
                break;
        }
        return {gateway(leader), gateway(leader + 1)};
    }

    /** Submits the job and advances it to the phase in which the machines are suspended. */
    void advanceTo(Phase phase) {
        const std::size_t gateway = (getLeader() + 2) % 3;
        m_fleet.submit(ID, GANG, "2500", "/batch/", gateway);
        if (phase != Phase::PLACING) {
            m_fleet.m_loop.advance(Millis(400));
        }
        if (phase == Phase::STOPPING) {
            m_fleet.sendRequest(gateway, "DELETE", std::string("/batch/") + ID);
        }
        if (phase == Phase::TAKING_OVER) {
            const std::size_t leader = getLeader();
            m_fleet.killGateway(leader);
            m_fleet.m_loop.advance(Millis(900));
            m_fleet.startGateway(leader);
            m_fleet.m_loop.advance(Millis(150));
        }
    }

    void suspend(const std::vector<ProcessLoop*>& loops, Millis time) {
        for (ProcessLoop* const loop : loops) {
            loop->freeze();
        }
        m_fleet.m_loop.advance(time);
        for (ProcessLoop* const loop : loops) {
            loop->thaw();
        }
    }
};

std::vector<Suspension> listSuspensions() {
    std::vector<Suspension> all;
    for (const Target target :
         {Target::LEADER, Target::FOLLOWER, Target::SIDECAR, Target::LEADER_AND_SIDECAR,
          Target::TWO_SIDECARS, Target::TWO_GATEWAYS}) {
        for (const Phase phase :
             {Phase::PLACING, Phase::RUNNING, Phase::STOPPING, Phase::TAKING_OVER}) {
            for (const Millis time : {Millis(400), Millis(2000), Millis(5500), Millis(16'000)}) {
                all.push_back({target, phase, time});
            }
        }
    }
    return all;
}

}  // namespace

TEST_P(SuspensionTest, NoTaskRunsTwiceAndTheJobEndsAsRequested) {
    advanceTo(GetParam().m_phase);
    suspend(chooseLoops(GetParam().m_target), GetParam().m_duration);
    const char* const end = GetParam().m_phase == Phase::STOPPING ? "canceled" : "succeeded";
    EXPECT_TRUE(m_fleet.waitForState(ID, end, Millis(40'000), "/batch/", 2));
    m_fleet.m_loop.advance(Millis(3000));
    EXPECT_EQ(m_fleet.m_witness.countRunning(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Table, SuspensionTest, ::testing::ValuesIn(listSuspensions()),
                         [](const auto& info) { return "case" + std::to_string(info.index); });

/**
 * The gateway that received the request, which may be the leader, is suspended at several times
 * before its answer.
 */
TEST_F(SuspensionTest, AGatewaySuspendedBeforeItsAnswerAnswersCorrectly) {
    int number = 10;
    for (const Millis delay : {Millis(0), Millis(1), Millis(2), Millis(4), Millis(8)}) {
        for (const Millis time : {Millis(600), Millis(3000), Millis(12'000)}) {
            const std::string id = "00000000000000" + std::to_string(++number);
            const std::size_t asked = static_cast<std::size_t>(number) % 3;
            IntakeRequest request;
            request.m_method = "POST";
            request.m_host = JobFleet::HOST;
            request.m_path = "/batch/" + id;
            request.m_body = std::string(R"({"spec":"300","steps":[)") + SMALL + "]}";
            request.m_key = JobFleet::KEY;
            const auto answer = std::make_shared<std::optional<IntakeAnswer>>();
            m_fleet.m_gateways[asked].m_core->getIntake().handle(
                    request, [answer](const IntakeAnswer& got) { *answer = got; });
            m_fleet.m_loop.advance(delay);
            suspend({m_fleet.m_gateways[asked].m_loop.get()}, time);
            ASSERT_TRUE(waitUntil(Millis(10'000), [&] { return answer->has_value(); }));
            ASSERT_TRUE(m_fleet.waitForLeader(Millis(10'000)));
            m_fleet.m_loop.advance(Millis(6000));
            const std::size_t starts = m_fleet.m_witness.countStarts(taskOf(id));
            const std::uint32_t status = (*answer)->m_status;
            if (status == 200) {
                EXPECT_TRUE(m_fleet.waitForState(id, "succeeded", Millis(20'000))) << number;
            } else {
                EXPECT_TRUE(status == 504 || starts == 0) << number << " was told " << status;
            }
        }
    }
}

/** The worker's clock stopped with the machine, so its own lease would let the run go on for
 * seconds. */
TEST_F(SuspensionTest, RunsOfASuspendedHostAreStoppedWhenItResumes) {
    m_fleet.submit(ID, SMALL, "60000");
    m_fleet.m_loop.advance(Millis(450));
    const auto workerIndex = findWorker(taskOf(ID));
    ASSERT_TRUE(workerIndex.has_value());
    getSidecar(*workerIndex).m_loop->freeze();
    getSidecar(*workerIndex).m_worker->suspend();
    m_fleet.m_loop.advance(Millis(12'000));
    ASSERT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 2U);
    getSidecar(*workerIndex).m_worker->wake();
    getSidecar(*workerIndex).m_loop->thaw();
    m_fleet.m_loop.advance(Millis(150));
    EXPECT_FALSE(getSidecar(*workerIndex).m_worker->isRunning(taskOf(ID)));
    EXPECT_TRUE(m_fleet.m_witness.isRunning(taskOf(ID)));
}

namespace {

/** @return whether a task ran twice at once after its sidecar was suspended for `time`. */
bool runsTwice(Millis time, bool excludesSuspension) {
    JobFleet fleet(3, 2);
    fleet.waitForLeader();
    // A leader assumes runs that it has just found on a host to be leased for up to 6.2 s more.
    fleet.m_loop.advance(Millis(8000));
    fleet.submit(ID, SMALL, "12000");
    // The same holds for ordered runs until a report has confirmed them, within a second.
    fleet.m_loop.advance(Millis(1500));
    for (auto& sidecar : fleet.m_sidecars) {
        if (sidecar.m_worker->countRunning() > 0) {
            sidecar.m_loop->m_excludesSuspension = excludesSuspension;
            sidecar.m_loop->freeze();
            fleet.m_loop.advance(time);
            sidecar.m_loop->thaw();
        }
    }
    fleet.m_loop.advance(Millis(9000));
    return !fleet.m_witness.getViolations().empty();
}

std::size_t countDoubleRuns(bool excludesSuspension) {
    std::size_t doubleRuns = 0;
    for (Millis time(3000); time <= Millis(5000); time += Millis(25)) {
        doubleRuns += runsTwice(time, excludesSuspension) ? 1 : 0;
    }
    return doubleRuns;
}

}  // namespace

TEST(SidecarOnASuspendedMachine, RenewsNoRunByAnExpiredLease) {
    EXPECT_EQ(countDoubleRuns(false), 0U);
}

/** Shows that the tests detect the failure with a clock that excludes the suspension. */
TEST(SidecarOnASuspendedMachine, RunsATaskTwiceWithTheSteadyClock) {
    EXPECT_GT(countDoubleRuns(true), 0U);
}

}  // namespace pierbank::testing
