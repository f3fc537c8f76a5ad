// SPDX-License-Identifier: Apache-2.0
// Delayed heartbeats of a worker's previous incarnation.
#include <gtest/gtest.h>

#include "JobFleetTest.h"

namespace pierbank::testing {

/** A heartbeat from before the crash of a worker arrives after the worker has returned. */
class DelayedHeartbeatOfAPreviousIncarnation : public JobFleetTest {
protected:
    void SetUp() override {
        JobFleetTest::SetUp();
        m_previous = m_fleet.makeHeartbeat(0);
        getSidecar(0).m_worker->restart();
        m_fleet.heartbeat(0);
        m_fleet.m_loop.advance(Millis(300));
        // One job per worker, so that one of them runs on the new incarnation.
        for (int i = 0; i < 4; ++i) {
            m_fleet.submit(idOfJob(i),
                           R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":8,"est_ms":9000})", "9000");
        }
        m_fleet.m_loop.advance(Millis(300));
        ASSERT_EQ(getSidecar(0).m_worker->countRunning(), 1U);
    }

    static std::string idOfJob(int i) { return "00000000000000f" + std::to_string(i); }

    void expectAllRanOnce() {
        for (int i = 0; i < 4; ++i) {
            EXPECT_TRUE(m_fleet.waitForState(idOfJob(i), "succeeded", Millis(15'000))) << i;
            EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(idOfJob(i))), 1U) << i;
        }
    }

    WorkerHeartbeat m_previous;
};

TEST_F(DelayedHeartbeatOfAPreviousIncarnation, DoesNotReplaceTheCurrentIncarnation) {
    m_fleet.deliver(0, m_previous);
    m_fleet.m_loop.advance(Millis(300));
    EXPECT_EQ(getSidecar(0).m_worker->countRunning(), 1U);
    expectAllRanOnce();
}

TEST_F(DelayedHeartbeatOfAPreviousIncarnation, DoesNotReplaceItAtANewSidecar) {
    restartSidecarWithStaleHeartbeat(0, m_previous);
    m_fleet.heartbeat(0);
    expectAllRanOnce();
}

TEST_F(DelayedHeartbeatOfAPreviousIncarnation, DoesNotReplaceItAtANewSidecarAndLeader) {
    const std::size_t leader = getLeader();
    m_fleet.killSidecar(0);
    m_fleet.killGateway(leader);
    m_fleet.startGateway(leader);
    getSidecar(0).m_isHeartbeatSuppressed = true;
    m_fleet.startSidecar(0);
    m_fleet.deliver(0, m_previous);
    ASSERT_TRUE(m_fleet.waitForLeader());
    m_fleet.m_loop.advance(Millis(1000));
    getSidecar(0).m_isHeartbeatSuppressed = false;
    m_fleet.heartbeat(0);
    expectAllRanOnce();
}

}  // namespace pierbank::testing
