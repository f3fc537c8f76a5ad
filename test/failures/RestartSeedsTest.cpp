// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: around the restart of a worker under the same id, tasks run again after their end was
 * persisted, or jobs without a fault are reported as failed.
 *
 * These tests combine restarts with all other kinds of fault at random, from a seed, and check all
 * invariants. RestartFailuresTest and DelayedStartsTest cover the individual sequences.
 *
 * `PIERBANK_SEEDS=1000:5000` runs the seeds from 1000 to 4999 instead of the default ones.
 */
#include <gtest/gtest.h>

#include <cstdlib>
#include <numeric>
#include <sstream>

#include "JobFleetTest.h"
#include "pierbank/base/Random.h"

namespace pierbank::testing {

namespace {

constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":400})";

/** Restarts of workers combined with other faults, chosen at random from a seed. */
class RestartsWithOtherFaults : public ::testing::TestWithParam<std::uint64_t> {
protected:
    void injectFault(JobFleet& fleet, Random& random) {
        const std::size_t index = random.below(fleet.m_sidecars.size());
        JobFleet::Sidecar& sidecar = fleet.m_sidecars[index];
        FakeTaskWorker& worker = *sidecar.m_worker;
        switch (random.below(10)) {
            case 0:
            case 1:
                worker.restart(random.below(4) == 0 ? RestartForm::NEW_ID : RestartForm::SAME_ID);
                break;
            case 2:
                worker.m_restartDelay = Millis(static_cast<std::int64_t>(random.below(1500)));
                worker.crash();
                break;
            case 3:
                worker.m_startsToDelay = 1 + static_cast<unsigned>(random.below(3));
                worker.m_startDelay = Millis(static_cast<std::int64_t>(100 + random.below(2500)));
                break;
            case 4:
                worker.m_holdsToDelay = 1 + static_cast<unsigned>(random.below(2));
                break;
            case 5:
                worker.m_stopsToDelay = 1;
                break;
            case 6:
                m_delayedHeartbeats.emplace_back(index, fleet.makeHeartbeat(index));
                break;
            case 7:
                if (!m_delayedHeartbeats.empty()) {
                    deliverDelayed(fleet, random);
                }
                break;
            case 8:
                fleet.killSidecar(index);
                fleet.startSidecar(index);
                break;
            default:
                if (const auto leader = fleet.findLeader()) {
                    fleet.killGateway(*leader);
                    fleet.startGateway(*leader);
                }
        }
    }

    /**
     * Delivers an old heartbeat, or a leave message of an old incarnation with or without its
     * start time.
     */
    void deliverDelayed(JobFleet& fleet, Random& random) {
        const auto [index, heartbeat] = m_delayedHeartbeats.back();
        m_delayedHeartbeats.pop_back();
        WorkerAgent& agent = *fleet.m_sidecars[index].m_agent;
        const bool isFinished =
                fleet.m_sidecars[index].m_worker->getIncarnation() != heartbeat.m_incarnation;
        if (isFinished && random.below(2) == 0) {
            agent.handleLeave({heartbeat.m_incarnation.m_id,
                               random.below(2) * heartbeat.m_incarnation.m_processStartedAt});
        } else {
            agent.handleHeartbeat(heartbeat);
        }
    }

    std::vector<std::pair<std::size_t, WorkerHeartbeat>> m_delayedHeartbeats;
};

/** @return the seeds from `first` to `end`, exclusive, or those of `PIERBANK_SEEDS=first:end`. */
std::vector<std::uint64_t> listSeeds(std::uint64_t first, std::uint64_t end) {
    if (const char* const text = std::getenv("PIERBANK_SEEDS")) {
        std::istringstream range(text);
        char colon = ' ';
        range >> first >> colon >> end;
    }
    std::vector<std::uint64_t> seeds(end - first);
    std::iota(seeds.begin(), seeds.end(), first);
    return seeds;
}

}  // namespace

/** Thirty jobs, of which a third always fail, and a fault every 0.1 to 1.5 s for 25 s. */
TEST_P(RestartsWithOtherFaults, RunNoTaskTwiceAndCountEachFailure) {
    Random random(GetParam());
    JobFleet fleet(3, 4);
    fleet.setRestartForm(RestartForm::SAME_ID);
    ASSERT_TRUE(fleet.waitForLeader());
    const auto idOf = [](int i) {
        return "00000000000000" + std::to_string(10 + i);
    };
    constexpr int JOBS = 30;
    const Millis end = fleet.m_loop.now() + Millis(25'000);
    int submitted = 0;
    while (fleet.m_loop.now() < end) {
        fleet.m_loop.advance(Millis(static_cast<std::int64_t>(100 + random.below(1400))));
        if (submitted < JOBS && fleet.findLeader().has_value()) {
            const bool isFailing = submitted % 3 == 0;
            const std::string length = std::to_string(100 + 100 * random.below(15));
            fleet.submit(idOf(submitted), SMALL, (isFailing ? "!" : "") + length);
            ++submitted;
        }
        injectFault(fleet, random);
    }
    for (int i = 0; i < submitted; ++i) {
        const std::string expected = i % 3 == 0 ? "failed" : "succeeded";
        const std::string state = fleet.getState(idOf(i));
        EXPECT_TRUE(state == "410" || fleet.waitForState(idOf(i), expected, Millis(60'000)))
                << i << " " << fleet.getState(idOf(i));
    }
    EXPECT_EQ(fleet.m_witness.getViolations(), std::vector<std::string>());
}

/**
 * Seeds with which a task ran twice: the third attempt to carry out its order started the task
 * again, the task was started elsewhere although a delayed start of the task was known to be
 * pending, or the sidecar waited for a lost poll after another call had been refused.
 */
INSTANTIATE_TEST_SUITE_P(Found, RestartsWithOtherFaults,
                         ::testing::Values<std::uint64_t>(950, 1183, 1239, 73477));

INSTANTIATE_TEST_SUITE_P(Seeds, RestartsWithOtherFaults, ::testing::ValuesIn(listSeeds(1, 25)));

}  // namespace pierbank::testing
