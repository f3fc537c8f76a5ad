// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: work is thrown away and nobody can see why. Runs that were stopped because their job
 * had failed, because a member of their gang had ended or because their job was cancelled left no
 * line in the log, and no metric told how much work was lost by which cause.
 */
#include <gtest/gtest.h>

#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr const char* URGENT_ID = "00000000000000b2";
/** Eight cores and eight accelerators of eight cores each: the whole of a worker. */
constexpr double WHOLE_CORES = 72;

std::string makeWhole(int count, const std::string& more = "") {
    return R"({"count":)" + std::to_string(count) +
           R"(,"cpu":8000,"mem_mb":100,"gpu":8,"est_ms":9000)" + more + "}";
}

/** Counts the lines of a log that contain all of the texts. */
std::size_t countLines(const std::string& log, std::initializer_list<std::string_view> texts) {
    std::size_t count = 0;
    for (std::size_t from = 0; from < log.size();) {
        const std::size_t end = std::min(log.find('\n', from), log.size());
        const std::string_view line = std::string_view(log).substr(from, end - from);
        count += std::all_of(texts.begin(), texts.end(), [&](std::string_view text) {
            return line.find(text) != std::string_view::npos;
        });
        from = end + 1;
    }
    return count;
}

/** An account of work that is kept by the leader, and its log. */
class AnAccountOfWork : public JobFleetTest {
protected:
    void SetUp() override {
        JobFleetTest::SetUp();
        ::testing::internal::CaptureStdout();
        m_isCapturing = true;
    }
    void TearDown() override {
        getLog();
        JobFleetTest::TearDown();
    }

    const WorkAccount& getAccount() {
        return m_fleet.m_gateways[getLeader()].m_core->getJobs().getStatistics().m_work;
    }
    double getWasted(WorkOutcome cause) { return getAccount().getWasted(cause); }
    /** Returns what was thrown away by all causes except one. */
    double getWastedExcept(WorkOutcome cause) {
        double sum = 0;
        for (std::size_t i = 0; i < WORK_OUTCOME_COUNT; ++i) {
            const auto other = static_cast<WorkOutcome>(i);
            sum += other == cause ? 0 : getWasted(other);
        }
        return sum;
    }
    /** Returns the log since the test began. */
    const std::string& getLog() {
        if (m_isCapturing) {
            m_log = ::testing::internal::GetCapturedStdout();
            m_isCapturing = false;
        }
        return m_log;
    }
    std::size_t countStopCauses() {
        return m_fleet.m_gateways[getLeader()]
                .m_core->getJobs()
                .getJobs()
                .find(ID)
                ->second.m_stopCauses.size();
    }
    /** Submits a job and waits until so many of its tasks run. */
    void run(const std::string& steps, std::size_t tasks, const std::string& payload = "9000") {
        ASSERT_EQ(m_fleet.submit(ID, steps, payload).m_status, 200U);
        ASSERT_TRUE(
                waitUntil(Millis(2000), [&] { return m_fleet.m_witness.countRunning() == tasks; }));
        m_startedAt = m_fleet.m_loop.now();
    }
    /** Returns the core-seconds of whole workers since run() returned. */
    double getWorkSince(double workers) {
        return workers * WHOLE_CORES *
               static_cast<double>((m_fleet.m_loop.now() - m_startedAt).count()) / 1000.0;
    }

    Millis m_startedAt{0};

private:
    bool m_isCapturing = false;
    std::string m_log;
};

}  // namespace

// Work that counts.

TEST_F(AnAccountOfWork, CountsWorkThatIsDoneAsKept) {
    run(makeWhole(2), 2, "1000");
    ASSERT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(3000)));
    EXPECT_GE(getAccount().getKept(), 2 * WHOLE_CORES);
    EXPECT_LE(getAccount().getKept(), getWorkSince(2) + 2 * WHOLE_CORES);
    EXPECT_EQ(getWastedExcept(WorkOutcome::DONE), 0);
    EXPECT_EQ(countLines(getLog(), {"run-ended", "outcome=done", "gang=no"}), 2U);
}

/** The other members' ends arrive when the gang is done already, and are of no active run. */
TEST_F(AnAccountOfWork, CountsAGangThatIsDoneOnceWithAllItsMembers) {
    run(makeWhole(4, R"(,"gang":true)"), 4, "1000");
    ASSERT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(3000)));
    m_fleet.m_loop.advance(Millis(1000));
    EXPECT_GE(getAccount().getKept(), 4 * WHOLE_CORES);
    EXPECT_LE(getAccount().getKept(), 5 * WHOLE_CORES);
    EXPECT_EQ(getWastedExcept(WorkOutcome::DONE), 0);
    EXPECT_EQ(countLines(getLog(), {"run-ended", "outcome=done", "gang=yes"}), 1U);
}

namespace {

/** Four whole workers run a job when urgent work preempts one of its tasks. */
class AnAccountOfPreemptedWork : public AnAccountOfWork {
protected:
    void preempt(const std::string& more = "") {
        run(makeWhole(4, more), 4);
        m_fleet.m_loop.advance(Millis(500));
        ASSERT_EQ(m_fleet.submit(URGENT_ID, makeWhole(1), "500", "/urgent/").m_status, 200U);
        ASSERT_TRUE(waitUntil(Millis(1000),
                              [&] { return m_fleet.m_witness.isRunning(taskOf(URGENT_ID)); }));
    }
};

}  // namespace

TEST_F(AnAccountOfPreemptedWork, NamesTheVictimsPriorityAndTheJobThatGotItsPlace) {
    preempt();
    EXPECT_GE(getWasted(WorkOutcome::PREEMPTED), 0.5 * WHOLE_CORES);
    EXPECT_LE(getWasted(WorkOutcome::PREEMPTED), getWorkSince(2));
    EXPECT_EQ(getWastedExcept(WorkOutcome::PREEMPTED), 0);
    EXPECT_EQ(countStopCauses(), 0U);
    const std::string why = "why=\"gave way to job " + std::string(URGENT_ID) + "\"";
    EXPECT_EQ(countLines(getLog(), {"jobs stopped ", "priority=1", "saves=no", why}), 1U);
    EXPECT_EQ(countLines(getLog(), {"run-ended", "outcome=preempted", "saved=no"}), 1U);
}

TEST_F(AnAccountOfPreemptedWork, CountsSavedProgressAsKept) {
    preempt(R"(,"saves_progress":true)");
    EXPECT_EQ(getWastedExcept(WorkOutcome::DONE), 0);
    EXPECT_GE(getAccount().getKept(), 0.5 * WHOLE_CORES);
    EXPECT_EQ(countLines(getLog(), {"jobs stopped ", "saves=yes"}), 1U);
    EXPECT_EQ(countLines(getLog(), {"run-ended", "outcome=preempted", "saved=yes"}), 1U);
}

TEST_F(AnAccountOfPreemptedWork, IsOnTheMetricsPage) {
    preempt();
    const std::string page = m_fleet.m_gateways[getLeader()].m_backend->getMetrics();
    EXPECT_NE(page.find("pierbank_work_kept_core_seconds_total 0\n"), std::string::npos) << page;
    EXPECT_EQ(page.find("wasted_core_seconds_total{cause=\"preempted\"} 0\n"), std::string::npos);
    EXPECT_NE(page.find("pierbank_work_wasted_core_seconds_total{cause=\"preempted\"} "),
              std::string::npos)
            << page;
    EXPECT_NE(page.find("pierbank_work_wasted_core_seconds_total{cause=\"lost\"} 0\n"),
              std::string::npos);
}

// Stops that follow from an end.

TEST_F(AnAccountOfWork, CountsAndLogsTheRunsOfAFailedJob) {
    getSidecar(0).m_worker->m_failsAll = true;
    getSidecar(1).m_worker->m_failsAll = true;
    run(makeWhole(4), 4);
    ASSERT_TRUE(m_fleet.waitForState(ID, "failed", Millis(3000)));
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_GT(getWasted(WorkOutcome::RUN_FAILED), 0);
    EXPECT_GE(getWasted(WorkOutcome::JOB_FAILED), 2 * 0.2 * WHOLE_CORES);
    EXPECT_EQ(countStopCauses(), 0U);
    const std::size_t stopped = countLines(
            getLog(), {"jobs stopped ", "cause=job-failed", "why=\"the job is over: task "});
    EXPECT_GE(stopped, 2U);
    EXPECT_EQ(countLines(getLog(), {"run-ended", "outcome=job-failed"}), stopped);
}

TEST_F(AnAccountOfWork, CountsAndLogsTheOtherMembersOfABrokenGang) {
    getSidecar(0).m_worker->m_failsAll = true;
    run(makeWhole(4, R"(,"gang":true)"), 4);
    ASSERT_TRUE(waitUntil(Millis(2000), [&] { return getWasted(WorkOutcome::GANG_BROKEN) > 0; }));
    EXPECT_GE(getWasted(WorkOutcome::RUN_FAILED), 0.2 * WHOLE_CORES);
    ASSERT_TRUE(m_fleet.waitForState(ID, "failed", Millis(5000)));
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_EQ(countStopCauses(), 0U);
    EXPECT_EQ(countLines(getLog(), {"jobs stopped ", "run=1 ", "cause=gang-broken"}), 3U);
}

TEST_F(AnAccountOfWork, CountsAndLogsTheRunsOfACancelledJob) {
    run(makeWhole(3), 3);
    m_fleet.m_loop.advance(Millis(1000));
    m_fleet.executeStatement(getLeader(), "withdraw job " + std::string(ID));
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_GE(getWasted(WorkOutcome::CANCELLED), 3 * WHOLE_CORES);
    EXPECT_LE(getWasted(WorkOutcome::CANCELLED), getWorkSince(3));
    EXPECT_EQ(getWastedExcept(WorkOutcome::CANCELLED), 0);
    EXPECT_EQ(countStopCauses(), 0U);
    EXPECT_EQ(countLines(getLog(), {"jobs stopped ", "cause=cancelled", "withdrawn"}), 3U);
}

TEST_F(AnAccountOfWork, LogsOneLineIfManyRunsAreStoppedAtOnce) {
    run(R"({"count":20,"cpu":100,"mem_mb":10,"gpu":1,"est_ms":9000})", 20);
    m_fleet.executeStatement(getLeader(), "withdraw job " + std::string(ID));
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_GT(getWasted(WorkOutcome::CANCELLED), 0);
    EXPECT_EQ(countStopCauses(), 0U);
    EXPECT_EQ(countLines(getLog(), {"jobs stopped "}), 0U);
    EXPECT_EQ(countLines(getLog(), {"jobs stopped-many ", "runs=20", "cause=cancelled"}), 1U);
}

// Hosts that are lost, stall or leave.

TEST_F(AnAccountOfWork, CountsRunsThatAreLostWithTheirWorker) {
    run(makeWhole(1), 1);
    m_fleet.m_loop.advance(Millis(500));
    const auto index = findWorker(taskOf(ID));
    ASSERT_TRUE(index.has_value());
    getSidecar(*index).m_worker->crash();
    ASSERT_TRUE(waitUntil(Millis(9000), [&] { return getWasted(WorkOutcome::LOST) > 0; }));
    EXPECT_GE(getWasted(WorkOutcome::LOST), 0.5 * WHOLE_CORES);
    EXPECT_EQ(getWastedExcept(WorkOutcome::LOST), 0);
    EXPECT_EQ(countLines(getLog(), {"run-lost", "outcome=lost"}), 1U);
}

TEST_F(AnAccountOfWork, CountsRunsThatStall) {
    run(makeWhole(1), 1);
    m_fleet.m_loop.advance(Millis(500));
    getSidecar(*findWorker(taskOf(ID))).m_worker->m_areRunsStalled = true;
    ASSERT_TRUE(waitUntil(Millis(30'000), [&] { return getWasted(WorkOutcome::STALLED) > 0; }));
    EXPECT_EQ(getWastedExcept(WorkOutcome::STALLED), 0);
    EXPECT_EQ(countLines(getLog(), {"jobs stopped ", "cause=stalled"}), 1U);
}

TEST_F(AnAccountOfWork, CountsSavedRunsThatMoveOffADrainedWorkerAsKept) {
    run(makeWhole(1, R"(,"saves_progress":true)"), 1);
    m_fleet.m_loop.advance(Millis(500));
    const std::string name = "127.0.1." + std::to_string(*findWorker(taskOf(ID)) + 1) + "-7000";
    m_fleet.executeStatement(getLeader(), "worker drain " + name);
    ASSERT_TRUE(waitUntil(Millis(2000), [&] { return getAccount().getKept() > 0; }));
    EXPECT_GE(getAccount().getKept(), 0.5 * WHOLE_CORES);
    EXPECT_EQ(getWastedExcept(WorkOutcome::DONE), 0);
    EXPECT_EQ(countLines(getLog(), {"run-ended", "outcome=migrated", "saved=yes"}), 1U);
}

// A change of the leader.

TEST_F(AnAccountOfWork, StillKnowsThatAJobIsOverAfterAChangeOfTheLeader) {
    run(makeWhole(1), 1);
    m_fleet.m_loop.advance(Millis(500));
    const auto index = findWorker(taskOf(ID));
    getSidecar(*index).m_worker->m_stopsToDelay = 1;
    m_fleet.executeStatement(getLeader(), "withdraw job " + std::string(ID));
    m_fleet.m_loop.advance(Millis(100));
    ASSERT_EQ(getWasted(WorkOutcome::CANCELLED), 0);
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    ASSERT_TRUE(waitUntil(Millis(5000), [&] { return getWasted(WorkOutcome::CANCELLED) > 0; }));
    EXPECT_EQ(getWastedExcept(WorkOutcome::CANCELLED), 0);
}

}  // namespace pierbank::testing
