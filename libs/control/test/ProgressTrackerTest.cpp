// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/ProgressTracker.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

const TaskKey TASK{"00000000000000a1", 0, 0, 0};
const TaskKey OTHER{"00000000000000a1", 0, 0, 1};
/** Declared run time; a run without progress for 1.4 s is stalled. */
constexpr Millis DECLARED{9400};

TEST(ProgressTrackerTest, EstimatesRemainingTimeFromProgress) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 10, false, DECLARED}}, Millis(1000));
    EXPECT_FALSE(tracker.getRemaining("h", TASK, Millis(1000)).has_value());
    tracker.recordReport("h", {{TASK, 1, 30, false, DECLARED}}, Millis(2000));
    EXPECT_EQ(tracker.getRemaining("h", TASK, Millis(2500)), Millis(3000));
    EXPECT_FALSE(tracker.isStalled("h"));
}

TEST(ProgressTrackerTest, HostWithoutProgressIsStalled) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 50, false, DECLARED}}, Millis(1000));
    tracker.recordReport("h", {{TASK, 1, 50, false, DECLARED}}, Millis(2300));
    EXPECT_FALSE(tracker.isStalled("h"));
    tracker.recordReport("h", {{TASK, 1, 50, false, DECLARED}}, Millis(2500));
    EXPECT_TRUE(tracker.isStalled("h"));
    EXPECT_EQ(tracker.getStalledTime("h", TASK), Millis(1500));
}

TEST(ProgressTrackerTest, StallTimeoutDependsOnDeclaredTime) {
    struct Case {
        Millis m_estimate;
        Millis m_maxIdleTime;
    };
    for (const auto& [estimate, maxIdleTime] :
         {Case{Millis(100), Millis(949)}, Case{Millis(10'000), Millis(1499)},
          Case{Millis(3'600'000), Millis(539'999)}, Case{Millis(0), Millis(7999)}}) {
        ProgressTracker tracker;
        tracker.recordReport("h", {{TASK, 1, 0, false, estimate}}, Millis(1000));
        tracker.recordReport("h", {{TASK, 1, 0, false, estimate}}, Millis(1000) + maxIdleTime);
        EXPECT_FALSE(tracker.isStalled("h")) << estimate.count();
        tracker.recordReport("h", {{TASK, 1, 0, false, estimate}}, Millis(1001) + maxIdleTime);
        EXPECT_TRUE(tracker.isStalled("h")) << estimate.count();
    }
}

TEST(ProgressTrackerTest, StallTimeoutOfSlowRunFollowsItsProgress) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 0, false, Millis(1000)}}, Millis(0));
    tracker.recordReport("h", {{TASK, 1, 2, false, Millis(1000)}}, Millis(6000));
    tracker.recordReport("h", {{TASK, 1, 2, false, Millis(1000)}}, Millis(29'900));
    EXPECT_FALSE(tracker.isStalled("h")) << "one percent takes three seconds";
    tracker.recordReport("h", {{TASK, 1, 2, false, Millis(1000)}}, Millis(30'000));
    EXPECT_TRUE(tracker.isStalled("h"));
}

TEST(ProgressTrackerTest, FastRunIsStalledAfterTwoReportsWithoutProgress) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 0, false, Millis(9000)}}, Millis(0));
    tracker.recordReport("h", {{TASK, 1, 11, false, Millis(9000)}}, Millis(1000));
    tracker.recordReport("h", {{TASK, 1, 11, false, Millis(9000)}}, Millis(2000));
    EXPECT_TRUE(tracker.isStalled("h"));
    EXPECT_FALSE(tracker.hasAdvancedSince("h", Millis(500)))
            << "the run was first reported earlier";
    tracker.recordReport("h", {{OTHER, 1, 0, false, Millis(9000)}}, Millis(3000));
    EXPECT_FALSE(tracker.hasAdvancedSince("h", Millis(2000)));
    tracker.recordReport("h", {{OTHER, 1, 1, false, Millis(9000)}}, Millis(4000));
    EXPECT_TRUE(tracker.hasAdvancedSince("h", Millis(2000)));
}

TEST(ProgressTrackerTest, HostWithProgressOfAnotherRunIsNotStalled) {
    ProgressTracker tracker;
    for (int i = 0; i < 4; ++i) {
        tracker.recordReport("h",
                             {{TASK, 1, 50, false, DECLARED}, {OTHER, 1, 10U * i, false, DECLARED}},
                             Millis(1000 * i));
    }
    EXPECT_FALSE(tracker.isStalled("h"));
}

TEST(ProgressTrackerTest, GangThatWaitsForMembersIsNotStalled) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 0, true, DECLARED}, {OTHER, 1, 100, false, DECLARED}},
                         Millis(1000));
    tracker.recordReport("h", {{TASK, 1, 0, true, DECLARED}, {OTHER, 1, 100, false, DECLARED}},
                         Millis(4000));
    EXPECT_FALSE(tracker.isStalled("h"));
}

TEST(ProgressTrackerTest, CompleteGangWithoutProgressIsStalled) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 0, true, DECLARED}}, Millis(1000));
    tracker.recordReport("h", {{TASK, 1, 0, false, DECLARED}}, Millis(3000));
    EXPECT_FALSE(tracker.isStalled("h"));
    tracker.recordReport("h", {{TASK, 1, 0, false, DECLARED}}, Millis(4500));
    EXPECT_TRUE(tracker.isStalled("h"));
    EXPECT_EQ(tracker.getStalledTime("h", TASK), Millis(1500));
}

TEST(ProgressTrackerTest, NewRunOfTaskStartsWithoutHistory) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 50, false, DECLARED}}, Millis(1000));
    tracker.recordReport("h", {{TASK, 2, 50, false, DECLARED}}, Millis(4000));
    EXPECT_FALSE(tracker.isStalled("h"));
    EXPECT_FALSE(tracker.getRate("h", TASK).has_value());
}

TEST(ProgressTrackerTest, RateOfRunIsReturnedOnce) {
    ProgressTracker tracker;
    EXPECT_TRUE(tracker.recordReport("h", {{TASK, 1, 0, false, DECLARED}}, Millis(1000)).empty());
    EXPECT_TRUE(tracker.recordReport("h", {{TASK, 1, 10, false, DECLARED}}, Millis(2000)).empty());
    EXPECT_TRUE(tracker.recordReport("h", {{TASK, 1, 25, false, DECLARED}}, Millis(3000)).empty());
    const auto rates = tracker.recordReport("h", {{TASK, 1, 40, false, DECLARED}}, Millis(4000));
    ASSERT_EQ(rates.size(), 1U);
    EXPECT_DOUBLE_EQ(rates[0].m_rate, 15.0) << "from the first report of progress";
    EXPECT_TRUE(tracker.recordReport("h", {{TASK, 1, 70, false, DECLARED}}, Millis(6000)).empty());
}

TEST(ProgressTrackerTest, CompleteRunYieldsNoRate) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 60, false, DECLARED}}, Millis(1000));
    EXPECT_TRUE(tracker.recordReport("h", {{TASK, 1, 100, false, DECLARED}}, Millis(9000)).empty());
}

}  // namespace
}  // namespace pierbank
