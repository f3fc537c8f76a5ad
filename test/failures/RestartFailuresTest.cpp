// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: after a worker restarts under the same id, tasks that have finished run again, and tasks
 * that have failed as often as their queue allows are started without limit.
 *
 * Cause: a sidecar that identifies the incarnation by its id alone acknowledges ends with the
 * numbers of the previous one. The new incarnation numbers its ends from 1, so it discards each end
 * at once. The leader misses the run and sends its order again; the worker refuses the order as
 * old, the sidecar reports the run as absent, and the leader starts the task once more.
 *
 * In the logs: `start ... status=refused reason=old` and `run-absent reason=old` for runs that have
 * ended on the worker, without `run-ended` or `worker-crashed`.
 */
#include <gtest/gtest.h>

#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":400})";
/** Number of attempts of the queue `/batch/`. */
constexpr std::size_t ATTEMPTS = 2;

/** Four workers that return under the same id 0.6 s after a crash. */
class WorkerRestartsUnderTheSameId : public JobFleetTest {
protected:
    void SetUp() override {
        JobFleetTest::SetUp();
        m_fleet.setRestartForm(RestartForm::SAME_ID);
        for (auto& sidecar : m_fleet.m_sidecars) {
            sidecar.m_worker->m_restartDelay = Millis(600);
        }
    }

    static std::string idOf(int number) { return "00000000000000" + std::to_string(10 + number); }

    void submitJobs(int first, int count, const char* payload) {
        for (int i = first; i < first + count; ++i) {
            m_fleet.submit(idOf(i), SMALL, payload);
        }
    }

    void expectSuccess(int first, int count, std::size_t maxStarts = 1) {
        for (int i = first; i < first + count; ++i) {
            EXPECT_TRUE(m_fleet.waitForState(idOf(i), "succeeded", Millis(30'000))) << i;
            EXPECT_LE(m_fleet.m_witness.countStarts(taskOf(idOf(i))), maxStarts) << i;
        }
    }

    /** Runs jobs to their end on each worker, so that the numbers of ends are well above 1. */
    void runSomeJobs() {
        submitJobs(0, 30, "100");
        expectSuccess(0, 30);
    }

    void crashAll() {
        for (auto& sidecar : m_fleet.m_sidecars) {
            sidecar.m_worker->crash();
        }
    }
};

}  // namespace

TEST_F(WorkerRestartsUnderTheSameId, RunsLaterJobsOnce) {
    runSomeJobs();
    crashAll();
    m_fleet.m_loop.advance(Millis(1500));
    submitJobs(30, 24, "400");
    expectSuccess(30, 24);
}

TEST_F(WorkerRestartsUnderTheSameId, RunsLaterJobsOnceAfterFourRestarts) {
    runSomeJobs();
    for (int restart = 0; restart < 4; ++restart) {
        crashAll();
        m_fleet.m_loop.advance(Millis(1500));
        submitJobs(30 + 12 * restart, 12, "400");
        expectSuccess(30 + 12 * restart, 12);
    }
}

TEST_F(WorkerRestartsUnderTheSameId, CountsRunsThatFail) {
    runSomeJobs();
    crashAll();
    m_fleet.m_loop.advance(Millis(1500));
    submitJobs(30, 8, "!200");
    for (int i = 30; i < 38; ++i) {
        EXPECT_TRUE(m_fleet.waitForState(idOf(i), "failed", Millis(30'000))) << i;
        EXPECT_LE(m_fleet.m_witness.countStarts(taskOf(idOf(i))), ATTEMPTS) << i;
    }
}

/** The runs of the previous incarnation are lost and placed again within a second. */
TEST_F(WorkerRestartsUnderTheSameId, LosesItsActiveRunsAtOnce) {
    submitJobs(0, 8, "5000");
    m_fleet.m_loop.advance(Millis(300));
    getSidecar(0).m_worker->restart();
    EXPECT_TRUE(waitUntil(Millis(1000), [&] { return m_fleet.m_witness.countRunning() == 8; }));
    expectSuccess(0, 8, 2);
}

/** The answer to a hold reveals the new start time, so that no heartbeat is needed. */
TEST_F(WorkerRestartsUnderTheSameId, LosesItsActiveRunsBeforeItsFirstHeartbeat) {
    submitJobs(0, 8, "5000");
    m_fleet.m_loop.advance(Millis(300));
    getSidecar(0).m_isHeartbeatSuppressed = true;
    getSidecar(0).m_worker->restart();
    EXPECT_TRUE(waitUntil(Millis(1000), [&] { return m_fleet.m_witness.countRunning() == 8; }));
    getSidecar(0).m_isHeartbeatSuppressed = false;
    expectSuccess(0, 8, 2);
}

/** A task that crashes its worker fails, whichever id the worker returns with. */
TEST_F(WorkerRestartsUnderTheSameId, CountsTheCrashAgainstTheTask) {
    constexpr std::size_t MOST_STARTS = 5;
    m_fleet.submit(idOf(0), SMALL, "x10");
    m_fleet.m_loop.advance(Millis(60'000));
    EXPECT_LE(m_fleet.m_witness.countStarts(taskOf(idOf(0))), MOST_STARTS);
    EXPECT_EQ(m_fleet.getState(idOf(0)), "failed");
}

namespace {

/** Messages of the previous incarnation that arrive after the next one has started. */
class MessagesOfAPreviousIncarnation : public WorkerRestartsUnderTheSameId {
protected:
    void SetUp() override {
        WorkerRestartsUnderTheSameId::SetUp();
        runSomeJobs();
        m_previous = m_fleet.makeHeartbeat(0);
        m_previous.m_isDraining = true;
        m_previous.m_remaining = Millis(60'000);
        m_previous.m_sequence = 1'000'000;
        getSidecar(0).m_worker->restart();
        m_fleet.heartbeat(0);
        m_fleet.m_loop.advance(Millis(500));
    }

    /** Runs four jobs at once, each of which needs a whole worker. */
    void expectAllWorkersUsable() {
        for (int i = 30; i < 34; ++i) {
            m_fleet.submit(idOf(i), R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":8,"est_ms":2000})",
                           "2000");
        }
        m_fleet.m_loop.advance(Millis(1500));
        EXPECT_EQ(m_fleet.m_witness.countRunning(), 4U);
        expectSuccess(30, 4);
    }

    WorkerHeartbeat m_previous;
};

}  // namespace

TEST_F(MessagesOfAPreviousIncarnation, HaveNoEffectAsALateHeartbeat) {
    m_fleet.deliver(0, m_previous);
    m_fleet.m_loop.advance(Millis(1000));
    expectAllWorkersUsable();
}

TEST_F(MessagesOfAPreviousIncarnation, HaveNoEffectAtANewSidecar) {
    restartSidecarWithStaleHeartbeat(0, m_previous);
    expectAllWorkersUsable();
}

/**
 * A new sidecar that knows only the current incarnation polls the worker to tell which heartbeat is
 * outdated, and reports no crash.
 */
TEST_F(MessagesOfAPreviousIncarnation, AreNoCrashOfTheCurrentIncarnation) {
    m_fleet.killSidecar(0);
    m_fleet.startSidecar(0);
    m_fleet.m_loop.advance(Millis(1500));
    m_fleet.deliver(0, m_previous);
    m_fleet.m_loop.advance(Millis(1000));
    const auto* const host =
            m_fleet.m_gateways[getLeader()].m_core->getJobs().getWorkers().findHost(
                    getSidecar(0).m_address);
    ASSERT_TRUE(host != nullptr && host->m_notice.has_value());
    EXPECT_TRUE(host->m_notice->m_crashes.empty());
    expectAllWorkersUsable();
}

TEST_F(MessagesOfAPreviousIncarnation, HaveNoEffectAsALateGoodbye) {
    getSidecar(0).m_agent->handleLeave({m_previous.m_incarnation.m_id, 0});
    m_fleet.m_loop.advance(Millis(500));
    expectAllWorkersUsable();
}

TEST_F(MessagesOfAPreviousIncarnation, HaveNoEffectAsALateGoodbyeWithAStartTime) {
    getSidecar(0).m_agent->handleLeave(m_previous.m_incarnation);
    m_fleet.m_loop.advance(Millis(500));
    expectAllWorkersUsable();
}

/** The worker's clock is set back by an hour between the two starts. */
TEST_F(WorkerRestartsUnderTheSameId, RunsLaterJobsIfItsStartTimeIsEarlier) {
    runSomeJobs();
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_wallClockError = Millis(-3'600'000);
    }
    crashAll();
    m_fleet.m_loop.advance(Millis(1500));
    submitJobs(30, 24, "400");
    expectSuccess(30, 24);
}

namespace {

/** Calls that were sent to the previous incarnation and are carried out by the next one. */
class CallsToAPreviousIncarnation : public WorkerRestartsUnderTheSameId {
protected:
    void SetUp() override {
        WorkerRestartsUnderTheSameId::SetUp();
        runSomeJobs();
        m_delay = Millis(1000);
    }

    /**
     * Submits jobs and crashes all workers while the calls are on their way.
     * @param awayFor how long a worker is away; the delayed calls arrive after `m_delay`.
     */
    void submitAndCrash(Millis awayFor, const char* payload) {
        for (auto& sidecar : m_fleet.m_sidecars) {
            sidecar.m_worker->m_startDelay = m_delay;
            sidecar.m_worker->m_restartDelay = awayFor;
        }
        submitJobs(30, 24, payload);
        m_fleet.m_loop.advance(Millis(100));
        crashAll();
    }

    Millis m_delay{0};
};

}  // namespace

TEST_F(CallsToAPreviousIncarnation, StartNoTaskTwiceAsALateStart) {
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_startsToDelay = 3;
    }
    submitAndCrash(Millis(600), "2000");
    expectSuccess(30, 24, 2);
}

/**
 * The delayed start is the first call that the new incarnation receives: the run that it starts is
 * found there and not started elsewhere.
 */
TEST_F(CallsToAPreviousIncarnation, StartNoTaskTwiceAsTheFirstCallOfTheNextIncarnation) {
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_startsToDelay = 3;
    }
    m_delay = Millis(610);
    submitAndCrash(Millis(500), "2000");
    expectSuccess(30, 24, 2);
}

TEST_F(CallsToAPreviousIncarnation, LoseNoEndAsALateHold) {
    submitAndCrash(Millis(300), "400");
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_holdsToDelay = 2;
    }
    expectSuccess(30, 24, 2);
}

/**
 * A delayed hold extends the lease to a time of the previous incarnation's clock, which is far
 * ahead of the new one. The worker accepts its maximum lease, so the leader must not treat the host
 * as lost before that has expired.
 */
TEST_F(CallsToAPreviousIncarnation, ExtendNoLeaseBeyondTheLeadersEstimate) {
    m_fleet.m_loop.advance(Millis(20'000));
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_startDelay = Millis(300);
        sidecar.m_worker->m_holdsToDelay = 1;
    }
    m_fleet.m_loop.advance(Millis(150));
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->restart();
    }
    m_fleet.m_loop.advance(Millis(850));
    submitJobs(30, 1, "60000");
    ASSERT_TRUE(waitUntil(Millis(1000), [&] { return findWorker(taskOf(idOf(30))).has_value(); }));
    m_fleet.killSidecar(*findWorker(taskOf(idOf(30))));
    EXPECT_TRUE(waitUntil(Millis(10'000),
                          [&] { return m_fleet.m_witness.countStarts(taskOf(idOf(30))) == 2; }));
}

/**
 * As above, but the sidecar terminates before it has detected the restart, so that nothing tells
 * the leader that the new run is leased on a clock that was reset. Run 2 then started while run 1
 * was still running.
 */
TEST_F(CallsToAPreviousIncarnation, ExtendNoLeaseBeyondItIfTheRestartIsNotDetected) {
    m_fleet.m_loop.advance(Millis(20'000));
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->restart();
    }
    submitJobs(30, 1, "60000");
    ASSERT_TRUE(waitUntil(Millis(1000), [&] { return findWorker(taskOf(idOf(30))).has_value(); }));
    m_fleet.killSidecar(*findWorker(taskOf(idOf(30))));
    EXPECT_TRUE(waitUntil(Millis(10'000),
                          [&] { return m_fleet.m_witness.countStarts(taskOf(idOf(30))) == 2; }));
}

/**
 * As above, with the restart a few milliseconds after the submission: the start reaches the new
 * incarnation before any call has failed. Run 2 then started while run 1 was still running.
 */
TEST_F(CallsToAPreviousIncarnation, ExtendNoLeaseBeyondItIfTheRestartIsDuringTheStart) {
    constexpr std::int64_t MAX_DELAY_MS = 14;
    for (std::int64_t after = 0; after <= MAX_DELAY_MS; after += 2) {
        SCOPED_TRACE(after);
        JobFleet fleet(3, 4);
        ASSERT_TRUE(fleet.waitForLeader());
        fleet.m_loop.advance(Millis(20'500));
        fleet.m_loop.callLater(Millis(after), [&] {
            for (auto& sidecar : fleet.m_sidecars) {
                sidecar.m_worker->restart();
            }
        });
        const std::string id = idOf(30);
        ASSERT_EQ(fleet.submit(id, SMALL, "60000").m_status, 200U);
        const TaskKey task = taskOf(id);
        ASSERT_TRUE(fleet.m_loop.advanceUntil(Millis(3000),
                                              [&] { return fleet.m_witness.isRunning(task); }));
        for (std::size_t index = 0; index < fleet.m_sidecars.size(); ++index) {
            if (fleet.m_sidecars[index].m_worker->isRunning(task)) {
                fleet.killSidecar(index);
            }
        }
        EXPECT_TRUE(fleet.m_loop.advanceUntil(
                Millis(10'000), [&] { return fleet.m_witness.countStarts(task) >= 2; }));
        EXPECT_EQ(fleet.m_witness.getViolations(), std::vector<std::string>());
    }
}

TEST_F(CallsToAPreviousIncarnation, PreventNoLaterRunAsALateStop) {
    for (auto& sidecar : m_fleet.m_sidecars) {
        sidecar.m_worker->m_stopsToDelay = 4;
    }
    submitJobs(60, 8, "9000");
    m_fleet.m_loop.advance(Millis(200));
    for (int i = 60; i < 68; ++i) {
        m_fleet.sendRequest(0, "DELETE", "/batch/" + idOf(i));
    }
    submitAndCrash(Millis(300), "1000");
    expectSuccess(30, 24, 2);
}

}  // namespace pierbank::testing
