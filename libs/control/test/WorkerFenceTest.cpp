// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/WorkerFence.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

class WorkerFenceTest : public ::testing::Test {
protected:
    std::uint64_t link(std::uint64_t epoch, std::uint64_t number) {
        m_fence.handleLink(epoch, number);
        return m_fence.get();
    }

    WorkerFence m_fence;
};

TEST_F(WorkerFenceTest, RisesWithEachLeaderLinkAndProcess) {
    std::uint64_t last = m_fence.get();
    const auto expectRise = [&](std::uint64_t now) {
        EXPECT_GT(now, last);
        last = now;
    };
    expectRise(link(7, 1));
    m_fence.raise();
    expectRise(m_fence.get());
    expectRise(link(7, 2));
    expectRise(link(8, 1));
    m_fence.raise();
    expectRise(m_fence.get());
}

TEST_F(WorkerFenceTest, IsHigherForASidecarThatWasRestarted) {
    link(7, 1);
    for (int i = 0; i < 1000; ++i) {
        m_fence.raise();
    }
    WorkerFence restarted;
    restarted.handleLink(7, 2);
    EXPECT_GT(restarted.get(), m_fence.get());
}

TEST_F(WorkerFenceTest, StaysBelowTheNextLeadersWhateverItCounted) {
    const std::uint64_t late = link(7, 1'000'000);
    WorkerFence next;
    next.handleLink(8, 1);
    EXPECT_GT(next.get(), late);
}

TEST_F(WorkerFenceTest, StillRisesBeyondTheMaximumLinkCount) {
    const std::uint64_t one = link(7, 1'000'000);
    EXPECT_GT(link(7, 1'000'001), one);
}

TEST_F(WorkerFenceTest, IsExactInEveryNumberParser) {
    constexpr std::uint64_t MAX_EXACT = 1ULL << 53U;
    constexpr std::uint64_t HALF_A_BILLION = 500'000'000;
    EXPECT_LT(link(HALF_A_BILLION, 1'000'000), MAX_EXACT);
}

}  // namespace
}  // namespace pierbank
