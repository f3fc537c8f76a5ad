// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: an accepted job is shown as failed after fewer failed runs than its queue allows.
 *
 * Cause: two runs of a task fail, the later one first. The leader writes both ends and terminates
 * before the workers are told, so that they report the ends again to the next leader. The record
 * names only the run that was counted last, and the end of the other one is counted a second time.
 *
 * In the logs of the next leader: `run-ended` with `current=yes` and no `outcome` for a run that a
 * `run-ended` of the previous leader names too, and `over` with a number of failures above that of
 * the failed runs on the workers.
 */
#include "JobFleetTest.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/job/JobCodec.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr std::uint32_t ATTEMPTS = 3;

/** A task and its copy on slow workers; both fail, the copy first, and the leader is replaced. */
class CopyThatFailsBeforeItsTask : public JobFleetTest {
protected:
    void SetUp() override {
        // Longer than the fake workers hold a poll, so that one commit contains both ends.
        m_fleet.m_jobSettings.m_commitDelay = Millis(400);
        for (std::size_t i = 0; i < m_fleet.m_gateways.size(); ++i) {
            m_fleet.killGateway(i);
            m_fleet.startGateway(i);
        }
        JobFleetTest::SetUp();
        m_fleet.m_attempts = ATTEMPTS;
        m_fleet.configure();
        m_fleet.m_loop.advance(Millis(300));
        startTaskAndCopy();
    }

    /** Omits the check of the base class, since copies of a task run at the same time. */
    void TearDown() override {}

    void startTaskAndCopy() {
        constexpr int SLOWNESS = 4;
        for (auto& sidecar : m_fleet.m_sidecars) {
            sidecar.m_worker->m_slowness = SLOWNESS;
        }
        m_fleet.submit(ID, R"({"count":1,"cpu":8000,"gpu":8,"est_ms":600,"speculative":true})",
                       "4000");
        ASSERT_TRUE(waitUntil(Millis(1500), [&] { return findWorker(taskOf(ID)).has_value(); }));
        m_first = *findWorker(taskOf(ID));
        ASSERT_TRUE(waitUntil(Millis(5000), [&] { return findCopy().has_value(); }));
        m_copy = *findCopy();
        for (auto& sidecar : m_fleet.m_sidecars) {
            sidecar.m_worker->m_slowness = 1;
        }
    }

    std::optional<std::size_t> findCopy() {
        for (std::size_t i = 0; i < m_fleet.m_sidecars.size(); ++i) {
            if (i != m_first && getSidecar(i).m_worker->isRunning(taskOf(ID))) {
                return i;
            }
        }
        return std::nullopt;
    }

    /** Returns the number of failed runs according to the leader, committed or not. */
    std::uint32_t countFailuresInMemory() {
        const auto& jobs = m_fleet.m_gateways[getLeader()].m_core->getJobs().getJobs();
        return jobs.find(ID)->second.m_run.findTask(taskOf(ID))->m_failures;
    }

    std::uint32_t countFailuresInStore() {
        const StoreItem* const item = m_fleet.m_storeState.find(getRunKey(ID));
        return decodeJobRun(item->m_value)->findTask(taskOf(ID))->m_failures;
    }

    /** Lets both runs fail. The leader's write takes effect, but the leader gets no answer. */
    void failBothRuns() {
        getSidecar(m_copy).m_worker->fail(taskOf(ID));
        ASSERT_TRUE(waitUntil(Millis(300), [&] { return countFailuresInMemory() == 1; }));
        m_fleet.m_storeState.m_answersToLose = 1;
        getSidecar(m_first).m_worker->fail(taskOf(ID));
        ASSERT_TRUE(waitUntil(Millis(1500), [&] { return countFailuresInStore() == 2; }));
    }

    /** Two of three runs have failed; the third succeeds. */
    void expectSuccessOfThirdRun() {
        ASSERT_TRUE(m_fleet.waitForLeader());
        EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(8000), "/batch/", getLeader()));
    }

    std::size_t m_first = 0;
    std::size_t m_copy = 0;
};

}  // namespace

TEST_F(CopyThatFailsBeforeItsTask, IsCountedOnceIfTheLeaderIsKilledAfterItsWrite) {
    failBothRuns();
    m_fleet.killGateway(getLeader());
    expectSuccessOfThirdRun();
}

/** The copy's worker was silent when its sidecar was to tell it that the end is persisted. */
TEST_F(CopyThatFailsBeforeItsTask, IsCountedOnceIfItsSidecarAndLaterTheLeaderAreKilled) {
    FakeTaskWorker& worker = *getSidecar(m_copy).m_worker;
    worker.fail(taskOf(ID));
    ASSERT_TRUE(waitUntil(Millis(300), [&] { return countFailuresInMemory() == 1; }));
    worker.m_isSilent = true;
    ASSERT_TRUE(waitUntil(Millis(1500), [&] { return countFailuresInStore() == 1; }));
    m_fleet.killSidecar(m_copy);
    worker.m_isSilent = false;
    getSidecar(m_first).m_worker->fail(taskOf(ID));
    ASSERT_TRUE(waitUntil(Millis(1500), [&] { return countFailuresInStore() == 2; }));
    m_fleet.killGateway(getLeader());
    m_fleet.startSidecar(m_copy);
    expectSuccessOfThirdRun();
}

namespace {

/** A run fails behind a sidecar that is gone; the next run fails before that end is reported. */
class LostRunThatFailed : public JobFleetTest {};

}  // namespace

/** Guards against more runs than the queue allows. Attempts of the queue: 2. */
TEST_F(LostRunThatFailed, IsCountedThoughTheNextRunWasCountedBefore) {
    m_fleet.submit(ID, R"({"count":1,"cpu":8000,"gpu":8,"est_ms":60000})", "60000");
    ASSERT_TRUE(waitUntil(Millis(500), [&] { return findWorker(taskOf(ID)).has_value(); }));
    const std::size_t lost = *findWorker(taskOf(ID));
    m_fleet.killSidecar(lost);
    getSidecar(lost).m_worker->fail(taskOf(ID));
    ASSERT_TRUE(waitUntil(Millis(15'000), [&] { return findWorker(taskOf(ID)).has_value(); }));
    getSidecar(*findWorker(taskOf(ID))).m_worker->fail(taskOf(ID));
    ASSERT_TRUE(waitUntil(Millis(3000), [&] { return findWorker(taskOf(ID)).has_value(); }));
    m_fleet.startSidecar(lost);
    EXPECT_TRUE(m_fleet.waitForState(ID, "failed", Millis(5000)));
    EXPECT_TRUE(waitUntil(Millis(2000), [&] { return m_fleet.m_witness.countRunning() == 0; }));
}

}  // namespace pierbank::testing
