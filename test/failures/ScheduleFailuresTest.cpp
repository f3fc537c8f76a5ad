// SPDX-License-Identifier: Apache-2.0
// The schedule under failure: what the brief says must always hold of jobs and gangs.
#include <gtest/gtest.h>

#include "TestCluster.h"

namespace pierbank::testing {
namespace {

class ScheduleFailuresTest : public ::testing::Test {
protected:
    void setUp(int gateways, int workers) {
        m_cluster = std::make_unique<TestCluster>(gateways, workers, 0);
        ASSERT_TRUE(m_cluster->waitForReady());
        m_cluster->run("organisation create factoring");
        m_cluster->run("organisation create forecast");
    }

    void submitAndWait(const std::string& statement, const std::string& job) {
        m_cluster->run(statement);
        ASSERT_TRUE(m_cluster->waitForJob(job, JobState::RUNNING));
        // The members start a moment after the commit.
        m_cluster->loop().advance(Millis(50));
    }

    TestCluster& cluster() { return *m_cluster; }

    std::unique_ptr<TestCluster> m_cluster;
};

TEST_F(ScheduleFailuresTest, AGangIsPlacedStartedAndEnds) {
    setUp(1, 2);
    submitAndWait("submit job score for factoring shape 2x8 within rack runtime 5s", "score");
    EXPECT_EQ(cluster().worker(1).getTasks().countRunning(), 1U);
    EXPECT_EQ(cluster().worker(2).getTasks().countRunning(), 1U);
    EXPECT_TRUE(cluster().waitForJob("score", JobState::ENDED));
    EXPECT_EQ(cluster().findPartAlone("score", 2), Millis(0));
}

TEST_F(ScheduleFailuresTest, ANewLeaderAdoptsWhatRunsAndRestartsNothing) {
    setUp(2, 2);
    submitAndWait("submit job score for factoring shape 2x8 runtime 10min", "score");
    const std::uint64_t attempt = cluster().findJob("score")->m_attempt;
    cluster().killGateway(cluster().findLeader());
    ASSERT_TRUE(cluster().waitForLeader());
    cluster().loop().advance(Millis(10'000));
    EXPECT_EQ(cluster().findJob("score")->m_attempt, attempt);
    EXPECT_EQ(cluster().findJob("score")->m_state, JobState::RUNNING);
    EXPECT_EQ(cluster().worker(1).getTasks().countRunning(), 1U);
    EXPECT_GE(cluster().readRecord().m_epoch, 2U);
}

TEST_F(ScheduleFailuresTest, AFrozenLeaderCannotCommitWhenItWakes) {
    setUp(2, 2);
    const int old = cluster().findLeader();
    cluster().gateway(old).m_loop->freeze();
    ASSERT_TRUE(cluster().waitForLeader());
    cluster().run("submit job one for factoring shape 1x8 runtime 10min");
    const std::uint64_t epoch = cluster().readRecord().m_epoch;
    cluster().gateway(old).m_loop->thaw();
    const auto answer = cluster().begin(old, "submit job two for factoring shape 1x8");
    cluster().loop().advance(Millis(10'000));
    ASSERT_TRUE(answer->has_value());
    EXPECT_NE((*answer)->m_status, StatementStatus::DONE);
    EXPECT_FALSE(cluster().findJob("two").has_value());
    EXPECT_GE(cluster().readRecord().m_epoch, epoch);
    EXPECT_EQ(cluster().findJob("one")->m_state, JobState::RUNNING);
    EXPECT_EQ(cluster().findDoubleRun("one"), Millis(0));
}

TEST_F(ScheduleFailuresTest, ADeadWorkersGangStopsWholeAndRunsAgainElsewhereOnlyAfterTheLease) {
    setUp(1, 4);
    submitAndWait("submit job score for factoring shape 2x8 within rack runtime 10min", "score");
    const Job before = *cluster().findJob("score");
    const int lost = static_cast<int>(before.m_members.front().m_worker) + 1;
    cluster().worker(lost).setSilent(true);
    cluster().killWorkerSidecar(lost);
    const auto hasMoved = [&] {
        const auto job = cluster().findJob("score");
        return job->m_state == JobState::RUNNING && job->m_attempt > before.m_attempt;
    };
    ASSERT_TRUE(cluster().loop().advanceUntil(Millis(30'000), hasMoved));
    cluster().loop().advance(Millis(1000));
    EXPECT_EQ(cluster().findDoubleRun("score"), Millis(0));
    const LeaseSettings& leases = cluster().m_settings.m_schedule.m_leases;
    const Millis bound = leases.m_timeToLive + leases.m_slack +
                         cluster().m_settings.m_schedule.m_policy.m_checkpointGrace + Millis(1000);
    EXPECT_LE(cluster().findPartAlone("score", 2), bound);
}

TEST_F(ScheduleFailuresTest, ACutOffWorkerStopsItsTasksBeforeTheyRunElsewhere) {
    setUp(1, 4);
    submitAndWait("submit job score for factoring shape 2x8 within rack runtime 10min", "score");
    const Job before = *cluster().findJob("score");
    const int lost = static_cast<int>(before.m_members.front().m_worker) + 1;
    cluster().network().cut("g1", "w" + std::to_string(lost));
    const auto hasMoved = [&] {
        const auto job = cluster().findJob("score");
        return job->m_state == JobState::RUNNING && job->m_attempt > before.m_attempt;
    };
    ASSERT_TRUE(cluster().loop().advanceUntil(Millis(30'000), hasMoved));
    cluster().loop().advance(Millis(1000));
    EXPECT_EQ(cluster().worker(lost).getTasks().countRunning(), 0U);
    EXPECT_EQ(cluster().findDoubleRun("score"), Millis(0));
}

TEST_F(ScheduleFailuresTest, AFrozenSidecarDoesNotLengthenItsLeaseByOldRenewals) {
    setUp(1, 4);
    submitAndWait("submit job score for factoring shape 1x8 runtime 10min", "score");
    const Job before = *cluster().findJob("score");
    const int held = static_cast<int>(before.m_members.front().m_worker) + 1;
    cluster().workerSidecar(held).m_loop->freeze();
    const auto hasMoved = [&] {
        const auto job = cluster().findJob("score");
        return job->m_state == JobState::RUNNING && job->m_attempt > before.m_attempt;
    };
    ASSERT_TRUE(cluster().loop().advanceUntil(Millis(30'000), hasMoved));
    cluster().workerSidecar(held).m_loop->thaw();
    cluster().loop().advance(Millis(5000));
    EXPECT_EQ(cluster().worker(held).getTasks().countRunning(), 0U);
    EXPECT_EQ(cluster().findDoubleRun("score"), Millis(0));
}

TEST_F(ScheduleFailuresTest, AWorkerLostSoonAfterATakeOverDoesNotWaitForTheOutageGrace) {
    setUp(2, 2);
    submitAndWait("submit job score for factoring shape 1x8 runtime 10min", "score");
    cluster().killGateway(cluster().findLeader());
    ASSERT_TRUE(cluster().waitForLeader());
    cluster().loop().advance(Millis(2000));
    const Job before = *cluster().findJob("score");
    const int lost = static_cast<int>(before.m_members.front().m_worker) + 1;
    const Millis killed = cluster().loop().now();
    cluster().worker(lost).setSilent(true);
    cluster().killWorkerSidecar(lost);
    const auto hasMoved = [&] {
        const auto job = cluster().findJob("score");
        return job->m_state == JobState::RUNNING && job->m_attempt > before.m_attempt;
    };
    ASSERT_TRUE(cluster().loop().advanceUntil(Millis(60'000), hasMoved));
    const LeaseSettings& leases = cluster().m_settings.m_schedule.m_leases;
    EXPECT_LE(cluster().loop().now() - killed, 2 * leases.m_timeToLive + 2 * leases.m_slack);
    EXPECT_EQ(cluster().findDoubleRun("score"), Millis(0));
}

TEST_F(ScheduleFailuresTest, ARestartedSidecarTakesNoFirstLeaseFromALeaderWithoutTheService) {
    setUp(1, 1);
    cluster().gateway(1).m_service->setFault(Fault::DOWN);
    cluster().loop().advance(Millis(10'000));
    cluster().killWorkerSidecar(1);
    cluster().startWorkerSidecar(1);
    cluster().loop().advance(Millis(10'000));
    cluster().gateway(1).m_service->setFault(Fault::NONE);
    cluster().run("submit job score for factoring shape 1x8 runtime 10min");
    EXPECT_TRUE(cluster().waitForJob("score", JobState::RUNNING));
}

TEST_F(ScheduleFailuresTest, ARestartedSidecarFindsItsTasksAgain) {
    setUp(1, 2);
    submitAndWait("submit job score for factoring shape 2x8 runtime 10min", "score");
    const std::uint64_t attempt = cluster().findJob("score")->m_attempt;
    cluster().killWorkerSidecar(1);
    cluster().loop().advance(Millis(1000));
    cluster().startWorkerSidecar(1);
    cluster().loop().advance(Millis(15'000));
    EXPECT_EQ(cluster().findJob("score")->m_state, JobState::RUNNING);
    EXPECT_EQ(cluster().findJob("score")->m_attempt, attempt);
    EXPECT_EQ(cluster().worker(1).getTasks().countRunning(), 1U);
}

TEST_F(ScheduleFailuresTest, ALeaderThatDiesBetweenCommitAndStartLeavesNoPartAlone) {
    setUp(2, 2);
    const int old = cluster().findLeader();
    // The start frames of the old leader never arrive.
    cluster().network().setTap(
            [old](const std::string& from, const std::string&, const Frame& frame) {
                const bool isStart = std::holds_alternative<GangStart>(frame);
                return !(isStart && from == "g" + std::to_string(old));
            });
    cluster().run("submit job score for factoring shape 2x8 runtime 10min");
    ASSERT_TRUE(cluster().waitForJob("score", JobState::RUNNING));
    EXPECT_EQ(cluster().worker(1).getTasks().countRunning(), 0U);
    cluster().killGateway(old);
    const auto bothRun = [&] {
        return cluster().worker(1).getTasks().countRunning() == 1 &&
               cluster().worker(2).getTasks().countRunning() == 1;
    };
    EXPECT_TRUE(cluster().loop().advanceUntil(Millis(30'000), bothRun));
    EXPECT_LE(cluster().findPartAlone("score", 2), Millis(100));
}

TEST_F(ScheduleFailuresTest, OneMissingStartStopsNobodyAndIsSentAgain) {
    setUp(1, 2);
    int dropped = 0;
    cluster().network().setTap([&](const std::string&, const std::string& to, const Frame& frame) {
        const bool isFirstStart =
                std::holds_alternative<GangStart>(frame) && to == "w2" && dropped == 0;
        dropped += isFirstStart ? 1 : 0;
        return !isFirstStart;
    });
    submitAndWait("submit job score for factoring shape 2x8 runtime 10min", "score");
    cluster().loop().advance(Millis(3000));
    EXPECT_EQ(dropped, 1);
    EXPECT_EQ(cluster().worker(2).getTasks().countRunning(), 1U);
    EXPECT_LE(cluster().findPartAlone("score", 2), Millis(2000));
}

TEST_F(ScheduleFailuresTest, AMemberThatFailsStopsItsWholeGang) {
    setUp(1, 4);
    cluster().worker(1).getTasks().setFailing(true);
    cluster().run("submit job score for factoring shape 4x8 runtime 10min");
    // It needs the failing worker each time, so the job itself is given up in the end.
    ASSERT_TRUE(cluster().waitForJob("score", JobState::FAILED, Millis(60'000)));
    EXPECT_EQ(cluster().findJob("score")->m_why.m_constraint, Constraint::JOB_AT_FAULT);
    EXPECT_LE(cluster().findPartAlone("score", 4), Millis(2000));
}

TEST_F(ScheduleFailuresTest, AWorkerThatFailsEveryTaskIsQuarantinedAndTheJobsRunElsewhere) {
    setUp(1, 3);
    cluster().worker(1).getTasks().setFailing(true);
    for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
        cluster().run("submit job " + std::string(name) + " for factoring shape 1x4 runtime 10min");
    }
    const auto allRun = [&] {
        const ScheduleRecord record = cluster().readRecord();
        const auto& jobs = record.m_state.m_jobs;
        const auto running = std::count_if(jobs.begin(), jobs.end(), [](const auto& e) {
            return e.second.m_state == JobState::RUNNING;
        });
        return running == 4 && record.m_state.m_workers.at(0).m_state == WorkerState::QUARANTINED;
    };
    EXPECT_TRUE(cluster().loop().advanceUntil(Millis(60'000), allRun));
}

TEST_F(ScheduleFailuresTest, AGuaranteedShapeIsReclaimedFromFullRacks) {
    setUp(1, 4);
    cluster().run("guarantee factoring 1 of 2x8 within rack");
    for (int i = 1; i <= 8; ++i) {
        cluster().run("submit job small-" + std::to_string(i) +
                      " for forecast shape 1x4 runtime 10min");
    }
    ASSERT_TRUE(cluster().waitForJob("small-8", JobState::RUNNING));
    const Millis asked = cluster().loop().now();
    cluster().run("submit job score for factoring shape 2x8 within rack runtime 5s urgent");
    ASSERT_TRUE(cluster().waitForJob("score", JobState::RUNNING));
    EXPECT_LE(cluster().loop().now() - asked, Millis(8100));
    EXPECT_TRUE(cluster().waitForJob("score", JobState::ENDED));
    EXPECT_EQ(cluster().findPartAlone("score", 2), Millis(0));
}

TEST_F(ScheduleFailuresTest, AWaveOfCancellationsFreesEverything) {
    setUp(1, 4);
    for (int i = 1; i <= 40; ++i) {
        cluster().run("submit job small-" + std::to_string(i) +
                      " for forecast shape 1x4 runtime 10min");
    }
    std::vector<std::shared_ptr<std::optional<StatementAnswer>>> answers;
    for (int i = 1; i <= 40; ++i) {
        answers.push_back(cluster().begin(1, "withdraw job small-" + std::to_string(i)));
    }
    cluster().loop().advance(Millis(5000));
    for (const auto& answer : answers) {
        ASSERT_TRUE(answer->has_value());
        EXPECT_EQ((*answer)->m_status, StatementStatus::DONE);
    }
    for (int i = 1; i <= 4; ++i) {
        EXPECT_EQ(cluster().worker(i).getTasks().countRunning(), 0U);
    }
}

}  // namespace
}  // namespace pierbank::testing
