// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/CountedRuns.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace pierbank {
namespace {

TEST(CountedRunsTest, AddsEachRunOnceInAnyOrder) {
    CountedRuns runs;
    EXPECT_TRUE(runs.add(2));
    EXPECT_TRUE(runs.add(1));
    EXPECT_FALSE(runs.add(2));
    EXPECT_FALSE(runs.contains(3));
    EXPECT_EQ(runs.getHighest(), 2U);
}

TEST(CountedRunsTest, StoresConsecutiveRunsAsABound) {
    CountedRuns runs;
    constexpr std::uint32_t MANY = 1000;
    for (std::uint32_t run = MANY; run > 1; --run) {
        runs.add(run <= 2 ? run : MANY + 2 - run + 1);
    }
    runs.add(1);
    EXPECT_EQ(runs.m_bound, MANY);
    EXPECT_TRUE(runs.m_listed.empty());
}

TEST(CountedRunsTest, ListsABoundedNumberAndForgetsTheLowestGapsOnly) {
    CountedRuns runs;
    constexpr std::uint32_t COUNT = CountedRuns::MAX_LISTED + 3;
    for (std::uint32_t i = 1; i <= COUNT; ++i) {
        EXPECT_TRUE(runs.add(2 * i));
    }
    EXPECT_EQ(runs.m_listed.size(), CountedRuns::MAX_LISTED);
    EXPECT_FALSE(runs.add(1)) << "below the bound";
    EXPECT_TRUE(runs.add(2 * COUNT - 1)) << "above the bound";
}

TEST(CountedRunsTest, AddsAllRunsUpToANumber) {
    CountedRuns runs;
    runs.add(4);
    runs.add(7);
    runs.addAllUpTo(5);
    EXPECT_TRUE(runs.contains(1));
    EXPECT_EQ(runs.m_bound, 5U);
    EXPECT_EQ(runs.m_listed, std::vector<std::uint32_t>{7});
}

RC_GTEST_PROP(CountedRunsTest, EqualsASetOfTheSameRuns, ()) {
    CountedRuns runs;
    std::set<std::uint32_t> expected;
    constexpr std::uint32_t HIGHEST = CountedRuns::MAX_LISTED;
    const auto added = *rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::inRange<std::uint32_t>(1, HIGHEST));
    for (const std::uint32_t run : added) {
        RC_ASSERT(runs.add(run) == expected.insert(run).second);
    }
    for (std::uint32_t run = 1; run <= HIGHEST; ++run) {
        RC_ASSERT(runs.contains(run) == (expected.count(run) != 0));
    }
}

}  // namespace
}  // namespace pierbank
