// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/EarlyCancelLimiter.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

constexpr Millis START{1'000'000};

/** A gateway on which one organisation sends requests without a pause. */
class EarlyCancelLimiterUnderAFlood : public ::testing::Test {
protected:
    /** Requests each millisecond. @return how many of them may be written. */
    std::int64_t countGranted(const std::string& organisation, Millis time) {
        std::int64_t granted = 0;
        const Millis end = m_now + time;
        for (; m_now < end; m_now += Millis(1)) {
            granted += m_limiter.acquire(organisation, m_now).has_value() ? 0 : 1;
        }
        return granted;
    }

    const EarlyCancelLimiterSettings m_settings;
    EarlyCancelLimiter m_limiter{m_settings};
    Millis m_now = START;
};

TEST_F(EarlyCancelLimiterUnderAFlood, GrantsTheBurstAndThenOneEachInterval) {
    const RateLimit& limit = m_settings.m_perOrganisation;
    EXPECT_EQ(countGranted("a", limit.m_interval), limit.m_burst);
    EXPECT_EQ(countGranted("a", limit.m_interval * 10), 10);
}

TEST_F(EarlyCancelLimiterUnderAFlood, TellsWhenTheNextOneIsGranted) {
    countGranted("a", Millis(100));
    const auto wait = m_limiter.acquire("a", m_now);
    ASSERT_TRUE(wait.has_value());
    EXPECT_GT(*wait, Millis(0));
    EXPECT_TRUE(m_limiter.acquire("a", m_now + *wait - Millis(1)).has_value());
    EXPECT_FALSE(m_limiter.acquire("a", m_now + *wait).has_value());
}

TEST_F(EarlyCancelLimiterUnderAFlood, GrantsThoseOfAnotherOrganisation) {
    countGranted("a", Millis(10'000));
    EXPECT_EQ(countGranted("b", Millis(10)), 10);
}

TEST_F(EarlyCancelLimiterUnderAFlood, GrantsTheBurstAgainAfterAPause) {
    const RateLimit& limit = m_settings.m_perOrganisation;
    countGranted("a", Millis(10'000));
    m_now += limit.m_interval * limit.m_burst;
    EXPECT_EQ(countGranted("a", limit.m_interval), limit.m_burst);
}

TEST_F(EarlyCancelLimiterUnderAFlood, GrantsNoMoreInAllThoughManyOrganisationsTakePart) {
    constexpr int ORGANISATIONS = 40;
    const RateLimit& limit = m_settings.m_inAll;
    std::int64_t granted = 0;
    const Millis end = m_now + limit.m_interval * 20;
    for (; m_now < end; m_now += Millis(1)) {
        for (int i = 0; i < ORGANISATIONS; ++i) {
            granted += m_limiter.acquire("organisation-" + std::to_string(i), m_now).has_value()
                               ? 0
                               : 1;
        }
    }
    EXPECT_LE(granted, limit.m_burst + 20);
    EXPECT_GE(granted, limit.m_burst + 19);
}

}  // namespace
}  // namespace pierbank
