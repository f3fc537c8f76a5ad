// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/HostSpeeds.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <random>

namespace pierbank {
namespace {

/** Simulates steps of eight runs of similar work on hosts of three speeds. */
class HostSpeedsTest : public ::testing::Test {
protected:
    static constexpr int HOSTS = 24;

    static std::string getHost(int host) { return "h" + std::to_string(host); }

    static double getSpeed(int host) {
        constexpr std::array<double, 3> SPEEDS = {0.8, 1.0, 1.25};
        return SPEEDS.at(static_cast<std::size_t>(host % 3));
    }

    /** Records samples; runs of a step differ by 15 %, steps by a factor of up to five. */
    void recordSteps(int steps) {
        std::normal_distribution<double> noise(0.0, 0.15);
        std::uniform_int_distribution<int> pick(0, HOSTS - 1);
        for (int i = 0; i < steps; ++i) {
            const double work = 10.0 * (1 + i % 5);
            for (int run = 0; run < 8; ++run) {
                const int host = pick(m_engine);
                const double rate = work * getSpeed(host) * std::exp(noise(m_engine));
                m_speeds.recordSample({getHost(host), "job.0." + std::to_string(m_steps), rate},
                                      m_now);
            }
            ++m_steps;
            m_now += Millis(500);
        }
    }

    HostSpeeds m_speeds;
    std::mt19937 m_engine{7};
    Millis m_now{1000};
    int m_steps = 0;
};

TEST_F(HostSpeedsTest, UnknownHostIsAverage) {
    EXPECT_EQ(m_speeds.getSlowness("h0"), 1.0);
    m_speeds.recordSample({"h0", "job.0.0", 5.0}, m_now);
    EXPECT_EQ(m_speeds.getSlowness("h0"), 1.0) << "a single run has nothing to be compared with";
}

TEST_F(HostSpeedsTest, DistinguishesFastAndSlowHostsAfterSixRunsPerHost) {
    recordSteps(6 * HOSTS / 8);
    double fast = 0;
    double slow = 0;
    for (int host = 0; host < HOSTS; ++host) {
        fast += host % 3 == 2 ? m_speeds.getSlowness(getHost(host)) : 0;
        slow += host % 3 == 0 ? m_speeds.getSlowness(getHost(host)) : 0;
    }
    EXPECT_LT(fast / (HOSTS / 3), 0.9);
    EXPECT_GT(slow / (HOSTS / 3), 1.1);
}

TEST_F(HostSpeedsTest, DetectsHostThatBecomesSlow) {
    recordSteps(30);
    for (int i = 0; i < 20; ++i) {
        const std::string step = "late.0." + std::to_string(i);
        for (const char* host : {"h1", "h4", "h7"}) {
            m_speeds.recordSample({host, step, 10.0}, m_now);
        }
        m_speeds.recordSample({"h2", step, 5.0}, m_now);
    }
    EXPECT_GT(m_speeds.getSlowness("h2"), 1.4);
}

TEST_F(HostSpeedsTest, RestoredHostsAreAsFastAsRecorded) {
    recordSteps(30);
    HostSpeeds next;
    const Millis start(5);
    for (int host = 0; host < HOSTS; ++host) {
        EXPECT_TRUE(next.restore(getHost(host), m_speeds.getRecord(getHost(host)), start, start));
        EXPECT_NEAR(next.getSlowness(getHost(host)), m_speeds.getSlowness(getHost(host)), 1e-9);
        EXPECT_EQ(next.getEvidence(getHost(host)), m_speeds.getEvidence(getHost(host)));
    }
}

TEST_F(HostSpeedsTest, OwnSamplesAndNothingAreNotReplacedByARecord) {
    recordSteps(30);
    const double own = m_speeds.getSlowness("h2");
    EXPECT_FALSE(m_speeds.restore("h2", {-1.0, 10}, m_now, m_now));
    EXPECT_EQ(m_speeds.getSlowness("h2"), own);
    EXPECT_FALSE(m_speeds.restore("new", m_speeds.getRecord("unknown"), m_now, m_now));
    EXPECT_FALSE(m_speeds.restore("new", {-1.0, 10}, m_now - Millis(3'700'000), m_now));
    EXPECT_EQ(m_speeds.getSlowness("new"), 1.0);
}

TEST_F(HostSpeedsTest, RecordBeyondTheBoundsOfOwnSamplesIsLimitedToThem) {
    EXPECT_TRUE(m_speeds.restore("h0", {-50.0, 1e9}, m_now, m_now));
    EXPECT_LT(m_speeds.getSlowness("h0"), 4.1);
    EXPECT_LE(m_speeds.getEvidence("h0"), 20.1);
}

TEST_F(HostSpeedsTest, RemovesHostAfterAnHourWithoutSamples) {
    recordSteps(30);
    ASSERT_NE(m_speeds.getSlowness("h2"), 1.0);
    m_now += Millis(3'700'000);
    m_speeds.recordSample({"h1", "later.0.0", 5.0}, m_now);
    EXPECT_EQ(m_speeds.getSlowness("h2"), 1.0);
    EXPECT_EQ(m_speeds.getEvidence("h2"), 0.0);
}

}  // namespace
}  // namespace pierbank
