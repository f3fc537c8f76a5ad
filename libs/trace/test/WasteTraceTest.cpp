// SPDX-License-Identifier: Apache-2.0
#include "pierbank/trace/WasteTrace.h"

#include <gtest/gtest.h>

#include <sstream>

#include "pierbank/trace/HostRunTimes.h"

namespace pierbank {
namespace {

TEST(HostRunTimesTest, CompareTasksOfTheSameStepOnly) {
    HostRunTimes times;
    for (const auto& [host, factor] : {std::pair("fast", 1), {"usual", 2}, {"slow", 4}}) {
        times.add(host, "a.0.0", Millis(1000 * factor));
        times.add(host, "b.0.0", Millis(50 * factor));
    }
    times.add("other", "c.0.0", Millis(90'000));
    const auto slowness = times.getSlowness();
    EXPECT_DOUBLE_EQ(slowness.at("fast"), 0.5);
    EXPECT_DOUBLE_EQ(slowness.at("usual"), 1.0);
    EXPECT_DOUBLE_EQ(slowness.at("slow"), 2.0);
    EXPECT_EQ(slowness.count("other"), 0U);
}

/** The account of a log that is written line by line; times are milliseconds of one minute. */
class AWasteTrace : public ::testing::Test {
protected:
    void log(int millis, const std::string& rest) {
        char time[32];
        std::snprintf(time, sizeof(time), "2026-01-01T00:00:%02d.%03d", millis / 1000,
                      millis % 1000);
        const auto line = LogLine::parse("g1 " + std::string(time) + " info " + rest);
        ASSERT_TRUE(line.has_value());
        m_waste.take(*line);
        m_jobs.take(*line);
    }
    void accept(int millis, const std::string& job, int priority) {
        log(millis, "intake answered job=" + job + " method=POST status=200 took_ms=0");
        log(millis, "jobs known job=" + job + " priority=" + std::to_string(priority) +
                            " objective_ms=2000 age_ms=0");
    }
    void place(int millis, const std::string& task, int run, const std::string& host, int waited) {
        log(millis, "jobs placed task=" + task + " run=" + std::to_string(run) + " host=" + host +
                            " waited_ms=" + std::to_string(waited));
    }
    void preempt(int millis, const std::string& task, int run, const std::string& preemptor) {
        log(millis, "jobs stopped task=" + task + " run=" + std::to_string(run) +
                            " priority=2 why=\"gave way to job " + preemptor + "\"");
    }
    void end(int millis, const std::string& task, int run, const std::string& rest) {
        log(millis, "jobs run-ended task=" + task + " run=" + std::to_string(run) + " " + rest);
    }
    void finish(int millis, const std::string& job, const std::string& phase = "succeeded") {
        log(millis, "jobs over job=" + job + " phase=" + phase);
    }
    WasteReport tell() {
        const std::vector<JobTimeline> timelines = m_jobs.tell();
        return m_waste.tell(timelines);
    }

    WasteTrace m_waste;
    JobTrace m_jobs;
};

TEST_F(AWasteTrace, SumsWorkByItsOutcome) {
    accept(0, "a", 1);
    end(1000, "a.0.0.0", 1, "gang=no outcome=done saved=no core_s=10");
    end(1000, "a.0.0.1", 1, "gang=no outcome=preempted saved=no core_s=20");
    end(1000, "a.0.0.2", 1, "gang=no outcome=preempted saved=yes core_s=40");
    end(1000, "a.0.0.3", 1, "gang=no outcome=gang-broken saved=no core_s=80");
    log(1000, "jobs run-lost task=a.0.0.4 run=1 outcome=lost core_s=160");
    const WasteReport report = tell();
    EXPECT_DOUBLE_EQ(report.m_kept, 50);
    EXPECT_DOUBLE_EQ(report.m_keptInVain, 0);
    EXPECT_EQ(report.m_wasted, (std::map<std::string, double>{
                                       {"preempted", 20}, {"gang-broken", 80}, {"lost", 160}}));
}

/** A new leader hears of an end again that the former one could not commit. */
TEST_F(AWasteTrace, CountsAnEndOnceThatTwoLeadersLogged) {
    end(1000, "a.0.0.0", 1, "gang=no outcome=done saved=no core_s=10");
    end(2000, "a.0.0.0", 1, "gang=no outcome=done saved=no core_s=11");
    end(1000, "b.0.0.0", 1, "gang=yes outcome=done saved=no core_s=100");
    end(2000, "b.0.0.3", 1, "gang=yes outcome=done saved=no core_s=100");
    EXPECT_DOUBLE_EQ(tell().m_kept, 111);
}

TEST_F(AWasteTrace, IgnoresEndsOfRunsThatWereNotActive) {
    log(500, "jobs run-lost task=a.0.0.0 run=1 outcome=lost core_s=7");
    end(1000, "a.0.0.0", 1, "gang=no outcome=- saved=no core_s=-");
    EXPECT_DOUBLE_EQ(tell().m_wasted.at("lost"), 7);
}

TEST_F(AWasteTrace, TellsWhichWorkWasDoneForAJobThatFailed) {
    accept(0, "a", 1);
    end(1000, "a.0.0.0", 1, "gang=no outcome=done saved=no core_s=10");
    finish(1500, "a", "failed");
    EXPECT_DOUBLE_EQ(tell().m_keptInVain, 10);
}

/** Two tasks gave way to one job. */
class AWasteTraceOfPreemptions : public AWasteTrace {
protected:
    AWasteTraceOfPreemptions() {
        accept(0, "b", 0);
        preempt(500, "a.0.0.0", 1, "b");
        preempt(500, "a.0.0.1", 3, "b");
        end(600, "a.0.0.0", 1, "gang=no outcome=preempted saved=yes core_s=10");
        end(600, "a.0.0.1", 3, "gang=no outcome=preempted saved=no core_s=20");
        place(700, "b.0.0.0", 1, "h", 700);
    }
};

TEST_F(AWasteTraceOfPreemptions, NamesVictimsAndSavedProgress) {
    const WasteReport report = tell();
    ASSERT_EQ(report.m_preemptions.size(), 2U);
    EXPECT_EQ(report.m_preemptions[0].m_task, "a.0.0.0");
    EXPECT_EQ(report.m_preemptions[0].m_priority, "2");
    EXPECT_EQ(report.m_preemptions[0].m_preemptor, "b");
    EXPECT_TRUE(report.m_preemptions[0].m_isKept);
    EXPECT_FALSE(report.m_preemptions[1].m_isKept);
    EXPECT_DOUBLE_EQ(report.m_preemptions[1].m_coreSeconds, 20);
}

TEST_F(AWasteTraceOfPreemptions, JudgesTheJobThatGainedByItsObjective) {
    finish(2100, "b");
    EXPECT_EQ(tell().m_preemptions[0].m_preemptorResult, JobResult::LATE);
}

TEST_F(AWasteTraceOfPreemptions, FindsTheJobThatGainedInTime) {
    finish(1900, "b");
    EXPECT_EQ(tell().m_preemptions[0].m_preemptorResult, JobResult::IN_TIME);
}

TEST_F(AWasteTraceOfPreemptions, LeavesAJobWithoutAnEndOpen) {
    EXPECT_EQ(tell().m_preemptions[0].m_preemptorResult, JobResult::OPEN);
}

TEST_F(AWasteTraceOfPreemptions, PrintsOneRowForEachKindAndAddsLogs) {
    finish(2100, "b");
    const WasteReport report = tell();
    WasteReport sum = report;
    sum.add(report);
    std::ostringstream out;
    sum.print(out, true);
    EXPECT_NE(out.str().find("work thrown away 40 core-seconds beside 20 done or saved"),
              std::string::npos)
            << out.str();
    EXPECT_NE(out.str().find("late urgent jobs 2: with a slow host 0 (speed of their hosts unknown "
                             "2), waited over 300 ms for the first start 2"),
              std::string::npos)
            << out.str();
    EXPECT_NE(out.str().find("b first_wait_ms=700"), std::string::npos) << out.str();
}

/** Small tasks of one step show that a host is slow, and an urgent job ends late. */
class AWasteTraceOfALateUrgentJob : public AWasteTrace {
protected:
    AWasteTraceOfALateUrgentJob() {
        for (const auto& [task, host, millis] : {std::tuple("s.0.0.0", "usual1", "1000"),
                                                 {"s.0.0.1", "usual2", "1000"},
                                                 {"s.0.0.2", "usual3", "1000"},
                                                 {"s.0.0.3", "slow", "1400"}}) {
            end(3000, task, 1,
                "host=" + std::string(host) + " gang=no outcome=done core_s=1 ran_ms=" + millis);
        }
        accept(0, "b", 0);
    }
    UrgentJob tellJob() {
        finish(2100, "b");
        const WasteReport report = tell();
        EXPECT_EQ(report.m_urgentJobs.size(), 1U);
        EXPECT_EQ(report.m_urgentJobs.at(0).m_result, JobResult::LATE);
        return report.m_urgentJobs.at(0);
    }
};

TEST_F(AWasteTraceOfALateUrgentJob, FindsItsSlowMember) {
    place(100, "b.0.0.0", 1, "usual1", 100);
    place(100, "b.0.0.1", 1, "slow", 100);
    const UrgentJob job = tellJob();
    EXPECT_TRUE(job.hasSlowMember());
    EXPECT_EQ(job.m_slowestHost, "slow");
    EXPECT_FALSE(job.hasWaitedLong());
}

TEST_F(AWasteTraceOfALateUrgentJob, JudgesTheHostsOfItsLastRuns) {
    place(600, "b.0.0.0", 2, "usual2", 600);
    place(100, "b.0.0.0", 1, "slow", 100);
    const UrgentJob job = tellJob();
    EXPECT_FALSE(job.hasSlowMember());
    EXPECT_FALSE(job.hasWaitedLong());
    EXPECT_TRUE(job.isUnexplained());
}

TEST_F(AWasteTraceOfALateUrgentJob, FindsThatItWaited) {
    place(301, "b.0.0.0", 1, "usual1", 301);
    EXPECT_TRUE(tellJob().hasWaitedLong());
}

TEST_F(AWasteTraceOfALateUrgentJob, FindsThatARunWasThrownAway) {
    place(100, "b.0.0.0", 1, "usual1", 100);
    end(500, "b.0.0.0", 1, "gang=no outcome=run-failed saved=no core_s=4");
    const UrgentJob job = tellJob();
    EXPECT_EQ(job.m_wasteCauses, std::set<std::string>{"run-failed"});
    EXPECT_FALSE(job.isUnexplained());
}

TEST_F(AWasteTraceOfALateUrgentJob, DoesNotJudgeHostsByRunsThatResumed) {
    for (const char* const task : {"r.0.0.0", "r.0.0.1", "r.0.0.2"}) {
        end(4000, task, 2, "host=resumed gang=no outcome=done core_s=1 ran_ms=5000");
    }
    place(100, "b.0.0.0", 1, "resumed", 100);
    EXPECT_EQ(tellJob().m_slowness, 0);
}

}  // namespace
}  // namespace pierbank
