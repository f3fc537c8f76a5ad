// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/UrgentDemand.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

class UrgentDemandTest : public ::testing::Test {
protected:
    void arrive(Millis at, std::uint32_t accelerators = 10, std::uint32_t priority = 0) {
        JobRecord record;
        record.m_policy.m_service = "s";
        record.m_policy.m_priority = priority;
        record.m_acceptedAt = at;
        StepSpec step;
        step.m_tasks = accelerators;
        step.m_need.m_accelerators = 1;
        step.m_estimate = Millis(2000);
        record.m_spec.m_steps = {step};
        m_demand.recordArrival(record);
    }

    UrgentDemand m_demand{UrgentDemandSettings()};
};

TEST_F(UrgentDemandTest, HeadroomIsZeroWithoutUrgentJobs) {
    arrive(Millis(1000), 10, 1);
    EXPECT_EQ(m_demand.getHeadroom("s", Millis(1000)), 0U);
}

TEST_F(UrgentDemandTest, HeadroomOfSteadyStreamIsRunningJobsAndOneMore) {
    Millis now(0);
    for (int i = 0; i < 200; ++i) {
        now += Millis(500);
        arrive(now);
    }
    // Two jobs per second, each with 10 accelerators for 2 s, use 40 accelerators at a time.
    EXPECT_NEAR(m_demand.getHeadroom("s", now), 50, 2);
    EXPECT_EQ(m_demand.getHeadroom("another", now), 0U);
}

TEST_F(UrgentDemandTest, HeadroomDecaysWithoutArrivals) {
    arrive(Millis(1000));
    arrive(Millis(2000));
    EXPECT_GT(m_demand.getHeadroom("s", Millis(2000)), 9U);
    EXPECT_EQ(m_demand.getHeadroom("s", Millis(22'000)), 0U);
}

TEST_F(UrgentDemandTest, LateReportedJobsCountAsOld) {
    arrive(Millis(100'000));
    arrive(Millis(1000), 8000);
    EXPECT_LT(m_demand.getHeadroom("s", Millis(100'000)), 30U);
}

/**
 * Guards against too little headroom after a change of the leader: the jobs that a new leader loads
 * are the unfinished ones, and urgent jobs end within seconds, but their arrivals count for longer.
 */
class UrgentDemandOfANewLeader : public UrgentDemandTest {
protected:
    UrgentDemandOfANewLeader() {
        for (int i = 0; i < 200; ++i) {
            m_now += Millis(500);
            arrive(m_now);
        }
        m_record = m_demand.getRecord("s", m_now);
        m_before = m_demand.getHeadroom("s", m_now);
        // The last four jobs of 2 s each are still unfinished.
        m_demand.clear();
        for (int i = 3; i >= 0; --i) {
            arrive(m_now - Millis(500) * i);
        }
    }

    Millis m_now{0};
    std::optional<ArrivalsRecord> m_record;
    std::uint32_t m_before = 0;
};

TEST_F(UrgentDemandOfANewLeader, FromUnfinishedJobsAloneIsLow) {
    EXPECT_LT(m_demand.getHeadroom("s", m_now), m_before / 2);
}

TEST_F(UrgentDemandOfANewLeader, IsTheFormerLeadersWhichCountsOnce) {
    ASSERT_TRUE(m_record.has_value());
    EXPECT_TRUE(m_demand.restore(*m_record, m_now));
    EXPECT_EQ(m_demand.getHeadroom("s", m_now), m_before);
    EXPECT_FALSE(m_demand.restore(*m_record, m_now)) << "the next host gives back the same";
    EXPECT_EQ(m_demand.getHeadroom("s", m_now), m_before);
}

TEST_F(UrgentDemandOfANewLeader, IsItsOwnIfTheRecordIsOld) {
    ASSERT_TRUE(m_record.has_value());
    const std::uint32_t own = m_demand.getHeadroom("s", m_now);
    EXPECT_FALSE(m_demand.restore(*m_record, m_now - Millis(60'000)));
    EXPECT_EQ(m_demand.getHeadroom("s", m_now), own);
}

}  // namespace
}  // namespace pierbank
