// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/WorkerHealth.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace pierbank {
namespace {

class WorkerHealthTest : public ::testing::Test {
protected:
    void fail(const std::string& host, const std::string& job, Millis ran = Millis(50)) {
        m_health.recordRunEnd({host, job, RunEnd::FAILED, ran}, m_now);
    }
    void finish(const std::string& host, Millis ran = Millis(1000)) {
        m_health.recordRunEnd({host, "other", RunEnd::DONE, ran}, m_now);
    }
    bool isSuspect(const std::string& host) const { return m_health.isSuspect(host, m_now); }
    bool isAvoided(const std::string& host) const { return m_health.isAvoided(host, m_now); }

    WorkerHealthSettings m_settings;
    WorkerHealth m_health{m_settings};
    Millis m_now{100'000};
};

class StalledHostTest : public WorkerHealthTest {
protected:
    void SetUp() override { m_health.recordStalled("h", m_now); }
};

TEST_F(StalledHostTest, IsSuspect) {
    EXPECT_TRUE(isSuspect("h"));
    EXPECT_FALSE(isSuspect("another"));
    EXPECT_EQ(m_health.getStalledAt("h"), m_now);
}

TEST_F(StalledHostTest, IsNotAvoidedForSeveralStalledRuns) {
    m_now += Millis(10);
    m_health.recordStalled("h", m_now);
    m_health.recordStalled("h", m_now);
    EXPECT_FALSE(isAvoided("h"));
}

TEST_F(StalledHostTest, IsSuspectAgainAfterLaterStall) {
    m_now += 4 * m_settings.m_halfLife;
    EXPECT_FALSE(isSuspect("h"));
    m_health.recordStalled("h", m_now);
    EXPECT_TRUE(isSuspect("h"));
}

TEST_F(StalledHostTest, IsAvoidedAfterAdditionalFailure) {
    fail("h", "job-1");
    EXPECT_TRUE(isAvoided("h"));
}

TEST_F(StalledHostTest, IsNoLongerSuspectAfterProgress) {
    m_now += Millis(2000);
    m_health.recordAdvanced("h", m_now);
    EXPECT_FALSE(isSuspect("h"));
    EXPECT_FALSE(m_health.getStalledAt("h").has_value());
}

TEST_F(StalledHostTest, StaysSuspectForFailuresAfterProgress) {
    fail("h", "job-1");
    m_health.recordAdvanced("h", m_now);
    EXPECT_TRUE(isSuspect("h"));
}

class HostWithOneFailureTest : public WorkerHealthTest {
protected:
    void SetUp() override { fail("h", "job-1"); }
};

TEST_F(HostWithOneFailureTest, IsSuspectButNotAvoided) {
    EXPECT_TRUE(isSuspect("h"));
    EXPECT_FALSE(isAvoided("h"));
    EXPECT_FALSE(isSuspect("another"));
}

TEST_F(HostWithOneFailureTest, FailuresOfOneJobCountOnce) {
    fail("h", "job-1");
    fail("h", "job-1");
    EXPECT_FALSE(isAvoided("h"));
}

TEST_F(HostWithOneFailureTest, IsNoLongerSuspectAfterHalfLife) {
    m_now += m_settings.m_halfLife;
    EXPECT_FALSE(isSuspect("h"));
}

TEST_F(HostWithOneFailureTest, IsNoLongerSuspectAfterLaterRunSucceeded) {
    m_now += Millis(2000);
    finish("h", Millis(1900));
    EXPECT_FALSE(isSuspect("h"));
}

TEST_F(HostWithOneFailureTest, StaysSuspectAfterEarlierRunSucceeded) {
    m_now += Millis(2000);
    finish("h", Millis(2100));
    EXPECT_TRUE(isSuspect("h"));
}

class HostWithTwoFailuresTest : public HostWithOneFailureTest {
protected:
    void SetUp() override {
        HostWithOneFailureTest::SetUp();
        fail("h", "job-2");
    }
};

TEST_F(HostWithTwoFailuresTest, IsAvoidedThenSuspect) {
    EXPECT_TRUE(isAvoided("h"));
    m_now += m_settings.m_minAvoidTime;
    EXPECT_FALSE(isAvoided("h"));
    EXPECT_TRUE(isSuspect("h"));
}

TEST_F(HostWithTwoFailuresTest, IsAvoidedLongerAfterAnotherFailure) {
    m_now += m_settings.m_minAvoidTime;
    fail("h", "job-3");
    m_now += m_settings.m_minAvoidTime;
    EXPECT_TRUE(isAvoided("h"));
    m_now += m_settings.m_minAvoidTime;
    EXPECT_FALSE(isAvoided("h"));
}

TEST_F(WorkerHealthTest, TimesGrowWithRunTimes) {
    const Millis hour(3'600'000);
    for (int i = 0; i < 3; ++i) {
        finish("another", 2 * hour);
    }
    fail("h", "job-1", hour / 20);
    m_now += hour;
    fail("h", "job-2", hour / 20);
    EXPECT_TRUE(isAvoided("h"));
    m_now += hour / 2;
    EXPECT_TRUE(isAvoided("h"));
    m_now += hour;
    EXPECT_FALSE(isAvoided("h"));
    EXPECT_TRUE(isSuspect("h"));
}

TEST_F(WorkerHealthTest, SlowFailureCountsLess) {
    fail("h", "job-1", Millis(3000));
    EXPECT_FALSE(isSuspect("h"));
    fail("h", "job-2", Millis(3000));
    EXPECT_TRUE(isSuspect("h"));
    EXPECT_FALSE(isAvoided("h"));
}

TEST_F(WorkerHealthTest, JobThatFailsOnSeveralHostsDoesNotCount) {
    fail("a", "job-1", Millis(3000));
    fail("b", "job-1", Millis(3000));
    fail("b", "job-2", Millis(3000));
    EXPECT_FALSE(isSuspect("a"));
    EXPECT_FALSE(isSuspect("b"));
}

TEST_F(WorkerHealthTest, FailureOnSuspectHostDoesNotExcuseNextHost) {
    fail("a", "job-2");
    fail("a", "job-1");
    fail("b", "job-1");
    EXPECT_TRUE(isAvoided("a"));
    EXPECT_TRUE(isSuspect("b"));
}

/** Jobs of a few tasks are judged as before, whatever the switch says. */
RC_GTEST_PROP(WorkerHealthProperty, NarrowJobsAreRatedAlikeWithAndWithoutProbes, ()) {
    WorkerHealthSettings without;
    without.m_probesHosts = false;
    WorkerHealth before(without);
    WorkerHealth after{WorkerHealthSettings()};
    Millis now{100'000};
    const auto count = *rc::gen::inRange(1, 80);
    for (int i = 0; i < count; ++i) {
        now += Millis(*rc::gen::inRange(0, 2000));
        const std::string host = std::string(1, *rc::gen::inRange('a', 'e'));
        RunEvidence evidence{host, std::to_string(*rc::gen::inRange(0, 6)),
                             *rc::gen::element(RunEnd::DONE, RunEnd::FAILED),
                             Millis(*rc::gen::inRange(0, 3000)), "life"};
        before.recordRunEnd(evidence, now);
        after.recordRunEnd(evidence, now);
        RC_ASSERT(before.isAvoided(host, now) == after.isAvoided(host, now));
        RC_ASSERT(before.isSuspect(host, now) == after.isSuspect(host, now));
        RC_ASSERT(after.getMaxTasksPerJob({host, "life"}, now) == 0U);
    }
}

class HealthRecordTest : public ::testing::Test {
protected:
    HealthRecordTest() {
        for (const char* const job : {"job-1", "job-2"}) {
            m_health.recordRunEnd({"h", job, RunEnd::FAILED, Millis(50)}, m_now);
        }
    }
    WorkerHealth m_health{WorkerHealthSettings()};
    WorkerHealth m_next{WorkerHealthSettings()};
    Millis m_now{100'000};
};

TEST_F(HealthRecordTest, CarriesTheFailureScoreToTheNextLeader) {
    const HealthRecord record = m_health.getRecord("h", m_now);
    const Millis later{7'000};
    m_next.restore("h", record, later, later);
    EXPECT_TRUE(m_next.isAvoided("h", later));
    EXPECT_TRUE(m_next.isSuspect("h", later));
    EXPECT_EQ(m_next.getRecord("h", later), record);
}

TEST_F(HealthRecordTest, IsEmptyForAHostWithoutFailures) {
    EXPECT_EQ(m_health.getRecord("another", m_now), HealthRecord());
    EXPECT_FALSE(m_next.restore("another", HealthRecord(), m_now, m_now));
    EXPECT_FALSE(m_next.isSuspect("another", m_now));
}

}  // namespace
}  // namespace pierbank
