// SPDX-License-Identifier: Apache-2.0
// Heartbeats of another writer under the id of a worker.
#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* STEP = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":60000})";
/** Time after which the worker's own heartbeat has replaced that of another writer: two intervals.
 */
constexpr Millis TWO_HEARTBEATS{1000};

/** Worker 0 has room for eight tasks; another writer sends a heartbeat under its id. */
class HeartbeatOfAnotherWriter : public JobFleetTest {
protected:
    HeartbeatOfAnotherWriter() : JobFleetTest(1) {}

    /** Sends the worker's heartbeat with a number that is larger by `lead`. */
    void sendOdd(std::uint64_t lead) {
        WorkerHeartbeat odd = m_fleet.makeHeartbeat(0);
        odd.m_sequence += lead;
        m_fleet.deliver(0, odd);
        m_fleet.m_loop.advance(TWO_HEARTBEATS);
    }

    void submitJobs(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            const std::string id = "00000000000000a" + std::to_string(i);
            ASSERT_EQ(m_fleet.submit(id, STEP, "60000").m_status, 200U);
        }
        m_fleet.m_loop.advance(Millis(3000));
    }
};

}  // namespace

/** Guards against starts on a worker that drains: its heartbeats appeared older than the odd one.
 */
TEST_F(HeartbeatOfAnotherWriter, DoesNotHideThatTheWorkerDrains) {
    for (const std::uint64_t lead : {std::uint64_t{1000}, std::uint64_t{1} << 60U}) {
        sendOdd(lead);
    }
    getSidecar(0).m_isDraining = true;
    m_fleet.m_loop.advance(TWO_HEARTBEATS);
    submitJobs(4);
    EXPECT_EQ(getSidecar(0).m_worker->countRunning(), 0U);
}

/** Guards against starts beyond the capacity of a worker that has shrunk since. */
TEST_F(HeartbeatOfAnotherWriter, DoesNotHideThatTheWorkersCapacityShrinks) {
    sendOdd(1000);
    getSidecar(0).m_capacity = {1000, 1000, 1};
    m_fleet.m_loop.advance(TWO_HEARTBEATS);
    submitJobs(4);
    EXPECT_EQ(getSidecar(0).m_worker->countRunning(), 1U);
}

/** A heartbeat whose clock the worker can't have reached is not the worker's. */
TEST_F(HeartbeatOfAnotherWriter, IsRefusedIfItsClockIsFarAhead) {
    WorkerHeartbeat odd = m_fleet.makeHeartbeat(0);
    odd.m_sequence += 1000;
    odd.m_clock = *odd.m_clock + Millis(3'600'000);
    odd.m_isDraining = true;
    EXPECT_EQ(getSidecar(0).m_agent->handleHeartbeat(odd), HeartbeatAge::IMPOSSIBLE);
    submitJobs(1);
    EXPECT_EQ(getSidecar(0).m_worker->countRunning(), 1U);
}

/** The worker's own heartbeat of before, if it comes late, still changes nothing. */
TEST_F(HeartbeatOfAnotherWriter, DoesNotLetADelayedHeartbeatOfTheWorkerCount) {
    const WorkerHeartbeat late = m_fleet.makeHeartbeat(0);
    sendOdd(1000);
    getSidecar(0).m_isDraining = true;
    m_fleet.m_loop.advance(TWO_HEARTBEATS);
    getSidecar(0).m_isHeartbeatSuppressed = true;
    m_fleet.deliver(0, late);
    submitJobs(2);
    EXPECT_EQ(getSidecar(0).m_worker->countRunning(), 0U);
}

}  // namespace pierbank::testing
