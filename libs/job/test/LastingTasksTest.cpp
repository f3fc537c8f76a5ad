// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/LastingTasks.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

const WorkerId HOST{"h", "life"};

/** A job with a lasting step of two tasks. */
class LastingTasksOfAJob : public ::testing::Test {
protected:
    LastingTasksOfAJob() {
        m_record.m_id = "j";
        m_record.m_spec.m_steps.emplace_back().m_tasks = 2;
        m_record.m_spec.m_steps[0].m_isLongRunning = true;
        m_run = makeJobRun(m_record);
        applyPlacement(m_run, FIRST, 1, HOST, Millis(100));
        applyPlacement(m_run, SECOND, 1, HOST, Millis(100));
    }

    const TaskKey FIRST{"j", 0, 0, 0};
    const TaskKey SECOND{"j", 0, 0, 1};
    JobRecord m_record;
    JobRun m_run;
    LastingTasks m_tasks;
};

}  // namespace

TEST_F(LastingTasksOfAJob, AreIdleEachByItself) {
    m_tasks.update(m_record, m_run, Millis(200));
    EXPECT_FALSE(m_tasks.getIdleSince(FIRST).has_value());
    applyEnd(m_record, m_run, FIRST, 1, RunEnd::STOPPED, "", Millis(300));
    m_tasks.update(m_record, m_run, Millis(300));
    m_tasks.update(m_record, m_run, Millis(900));
    EXPECT_EQ(m_tasks.getIdleSince(FIRST), Millis(300));
    EXPECT_FALSE(m_tasks.getIdleSince(SECOND).has_value());
    applyPlacement(m_run, FIRST, 2, HOST, Millis(1000));
    m_tasks.update(m_record, m_run, Millis(1000));
    EXPECT_FALSE(m_tasks.getIdleSince(FIRST).has_value());
}

TEST_F(LastingTasksOfAJob, AreAtWorkWhenTheirRunIsReportedWithAHundredPercent) {
    EXPECT_FALSE(m_tasks.isAtWork(FIRST, 1));
    m_tasks.recordProgress(FIRST, 1, 99);
    EXPECT_FALSE(m_tasks.isAtWork(FIRST, 1));
    m_tasks.recordProgress(FIRST, 1, 100);
    EXPECT_TRUE(m_tasks.isAtWork(FIRST, 1));
    EXPECT_FALSE(m_tasks.isAtWork(FIRST, 2));
    m_tasks.recordProgress(FIRST, 2, 10);
    EXPECT_FALSE(m_tasks.isAtWork(FIRST, 1));
}

}  // namespace pierbank
