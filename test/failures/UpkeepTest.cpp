// SPDX-License-Identifier: Apache-2.0
// Upkeep waves: machines are taken down within a limit, whoever leads and whatever gets no answer.
#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";

class UpkeepTest : public JobFleetTest {
protected:
    void SetUp() override {
        JobFleetTest::SetUp();
        for (std::size_t i = 0; i < 4; ++i) {
            const std::string name = "m" + std::to_string(i);
            m_fleet.m_machineFleet.m_machines[name] = {name, MachineState::UP,
                                                       getSidecar(i).m_worker->getId()};
        }
        m_fleet.m_machineFleet.m_onUpkeepStart = [this](const std::string& name) {
            const std::size_t index = static_cast<std::size_t>(name[1] - '0');
            getSidecar(index).m_worker->restart();
            m_fleet.m_machineFleet.m_machines[name].m_workerId =
                    getSidecar(index).m_worker->getId();
        };
    }

    void requestUpkeep() {
        m_fleet.m_storeState.put("op/wave/7",
                                 R"({"wave":7,"machines":["m0","m1","m2","m3"],"duration_s":30,)"
                                 R"("cap":1})");
    }

    std::string getStatus() {
        const StoreItem* const item = m_fleet.m_storeState.find("status/wave/7");
        return item == nullptr ? "" : item->m_value;
    }

    bool waitForEnd(Millis limit = Millis(40'000)) {
        return waitUntil(limit, [&] { return getStatus() == R"({"state":"succeeded"})"; });
    }
};

}  // namespace

TEST_F(UpkeepTest, EachMachineHasUpkeepOnceWithinTheLimit) {
    requestUpkeep();
    ASSERT_TRUE(waitForEnd());
    EXPECT_EQ(m_fleet.m_machineFleet.m_maxConcurrentUpkeeps, 1U);
    EXPECT_EQ(m_fleet.m_machineFleet.m_upkeeps.size(), 4U);
}

TEST_F(UpkeepTest, TasksMoveBeforeTheirMachineGoesDown) {
    const std::string saving =
            R"({"count":1,"cpu":1000,"gpu":1,"est_ms":8000,"saves_progress":true})";
    m_fleet.submit(ID, saving, "8000");
    m_fleet.m_loop.advance(Millis(300));
    requestUpkeep();
    ASSERT_TRUE(waitForEnd());
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(20'000)));
}

TEST_F(UpkeepTest, AWaveIsCompletedAfterATakeover) {
    requestUpkeep();
    ASSERT_TRUE(waitUntil(Millis(10'000),
                          [&] { return m_fleet.m_machineFleet.m_upkeeps.size() == 2; }));
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(waitForEnd());
    for (const auto& [machine, times] : m_fleet.m_machineFleet.m_upkeeps) {
        EXPECT_EQ(times, 1U) << machine;
    }
    EXPECT_EQ(m_fleet.m_machineFleet.m_maxConcurrentUpkeeps, 1U);
}

TEST_F(UpkeepTest, AnOrderWithoutAnAnswerIsRepeatedAndCarriedOutOnce) {
    m_fleet.m_machineFleet.m_answersToLose = 2;
    requestUpkeep();
    ASSERT_TRUE(waitForEnd());
    for (const auto& [machine, times] : m_fleet.m_machineFleet.m_upkeeps) {
        EXPECT_EQ(times, 1U) << machine;
    }
}

/** Guards against more machines down than the wave permits: the lost answer hid the upkeep. */
TEST_F(UpkeepTest, AMachineWhoseOrderGotNoAnswerCountsTowardsTheLimit) {
    m_fleet.m_machineFleet.m_answersToLose = 1;
    requestUpkeep();
    ASSERT_TRUE(waitForEnd());
    EXPECT_EQ(m_fleet.m_machineFleet.m_maxConcurrentUpkeeps, 1U);
}

/**
 * Guards against more machines down than the wave permits: a leader that the store turns away
 * can't record the upkeep that it begins last, and the next leader begins another one.
 */
TEST_F(UpkeepTest, AMachineWhoseUpkeepWasNotRecordedCountsTowardsTheLimit) {
    requestUpkeep();
    ASSERT_TRUE(waitUntil(Millis(15'000),
                          [&] { return m_fleet.m_machineFleet.m_upkeeps.size() == 2; }));
    m_fleet.m_loop.advance(Millis(1700));
    m_fleet.m_storeState.m_cutOff.insert(m_fleet.m_gateways[getLeader()].m_name);
    ASSERT_TRUE(waitForEnd());
    EXPECT_EQ(m_fleet.m_machineFleet.m_maxConcurrentUpkeeps, 1U);
    EXPECT_EQ(m_fleet.m_machineFleet.m_upkeeps.size(), 4U);
}

TEST_F(UpkeepTest, AMachineThatCannotBeTakenDownStaysUsable) {
    m_fleet.m_machineFleet.m_isBusy = true;
    requestUpkeep();
    m_fleet.m_loop.advance(Millis(4000));
    EXPECT_EQ(getStatus(), R"({"state":"running"})");
    const std::string four = R"({"count":4,"cpu":8000,"gpu":8,"est_ms":500})";
    m_fleet.submit(ID, four, "500");
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(3000)));
}

}  // namespace pierbank::testing
