// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/RetryAfterPolicy.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace pierbank {
namespace {

class RetryAfterPolicyTest : public ::testing::Test {
protected:
    Millis getRetryDelay(Millis now, bool isUrgent = true, const std::string& id = "a") const {
        return m_policy.getRetryDelay({id, isUrgent, Millis(0)}, now);
    }

    RetryAfterPolicySettings m_settings;
    RetryAfterPolicy m_policy{m_settings};
};

TEST_F(RetryAfterPolicyTest, ReturnsTheMinimumWhileTheStoreIsReachable) {
    EXPECT_EQ(getRetryDelay(Millis(5000)), m_settings.m_minDelay);
}

class RetryAfterPolicyFirstOutageTest : public RetryAfterPolicyTest {
protected:
    void SetUp() override { m_policy.recordLost(Millis(10'000)); }
};

TEST_F(RetryAfterPolicyFirstOutageTest, IsExpectedToLastForAnotherHalfOfItsAge) {
    EXPECT_EQ(getRetryDelay(Millis(10'000)), m_settings.m_minDelay);
    EXPECT_EQ(getRetryDelay(Millis(18'000)), Millis(4000));
    EXPECT_EQ(getRetryDelay(Millis(600'000)), m_settings.m_maxDelay);
}

TEST_F(RetryAfterPolicyFirstOutageTest, LimitsTheDelayToHalfOfTheCallersTimeLeft) {
    EXPECT_EQ(m_policy.getRetryDelay({"a", true, Millis(3000)}, Millis(18'000)), Millis(1500));
    EXPECT_EQ(m_policy.getRetryDelay({"a", true, Millis(500)}, Millis(18'000)),
              m_settings.m_minDelay);
}

TEST_F(RetryAfterPolicyFirstOutageTest, LetsUrgentCallersRetryFirstAndSpreadsTheOthers) {
    const Millis urgent = getRetryDelay(Millis(18'000));
    std::set<Millis> times;
    for (int i = 0; i < 20; ++i) {
        const Millis other = getRetryDelay(Millis(18'000), false, "job-" + std::to_string(i));
        EXPECT_GE(other, urgent);
        EXPECT_LE(other, urgent + urgent / 2);
        times.insert(other);
    }
    EXPECT_GE(times.size(), 15U);
}

class RetryAfterPolicyLaterOutageTest : public RetryAfterPolicyFirstOutageTest {
protected:
    void SetUp() override {
        RetryAfterPolicyFirstOutageTest::SetUp();
        m_policy.recordRegained(Millis(14'000));
        m_policy.recordLost(Millis(50'000));
    }
};

TEST_F(RetryAfterPolicyLaterOutageTest, IsExpectedToLastAsLongAsEarlierOnes) {
    EXPECT_EQ(getRetryDelay(Millis(50'500)), Millis(3500));
    EXPECT_EQ(getRetryDelay(Millis(53'900)), m_settings.m_minDelay);
}

TEST_F(RetryAfterPolicyLaterOutageTest, IsExpectedToContinueWhenItLastsLonger) {
    EXPECT_EQ(getRetryDelay(Millis(62'000)), Millis(6000));
}

}  // namespace
}  // namespace pierbank
