// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/UnreadableInputs.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

/** A faulty writer must not flood the log: of 1000 entries, seventeen are logged. */
TEST(UnreadableInputsTest, CountsAllEntriesAndLogsSome) {
    const std::uint64_t before = countUnreadable();
    ::testing::internal::CaptureStdout();
    for (int i = 0; i < 1000; ++i) {
        reportUnreadable("test", "unreadable", {{"key", std::to_string(i)}});
    }
    const std::string log = ::testing::internal::GetCapturedStdout();
    EXPECT_EQ(countUnreadable() - before, 1000U);
    EXPECT_NE(log.find("entry=\"key=9\""), std::string::npos) << log;
    EXPECT_EQ(log.find("entry=\"key=10\""), std::string::npos);
    EXPECT_NE(log.find("count=512"), std::string::npos);
}

}  // namespace
}  // namespace pierbank
