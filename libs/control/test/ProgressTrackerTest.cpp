// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/ProgressTracker.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

const TaskKey TASK{"00000000000000a1", 0, 0, 0};
const TaskKey OTHER{"00000000000000a1", 0, 0, 1};

TEST(ProgressTrackerTest, ARunThatAdvancesTellsWhenItEnds) {
    ProgressTracker tracker;
    tracker.note("h", {{TASK, 1, 10, false}}, Millis(1000));
    EXPECT_FALSE(tracker.getRemaining("h", TASK, Millis(1000)).has_value());
    tracker.note("h", {{TASK, 1, 30, false}}, Millis(2000));
    EXPECT_EQ(tracker.getRemaining("h", TASK, Millis(2500)), Millis(3000));
    EXPECT_FALSE(tracker.isStalled("h"));
}

TEST(ProgressTrackerTest, AHostOnWhichNothingAdvancesIsStalled) {
    ProgressTracker tracker;
    tracker.note("h", {{TASK, 1, 50, false}}, Millis(1000));
    tracker.note("h", {{TASK, 1, 50, false}}, Millis(2300));
    EXPECT_FALSE(tracker.isStalled("h"));
    tracker.note("h", {{TASK, 1, 50, false}}, Millis(2500));
    EXPECT_TRUE(tracker.isStalled("h"));
    EXPECT_EQ(tracker.getStalledTime("h", TASK), Millis(1500));
}

TEST(ProgressTrackerTest, AHostOnWhichAnotherRunAdvancesIsNot) {
    ProgressTracker tracker;
    for (int i = 0; i < 4; ++i) {
        tracker.note("h", {{TASK, 1, 50, false}, {OTHER, 1, 10U * i, false}}, Millis(1000 * i));
    }
    EXPECT_FALSE(tracker.isStalled("h"));
}

TEST(ProgressTrackerTest, AGangThatWaitsForItsMembersIsNotStalled) {
    ProgressTracker tracker;
    tracker.note("h", {{TASK, 1, 0, true}, {OTHER, 1, 100, false}}, Millis(1000));
    tracker.note("h", {{TASK, 1, 0, true}, {OTHER, 1, 100, false}}, Millis(4000));
    EXPECT_FALSE(tracker.isStalled("h"));
}

TEST(ProgressTrackerTest, AGangWhoseMembersAreAllThereIsStalledWhenNoneBegins) {
    ProgressTracker tracker;
    tracker.note("h", {{TASK, 1, 0, true}}, Millis(1000));
    tracker.note("h", {{TASK, 1, 0, false}}, Millis(3000));
    EXPECT_FALSE(tracker.isStalled("h"));
    tracker.note("h", {{TASK, 1, 0, false}}, Millis(4500));
    EXPECT_TRUE(tracker.isStalled("h"));
    EXPECT_EQ(tracker.getStalledTime("h", TASK), Millis(1500));
}

TEST(ProgressTrackerTest, ANewRunBeginsAnew) {
    ProgressTracker tracker;
    tracker.note("h", {{TASK, 1, 50, false}}, Millis(1000));
    tracker.note("h", {{TASK, 2, 50, false}}, Millis(4000));
    EXPECT_FALSE(tracker.isStalled("h"));
    EXPECT_FALSE(tracker.getRate("h", TASK).has_value());
}

TEST(ProgressTrackerTest, ARunTellsOnceHowFastItAdvances) {
    ProgressTracker tracker;
    EXPECT_TRUE(tracker.note("h", {{TASK, 1, 0, false}}, Millis(1000)).empty());
    EXPECT_TRUE(tracker.note("h", {{TASK, 1, 10, false}}, Millis(2000)).empty());
    EXPECT_TRUE(tracker.note("h", {{TASK, 1, 25, false}}, Millis(3000)).empty());
    const auto rates = tracker.note("h", {{TASK, 1, 40, false}}, Millis(4000));
    ASSERT_EQ(rates.size(), 1U);
    EXPECT_DOUBLE_EQ(rates[0].m_rate, 15.0) << "from when it had begun";
    EXPECT_TRUE(tracker.note("h", {{TASK, 1, 70, false}}, Millis(6000)).empty());
}

TEST(ProgressTrackerTest, AtItsEndARunTellsNothingSinceItMayHaveWaited) {
    ProgressTracker tracker;
    tracker.note("h", {{TASK, 1, 60, false}}, Millis(1000));
    EXPECT_TRUE(tracker.note("h", {{TASK, 1, 100, false}}, Millis(9000)).empty());
}

}  // namespace
}  // namespace pierbank
