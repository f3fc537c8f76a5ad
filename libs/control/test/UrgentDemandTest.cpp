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

}  // namespace
}  // namespace pierbank
