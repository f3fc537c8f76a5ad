// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/WorkerIncarnation.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

TEST(WorkerIncarnationTest, TextContainsIdAndStartTime) {
    EXPECT_EQ((WorkerIncarnation{"i-7f3a", 1700000000123}.toText()), "i-7f3a@1700000000123");
    EXPECT_EQ((WorkerIncarnation{"i-7f3a", 0}.toText()), "i-7f3a");
    EXPECT_NE((WorkerIncarnation{"i-7f3a", 1}), (WorkerIncarnation{"i-7f3a", 2}));
}

TEST(WorkerIncarnationTest, ParsesWorkerId) {
    EXPECT_EQ(parseWorkerId("i-7f3a@1700000000123"), "i-7f3a");
    EXPECT_EQ(parseWorkerId("i-7f3a"), "i-7f3a") << "format of earlier versions";
    EXPECT_EQ(parseWorkerId("a@b"), "a@b") << "no start time";
    EXPECT_EQ(parseWorkerId("a@"), "a@");
    EXPECT_EQ(parseWorkerId("a@b@17"), "a@b");
    EXPECT_EQ(parseWorkerId(""), "");
}

}  // namespace
}  // namespace pierbank
