// SPDX-License-Identifier: Apache-2.0
/*
 * Users saw: tasks whose ends were taken note of ran once more, and jobs that did nothing wrong
 * were shown as failed, each time around a worker that had just restarted under its id.
 *
 * Every kind of fault that a restart can meet, drawn by a seed, against all that must hold at once.
 * What single scenes of these faults look like is in RestartFailuresTest and LateStartsTest.
 *
 * `PIERBANK_SEEDS=1000:5000` plays these seeds instead of the few that are always played.
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

/** Restarts beside everything else that goes wrong, drawn by a seed. */
class RestartsBesideOtherFaults : public ::testing::TestWithParam<std::uint64_t> {
protected:
    void strike(JobFleet& fleet, Random& random) {
        const std::size_t place = random.below(fleet.m_sidecars.size());
        JobFleet::Sidecar& sidecar = fleet.m_sidecars[place];
        FakeTaskWorker& worker = *sidecar.m_worker;
        switch (random.below(10)) {
            case 0:
            case 1:
                worker.restart(random.below(4) == 0 ? RestartForm::NEW_ID : RestartForm::SAME_ID);
                break;
            case 2:
                worker.m_awayAfterCrash = Millis(static_cast<std::int64_t>(random.below(1500)));
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
                m_late.emplace_back(place, fleet.makeHeartbeat(place));
                break;
            case 7:
                if (!m_late.empty()) {
                    deliverLate(fleet, random);
                }
                break;
            case 8:
                fleet.killSidecar(place);
                fleet.startSidecar(place);
                break;
            default:
                if (const auto leader = fleet.findLeader()) {
                    fleet.killGateway(*leader);
                    fleet.startGateway(*leader);
                }
        }
    }

    /** What a process said once: a heartbeat, or a goodbye that may tell no moment of start. */
    void deliverLate(JobFleet& fleet, Random& random) {
        const auto [place, heartbeat] = m_late.back();
        m_late.pop_back();
        WorkerAgent& agent = *fleet.m_sidecars[place].m_agent;
        const bool isFinished =
                fleet.m_sidecars[place].m_worker->getIncarnation() != heartbeat.m_incarnation;
        if (isFinished && random.below(2) == 0) {
            agent.handleLeave({heartbeat.m_incarnation.m_id,
                               random.below(2) * heartbeat.m_incarnation.m_processStartedAt});
        } else {
            agent.handleHeartbeat(heartbeat);
        }
    }

    std::vector<std::pair<std::size_t, WorkerHeartbeat>> m_late;
};

/** @return the seeds from first up to, not including, end; `PIERBANK_SEEDS=first:end` plays others.
 */
std::vector<std::uint64_t> drawSeeds(std::uint64_t first, std::uint64_t end) {
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

/** Thirty jobs, a third of which fail twice, and a fault each 0.1 to 1.5 s for 25 s. */
TEST_P(RestartsBesideOtherFaults, NeitherRunAnythingTwiceNorLoseACount) {
    Random random(GetParam());
    JobFleet fleet(3, 4);
    fleet.setRestartForm(RestartForm::SAME_ID);
    ASSERT_TRUE(fleet.waitForLeader());
    const auto idOf = [](int i) {
        return "00000000000000" + std::to_string(10 + i);
    };
    constexpr int JOBS = 30;
    const Millis end = fleet.m_loop.now() + Millis(25'000);
    int handedIn = 0;
    while (fleet.m_loop.now() < end) {
        fleet.m_loop.advance(Millis(static_cast<std::int64_t>(100 + random.below(1400))));
        if (handedIn < JOBS && fleet.findLeader().has_value()) {
            const bool isPoison = handedIn % 3 == 0;
            const std::string length = std::to_string(100 + 100 * random.below(15));
            fleet.submit(idOf(handedIn), SMALL, (isPoison ? "!" : "") + length);
            ++handedIn;
        }
        strike(fleet, random);
    }
    for (int i = 0; i < handedIn; ++i) {
        const std::string expected = i % 3 == 0 ? "failed" : "succeeded";
        const std::string state = fleet.getState(idOf(i));
        EXPECT_TRUE(state == "410" || fleet.waitForState(idOf(i), expected, Millis(60'000)))
                << i << " " << fleet.getState(idOf(i));
    }
    EXPECT_EQ(fleet.m_witness.getViolations(), std::vector<std::string>());
}

/** Each of these once had a task run twice: begun again by a third try of its order, or started
 * elsewhere while a late start of it was known to go on. */
INSTANTIATE_TEST_SUITE_P(Found, RestartsBesideOtherFaults,
                         ::testing::Values<std::uint64_t>(950, 1183, 1239));

INSTANTIATE_TEST_SUITE_P(Seeds, RestartsBesideOtherFaults, ::testing::ValuesIn(drawSeeds(1, 25)));

}  // namespace pierbank::testing
