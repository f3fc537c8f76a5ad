// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/JobTable.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

/** A job of one task in the table of a leader. */
class IdleTimeOfAJob : public ::testing::Test {
protected:
    IdleTimeOfAJob() {
        m_entry.m_record.m_id = "a";
        m_entry.m_record.m_spec.m_steps.emplace_back().m_tasks = 1;
        m_entry.m_run = makeJobRun(m_entry.m_record);
    }
    void start() { applyPlacement(m_entry.m_run, m_task, 1, {"h0", "life"}, Millis(100)); }

    const TaskKey m_task{"a", 0, 0, 0};
    JobEntry m_entry;
};

TEST_F(IdleTimeOfAJob, IsUnknownUntilARunWasSeen) {
    m_entry.updateIdleTime(Millis(100));
    EXPECT_FALSE(m_entry.m_idleSince.has_value());
}

TEST_F(IdleTimeOfAJob, BeginsWhenItsLastRunHasEnded) {
    start();
    m_entry.updateIdleTime(Millis(200));
    EXPECT_FALSE(m_entry.m_idleSince.has_value());
    applyEnd(m_entry.m_record, m_entry.m_run, m_task, 1, RunEnd::STOPPED, "", Millis(300));
    m_entry.updateIdleTime(Millis(300));
    m_entry.updateIdleTime(Millis(400));
    EXPECT_EQ(m_entry.m_idleSince, Millis(300));
}

TEST_F(IdleTimeOfAJob, EndsWithTheNextRun) {
    start();
    m_entry.updateIdleTime(Millis(200));
    applyEnd(m_entry.m_record, m_entry.m_run, m_task, 1, RunEnd::STOPPED, "", Millis(300));
    m_entry.updateIdleTime(Millis(300));
    applyPlacement(m_entry.m_run, m_task, 2, {"h0", "life"}, Millis(400));
    m_entry.updateIdleTime(Millis(400));
    EXPECT_FALSE(m_entry.m_idleSince.has_value());
}

}  // namespace
}  // namespace pierbank
