// SPDX-License-Identifier: Apache-2.0
// Cold workers: workers that are slow for a while after their start or after an evacuation.
#include <gtest/gtest.h>

#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr const char* OTHER_ID = "00000000000000b2";
constexpr const char* WHOLE = R"({"count":1,"cpu":8000,"gpu":8,"est_ms":1000})";

/** Four workers, of which the first three are cold for 20 s. */
class FleetWithColdWorkers : public JobFleetTest {
protected:
    void SetUp() override {
        JobFleetTest::SetUp();
        reportColdTime(Millis(20'000));
    }

    void reportColdTime(Millis left) {
        for (std::size_t i = 0; i < 3; ++i) {
            getSidecar(i).m_warmUpRemaining = left;
            m_fleet.heartbeat(i);
            // Each later heartbeat would report the same remaining time and restart the 20 s.
            getSidecar(i).m_isHeartbeatSuppressed = true;
        }
        m_fleet.m_loop.advance(Millis(100));
    }
};

}  // namespace

TEST_F(FleetWithColdWorkers, PlacesUrgentWorkOnTheWarmWorker) {
    m_fleet.submit(ID, WHOLE, "10000", "/urgent/");
    m_fleet.m_loop.advance(Millis(300));
    EXPECT_EQ(findWorker(taskOf(ID)), 3U);
}

TEST_F(FleetWithColdWorkers, KeepsTheWarmWorkerFreeForUrgentWork) {
    m_fleet.submit(ID, WHOLE, "10000");
    m_fleet.m_loop.advance(Millis(300));
    EXPECT_NE(findWorker(taskOf(ID)), 3U);
    m_fleet.submit(OTHER_ID, WHOLE, "10000", "/urgent/");
    m_fleet.m_loop.advance(Millis(300));
    EXPECT_EQ(findWorker(taskOf(OTHER_ID)), 3U);
}

TEST_F(FleetWithColdWorkers, UsesAColdWorkerIfNoOtherIsFree) {
    m_fleet.submit(ID, WHOLE, "10000", "/urgent/");
    m_fleet.submit(OTHER_ID, WHOLE, "10000", "/urgent/");
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_TRUE(findWorker(taskOf(ID)).has_value());
    EXPECT_TRUE(findWorker(taskOf(OTHER_ID)).has_value());
}

/** Runs on a cold worker must not count in the estimate of its speed, which lasts much longer. */
TEST_F(FleetWithColdWorkers, RatesWarmedUpWorkersAsFast) {
    for (std::size_t i = 0; i < 3; ++i) {
        getSidecar(i).m_worker->m_slowness = 4;
    }
    m_fleet.submit(ID, R"({"count":4,"cpu":8000,"gpu":8,"est_ms":4000})", "4000");
    m_fleet.m_loop.advance(Millis(24'000));
    ASSERT_EQ(m_fleet.getState(ID), "succeeded");
    for (std::size_t i = 0; i < 3; ++i) {
        getSidecar(i).m_worker->m_slowness = 1;
    }
    const StatementAnswer slow =
            m_fleet.executeStatement(getLeader(), "show workers where slowness > 1.05");
    EXPECT_EQ(slow.m_table->m_rows.size(), 0U);
}

}  // namespace pierbank::testing
