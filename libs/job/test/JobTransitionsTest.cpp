// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include "pierbank/job/JobRun.h"

namespace pierbank {
namespace {

constexpr Millis NOW{1000};
const WorkerId HOST_A{"a", "life"};
const WorkerId HOST_B{"b", "life"};

/** A job of two tasks, both running, whose queue allows one failure a task. */
class JobTransitionsTest : public ::testing::Test {
protected:
    void SetUp() override {
        StepSpec step;
        step.m_tasks = 2;
        m_record.m_id = "j";
        m_record.m_spec.m_steps = {step};
        m_record.m_policy.m_attempts = 1;
        m_run = makeJobRun(m_record);
        applyPlacement(m_run, FIRST, 1, HOST_A, NOW);
        applyPlacement(m_run, SECOND, 1, HOST_B, NOW);
    }

    EndEffect end(const TaskKey& task, RunEnd how) {
        return applyEnd(m_record, m_run, task, 1, how, "", NOW);
    }

    const TaskKey FIRST{"j", 0, 0, 0};
    const TaskKey SECOND{"j", 0, 0, 1};
    JobRecord m_record;
    JobRun m_run;
};

TEST_F(JobTransitionsTest, TheLastEndEndsTheJob) {
    EXPECT_FALSE(end(FIRST, RunEnd::DONE).m_endsJob);
    EXPECT_TRUE(end(SECOND, RunEnd::DONE).m_endsJob);
    EXPECT_EQ(m_run.m_phase, JobPhase::SUCCEEDED);
}

TEST_F(JobTransitionsTest, AFailureEndsTheJobOnceAndStopsTheRest) {
    const EndEffect failure = end(FIRST, RunEnd::FAILED);
    EXPECT_TRUE(failure.m_endsJob);
    ASSERT_EQ(failure.m_toStop.size(), 1u);
    EXPECT_EQ(failure.m_toStop.front().m_task, SECOND);

    const EndEffect rest = end(SECOND, RunEnd::STOPPED);
    EXPECT_TRUE(rest.m_isCurrent);
    EXPECT_FALSE(rest.m_endsJob);
    EXPECT_EQ(m_run.m_phase, JobPhase::FAILED);
}

TEST_F(JobTransitionsTest, AnEndThatIsToldTwiceCountsOnce) {
    end(FIRST, RunEnd::STOPPED);
    EXPECT_FALSE(end(FIRST, RunEnd::DONE).m_isCurrent);
}

}  // namespace
}  // namespace pierbank
