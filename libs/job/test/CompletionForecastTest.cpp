// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/CompletionForecast.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

/** Hosts of three speeds, in equal shares. */
const SpeedSpread THREE_SPEEDS = measureSpeeds({0.62, 0.62, 1.0, 1.0, 1.6, 1.6});

TEST(SpeedSpreadTest, TellsHostsOfThreeSpeedsFromHostsOfOneKind) {
    EXPECT_TRUE(THREE_SPEEDS.isUneven());
    EXPECT_FALSE(measureSpeeds({0.85, 0.9, 1.0, 1.1, 1.2}).isUneven());
}

TEST(SpeedSpreadTest, IsEvenForASingleOutlierAndForTooFewHosts) {
    std::vector<double> slowness(20, 1.0);
    slowness.back() = 4.0;
    EXPECT_FALSE(measureSpeeds(slowness).isUneven());
    EXPECT_FALSE(measureSpeeds({0.6, 1.6}).isUneven());
    EXPECT_FALSE(measureSpeeds({}).isUneven());
}

/** A gang that runs 2 s on a normal host, and may take half as long again. */
class UrgentGangTest : public ::testing::Test {
protected:
    static CompletionForecast forecast(Millis timeLeft) {
        return {{Millis(2000), Millis(2200)}, timeLeft, THREE_SPEEDS};
    }

    const CompletionForecast m_forecast = forecast(Millis(3000));
};

TEST_F(UrgentGangTest, EndsWithItsSlowestMember) {
    const CompletionRange end = m_forecast.getEnd({Millis(300), 1.6});
    EXPECT_EQ(end.m_expected, Millis(3500));
    EXPECT_EQ(end.m_high, Millis(3820));
}

TEST_F(UrgentGangTest, IsInTimeOnNormalHostsAndLateOnSlowOnes) {
    EXPECT_TRUE(m_forecast.isInTime({Millis(0), 1.0}));
    EXPECT_FALSE(m_forecast.isInTime({Millis(0), 1.6}));
    EXPECT_LT(m_forecast.getMaxSlowness(), 1.6);
    EXPECT_GE(m_forecast.getMaxSlowness(), 1.25);
}

TEST_F(UrgentGangTest, AvoidsNoHostWithAllTheTimeInTheWorld) {
    EXPECT_GT(forecast(Millis(60'000)).getMaxSlowness(), 10.0);
}

TEST_F(UrgentGangTest, WaitsForFasterHostsIfItIsLateOnThoseThatAreFree) {
    EXPECT_TRUE(m_forecast.isWorthWaiting({Millis(400), 1.0}, StartOption{Millis(0), 1.6}));
}

TEST_F(UrgentGangTest, DoesNotWaitIfItIsInTimeOnThoseThatAreFree) {
    EXPECT_FALSE(m_forecast.isWorthWaiting({Millis(400), 0.62}, StartOption{Millis(0), 1.4}));
}

TEST_F(UrgentGangTest, DoesNotWaitSoLongThatItIsLateAllTheSame) {
    EXPECT_FALSE(m_forecast.isWorthWaiting({Millis(1100), 1.0}, StartOption{Millis(0), 1.6}));
    EXPECT_FALSE(m_forecast.isWorthWaiting({Millis(1100), 1.0}, std::nullopt));
}

TEST_F(UrgentGangTest, DoesNotWaitForLessThanTheErrorOfTheSpeeds) {
    EXPECT_FALSE(m_forecast.isWorthWaiting({Millis(950), 1.0}, StartOption{Millis(0), 1.55}));
}

TEST_F(UrgentGangTest, IsLateInAnyCaseOnlyIfTheFastestHostsAreTooSlow) {
    EXPECT_FALSE(forecast(Millis(1500)).isLateInAnyCase());
    EXPECT_TRUE(forecast(Millis(1200)).isLateInAnyCase());
    EXPECT_TRUE(forecast(Millis(-500)).isLateInAnyCase());
}

TEST_F(UrgentGangTest, WaitsForEndsNoLongerThanItRunsWhenItIsLate) {
    EXPECT_EQ(m_forecast.getMaxLateWait(Millis(60'000)), Millis(2000));
}

TEST_F(UrgentGangTest, DoesNotWaitForEndsWhenItsResultWouldHaveNoValue) {
    EXPECT_LE(m_forecast.getMaxLateWait(Millis(1500)), Millis(0));
}

}  // namespace
}  // namespace pierbank
