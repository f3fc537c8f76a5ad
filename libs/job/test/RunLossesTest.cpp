// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/RunLosses.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

using Categories = std::vector<LossCategory>;

CrashedRun makeRun(const char* job, int ranMs, bool isConfirmed = true, bool wasSuspect = false) {
    return {{job, 0, 0, 0}, 1, Millis(ranMs), isConfirmed, wasSuspect};
}

TEST(ClassifyCrashTest, RunsOfOnlyOneJobAreSoleSuspects) {
    const std::vector<CrashedRun> runs = {makeRun("a", 10), makeRun("a", 4000)};
    EXPECT_EQ(classifyCrash(runs),
              (Categories{LossCategory::SOLE_SUSPECT, LossCategory::SOLE_SUSPECT}));
    EXPECT_TRUE(classifyCrash({}).empty());
}

TEST(ClassifyCrashTest, RunsStartedJustBeforeCrashAreSuspects) {
    const std::vector<CrashedRun> runs = {makeRun("a", 10), makeRun("b", 250), makeRun("c", 2500)};
    EXPECT_EQ(classifyCrash(runs),
              (Categories{LossCategory::SUSPECT, LossCategory::SUSPECT, LossCategory::BYSTANDER}));
}

TEST(ClassifyCrashTest, AllRunsAreSuspectsIfNoneStartedRecently) {
    const std::vector<CrashedRun> runs = {makeRun("a", 5000), makeRun("b", 9000)};
    EXPECT_EQ(classifyCrash(runs), (Categories{LossCategory::SUSPECT, LossCategory::SUSPECT}));
}

TEST(ClassifyCrashTest, UnconfirmedRunIsSuspectOnlyWithoutConfirmedRuns) {
    const std::vector<CrashedRun> some = {makeRun("a", 5, false), makeRun("b", 900)};
    EXPECT_EQ(classifyCrash(some), (Categories{LossCategory::BYSTANDER, LossCategory::SUSPECT}));
    const std::vector<CrashedRun> none = {makeRun("a", 5, false), makeRun("b", 900, false)};
    EXPECT_EQ(classifyCrash(none), (Categories{LossCategory::SUSPECT, LossCategory::SUSPECT}));
}

TEST(ClassifyCrashTest, EarlierSuspectsTakePrecedenceOverRecentRuns) {
    const std::vector<CrashedRun> runs = {makeRun("a", 10), makeRun("b", 50, true, true)};
    EXPECT_EQ(classifyCrash(runs), (Categories{LossCategory::BYSTANDER, LossCategory::SUSPECT}));
}

/** Records losses of the runs of one task, each on another worker: w1, w2, ... */
class RunLossesTest : public ::testing::Test {
protected:
    void lose(LossCategory category, int ranMs = 5000) {
        ++m_number;
        m_losses.record({makeWorker(m_number), m_number, category, Millis(ranMs)});
    }

    static WorkerId makeWorker(std::uint32_t number) {
        return {"h" + std::to_string(number), "w" + std::to_string(number)};
    }

    std::uint32_t m_number = 0;
    RunLosses m_losses;
};

/** Two such crashes may be a coincidence, because of which jobs without a fault were failed. */
TEST_F(RunLossesTest, ThreeCrashesAtStartWithSoleSuspectAreProof) {
    lose(LossCategory::SUSPECT, 10);
    lose(LossCategory::SOLE_SUSPECT, 12);
    EXPECT_FALSE(m_losses.provesTaskFault());
    lose(LossCategory::SUSPECT, 11);
    EXPECT_TRUE(m_losses.provesTaskFault());
}

TEST_F(RunLossesTest, LaterCrashVoidsProofByCrashesAtStart) {
    lose(LossCategory::SUSPECT, 81);
    lose(LossCategory::SOLE_SUSPECT, 2994);
    lose(LossCategory::SOLE_SUSPECT, 103);
    EXPECT_FALSE(m_losses.provesTaskFault());
    lose(LossCategory::SOLE_SUSPECT, 97);
    EXPECT_FALSE(m_losses.provesTaskFault());
}

TEST_F(RunLossesTest, CrashesAtStartWithoutSoleSuspectNeedFive) {
    for (int i = 0; i < 4; ++i) {
        lose(LossCategory::SUSPECT, 10);
        EXPECT_FALSE(m_losses.provesTaskFault()) << i;
    }
    lose(LossCategory::SUSPECT, 10);
    EXPECT_TRUE(m_losses.provesTaskFault()) << "a sixth start is not allowed";
}

TEST_F(RunLossesTest, FiveCrashesOfAnyCategoryAreProof) {
    lose(LossCategory::SOLE_SUSPECT);
    lose(LossCategory::BYSTANDER);
    lose(LossCategory::SUSPECT);
    lose(LossCategory::BYSTANDER);
    EXPECT_FALSE(m_losses.provesTaskFault());
    lose(LossCategory::SOLE_SUSPECT);
    EXPECT_TRUE(m_losses.provesTaskFault());
}

TEST_F(RunLossesTest, LostHostCountsHalf) {
    for (int i = 0; i < 9; ++i) {
        lose(LossCategory::HOST_LOST);
    }
    EXPECT_FALSE(m_losses.provesTaskFault());
    EXPECT_FALSE(m_losses.isSuspect());
    lose(LossCategory::HOST_LOST);
    EXPECT_TRUE(m_losses.provesTaskFault());
}

/** The task may also have caused the loss of a whole host, so beside observed crashes such a loss
 * counts as a crash. */
TEST_F(RunLossesTest, LostHostCountsFullBesideObservedCrashes) {
    lose(LossCategory::SUSPECT);
    lose(LossCategory::HOST_LOST);
    lose(LossCategory::SOLE_SUSPECT);
    lose(LossCategory::SUSPECT);
    EXPECT_FALSE(m_losses.provesTaskFault());
    lose(LossCategory::HOST_LOST);
    EXPECT_TRUE(m_losses.provesTaskFault());
}

/** The platform's contract counts the starts after the third crash, no matter whether the runs are
 * preempted, moved or lost. */
TEST_F(RunLossesTest, IsExhaustedTwoStartsAfterThirdCrash) {
    lose(LossCategory::SUSPECT);
    lose(LossCategory::SOLE_SUSPECT);
    EXPECT_FALSE(m_losses.isExhausted(9, false));
    lose(LossCategory::BYSTANDER);
    EXPECT_FALSE(m_losses.isExhausted(3, false));
    EXPECT_FALSE(m_losses.isExhausted(4, false));
    EXPECT_TRUE(m_losses.isExhausted(5, false));
    EXPECT_FALSE(m_losses.provesTaskFault()) << "the active run may still refute the suspicion";
}

/** A start order that reached the host after its worker had crashed did not start the run. */
TEST_F(RunLossesTest, RunsThatNeverStartedDoNotExhaust) {
    lose(LossCategory::SUSPECT);
    m_losses.recordNeverStarted(2);
    m_number = 2;
    lose(LossCategory::SOLE_SUSPECT);
    lose(LossCategory::BYSTANDER);
    m_losses.recordNeverStarted(5);
    m_losses.recordNeverStarted(5);
    EXPECT_FALSE(m_losses.isExhausted(5, false));
    EXPECT_FALSE(m_losses.isExhausted(6, false));
    EXPECT_TRUE(m_losses.isExhausted(7, false));
    m_losses.recordNeverStarted(7);
    EXPECT_FALSE(m_losses.isExhausted(7, false));
}

TEST_F(RunLossesTest, IgnoresRunsThatNeverStartedBeforeFirstLoss) {
    m_losses.recordNeverStarted(1);
    EXPECT_TRUE(m_losses.m_neverStarted.empty());
}

TEST_F(RunLossesTest, UnresolvedLossesDelayStartsOnly) {
    for (int i = 0; i < 3; ++i) {
        lose(LossCategory::UNRESOLVED);
    }
    EXPECT_TRUE(m_losses.isExhausted(5, true));
    EXPECT_FALSE(m_losses.isExhausted(5, false));
    EXPECT_FALSE(m_losses.mustAwaitResolution(5)) << "three unreachable hosts";
    lose(LossCategory::BYSTANDER);
    EXPECT_TRUE(m_losses.mustAwaitResolution(5));
    EXPECT_FALSE(m_losses.mustAwaitResolution(4));
}

TEST_F(RunLossesTest, FiveUnresolvedLossesMustBeResolvedBeforeNextStart) {
    for (int i = 0; i < 5; ++i) {
        EXPECT_FALSE(m_losses.mustAwaitResolution(m_number)) << i;
        lose(LossCategory::UNRESOLVED);
    }
    EXPECT_TRUE(m_losses.mustAwaitResolution(m_number));
    EXPECT_FALSE(m_losses.provesTaskFault());
    EXPECT_TRUE(m_losses.discardUnresolved(makeWorker(3)));
    EXPECT_FALSE(m_losses.mustAwaitResolution(m_number));
}

TEST_F(RunLossesTest, RepeatedReportOfCrashCountsOnce) {
    lose(LossCategory::UNRESOLVED, 4600);
    const RunLoss crash{makeWorker(1), 1, LossCategory::SOLE_SUSPECT, Millis(10)};
    EXPECT_TRUE(m_losses.record(crash));
    EXPECT_FALSE(m_losses.record(crash));
    EXPECT_FALSE(m_losses.record({makeWorker(1), 1, LossCategory::UNRESOLVED, Millis(4600)}));
    EXPECT_FALSE(m_losses.discardUnresolved(makeWorker(1)));
    ASSERT_EQ(m_losses.list().size(), 1U);
    EXPECT_EQ(m_losses.list().front(), crash);
}

TEST_F(RunLossesTest, SuspectIsRiskUntilRunTimeExceedsCrashes) {
    lose(LossCategory::SUSPECT, 1500);
    EXPECT_TRUE(m_losses.mayCrashWorker(Millis(3900)));
    EXPECT_FALSE(m_losses.mayCrashWorker(Millis(4100)));
    EXPECT_FALSE(m_losses.isRefutedByRunTime(Millis(60'000)));
    EXPECT_TRUE(m_losses.isRefutedByRunTime(Millis(67'000)));
}

TEST_F(RunLossesTest, TwoCrashesAsBystanderMakeSuspect) {
    lose(LossCategory::BYSTANDER);
    EXPECT_FALSE(m_losses.isSuspect());
    lose(LossCategory::BYSTANDER);
    EXPECT_TRUE(m_losses.isSuspect());
}

}  // namespace
}  // namespace pierbank
