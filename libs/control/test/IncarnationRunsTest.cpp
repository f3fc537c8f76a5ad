// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/IncarnationRuns.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

const IncarnationRuns::RunKey OLD{{"a", 0, 0, 0}, 1};
const IncarnationRuns::RunKey YOUNG{{"b", 0, 0, 0}, 4};

/** A run that has gone on for three seconds, and one that began a hundredth before the crash. */
class ACrashedWorker : public ::testing::Test {
protected:
    void SetUp() override {
        m_account.recordSent(OLD, Millis(1000));
        m_account.recordStarted(OLD, Millis(1001));
        m_account.recordSent(YOUNG, Millis(4000));
        m_account.recordStarted(YOUNG, Millis(4001));
    }

    IncarnationRuns m_account;
};

TEST_F(ACrashedWorker, LeavesWhatHadBegunTheYoungestFirst) {
    m_account.recordNoAnswer(Millis(4010));
    m_account.recordNoAnswer(Millis(4160));
    const auto runs = m_account.endIncarnation(Millis(7000));
    ASSERT_EQ(runs.size(), 2U);
    EXPECT_EQ(runs[0], (CrashedRunEntry{"b.0.0.0", 4, 10, true}));
    EXPECT_EQ(runs[1], (CrashedRunEntry{"a.0.0.0", 1, 3010, true}));
    EXPECT_TRUE(m_account.endIncarnation(Millis(8000)).empty()) << "the next life has run nothing";
}

TEST_F(ACrashedWorker, LeavesNothingOfWhatWasRefusedOrCameTooLate) {
    const IncarnationRuns::RunKey refused{{"c", 0, 0, 0}, 1};
    m_account.recordSent(refused, Millis(4002));
    m_account.recordAbsent(refused);
    m_account.recordNoAnswer(Millis(4010));
    m_account.recordSent({{"d", 0, 0, 0}, 1}, Millis(4500));
    EXPECT_EQ(m_account.endIncarnation(Millis(7000)).size(), 2U);
}

TEST_F(ACrashedWorker, LeavesWhatWasStartedWithoutAnAnswerAsUnconfirmed) {
    m_account.recordSent({{"c", 0, 0, 0}, 1}, Millis(4005));
    m_account.recordNoAnswer(Millis(4010));
    const auto runs = m_account.endIncarnation(Millis(7000));
    ASSERT_EQ(runs.size(), 3U);
    EXPECT_EQ(runs[0], (CrashedRunEntry{"c.0.0.0", 1, 5, false}));
}

TEST_F(ACrashedWorker, LeavesNothingOfWhatHadEndedBefore) {
    const ListedRun young{YOUNG.first, YOUNG.second, "", 1, 0};
    const ListedEnd old{1, OLD.first, OLD.second, RunEnd::DONE, ""};
    m_account.recordPoll(std::span(&young, 1), std::span(&old, 1), Millis(4005));
    EXPECT_EQ(m_account.endIncarnation(Millis(4010)).size(), 1U);
}

TEST_F(ACrashedWorker, LeavesNothingOfWhatTwoLooksDidNotList) {
    const ListedRun old{OLD.first, OLD.second, "", 1, 0};
    m_account.recordPoll(std::span(&old, 1), {}, Millis(4005));
    m_account.recordPoll(std::span(&old, 1), {}, Millis(5005));
    EXPECT_EQ(m_account.endIncarnation(Millis(5010)).size(), 1U);
}

TEST_F(ACrashedWorker, IsNotOneThatAnswersAgain) {
    m_account.recordNoAnswer(Millis(4010));
    m_account.recordPoll({}, {}, Millis(4100));
    m_account.recordSent({{"d", 0, 0, 0}, 1}, Millis(4500));
    EXPECT_EQ(m_account.endIncarnation(Millis(4600)).size(), 3U);
}

}  // namespace
}  // namespace pierbank
