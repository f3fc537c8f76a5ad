// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include "pierbank/job/JobRun.h"

namespace pierbank {
namespace {

constexpr Millis NOW{1000};
const WorkerId HOST_A{"a", "life"};
const WorkerId HOST_B{"b", "life"};

/** Provides a job with two running tasks, which fails with the first failed run of a task. */
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

TEST_F(JobTransitionsTest, LastTaskDoneFinishesJob) {
    EXPECT_FALSE(end(FIRST, RunEnd::DONE).m_endsJob);
    EXPECT_TRUE(end(SECOND, RunEnd::DONE).m_endsJob);
    EXPECT_EQ(m_run.m_phase, JobPhase::SUCCEEDED);
}

TEST_F(JobTransitionsTest, FailureFailsJobOnceAndStopsOtherTasks) {
    const EndEffect failure = end(FIRST, RunEnd::FAILED);
    EXPECT_TRUE(failure.m_endsJob);
    ASSERT_EQ(failure.m_toStop.size(), 1u);
    EXPECT_EQ(failure.m_toStop.front().m_task, SECOND);

    const EndEffect rest = end(SECOND, RunEnd::STOPPED);
    EXPECT_TRUE(rest.m_isApplied);
    EXPECT_FALSE(rest.m_endsJob);
    EXPECT_EQ(m_run.m_phase, JobPhase::FAILED);
}

TEST_F(JobTransitionsTest, DuplicateEndIsIgnored) {
    end(FIRST, RunEnd::STOPPED);
    EXPECT_FALSE(end(FIRST, RunEnd::DONE).m_isApplied);
}

TEST_F(JobTransitionsTest, RebindsRunToNextIncarnation) {
    const WorkerId next{"a", "next"};
    rebindRun(m_run, *m_run.findActiveRun(FIRST, 1), next);
    EXPECT_EQ(m_run.findActiveRun(FIRST, 1)->m_worker, next);
    applyCopy(m_run, SECOND, HOST_A, NOW);
    rebindRun(m_run, *m_run.findActiveRun(SECOND, 2), next);
    EXPECT_EQ(m_run.findActiveRun(SECOND, 2)->m_worker, next);
    EXPECT_EQ(m_run.findActiveRun(SECOND, 1)->m_worker, HOST_B);
}

namespace {

/** Provides a run of the first task that is lost and reported again later. */
class LostRunTest : public JobTransitionsTest {
protected:
    void SetUp() override {
        JobTransitionsTest::SetUp();
        m_record.m_policy.m_attempts = 2;
        applyNotRunning(m_record, m_run, FIRST, 1, NOW);
    }

    EndEffect endLate(RunEnd how, std::uint32_t run = 1) {
        return applyLateEnd(m_record, m_run, {FIRST, run, HOST_A}, how, NOW);
    }

    ActiveRun makeOrphan(std::uint32_t run) const { return {FIRST, run, HOST_A, NOW, true, false}; }
};

}  // namespace

TEST_F(LostRunTest, LateFailureCountsOnce) {
    EXPECT_TRUE(endLate(RunEnd::FAILED).m_isApplied);
    EXPECT_FALSE(endLate(RunEnd::FAILED).m_isApplied);
    EXPECT_EQ(m_run.findTask(FIRST)->m_failures, 1U);
    EXPECT_EQ(m_run.m_phase, JobPhase::RUNNING);
}

TEST_F(LostRunTest, LateFailureOfLastAttemptFailsJob) {
    endLate(RunEnd::FAILED);
    applyPlacement(m_run, FIRST, 2, HOST_A, NOW);
    applyNotRunning(m_record, m_run, FIRST, 2, NOW);
    const EndEffect effect = endLate(RunEnd::FAILED, 2);
    EXPECT_TRUE(effect.m_endsJob);
    EXPECT_EQ(effect.m_toStop.size(), 1U);
    EXPECT_EQ(m_run.m_phase, JobPhase::FAILED);
}

TEST_F(LostRunTest, OtherLateEndsHaveNoEffect) {
    EXPECT_FALSE(endLate(RunEnd::LAPSED).m_isApplied);
    EXPECT_FALSE(endLate(RunEnd::DONE).m_isApplied);
    EXPECT_FALSE(endLate(RunEnd::FAILED, 7).m_isApplied) << "there was no such run";
    EXPECT_EQ(m_run.findTask(FIRST)->m_failures, 0U);
}

/** Guards against starting the task on another worker while the orphaned run is being stopped. */
TEST_F(LostRunTest, OrphanedRunIsActiveUntilItStops) {
    ASSERT_TRUE(trackOrphanedRun(m_record, m_run, makeOrphan(1)));
    EXPECT_EQ(m_run.findTask(FIRST)->m_state, TaskState::STOPPING);
    EXPECT_TRUE(end(FIRST, RunEnd::STOPPED).m_isApplied);
    EXPECT_EQ(m_run.findTask(FIRST)->m_state, TaskState::WAITING);
}

TEST_F(LostRunTest, OrphanedRunBesideNextRunMayFinishTask) {
    applyPlacement(m_run, FIRST, 2, HOST_B, NOW);
    ASSERT_TRUE(trackOrphanedRun(m_record, m_run, makeOrphan(1)));
    applyNotRunning(m_record, m_run, FIRST, 2, NOW);
    EXPECT_EQ(m_run.findTask(FIRST)->m_state, TaskState::STOPPING);
    EXPECT_TRUE(end(FIRST, RunEnd::DONE).m_isApplied);
    EXPECT_EQ(m_run.findTask(FIRST)->m_state, TaskState::DONE);
}

TEST_F(LostRunTest, OrphanedRunIsNotTrackedForGangOrDoneTask) {
    m_record.m_spec.m_steps[0].m_isGang = true;
    EXPECT_FALSE(trackOrphanedRun(m_record, m_run, makeOrphan(1)));
    m_record.m_spec.m_steps[0].m_isGang = false;
    applyPlacement(m_run, FIRST, 2, HOST_B, NOW);
    applyEnd(m_record, m_run, FIRST, 2, RunEnd::DONE, "", NOW);
    EXPECT_FALSE(trackOrphanedRun(m_record, m_run, makeOrphan(1)));
}

namespace {

/** Provides a job whose only placed run turns out never to have begun. */
class RunThatNeverBeganTest : public JobTransitionsTest {
protected:
    void SetUp() override {
        JobTransitionsTest::SetUp();
        m_run = makeJobRun(m_record);
        applyPlacement(m_run, FIRST, 1, HOST_A, NOW);
        applyNotRunning(m_record, m_run, FIRST, 1, NOW);
    }
};

}  // namespace

TEST_F(RunThatNeverBeganTest, TakesBackThatTheJobHasStarted) {
    EXPECT_TRUE(retractStart(m_run));
    EXPECT_FALSE(m_run.m_hasStarted);
    EXPECT_EQ(m_run.m_phase, JobPhase::PENDING);
    EXPECT_FALSE(retractStart(m_run)) << "there is nothing left to take back";
}

TEST_F(RunThatNeverBeganTest, LetsTheNextPlacementBeginNothingBeforeItIsConfirmed) {
    retractStart(m_run);
    applyPlacement(m_run, FIRST, 2, HOST_A, NOW);
    EXPECT_FALSE(m_run.m_hasStarted);
    EXPECT_TRUE(confirmStart(m_run));
    EXPECT_EQ(m_run.m_phase, JobPhase::RUNNING);
    EXPECT_FALSE(confirmStart(m_run)) << "the store knows it already";
}

TEST_F(RunThatNeverBeganTest, DoesNotTakeBackWhatTheRecordProves) {
    m_run.findTask(SECOND)->m_checkpoint = "0bb8";
    EXPECT_FALSE(retractStart(m_run));
    m_run.findTask(SECOND)->m_checkpoint.clear();
    m_run.findTask(SECOND)->m_failures = 1;
    EXPECT_FALSE(retractStart(m_run));
    m_run.findTask(SECOND)->m_failures = 0;
    m_run.findTask(SECOND)->m_state = TaskState::DONE;
    EXPECT_FALSE(retractStart(m_run));
    EXPECT_TRUE(m_run.m_hasStarted);
}

TEST_F(RunThatNeverBeganTest, DoesNotTakeBackAnOccurrenceThatIsOver) {
    m_run.m_startedOccurrences = 2;
    EXPECT_FALSE(retractStart(m_run)) << "one of two occurrences was removed as done";
}

TEST_F(RunThatNeverBeganTest, LeavesAFinishedJobAsItIs) {
    applyCancel("j", m_run, NOW);
    EXPECT_FALSE(retractStart(m_run));
    EXPECT_FALSE(confirmStart(m_run));
    EXPECT_EQ(m_run.m_phase, JobPhase::CANCELLED);
}

}  // namespace
}  // namespace pierbank
