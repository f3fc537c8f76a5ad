// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/IdleJobLog.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

/** Plans of a leader that leave a job waiting. */
class IdleJobLogTest : public ::testing::Test {
protected:
    void plan(std::optional<IdleReason> reason) {
        TaskPlan plan;
        if (reason.has_value()) {
            plan.m_idleWaits.push_back({"a", *reason, Millis(2000), 4, 3, 0.5, 0.5});
        }
        m_log.update(plan, m_now);
        m_now += Millis(100);
    }
    void plan(IdleReason reason, int times) {
        for (int i = 0; i < times; ++i) {
            plan(reason);
        }
    }
    std::uint32_t count(IdleReason reason) const {
        return m_log.getCounts().at(static_cast<std::size_t>(reason));
    }
    Millis getTime(IdleReason reason) const {
        return m_log.getTimes().at(static_cast<std::size_t>(reason));
    }

    IdleJobLog m_log;
    Millis m_now{5000};
};

TEST_F(IdleJobLogTest, CountsAJobOnceItHasBeenIdleForAMoment) {
    plan(IdleReason::RACK, 5);
    EXPECT_EQ(count(IdleReason::RACK), 0U);
    plan(IdleReason::RACK);
    EXPECT_EQ(count(IdleReason::RACK), 1U);
    plan(std::nullopt);
    EXPECT_EQ(count(IdleReason::RACK), 0U);
}

TEST_F(IdleJobLogTest, AddsTheTimeToTheReasonThatHeldThen) {
    plan(IdleReason::RACK, 11);
    plan(IdleReason::SHAPE, 11);
    EXPECT_EQ(getTime(IdleReason::RACK), Millis(700)) << "from 0.5 s on, until it changed";
    EXPECT_EQ(getTime(IdleReason::SHAPE), Millis(1000));
}

TEST_F(IdleJobLogTest, ForgetsTheIdleTimeOfAJobThatRanBetween) {
    plan(IdleReason::RACK, 20);
    plan(std::nullopt);
    plan(IdleReason::RACK);
    EXPECT_EQ(count(IdleReason::RACK), 0U);
}

TEST_F(IdleJobLogTest, ForgetsAllWithTheLeadership) {
    plan(IdleReason::RACK, 20);
    m_log.clear();
    plan(IdleReason::RACK);
    EXPECT_EQ(count(IdleReason::RACK), 0U);
}

}  // namespace
}  // namespace pierbank
