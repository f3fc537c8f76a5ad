// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/RunTimes.h"

#include <gtest/gtest.h>

#include <limits>

#include "pierbank/control/LearnedState.h"

namespace pierbank {
namespace {

constexpr Millis DECLARED{2000};

/** A leader that sees runs end. */
class LeaderTest : public ::testing::Test {
protected:
    void runTasks(int count, Millis runTime, double slowness = 1.0, std::string_view image = "i") {
        for (int i = 0; i < count; ++i) {
            const double rate = 100'000.0 / static_cast<double>(runTime.count());
            m_runTimes.recordSample({"q", image, rate, slowness, DECLARED}, m_now);
            m_now += Millis(1000);
        }
    }

    RunTimeEstimate getRunTime() const { return m_runTimes.getRunTime("q", "i", DECLARED); }

    RunTimes m_runTimes;
    Millis m_now{0};
};

TEST_F(LeaderTest, TrustsTheDeclaredTimeBeforeAnyRun) {
    EXPECT_EQ(getRunTime().m_expected, DECLARED);
    EXPECT_NEAR(static_cast<double>(getRunTime().m_high.count()), 3000, 60);
}

TEST_F(LeaderTest, IgnoresSamplesThatSayNothing) {
    m_runTimes.recordSample({"q", "i", 0.0, 1.0, DECLARED}, m_now);
    m_runTimes.recordSample({"q", "i", 10.0, 1.0, Millis(0)}, m_now);
    EXPECT_TRUE(m_runTimes.exportRecords().empty());
}

// A declared time that is wrong by half made urgent work that could not be in time preempt others,
// and other work that could be in time count as late.
class AfterTasksThatRunHalfAsLongAgainTest : public LeaderTest {
protected:
    AfterTasksThatRunHalfAsLongAgainTest() { runTasks(12, DECLARED * 3 / 2); }
};

TEST_F(AfterTasksThatRunHalfAsLongAgainTest, ExpectsTheObservedTime) {
    EXPECT_NEAR(static_cast<double>(getRunTime().m_expected.count()), 3000, 250);
}

TEST_F(AfterTasksThatRunHalfAsLongAgainTest, IsSurerThanBefore) {
    const RunTimeEstimate known = getRunTime();
    const RunTimeEstimate unknown = m_runTimes.getRunTime("q", "other", DECLARED);
    const auto getRange = [](const RunTimeEstimate& estimate) {
        return static_cast<double>(estimate.m_high.count()) /
               static_cast<double>(estimate.m_expected.count());
    };
    EXPECT_GE(getRange(known), 1.0);
    EXPECT_LT(getRange(known), getRange(unknown));
}

TEST_F(AfterTasksThatRunHalfAsLongAgainTest, KeepsOtherImagesAndQueuesApart) {
    EXPECT_EQ(m_runTimes.getRunTime("q", "other", DECLARED).m_expected, DECLARED);
    EXPECT_EQ(m_runTimes.getRunTime("other", "i", DECLARED).m_expected, DECLARED);
}

TEST_F(AfterTasksThatRunHalfAsLongAgainTest, FollowsAChangeOfTheImage) {
    runTasks(40, DECLARED);
    EXPECT_NEAR(static_cast<double>(getRunTime().m_expected.count()), 2000, 200);
}

TEST_F(AfterTasksThatRunHalfAsLongAgainTest, BelievesNoSingleRunThatHung) {
    runTasks(1, DECLARED * 1000);
    EXPECT_LT(getRunTime().m_expected, Millis(3600));
}

TEST_F(LeaderTest, TakesTheSpeedOfTheHostOut) {
    runTasks(12, DECLARED * 2, 2.0);
    EXPECT_NEAR(static_cast<double>(getRunTime().m_expected.count()), 2000, 20);
}

TEST_F(LeaderTest, KeepsABoundedNumberOfImages) {
    for (std::size_t i = 0; i < RunTimes::MAX_IMAGES + 20; ++i) {
        runTasks(1, DECLARED, 1.0, "image" + std::to_string(i));
    }
    EXPECT_EQ(m_runTimes.exportRecords().size(), RunTimes::MAX_IMAGES);
}

TEST_F(LeaderTest, ForgetsImagesThatNobodyRuns) {
    runTasks(1, DECLARED, 1.0, "old");
    m_now += Millis(2 * 3'600'000);
    runTasks(1, DECLARED, 1.0, "new");
    ASSERT_EQ(m_runTimes.exportRecords().size(), 1U);
    EXPECT_EQ(m_runTimes.exportRecords().front().m_image, "new");
}

// A former leader that leads again would act on what it learned in an earlier term.
TEST_F(LeaderTest, KeepsNoRunTimesBeyondItsTerm) {
    LearnedState learned{LearnedStateSettings()};
    learned.runTimes().recordSample({"q", "i", 10.0, 1.0, DECLARED}, m_now);
    ASSERT_EQ(learned.runTimes().exportRecords().size(), 1U);
    learned.clear();
    EXPECT_TRUE(learned.runTimes().exportRecords().empty());
}

// The leader changes several times a day; without its records the next one would begin with the
// declared times again.
class SuccessorTest : public AfterTasksThatRunHalfAsLongAgainTest {
protected:
    SuccessorTest() { takeOver(); }

    void takeOver() {
        for (const RunTimeRecord& record : m_runTimes.exportRecords()) {
            m_successor.restore(record, m_now);
        }
    }

    RunTimes m_successor;
};

TEST_F(SuccessorTest, ExpectsWhatItsPredecessorExpected) {
    EXPECT_EQ(m_successor.getRunTime("q", "i", DECLARED).m_expected, getRunTime().m_expected);
    EXPECT_EQ(m_successor.exportRecords(), m_runTimes.exportRecords());
}

TEST_F(SuccessorTest, CountsARecordThatArrivesTwiceOnce) {
    const auto once = m_successor.exportRecords();
    takeOver();
    EXPECT_EQ(m_successor.exportRecords(), once);
}

TEST_F(SuccessorTest, KeepsWhatItKnowsBetter) {
    m_successor.restore({"q", "i", -1.0, 1.0}, m_now);
    EXPECT_EQ(m_successor.exportRecords(), m_runTimes.exportRecords());
}

TEST_F(SuccessorTest, RejectsDamagedRecords) {
    const double notANumber = std::numeric_limits<double>::quiet_NaN();
    m_successor.restore({"q", "damaged", notANumber, 5.0}, m_now);
    m_successor.restore({"q", "damaged", 0.1, notANumber}, m_now);
    m_successor.restore({"q", "damaged", 5.0, 5.0}, m_now);
    m_successor.restore({"q", "damaged", 0.1, 1e9}, m_now);
    m_successor.restore({"q", "damaged", 0.1, 0.0}, m_now);
    EXPECT_EQ(m_successor.exportRecords().size(), 1U);
}

}  // namespace
}  // namespace pierbank
