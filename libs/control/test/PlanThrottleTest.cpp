// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/PlanThrottle.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

TEST(PlanThrottleTest, APlanThatTakesNoTimeDelaysNoOther) {
    PlanThrottle pace;
    pace.recordPlan(Millis(1000), Millis(1000));
    EXPECT_EQ(pace.getNextAt(), Millis(1000));
}

/** 800 workers that link by and by, each of them a reason to plan, on a host that plans in 15 ms.
 */
TEST(PlanThrottleTest, PlansOfASlowHostLeaveMostOfItsTimeToOtherWork) {
    constexpr Millis TOOK{15};
    PlanThrottle pace;
    Millis now(1000);
    Millis planning(0);
    const Millis end = now + Millis(4000);
    while (now < end) {
        if (now >= pace.getNextAt()) {
            pace.recordPlan(now, now + TOOK);
            planning += TOOK;
            now += TOOK;
        } else {
            now += Millis(5);
        }
    }
    EXPECT_LE(planning, Millis(1050));
    EXPECT_GE(planning, Millis(900));
}

}  // namespace
}  // namespace pierbank
