// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/IncarnationRuns.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

const IncarnationRuns::RunKey LONG_RUN{{"a", 0, 0, 0}, 1};
const IncarnationRuns::RunKey RECENT_RUN{{"b", 0, 0, 0}, 4};

/**
 * A worker with a run that has lasted three seconds, and a run that started 10 ms before the crash.
 */
class ACrashedWorker : public ::testing::Test {
protected:
    void SetUp() override {
        m_incarnationRuns.recordSent(LONG_RUN, Millis(1000));
        m_incarnationRuns.recordStarted(LONG_RUN, Millis(1001));
        m_incarnationRuns.recordSent(RECENT_RUN, Millis(4000));
        m_incarnationRuns.recordStarted(RECENT_RUN, Millis(4001));
    }

    IncarnationRuns m_incarnationRuns;
};

TEST_F(ACrashedWorker, ReportsStartedRunsLatestFirst) {
    m_incarnationRuns.recordNoAnswer(Millis(4010));
    m_incarnationRuns.recordNoAnswer(Millis(4160));
    const auto runs = m_incarnationRuns.endIncarnation(Millis(7000));
    ASSERT_EQ(runs.size(), 2U);
    EXPECT_EQ(runs[0], (CrashedRunEntry{"b.0.0.0", 4, 10, true}));
    EXPECT_EQ(runs[1], (CrashedRunEntry{"a.0.0.0", 1, 3010, true}));
    EXPECT_TRUE(m_incarnationRuns.endIncarnation(Millis(8000)).empty())
            << "the next incarnation has run nothing";
}

TEST_F(ACrashedWorker, DoesNotReportRefusedOrLateStarts) {
    const IncarnationRuns::RunKey refused{{"c", 0, 0, 0}, 1};
    m_incarnationRuns.recordSent(refused, Millis(4002));
    m_incarnationRuns.recordAbsent(refused);
    m_incarnationRuns.recordNoAnswer(Millis(4010));
    m_incarnationRuns.recordSent({{"d", 0, 0, 0}, 1}, Millis(4500));
    EXPECT_EQ(m_incarnationRuns.endIncarnation(Millis(7000)).size(), 2U);
}

TEST_F(ACrashedWorker, ReportsUnansweredStartsAsUnconfirmed) {
    m_incarnationRuns.recordSent({{"c", 0, 0, 0}, 1}, Millis(4005));
    m_incarnationRuns.recordNoAnswer(Millis(4010));
    const auto runs = m_incarnationRuns.endIncarnation(Millis(7000));
    ASSERT_EQ(runs.size(), 3U);
    EXPECT_EQ(runs[0], (CrashedRunEntry{"c.0.0.0", 1, 5, false}));
}

TEST_F(ACrashedWorker, DoesNotReportFinishedRuns) {
    const ListedRun recentRun{RECENT_RUN.first, RECENT_RUN.second, "", 1, 0};
    const ListedEnd longRun{1, LONG_RUN.first, LONG_RUN.second, RunEnd::DONE, ""};
    m_incarnationRuns.recordPoll(std::span(&recentRun, 1), std::span(&longRun, 1), Millis(4005));
    EXPECT_EQ(m_incarnationRuns.endIncarnation(Millis(4010)).size(), 1U);
}

TEST_F(ACrashedWorker, DoesNotReportRunsMissingFromTwoPolls) {
    const ListedRun longRun{LONG_RUN.first, LONG_RUN.second, "", 1, 0};
    m_incarnationRuns.recordPoll(std::span(&longRun, 1), {}, Millis(4005));
    m_incarnationRuns.recordPoll(std::span(&longRun, 1), {}, Millis(5005));
    EXPECT_EQ(m_incarnationRuns.endIncarnation(Millis(5010)).size(), 1U);
}

TEST_F(ACrashedWorker, CountsAsRunningOnceItAnswersAgain) {
    m_incarnationRuns.recordNoAnswer(Millis(4010));
    m_incarnationRuns.recordPoll({}, {}, Millis(4100));
    m_incarnationRuns.recordSent({{"d", 0, 0, 0}, 1}, Millis(4500));
    EXPECT_EQ(m_incarnationRuns.endIncarnation(Millis(4600)).size(), 3U);
}

}  // namespace
}  // namespace pierbank
