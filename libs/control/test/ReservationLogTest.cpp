// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/ReservationLog.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

/** Plans of a leader with a job that may hold a reservation. */
class ReservationLogTest : public ::testing::Test {
protected:
    void plan(bool isReserved, bool isPlaced = false) {
        TaskPlan plan;
        if (isReserved) {
            plan.m_reservations.push_back({"a", Millis(3000), {"h0", "h1"}});
        }
        if (isPlaced) {
            plan.m_placements.push_back({{"a", 0, 0, 0}, {"h0", "life"}});
        }
        m_log.update(plan, m_now);
        m_now += Millis(100);
    }

    ReservationLog m_log;
    Millis m_now{5000};
};

TEST_F(ReservationLogTest, CountsAReservationOnceWhileItLasts) {
    for (int i = 0; i < 20; ++i) {
        plan(true);
    }
    EXPECT_EQ(m_log.countHeld(), 1U);
    EXPECT_EQ(m_log.countBegun(), 1U);
}

TEST_F(ReservationLogTest, EndsItWhenTheJobStarts) {
    plan(true);
    plan(false, true);
    EXPECT_EQ(m_log.countHeld(), 0U);
}

TEST_F(ReservationLogTest, EndsItWhenItIsGivenBack) {
    plan(true);
    m_now += ReservationLog::MIN_ABSENCE;
    plan(false);
    EXPECT_EQ(m_log.countHeld(), 0U);
}

/** A reservation that is in every second plan would otherwise fill the log. */
TEST_F(ReservationLogTest, TakesNoNoticeOfAShortAbsence) {
    for (int i = 0; i < 20; ++i) {
        plan(i % 2 == 0);
    }
    EXPECT_EQ(m_log.countBegun(), 1U);
}

TEST_F(ReservationLogTest, ForgetsAllWithTheLeadership) {
    plan(true);
    m_log.clear();
    EXPECT_EQ(m_log.countHeld(), 0U);
}

}  // namespace
}  // namespace pierbank
