// SPDX-License-Identifier: Apache-2.0
// Declared times that are wrong, which the leader corrects by what it has seen of the image.
#include <gtest/gtest.h>

#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr const char* OTHER_ID = "00000000000000b2";
/** Declared to run 2 s. */
constexpr const char* STEPS = R"({"count":4,"cpu":8000,"gpu":8,"est_ms":2000})";
constexpr Millis DECLARED{2000};

class FleetWithWrongDeclaredTimes : public JobFleetTest {
protected:
    /** Runs four tasks that take twice as long as declared. */
    void runTasks(const char* id) {
        m_fleet.submit(id, STEPS, "4000", "/batch/", getLeader());
        m_fleet.m_loop.advance(Millis(6000));
        ASSERT_EQ(m_fleet.getState(id, "/batch/", getLeader()), "succeeded");
    }

    Millis getExpected(std::size_t gateway) {
        const RunTimes& runTimes = m_fleet.m_gateways[gateway].m_core->getJobs().getRunTimes();
        const auto records = runTimes.exportRecords();
        return records.empty() ? DECLARED
                               : runTimes.getRunTime(records.front().m_queue,
                                                     records.front().m_image, DECLARED)
                                         .m_expected;
    }
};

}  // namespace

TEST_F(FleetWithWrongDeclaredTimes, TheLeaderLearnsTheRunTimes) {
    EXPECT_EQ(getExpected(getLeader()), DECLARED);
    runTasks(ID);
    EXPECT_GT(getExpected(getLeader()), DECLARED * 13 / 10);
    EXPECT_LT(getExpected(getLeader()), DECLARED * 5 / 2);
}

/** The former leader is killed: what it learned is gone with it, and is no promise to anybody. */
TEST_F(FleetWithWrongDeclaredTimes, ANewLeaderBeginsWithTheDeclaredTimesAndLearnsAgain) {
    runTasks(ID);
    const std::size_t former = getLeader();
    m_fleet.killGateway(former);
    ASSERT_TRUE(waitUntil(Millis(10'000), [&] {
        return m_fleet.findLeader().has_value() && getLeader() != former;
    }));
    EXPECT_EQ(getExpected(getLeader()), DECLARED);
    m_fleet.m_loop.advance(Millis(2000));
    runTasks(OTHER_ID);
    EXPECT_GT(getExpected(getLeader()), DECLARED * 13 / 10);
}

}  // namespace pierbank::testing
