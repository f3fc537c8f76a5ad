// SPDX-License-Identifier: Apache-2.0
// Workers and sidecars that crash, hang, leave, fail every run or report an outdated state.
#include <gtest/gtest.h>

#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr const char* OTHER_ID = "00000000000000b2";
constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":1000})";
constexpr const char* WHOLE = R"({"count":1,"cpu":8000,"mem_mb":100,"gpu":8,"est_ms":1000})";

class WorkerFailuresTest : public JobFleetTest {};

}  // namespace

TEST_F(WorkerFailuresTest, RunsLostInACrashAreStartedAgain) {
    m_fleet.submit(ID, SMALL, "2000");
    m_fleet.m_loop.advance(Millis(300));
    for (auto& sidecar : m_fleet.m_sidecars) {
        if (sidecar.m_worker->countRunning() > 0) {
            sidecar.m_worker->restart();
        }
    }
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(5000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 2U);
}

TEST_F(WorkerFailuresTest, ARestartedSidecarFindsTheActiveRuns) {
    m_fleet.submit(ID, SMALL, "5000");
    m_fleet.m_loop.advance(Millis(300));
    for (std::size_t i = 0; i < 4; ++i) {
        m_fleet.killSidecar(i);
    }
    m_fleet.m_loop.advance(Millis(700));
    for (std::size_t i = 0; i < 4; ++i) {
        m_fleet.startSidecar(i);
    }
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(8000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

TEST_F(WorkerFailuresTest, ARestartedSidecarIsLinkedWhenItRegisters) {
    const auto isLinked = [this] {
        const WorkerPool& workers = m_fleet.m_gateways[getLeader()].m_core->getJobs().getWorkers();
        const WorkerPool::Host* const host = workers.findHost(getSidecar(0).m_address);
        return host != nullptr && host->isLinked();
    };
    for (const Millis away : {Millis(300), Millis(1250), Millis(3700)}) {
        m_fleet.killSidecar(0);
        m_fleet.m_loop.advance(away);
        EXPECT_FALSE(isLinked());
        m_fleet.startSidecar(0);
        EXPECT_TRUE(waitUntil(Millis(120), isLinked)) << away.count();
        m_fleet.m_loop.advance(Millis(1000));
    }
}

TEST_F(WorkerFailuresTest, ADisconnectedHostLosesItsRunsWhenTheirLeaseExpires) {
    m_fleet.submit(ID, SMALL, "20000");
    m_fleet.m_loop.advance(Millis(300));
    for (auto& sidecar : m_fleet.m_sidecars) {
        if (sidecar.m_worker->countRunning() == 0) {
            continue;
        }
        for (auto& gateway : m_fleet.m_gateways) {
            m_fleet.m_network.cut(gateway.m_name, sidecar.m_name);
        }
    }
    EXPECT_TRUE(m_fleet.m_loop.advanceUntil(
            Millis(9000), [&] { return m_fleet.m_witness.countStarts(taskOf(ID)) == 2; }));
}

TEST_F(WorkerFailuresTest, AStalledRunIsStartedElsewhere) {
    m_fleet.submit(ID, SMALL, "1500");
    m_fleet.m_loop.advance(Millis(300));
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_areRunsStalled = sidecar.m_worker->countRunning() > 0;
    }
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(6000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 2U);
}

/**
 * Guards against a hanging worker, which answers calls while its runs are stalled, that delays one
 * urgent job after the other. The leader stopped the stalled run, which was the only evidence of
 * the fault, and so placed the next urgent job on that worker at once.
 */
class HangingWorker : public WorkerFailuresTest {
protected:
    void SetUp() override {
        WorkerFailuresTest::SetUp();
        m_fleet.submit(ID, WHOLE, "1000", "/urgent/");
        m_fleet.m_loop.advance(Millis(50));
        m_hanging = findWorker(taskOf(ID));
        ASSERT_TRUE(m_hanging.has_value());
        getSidecar(*m_hanging).m_worker->m_areRunsStalled = true;
        getSidecar(*m_hanging).m_worker->m_stalledPercent = 3;
    }

    bool waitUntilMoved(Millis limit) {
        return waitUntil(limit, [this] { return m_fleet.m_witness.countStarts(taskOf(ID)) == 2; });
    }

    std::optional<std::size_t> m_hanging;
};

TEST_F(HangingWorker, IsDetectedBeforeAnUrgentJobOfASecondIsLate) {
    // The job's objective is four seconds and its run time is one.
    EXPECT_TRUE(waitUntilMoved(Millis(2200)));
}

TEST_F(HangingWorker, GetsNoUrgentWorkAfterItsRunWasMoved) {
    ASSERT_TRUE(waitUntilMoved(Millis(6000)));
    for (const char* const id : {OTHER_ID, "00000000000000c3"}) {
        m_fleet.submit(id, WHOLE, "1000", "/urgent/");
        m_fleet.m_loop.advance(Millis(100));
        const auto index = findWorker(taskOf(id));
        ASSERT_TRUE(index.has_value()) << "two workers are free";
        EXPECT_NE(index, m_hanging);
    }
}

TEST_F(HangingWorker, GetsNoUrgentWorkFromTheNextLeader) {
    ASSERT_TRUE(waitUntilMoved(Millis(6000)));
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    m_fleet.m_loop.advance(Millis(200));
    m_fleet.submit(OTHER_ID, WHOLE, "1000", "/urgent/", getLeader());
    m_fleet.m_loop.advance(Millis(100));
    const auto index = findWorker(taskOf(OTHER_ID));
    ASSERT_TRUE(index.has_value()) << "two workers are free";
    EXPECT_NE(index, m_hanging);
}

/** A job with a declared run time that is far too short must not be restarted without limit. */
TEST_F(WorkerFailuresTest, ARunThatStallsOnEachHostIsMovedTwiceOnly) {
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_areRunsStalled = true;
        sidecar.m_worker->m_stalledPercent = 0;
    }
    m_fleet.submit(ID, SMALL, "600000", "/urgent/");
    m_fleet.m_loop.advance(Millis(60'000));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 3U);
    m_fleet.submit(OTHER_ID, SMALL, "60000", "/urgent/");
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_TRUE(m_fleet.m_witness.isRunning(taskOf(OTHER_ID))) << "it blocks no host";
}

/**
 * Progress is reported in steps of one percent; a long run must not count as stalled between two
 * steps.
 */
TEST_F(WorkerFailuresTest, LongRunsAreNotStalledBetweenTwoPercentsOfProgress) {
    constexpr const char* LONG =
            R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":3600000,"saves_progress":true})";
    m_fleet.submit(ID, LONG, "3600000", "/urgent/");
    m_fleet.submit(OTHER_ID, LONG, "3600000");
    m_fleet.m_loop.advance(Millis(60'000));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(OTHER_ID)), 1U);
}

TEST_F(WorkerFailuresTest, AGangWithoutProgressFromItsStartIsStartedElsewhere) {
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_areRunsStalled = true;
        sidecar.m_worker->m_stalledPercent = 0;
    }
    m_fleet.submit(ID, R"({"count":2,"cpu":1000,"mem_mb":100,"gpu":4,"est_ms":1000,"gang":true})",
                   "1000", "/urgent/");
    m_fleet.m_loop.advance(Millis(300));
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_areRunsStalled = sidecar.m_worker->countRunning() > 0;
    }
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(6000), "/urgent/"));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 2U);
}

/**
 * Guards against a sidecar that reports a run as absent before its worker's first heartbeat. The
 * leader then placed other runs on the worker, which refused them for insufficient capacity.
 */
TEST_F(WorkerFailuresTest, ASidecarWithoutAHeartbeatReportsNoRunAsAbsent) {
    m_fleet.submit(ID, SMALL, "60000");
    m_fleet.m_loop.advance(Millis(300));
    const auto index = findWorker(taskOf(ID));
    ASSERT_TRUE(index.has_value());
    m_fleet.killSidecar(*index);
    getSidecar(*index).m_isHeartbeatSuppressed = true;
    m_fleet.startSidecar(*index);
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_EQ(m_fleet.sendRequest(0, "DELETE", std::string("/batch/") + ID).m_status, 200U);
    m_fleet.m_loop.advance(Millis(500));
    getSidecar(*index).m_isHeartbeatSuppressed = false;
    m_fleet.heartbeat(*index);
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_FALSE(m_fleet.m_witness.isRunning(taskOf(ID)));
}

TEST_F(WorkerFailuresTest, AnOrphanedRunIsStopped) {
    const WorkerCall call{getSidecar(1).m_worker->getId(), getSidecar(1).m_worker->getFence()};
    StartCall orphan;
    orphan.m_task = taskOf(OTHER_ID);
    orphan.m_run = 1;
    orphan.m_payload = "60000";
    orphan.m_until = getSidecar(1).m_worker->getClock() + Millis(3000);
    getSidecar(1).m_worker->start(call, orphan, [](const RunReply&) {});
    m_fleet.m_loop.advance(Millis(1500));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(OTHER_ID)), 1U);
    EXPECT_FALSE(m_fleet.m_witness.isRunning(taskOf(OTHER_ID)));
}

/** The sidecar still renewed its lease, so runs counted as running although the worker was lost. */
TEST_F(WorkerFailuresTest, AnUnresponsiveWorkerWithARunningSidecarIsLost) {
    m_fleet.submit(ID, SMALL, "2000");
    m_fleet.m_loop.advance(Millis(300));
    const auto unresponsive = findWorker(taskOf(ID));
    ASSERT_TRUE(unresponsive.has_value());
    getSidecar(*unresponsive).m_worker->m_isSilent = true;
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(14'000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 2U);
}

/**
 * A worker that refuses connections has crashed: the sidecar reports it to the leader at once. The
 * timeout of 3 s is for workers that don't answer, which may only be slow. When that timeout
 * applied to both cases, urgent jobs were placed on crashed workers and started seconds late.
 */
TEST_F(WorkerFailuresTest, AWorkerThatRefusesConnectionsGetsNoNewWork) {
    m_fleet.submit(ID, SMALL, "60000");
    m_fleet.m_loop.advance(Millis(300));
    const auto index = findWorker(taskOf(ID));
    ASSERT_TRUE(index.has_value());
    getSidecar(*index).m_worker->crash();
    m_fleet.m_loop.advance(Millis(300));
    m_fleet.submit(OTHER_ID, SMALL, "1000", "/urgent/");
    m_fleet.m_loop.advance(Millis(100));
    EXPECT_TRUE(m_fleet.m_witness.isRunning(taskOf(OTHER_ID)));
}

/** The leader must not wait for the sidecar's next lease request, up to half a second later. */
TEST_F(WorkerFailuresTest, AReturningWorkerGetsWorkAtOnce) {
    for (std::size_t i = 1; i < m_fleet.m_sidecars.size(); ++i) {
        m_fleet.killSidecar(i);
    }
    for (int round = 0; round < 5; ++round) {
        m_fleet.m_loop.advance(Millis(2000));
        getSidecar(0).m_worker->m_restartDelay = Millis(1000 + 90 * round);
        getSidecar(0).m_worker->crash();
        m_fleet.m_loop.advance(Millis(500));
        const std::string id = "00000000000000" + std::to_string(20 + round);
        m_fleet.submit(id, WHOLE, "100", "/urgent/");
        ASSERT_TRUE(waitUntil(Millis(2000), [&] { return !getSidecar(0).m_worker->isDown(); }));
        m_fleet.heartbeat(0);
        m_fleet.m_loop.advance(Millis(150));
        EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(id)), 1U) << round;
    }
}

TEST_F(WorkerFailuresTest, ADelayedStartRunsOnce) {
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_startsToDelay = 5;
    }
    m_fleet.submit(ID, SMALL, "1000");
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(20'000)));
}

TEST_F(WorkerFailuresTest, ADelayedStartOfACancelledJobIsStopped) {
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_startsToDelay = 5;
    }
    m_fleet.submit(ID, SMALL, "60000");
    m_fleet.m_loop.advance(Millis(200));
    EXPECT_EQ(m_fleet.sendRequest(0, "DELETE", std::string("/batch/") + ID).m_status, 200U);
    m_fleet.m_loop.advance(Millis(8000));
    EXPECT_EQ(m_fleet.m_witness.countRunning(), 0U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "canceled", Millis(1000)));
}

TEST_F(WorkerFailuresTest, ADelayedStartOfACancelledJobIsStoppedByANewSidecar) {
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_startsToDelay = 5;
    }
    m_fleet.submit(ID, SMALL, "60000");
    m_fleet.m_loop.advance(Millis(200));
    for (std::size_t i = 0; i < m_fleet.m_sidecars.size(); ++i) {
        m_fleet.killSidecar(i);
    }
    EXPECT_EQ(m_fleet.sendRequest(0, "DELETE", std::string("/batch/") + ID).m_status, 200U);
    for (std::size_t i = 0; i < m_fleet.m_sidecars.size(); ++i) {
        m_fleet.startSidecar(i);
    }
    m_fleet.m_loop.advance(Millis(8000));
    EXPECT_EQ(m_fleet.m_witness.countRunning(), 0U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "canceled", Millis(1000)));
}

TEST_F(WorkerFailuresTest, ARefusedStartIsRepeatedAndFreesTheCapacity) {
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_refusal = "room";
    }
    m_fleet.submit(ID, SMALL, "300");
    m_fleet.m_loop.advance(Millis(1000));
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_refusal.clear();
    }
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(5000)));
}

TEST_F(WorkerFailuresTest, ADrainingWorkerGetsNoNewWork) {
    for (std::size_t i = 0; i < 3; ++i) {
        m_fleet.m_sidecars[i].m_isDraining = true;
        m_fleet.heartbeat(i);
    }
    m_fleet.m_loop.advance(Millis(50));
    m_fleet.submit(ID, SMALL, "300");
    m_fleet.m_loop.advance(Millis(200));
    EXPECT_EQ(m_fleet.m_sidecars[3].m_worker->countRunning(), 1U);
}

TEST_F(WorkerFailuresTest, EndsAreRemovedFromTheWorkerOnlyWhenPersisted) {
    m_fleet.submit(ID, SMALL, "500");
    m_fleet.m_loop.advance(Millis(300));
    m_fleet.m_storeState.m_isDown = true;
    m_fleet.m_loop.advance(Millis(1500));
    std::uint64_t persisted = 0;
    for (auto& sidecar : m_fleet.m_sidecars) {
        persisted += sidecar.m_worker->getLastPersisted();
    }
    EXPECT_EQ(persisted, 0U);
    m_fleet.m_storeState.m_isDown = false;
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(5000)));
    m_fleet.m_loop.advance(Millis(1000));
    for (auto& sidecar : m_fleet.m_sidecars) {
        persisted += sidecar.m_worker->getLastPersisted();
    }
    EXPECT_EQ(persisted, 1U);
}

/** The last attempt of a gang avoids all hosts on which a member has failed. */
TEST_F(WorkerFailuresTest, AGangOfTwoAttemptsSucceedsIfOneHostFailsAllRuns) {
    for (std::size_t bad = 0; bad < m_fleet.m_sidecars.size(); ++bad) {
        getSidecar(bad).m_worker->m_failsAll = true;
        const std::string id = "00000000000000" + std::to_string(80 + bad);
        m_fleet.submit(id,
                       R"({"count":3,"cpu":1000,"mem_mb":100,"gpu":4,"est_ms":600,"gang":true})",
                       "600", "/urgent/");
        EXPECT_TRUE(m_fleet.waitForState(id, "succeeded", Millis(15'000), "/urgent/")) << bad;
        getSidecar(bad).m_worker->m_failsAll = false;
    }
}

/**
 * Guards against the lapse of a sound worker's lease after connections fell silent: each poll took
 * the next idle connection, which was as silent as the one before, and waited for its timeout.
 */
TEST_F(WorkerFailuresTest, ALeaseDoesNotLapseWhenIdleConnectionsFallSilent) {
    ASSERT_EQ(m_fleet.submit(ID, SMALL, "60000").m_status, 200U);
    ASSERT_TRUE(waitUntil(Millis(3000), [&] { return m_fleet.m_witness.isRunning(taskOf(ID)); }));
    const auto index = findWorker(taskOf(ID));
    ASSERT_TRUE(index.has_value());
    getSidecar(*index).m_worker->m_silentConnections = 20;
    for (int i = 0; i < 100; ++i) {
        m_fleet.m_loop.advance(Millis(100));
        ASSERT_TRUE(getSidecar(*index).m_worker->isRunning(taskOf(ID))) << i;
    }
}

}  // namespace pierbank::testing
