// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/PlanThrottle.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

TEST(PlanThrottleTest, InstantPlanCausesNoDelay) {
    PlanThrottle throttle;
    throttle.recordPlan(Millis(1000), Millis(1000));
    EXPECT_EQ(throttle.getNextAt(), Millis(1000));
}

/** Simulates a slow host, on which a plan takes 15 ms, while worker connections request a new plan
 * all the time. */
TEST(PlanThrottleTest, SlowPlansLeaveMostTimeToOtherWork) {
    constexpr Millis PLAN_DURATION{15};
    PlanThrottle throttle;
    Millis now(1000);
    Millis planning(0);
    const Millis end = now + Millis(4000);
    while (now < end) {
        if (now >= throttle.getNextAt()) {
            throttle.recordPlan(now, now + PLAN_DURATION);
            planning += PLAN_DURATION;
            now += PLAN_DURATION;
        } else {
            now += Millis(5);
        }
    }
    EXPECT_LE(planning, Millis(1050));
    EXPECT_GE(planning, Millis(900));
}

}  // namespace
}  // namespace pierbank
