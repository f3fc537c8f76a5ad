// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include "pierbank/base/SettingsFile.h"

namespace pierbank {
namespace {

TEST(DurationTest, ParsesANumberWithItsUnit) {
    EXPECT_EQ(parseDuration("250ms"), Millis(250));
    EXPECT_EQ(parseDuration("4s"), Millis(4000));
    EXPECT_EQ(parseDuration("10min"), Millis(600'000));
    EXPECT_EQ(parseDuration("2h"), Millis(7'200'000));
}

TEST(DurationTest, RejectsOtherText) {
    for (const char* text : {"", "5", "s", "-1s", "1.5h", "2 h", "1week", "99999999999999h"}) {
        EXPECT_FALSE(parseDuration(text).has_value()) << text;
    }
}

TEST(DurationTest, FormatsParsedDurations) {
    for (const char* text : {"250ms", "4s", "10min", "2h", "3d"}) {
        EXPECT_EQ(formatDuration(*parseDuration(text)), text);
    }
}

}  // namespace
}  // namespace pierbank
