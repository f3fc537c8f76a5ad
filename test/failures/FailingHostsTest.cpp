// SPDX-License-Identifier: Apache-2.0
// Hosts that fail what they start, beside jobs of many tasks.
#include <gtest/gtest.h>

#include <array>

#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr std::size_t WORKERS = 20;
constexpr std::uint32_t TASKS = 120;
constexpr const char* WIDE = R"({"count":120,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":2000})";
constexpr const char* PAYLOAD = "2000";

std::string makeId(std::size_t number) {
    return "00000000000000" + std::to_string(10 + number);
}

/**
 * Guards against jobs of many tasks that fail for good because of hosts which fail each run at
 * once. Such a host is always free, so it drew one task after the other, also last attempts. It was
 * not avoided: a job counted once for a host, and a job that failed on several hosts counted as
 * faulty itself, which acquitted all of them.
 */
class HostsThatFailAllRuns : public JobFleetTest {
protected:
    HostsThatFailAllRuns() : JobFleetTest(WORKERS) {}

    void SetUp() override {
        JobFleetTest::SetUp();
        for (std::size_t i = 0; i < JOBS; ++i) {
            m_fleet.submit(makeId(i), WIDE, PAYLOAD);
        }
        m_fleet.m_loop.advance(Millis(1000));
        setFailing(true);
    }
    void setFailing(bool isFailing) {
        for (const std::size_t bad : BAD) {
            getSidecar(bad).m_worker->m_failsAll = isFailing;
        }
    }
    /** Returns the number of failed runs on the bad hosts, by the workers' journals. */
    std::size_t countFailedRuns() {
        std::size_t failed = 0;
        for (const std::size_t bad : BAD) {
            const std::string journal = getSidecar(bad).m_worker->getJournalText();
            for (std::size_t at = journal.find("failed"); at != std::string::npos;
                 at = journal.find("failed", at + 1)) {
                ++failed;
            }
        }
        return failed;
    }
    std::size_t countRunningOnBadHosts() {
        std::size_t running = 0;
        for (const std::size_t bad : BAD) {
            running += getSidecar(bad).m_worker->countRunning();
        }
        return running;
    }

    static constexpr std::size_t JOBS = 3;
    static constexpr std::array<std::size_t, 4> BAD{2, 7, 11, 16};
};

TEST_F(HostsThatFailAllRuns, FailNoJobForGood) {
    for (std::size_t i = 0; i < JOBS; ++i) {
        EXPECT_TRUE(m_fleet.waitForState(makeId(i), "succeeded", Millis(30'000))) << i;
    }
}

TEST_F(HostsThatFailAllRuns, UseUpFewAttempts) {
    m_fleet.m_loop.advance(Millis(8000));
    // The first runs of each host fail at one moment; then a probe follows each pause.
    constexpr std::size_t PLACES = 8;
    constexpr std::size_t PROBES = 6;
    EXPECT_LE(countFailedRuns(), BAD.size() * (PLACES + PROBES));
}

TEST_F(HostsThatFailAllRuns, AreUsedAgainSoonAfterTheyHaveRecovered) {
    m_fleet.m_loop.advance(Millis(2000));
    setFailing(false);
    for (std::size_t i = 0; i < JOBS; ++i) {
        m_fleet.submit(makeId(50 + i), WIDE, PAYLOAD);
    }
    // The longest pause so far, and the time until the probe has outlasted the failed runs.
    m_fleet.m_loop.advance(Millis(2000 + 2000));
    EXPECT_GE(countRunningOnBadHosts(), BAD.size() * 4);
}

class HostsThatFailAllRunsAndTheLeaderChanges : public HostsThatFailAllRuns {};

TEST_F(HostsThatFailAllRunsAndTheLeaderChanges, FailNoJobForGood) {
    m_fleet.m_loop.advance(Millis(700));
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    const std::size_t gateway = getLeader();
    for (std::size_t i = 0; i < JOBS; ++i) {
        EXPECT_TRUE(
                m_fleet.waitForState(makeId(i), "succeeded", Millis(30'000), "/batch/", gateway))
                << i;
    }
}

class HostsThatFailAllRunsDuringAnOutageOfTheStore : public HostsThatFailAllRuns {};

TEST_F(HostsThatFailAllRunsDuringAnOutageOfTheStore, FailNoJobForGood) {
    m_fleet.m_loop.advance(Millis(300));
    m_fleet.m_storeState.m_isDown = true;
    m_fleet.m_loop.advance(Millis(2500));
    m_fleet.m_storeState.m_isDown = false;
    for (std::size_t i = 0; i < JOBS; ++i) {
        EXPECT_TRUE(m_fleet.waitForState(makeId(i), "succeeded", Millis(40'000))) << i;
    }
}

/** A job that can never be done must not take hosts away from the others. */
TEST_F(HostsThatFailAllRuns, AreToldFromAFaultyJob) {
    setFailing(false);
    m_fleet.submit(makeId(60), WIDE, "!300");
    EXPECT_TRUE(m_fleet.waitForState(makeId(60), "failed", Millis(10'000)));
    for (std::size_t i = 0; i < JOBS; ++i) {
        EXPECT_TRUE(m_fleet.waitForState(makeId(i), "succeeded", Millis(20'000))) << i;
    }
    const auto& core = *m_fleet.m_gateways[getLeader()].m_core;
    EXPECT_EQ(core.getJobs().countPausedHosts(), 0U);
}

}  // namespace

}  // namespace pierbank::testing
