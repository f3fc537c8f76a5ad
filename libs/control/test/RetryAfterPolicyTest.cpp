// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/RetryAfterPolicy.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace pierbank {
namespace {

class RetryAfterPolicyTest : public ::testing::Test {
protected:
    Millis advise(Millis now, bool isUrgent = true, const std::string& id = "a") const {
        return m_advice.advise({id, isUrgent, Millis(0)}, now);
    }

    RetryAfterPolicySettings m_settings;
    RetryAfterPolicy m_advice{m_settings};
};

TEST_F(RetryAfterPolicyTest, IsTheLeastTimeWhenTheStoreIsThere) {
    EXPECT_EQ(advise(Millis(5000)), m_settings.m_least);
}

class TheFirstOutage : public RetryAfterPolicyTest {
protected:
    void SetUp() override { m_advice.recordLost(Millis(10'000)); }
};

TEST_F(TheFirstOutage, IsTakenToLastHalfItsAgeMore) {
    EXPECT_EQ(advise(Millis(10'000)), m_settings.m_least);
    EXPECT_EQ(advise(Millis(18'000)), Millis(4000));
    EXPECT_EQ(advise(Millis(600'000)), m_settings.m_most);
}

TEST_F(TheFirstOutage, IsNotWaitedForBeyondTheCallersOwnTime) {
    EXPECT_EQ(m_advice.advise({"a", true, Millis(3000)}, Millis(18'000)), Millis(1500));
    EXPECT_EQ(m_advice.advise({"a", true, Millis(500)}, Millis(18'000)), m_settings.m_least);
}

TEST_F(TheFirstOutage, SendsUrgentCallersBackFirstAndSpreadsTheOthers) {
    const Millis urgent = advise(Millis(18'000));
    std::set<Millis> times;
    for (int i = 0; i < 20; ++i) {
        const Millis other = advise(Millis(18'000), false, "job-" + std::to_string(i));
        EXPECT_GE(other, urgent);
        EXPECT_LE(other, urgent + urgent / 2);
        times.insert(other);
    }
    EXPECT_GE(times.size(), 15U);
}

class ALaterOutage : public TheFirstOutage {
protected:
    void SetUp() override {
        TheFirstOutage::SetUp();
        m_advice.recordRegained(Millis(14'000));
        m_advice.recordLost(Millis(50'000));
    }
};

TEST_F(ALaterOutage, IsTakenToLastAsLongAsEarlierOnes) {
    EXPECT_EQ(advise(Millis(50'500)), Millis(3500));
    EXPECT_EQ(advise(Millis(53'900)), m_settings.m_least);
}

TEST_F(ALaterOutage, IsTakenToGoOnWhenItLastsLonger) {
    EXPECT_EQ(advise(Millis(62'000)), Millis(6000));
}

}  // namespace
}  // namespace pierbank
