// SPDX-License-Identifier: Apache-2.0
#include "pierbank/trace/JobTrace.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

TEST(LogLineTest, IsParsedWithTheWordsOfACollectorBeforeIt) {
    const auto line = LogLine::parse(
            "  19.1533 edge-1 2026-06-06T04:48:24.153300 warning intake answered job=5acd "
            "method=POST "
            "status=503 reason=\"the store refused: \\\"no\\\"\"");
    ASSERT_TRUE(line.has_value());
    EXPECT_EQ(line->m_node, "edge-1");
    EXPECT_TRUE(line->is("intake", "answered"));
    EXPECT_EQ(line->get("reason"), "the store refused: \"no\"");
    EXPECT_EQ(line->getMillis("status"), Millis(503));
    EXPECT_EQ(line->getMillis("none"), Millis(0));
    EXPECT_EQ(line->m_at.count() % 60'000, 24'153);
}

TEST(LogLineTest, IsNotParsedFromOtherText) {
    for (const char* text : {"", "core dumped", "2026-06-06 info", "2026-06-06T04:48:24 info",
                             "not served, last try '503': 2; the first:"}) {
        EXPECT_FALSE(LogLine::parse(text).has_value()) << text;
    }
}

/** Writes log lines, with times in milliseconds within one minute. */
class JobTraceTest : public ::testing::Test {
protected:
    void log(int millis, const std::string& node, const std::string& rest) {
        char time[32];
        std::snprintf(time, sizeof(time), "2026-01-01T00:00:%02d.%03d", millis / 1000,
                      millis % 1000);
        const auto line = LogLine::parse(node + " " + time + " info " + rest);
        ASSERT_TRUE(line.has_value());
        m_trace.take(*line);
    }
    void accept(int millis, const std::string& node = "g1", const std::string& job = "a") {
        log(millis, node, "intake answered job=" + job + " method=POST status=200 took_ms=10");
        log(millis, node, "jobs known job=" + job + " priority=0 objective_ms=2000 age_ms=5");
    }
    JobTimeline tell() {
        const auto stories = m_trace.tell();
        EXPECT_EQ(stories.size(), 1U);
        return stories.empty() ? JobTimeline() : stories.front();
    }
    static Millis lost(const JobTimeline& story, Cause cause) {
        return story.m_lost.at(static_cast<std::size_t>(cause));
    }

    JobTrace m_trace;
};

TEST_F(JobTraceTest, AttributesTheTimeOfAPreemption) {
    accept(1000);
    log(1500, "g1", "jobs placed task=a.0.0.0 run=1 host=h1");
    log(2500, "g1",
        "jobs stopped task=a.0.0.0 run=1 host=h1 ran_ms=1000 cores=20 why=\"gave way to job b\"");
    log(2700, "g1", "jobs run-ended task=a.0.0.0 run=1 host=h1 how=stopped");
    log(3000, "g1", "jobs placed task=a.0.0.0 run=2 host=h2");
    log(4000, "g1", "jobs run-ended task=a.0.0.0 run=2 host=h2 how=done");
    log(4000, "g1", "jobs over job=a phase=succeeded");
    const JobTimeline story = tell();
    EXPECT_TRUE(story.isLate());
    EXPECT_EQ(story.getCause(), Cause::EVICTED);
    EXPECT_EQ(lost(story, Cause::EVICTED), Millis(1500));
    EXPECT_EQ(lost(story, Cause::ROOM), Millis(500));
    EXPECT_EQ(story.m_preemptionCount, 1U);
    EXPECT_DOUBLE_EQ(story.m_wastedCoreSeconds, 20.0);
}

TEST_F(JobTraceTest, ListsTheHostsOfAFailedJob) {
    accept(1000);
    log(1000, "g1", "jobs placed task=a.0.0.0 run=1 host=h1");
    log(1100, "g1", "jobs run-ended task=a.0.0.0 run=1 host=h1 how=failed");
    log(1100, "g1", "jobs placed task=a.0.0.0 run=2 host=h2");
    log(1200, "g1", "jobs run-ended task=a.0.0.0 run=2 host=h2 how=failed");
    log(1200, "g1", "jobs over job=a phase=failed");
    const JobTimeline story = tell();
    EXPECT_EQ(story.m_phase, "failed");
    EXPECT_EQ(story.m_failedOn, (std::vector<std::string>{"h1", "h2"}));
    EXPECT_EQ(story.getCause(), Cause::RUN_FAILED);
}

TEST_F(JobTraceTest, CountsRefusalsWhileAnotherGatewayAccepted) {
    log(1000, "g1", "intake answered job=a method=POST status=503 took_ms=0 reason=lost");
    log(2000, "g1", "intake answered job=a method=POST status=503 took_ms=0 reason=lost");
    accept(2050, "g2", "b");
    const auto stories = m_trace.tell();
    ASSERT_EQ(stories.size(), 2U);
    EXPECT_EQ(stories[0].getCause(), Cause::NOT_ACCEPTED);
    EXPECT_EQ(stories[0].m_refusals.at("503 lost"), 2U);
    EXPECT_EQ(stories[0].m_avoidableRefusals, 1U);
}

TEST_F(JobTraceTest, DetectsThatNoGatewayReachedTheStoreWhileTheCallerRetried) {
    log(100, "g1", "configuration in-force version=1");
    log(100, "g2", "configuration in-force version=1");
    // This gateway was replaced and logs nothing more.
    log(200, "g3", "configuration in-force version=1");
    log(1000, "g1", "configuration store-lost reason=x");
    log(1100, "g2", "configuration store-lost reason=x");
    log(1050, "g1", "intake answered job=early method=POST status=503 took_ms=0 reason=lost");
    log(1200, "g1", "intake answered job=lost method=POST status=503 took_ms=0 reason=lost");
    log(2500, "g1", "intake answered job=late method=POST status=503 took_ms=0 reason=lost");
    log(5000, "g2", "configuration store-regained status=ok");
    std::map<std::string, bool> outOfReach;
    for (const JobTimeline& story : m_trace.tell()) {
        outOfReach[story.m_id] = story.m_wasOutOfReach;
    }
    EXPECT_EQ(outOfReach,
              (std::map<std::string, bool>{{"early", false}, {"lost", true}, {"late", false}}));
}

TEST_F(JobTraceTest, ReportsTheQueueAndPriorityOfAJobThatWasNotAccepted) {
    log(1000, "g1",
        "intake answered job=a method=POST status=503 queue=quick priority=0 organisation=\"\" "
        "took_ms=0 reason=lost");
    const JobTimeline story = tell();
    EXPECT_EQ(story.m_queue, "quick");
    EXPECT_EQ(story.m_priority, "0");
}

TEST_F(JobTraceTest, ListsWhatAnUrgentJobWaitedFor) {
    accept(1000);
    log(1010, "g1", "jobs waits job=a for=ends guaranteed=no loss_core_s=0 age_ms=10");
    log(1400, "g1", "jobs waits job=a for=stops guaranteed=no loss_core_s=30 age_ms=400");
    EXPECT_EQ(tell().m_waitReasons, (std::vector<std::string>{"ends", "stops"}));
}

TEST_F(JobTraceTest, OrdersLinesOfSeveralLogs) {
    log(1200, "g2", "jobs over job=a phase=succeeded");
    log(1100, "g2", "jobs placed task=a.0.0.0 run=1 host=h1");
    accept(1000);
    const JobTimeline story = tell();
    EXPECT_EQ(lost(story, Cause::ROOM), Millis(100));
    EXPECT_FALSE(story.isLate());
}

}  // namespace
}  // namespace pierbank
