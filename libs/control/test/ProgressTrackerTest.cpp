// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/ProgressTracker.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

const TaskKey TASK{"00000000000000a1", 0, 0, 0};
const TaskKey OTHER{"00000000000000a1", 0, 0, 1};
/** Declared time: a run that did not advance for 1.4 s stands still. */
constexpr Millis DECLARED{9400};

TEST(ProgressTrackerTest, ARunThatAdvancesTellsWhenItEnds) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 10, false, DECLARED}}, Millis(1000));
    EXPECT_FALSE(tracker.getRemaining("h", TASK, Millis(1000)).has_value());
    tracker.recordReport("h", {{TASK, 1, 30, false, DECLARED}}, Millis(2000));
    EXPECT_EQ(tracker.getRemaining("h", TASK, Millis(2500)), Millis(3000));
    EXPECT_FALSE(tracker.isStalled("h"));
}

TEST(ProgressTrackerTest, AHostOnWhichNothingAdvancesIsStalled) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 50, false, DECLARED}}, Millis(1000));
    tracker.recordReport("h", {{TASK, 1, 50, false, DECLARED}}, Millis(2300));
    EXPECT_FALSE(tracker.isStalled("h"));
    tracker.recordReport("h", {{TASK, 1, 50, false, DECLARED}}, Millis(2500));
    EXPECT_TRUE(tracker.isStalled("h"));
    EXPECT_EQ(tracker.getStalledTime("h", TASK), Millis(1500));
}

TEST(ProgressTrackerTest, HowLongARunMayStandDependsOnItsDeclaredTime) {
    struct Case {
        Millis m_estimate;
        Millis m_mayStand;
    };
    for (const auto& [estimate, mayStand] :
         {Case{Millis(100), Millis(949)}, Case{Millis(10'000), Millis(1499)},
          Case{Millis(3'600'000), Millis(539'999)}, Case{Millis(0), Millis(7999)}}) {
        ProgressTracker tracker;
        tracker.recordReport("h", {{TASK, 1, 0, false, estimate}}, Millis(1000));
        tracker.recordReport("h", {{TASK, 1, 0, false, estimate}}, Millis(1000) + mayStand);
        EXPECT_FALSE(tracker.isStalled("h")) << estimate.count();
        tracker.recordReport("h", {{TASK, 1, 0, false, estimate}}, Millis(1001) + mayStand);
        EXPECT_TRUE(tracker.isStalled("h")) << estimate.count();
    }
}

TEST(ProgressTrackerTest, ARunThatTakesLongerThanDeclaredIsJudgedByWhatItWasSeenToDo) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 0, false, Millis(1000)}}, Millis(0));
    tracker.recordReport("h", {{TASK, 1, 2, false, Millis(1000)}}, Millis(6000));
    tracker.recordReport("h", {{TASK, 1, 2, false, Millis(1000)}}, Millis(29'900));
    EXPECT_FALSE(tracker.isStalled("h")) << "a percent takes three seconds";
    tracker.recordReport("h", {{TASK, 1, 2, false, Millis(1000)}}, Millis(30'000));
    EXPECT_TRUE(tracker.isStalled("h"));
}

TEST(ProgressTrackerTest, ALongRunThatAdvancedWellStandsStillAfterTwoReports) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 0, false, Millis(9000)}}, Millis(0));
    tracker.recordReport("h", {{TASK, 1, 11, false, Millis(9000)}}, Millis(1000));
    tracker.recordReport("h", {{TASK, 1, 11, false, Millis(9000)}}, Millis(2000));
    EXPECT_TRUE(tracker.isStalled("h"));
    EXPECT_FALSE(tracker.hasAdvancedSince("h", Millis(500))) << "it is older";
    tracker.recordReport("h", {{OTHER, 1, 0, false, Millis(9000)}}, Millis(3000));
    EXPECT_FALSE(tracker.hasAdvancedSince("h", Millis(2000)));
    tracker.recordReport("h", {{OTHER, 1, 1, false, Millis(9000)}}, Millis(4000));
    EXPECT_TRUE(tracker.hasAdvancedSince("h", Millis(2000)));
}

TEST(ProgressTrackerTest, AHostOnWhichAnotherRunAdvancesIsNot) {
    ProgressTracker tracker;
    for (int i = 0; i < 4; ++i) {
        tracker.recordReport("h",
                             {{TASK, 1, 50, false, DECLARED}, {OTHER, 1, 10U * i, false, DECLARED}},
                             Millis(1000 * i));
    }
    EXPECT_FALSE(tracker.isStalled("h"));
}

TEST(ProgressTrackerTest, AGangThatWaitsForItsMembersIsNotStalled) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 0, true, DECLARED}, {OTHER, 1, 100, false, DECLARED}},
                         Millis(1000));
    tracker.recordReport("h", {{TASK, 1, 0, true, DECLARED}, {OTHER, 1, 100, false, DECLARED}},
                         Millis(4000));
    EXPECT_FALSE(tracker.isStalled("h"));
}

TEST(ProgressTrackerTest, AGangWhoseMembersAreAllThereIsStalledWhenNoneBegins) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 0, true, DECLARED}}, Millis(1000));
    tracker.recordReport("h", {{TASK, 1, 0, false, DECLARED}}, Millis(3000));
    EXPECT_FALSE(tracker.isStalled("h"));
    tracker.recordReport("h", {{TASK, 1, 0, false, DECLARED}}, Millis(4500));
    EXPECT_TRUE(tracker.isStalled("h"));
    EXPECT_EQ(tracker.getStalledTime("h", TASK), Millis(1500));
}

TEST(ProgressTrackerTest, ANewRunBeginsAnew) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 50, false, DECLARED}}, Millis(1000));
    tracker.recordReport("h", {{TASK, 2, 50, false, DECLARED}}, Millis(4000));
    EXPECT_FALSE(tracker.isStalled("h"));
    EXPECT_FALSE(tracker.getRate("h", TASK).has_value());
}

TEST(ProgressTrackerTest, ARunTellsOnceHowFastItAdvances) {
    ProgressTracker tracker;
    EXPECT_TRUE(tracker.recordReport("h", {{TASK, 1, 0, false, DECLARED}}, Millis(1000)).empty());
    EXPECT_TRUE(tracker.recordReport("h", {{TASK, 1, 10, false, DECLARED}}, Millis(2000)).empty());
    EXPECT_TRUE(tracker.recordReport("h", {{TASK, 1, 25, false, DECLARED}}, Millis(3000)).empty());
    const auto rates = tracker.recordReport("h", {{TASK, 1, 40, false, DECLARED}}, Millis(4000));
    ASSERT_EQ(rates.size(), 1U);
    EXPECT_DOUBLE_EQ(rates[0].m_rate, 15.0) << "from when it had begun";
    EXPECT_TRUE(tracker.recordReport("h", {{TASK, 1, 70, false, DECLARED}}, Millis(6000)).empty());
}

TEST(ProgressTrackerTest, AtItsEndARunTellsNothingSinceItMayHaveWaited) {
    ProgressTracker tracker;
    tracker.recordReport("h", {{TASK, 1, 60, false, DECLARED}}, Millis(1000));
    EXPECT_TRUE(tracker.recordReport("h", {{TASK, 1, 100, false, DECLARED}}, Millis(9000)).empty());
}

}  // namespace
}  // namespace pierbank
