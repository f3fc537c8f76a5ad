// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/WorkerLife.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

TEST(WorkerLifeTest, IsNamedByItsIdAndItsMomentOfStart) {
    EXPECT_EQ((WorkerLife{"i-7f3a", 1700000000123}.toText()), "i-7f3a@1700000000123");
    EXPECT_EQ((WorkerLife{"i-7f3a", 0}.toText()), "i-7f3a");
    EXPECT_NE((WorkerLife{"i-7f3a", 1}), (WorkerLife{"i-7f3a", 2}));
}

TEST(WorkerLifeTest, GivesItsIdBack) {
    EXPECT_EQ(getWorkerIdOf("i-7f3a@1700000000123"), "i-7f3a");
    EXPECT_EQ(getWorkerIdOf("i-7f3a"), "i-7f3a") << "as earlier versions wrote it";
    EXPECT_EQ(getWorkerIdOf("a@b"), "a@b") << "no moment";
    EXPECT_EQ(getWorkerIdOf("a@"), "a@");
    EXPECT_EQ(getWorkerIdOf("a@b@17"), "a@b");
    EXPECT_EQ(getWorkerIdOf(""), "");
}

}  // namespace
}  // namespace pierbank
