// SPDX-License-Identifier: Apache-2.0
// Heartbeats of lives of a worker that are over.
#include <gtest/gtest.h>

#include "JobFleetTest.h"

namespace pierbank::testing {

/** A worker crashed and came back; a heartbeat that it sent before is delivered only now. */
class ADelayedHeartbeatOfAFormerIncarnation : public JobFleetTest {
protected:
    void SetUp() override {
        JobFleetTest::SetUp();
        m_former = m_fleet.makeHeartbeat(0);
        getSidecar(0).m_worker->restart();
        m_fleet.heartbeat(0);
        m_fleet.m_loop.advance(Millis(300));
        // One job a worker, so that one runs on the new life.
        for (int i = 0; i < 4; ++i) {
            m_fleet.submit(idOfJob(i),
                           R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":8,"est_ms":9000})", "9000");
        }
        m_fleet.m_loop.advance(Millis(300));
        ASSERT_EQ(getSidecar(0).m_worker->countRunning(), 1U);
    }

    static std::string idOfJob(int i) { return "00000000000000f" + std::to_string(i); }

    void expectThatAllRanOnce() {
        for (int i = 0; i < 4; ++i) {
            EXPECT_TRUE(m_fleet.waitForState(idOfJob(i), "succeeded", Millis(15'000))) << i;
            EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(idOfJob(i))), 1U) << i;
        }
    }

    WorkerHeartbeat m_former;
};

TEST_F(ADelayedHeartbeatOfAFormerIncarnation, DoesNotThrowTheLivingOneAway) {
    m_fleet.deliver(0, m_former);
    m_fleet.m_loop.advance(Millis(300));
    EXPECT_EQ(getSidecar(0).m_worker->countRunning(), 1U);
    expectThatAllRanOnce();
}

TEST_F(ADelayedHeartbeatOfAFormerIncarnation, DoesNotDoSoWhenItsSidecarIsNewEither) {
    restartSidecarUnder(0, m_former);
    m_fleet.heartbeat(0);
    expectThatAllRanOnce();
}

TEST_F(ADelayedHeartbeatOfAFormerIncarnation, DoesNotDoSoWhenTheLeaderIsNewToo) {
    const std::size_t leader = getLeader();
    m_fleet.killSidecar(0);
    m_fleet.killGateway(leader);
    m_fleet.startGateway(leader);
    getSidecar(0).m_isMute = true;
    m_fleet.startSidecar(0);
    m_fleet.deliver(0, m_former);
    ASSERT_TRUE(m_fleet.waitForLeader());
    m_fleet.m_loop.advance(Millis(1000));
    getSidecar(0).m_isMute = false;
    m_fleet.heartbeat(0);
    expectThatAllRanOnce();
}

}  // namespace pierbank::testing
