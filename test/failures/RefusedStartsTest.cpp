// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: urgent jobs are sent to a worker that refuses every start, hundreds of times, and begin
 * seconds later, while sound workers are idle. The same jobs are written to the store 80 times a
 * second.
 *
 * Cause: only refusals for insufficient capacity kept the next plan off the worker.
 */
#include <gtest/gtest.h>

#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":2,"est_ms":1000})";
constexpr std::size_t JOBS = 4;

/** A worker that refuses starts for some seconds while its heartbeats and polls go on. */
class RefusedStartsTest : public JobFleetTest, public ::testing::WithParamInterface<const char*> {
protected:
    explicit RefusedStartsTest(std::size_t workers = 1) : JobFleetTest(workers) {}

    void setRefusing(std::size_t worker, bool refuses) {
        const std::string reason = GetParam();
        getSidecar(worker).m_worker->m_refusal =
                !refuses ? "" : (reason.empty() ? "connection closed" : reason);
        getSidecar(worker).m_worker->m_refusalStatus =
                reason.empty() ? WorkerStatus::UNKNOWN : WorkerStatus::REFUSED;
    }

    static std::string idOf(std::size_t number) {
        return "000000000000a0" + std::to_string(10 + number);
    }

    void submitJobs(const char* queue) {
        for (std::size_t i = 0; i < JOBS; ++i) {
            ASSERT_EQ(m_fleet.submit(idOf(i), SMALL, "500", queue).m_status, 200U);
        }
    }
};

std::string nameOf(const ::testing::TestParamInfo<const char*>& info) {
    const std::string reason = info.param;
    return reason.empty() ? "NoAnswer" : reason.substr(reason.find_last_of(' ') + 1);
}

}  // namespace

INSTANTIATE_TEST_SUITE_P(Refusals, RefusedStartsTest,
                         ::testing::Values("status 503", "status 429", ""), nameOf);

TEST_P(RefusedStartsTest, AreTriedAgainAtABoundedRate) {
    setRefusing(0, true);
    submitJobs("/batch/");
    constexpr std::uint64_t SECONDS = 6;
    const std::uint64_t commits = m_fleet.m_storeState.m_commits;
    m_fleet.m_loop.advance(Millis(1000 * SECONDS));
    // A few tries at once, and then those that a delay of 0.1 s, doubled up to 1 s, leaves.
    constexpr std::size_t ROUNDS = 3 + 4 + SECONDS;
    constexpr std::size_t TRIES_OF_AN_ORDER = 3;
    EXPECT_LE(getSidecar(0).m_worker->m_refusalCount, ROUNDS * JOBS * TRIES_OF_AN_ORDER);
    EXPECT_LE(m_fleet.m_storeState.m_commits - commits, 2 * ROUNDS * JOBS + SECONDS);
}

TEST_P(RefusedStartsTest, AreTriedAgainSoonAfterTheWorkerStartsRunsAgain) {
    setRefusing(0, true);
    submitJobs("/batch/");
    m_fleet.m_loop.advance(Millis(6500));
    setRefusing(0, false);
    EXPECT_TRUE(waitUntil(Millis(1500), [this] { return m_fleet.m_witness.countRunning() > 0; }));
    EXPECT_TRUE(m_fleet.waitForState(idOf(JOBS - 1), "succeeded", Millis(3000)));
}

/** A worker that refuses every third start keeps getting work. */
TEST_P(RefusedStartsTest, OfWhichOnlySomeAreRefusedKeepNoWorkAway) {
    for (std::size_t i = 0; i < JOBS; ++i) {
        setRefusing(0, true);
        ASSERT_EQ(m_fleet.submit(idOf(i), SMALL, "500").m_status, 200U);
        m_fleet.m_loop.advance(Millis(5));
        setRefusing(0, false);
        EXPECT_TRUE(waitUntil(Millis(300),
                              [&] { return m_fleet.m_witness.isRunning(taskOf(idOf(i))); }));
        m_fleet.m_loop.advance(Millis(1200));
    }
}

/** One refusing worker beside sound ones that are idle. */
class RefusingWorkerBesideSoundOnes : public RefusedStartsTest {
protected:
    RefusingWorkerBesideSoundOnes() : RefusedStartsTest(6) {}
};

INSTANTIATE_TEST_SUITE_P(Refusals, RefusingWorkerBesideSoundOnes,
                         ::testing::Values("status 503", "status 429", ""), nameOf);

TEST_P(RefusingWorkerBesideSoundOnes, DelaysUrgentJobsByNoMoreThanAFewTries) {
    m_fleet.submit(idOf(JOBS), SMALL, "300", "/urgent/");
    m_fleet.m_loop.advance(Millis(200));
    const auto chosen = findWorker(taskOf(idOf(JOBS)));
    ASSERT_TRUE(chosen.has_value());
    m_fleet.m_loop.advance(Millis(1000));
    setRefusing(*chosen, true);
    submitJobs("/urgent/");
    EXPECT_TRUE(waitUntil(Millis(500), [this] {
        std::size_t started = 0;
        for (std::size_t i = 0; i < JOBS; ++i) {
            started += m_fleet.m_witness.countStarts(taskOf(idOf(i)));
        }
        return started == JOBS;
    }));
}

}  // namespace pierbank::testing
