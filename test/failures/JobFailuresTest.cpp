// SPDX-License-Identifier: Apache-2.0
// Jobs from submission to end, without faults and with faults of the store and of gateways.
#include <gtest/gtest.h>

#include "JobFleetTest.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr const char* OTHER_ID = "00000000000000b2";
constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":1000})";
constexpr const char* WHOLE = R"({"count":1,"cpu":8000,"mem_mb":100,"gpu":8,"est_ms":1000})";
constexpr const char* GANG =
        R"({"count":2,"cpu":8000,"mem_mb":100,"gpu":8,"est_ms":1000,"gang":true})";

class JobFailuresTest : public JobFleetTest {};

}  // namespace

// Without faults.

TEST_F(JobFailuresTest, AJobSubmittedToAnyGatewayRunsOnceAndSucceeds) {
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300", "/batch/", getFollower()).m_status, 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(3000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

TEST_F(JobFailuresTest, AJobSubmittedTwiceRunsOnce) {
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300").m_status, 200U);
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300", "/batch/", 1).m_status, 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(3000)));
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300", "/batch/", 2).m_status, 200U);
    m_fleet.m_loop.advance(Millis(1000));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

TEST_F(JobFailuresTest, AStepWaitsForItsPredecessors) {
    const std::string second = R"({"count":1,"cpu":1000,"gpu":1,"est_ms":100,"after":[0]})";
    EXPECT_EQ(m_fleet.submit(ID, std::string(SMALL) + "," + second, "500").m_status, 200U);
    m_fleet.m_loop.advance(Millis(300));
    EXPECT_EQ(m_fleet.m_witness.countStarts({ID, 0, 1, 0}), 0U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(5000)));
}

TEST_F(JobFailuresTest, AScheduledJobRunsAsOftenAsSpecifiedAndNotBeforeItIsDue) {
    const Millis due = m_fleet.m_loop.wallNow() + Millis(1000);
    const std::string body = R"({"spec":"100","max_runs":2,"interval_ms":1000,"first_ms":)" +
                             std::to_string(due.count()) + R"(,"steps":[)" + SMALL + "]}";
    EXPECT_EQ(m_fleet.sendRequest(0, "POST", std::string("/batch/") + ID, body).m_status, 200U);
    m_fleet.m_loop.advance(Millis(800));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 0U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(5000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts({ID, 1, 0, 0}), 1U);
}

TEST_F(JobFailuresTest, AGangStartsWithAllItsMembers) {
    EXPECT_EQ(m_fleet.submit(ID, GANG, "1000").m_status, 200U);
    m_fleet.m_loop.advance(Millis(200));
    EXPECT_TRUE(m_fleet.m_witness.isRunning(taskOf(ID, 0)));
    EXPECT_TRUE(m_fleet.m_witness.isRunning(taskOf(ID, 1)));
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(5000)));
}

TEST_F(JobFailuresTest, UrgentWorkPreemptsOtherWork) {
    const std::string four = R"({"count":4,"cpu":8000,"gpu":8,"est_ms":9000})";
    EXPECT_EQ(m_fleet.submit(ID, four, "9000").m_status, 200U);
    m_fleet.m_loop.advance(Millis(300));
    EXPECT_EQ(m_fleet.m_witness.countRunning(), 4U);
    EXPECT_EQ(m_fleet.submit(OTHER_ID, WHOLE, "500", "/urgent/").m_status, 200U);
    EXPECT_TRUE(m_fleet.m_loop.advanceUntil(
            Millis(1000), [&] { return m_fleet.m_witness.isRunning(taskOf(OTHER_ID)); }));
    EXPECT_TRUE(m_fleet.waitForState(OTHER_ID, "succeeded", Millis(2000), "/urgent/"));
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(30'000)));
}

TEST_F(JobFailuresTest, AJobThatFailsOnEachWorkerFailsAfterItsAttempts) {
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "!100").m_status, 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "failed", Millis(5000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 2U);
}

// Operators.

TEST_F(JobFailuresTest, OperatorsSeeCallersJobsAndWhyTheyArePending) {
    const std::string tooBig = R"({"count":1,"cpu":9000,"gpu":8,"est_ms":500})";
    m_fleet.submit(ID, tooBig, "500");
    m_fleet.submit(OTHER_ID, SMALL, "5000");
    m_fleet.m_loop.advance(Millis(200));
    const StatementAnswer waiting =
            m_fleet.executeStatement(getLeader(), "why job " + std::string(ID));
    EXPECT_NE(waiting.m_message.find("no worker that it may use has room"), std::string::npos)
            << waiting.m_message;
    const StatementAnswer running =
            m_fleet.executeStatement(getLeader(), "why job " + std::string(OTHER_ID));
    EXPECT_NE(running.m_message.find("is running"), std::string::npos) << running.m_message;
    const StatementAnswer jobs =
            m_fleet.executeStatement(getLeader(), "show jobs where state = running");
    ASSERT_TRUE(jobs.m_table.has_value());
    EXPECT_EQ(jobs.m_table->m_rows.size(), 1U);
    for (const char* query : {"show workers", "show organisations", "show configuration"}) {
        EXPECT_EQ(m_fleet.executeStatement(getLeader(), query).m_status, StatementStatus::DONE)
                << query;
    }
    EXPECT_EQ(m_fleet.executeStatement(getLeader(), "why worker 127.0.1.1-7000").m_status,
              StatementStatus::DONE);
    EXPECT_EQ(m_fleet.executeStatement(getLeader(), "why organisation a").m_status,
              StatementStatus::DONE);
    EXPECT_EQ(m_fleet.executeStatement(getLeader(), "organisation create b").m_status,
              StatementStatus::REFUSED);
    EXPECT_EQ(m_fleet.executeStatement(getLeader(), "why job nobody").m_status,
              StatementStatus::REFUSED);
}

TEST_F(JobFailuresTest, AnOperatorCanCancelACallersJob) {
    m_fleet.submit(ID, SMALL, "9000");
    m_fleet.m_loop.advance(Millis(200));
    EXPECT_EQ(m_fleet.executeStatement(getLeader(), "withdraw job " + std::string(ID)).m_status,
              StatementStatus::DONE);
    EXPECT_TRUE(m_fleet.waitForState(ID, "canceled", Millis(1000)));
    EXPECT_EQ(m_fleet.executeStatement(getLeader(), "withdraw job " + std::string(ID)).m_status,
              StatementStatus::REFUSED);
}

// Cancellation.

TEST_F(JobFailuresTest, ACancelledJobIsStoppedAndNotStartedAgain) {
    m_fleet.submit(ID, SMALL, "9000");
    m_fleet.m_loop.advance(Millis(200));
    EXPECT_EQ(m_fleet.sendRequest(1, "DELETE", std::string("/batch/") + ID).m_status, 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "canceled", Millis(1000)));
    m_fleet.m_loop.advance(Millis(1000));
    EXPECT_FALSE(m_fleet.m_witness.isRunning(taskOf(ID)));
}

/** A list returns cancellations before the jobs that they refer to. */
TEST_F(JobFailuresTest, AJobAndItsCancellationThatAWatchMissedAreBothFound) {
    m_fleet.m_storeState.m_dropsWatchEvents = true;
    const std::size_t gateway = getFollower();
    m_fleet.m_network.cut(m_fleet.m_gateways[getLeader()].m_name,
                          m_fleet.m_gateways[gateway].m_name);
    m_fleet.submit(ID, SMALL, "9000", "/batch/", gateway);
    EXPECT_EQ(m_fleet.sendRequest(gateway, "DELETE", std::string("/batch/") + ID).m_status, 200U);
    m_fleet.m_storeState.m_historyStart = m_fleet.m_storeState.getRevision();
    m_fleet.m_storeState.m_dropsWatchEvents = false;
    EXPECT_TRUE(m_fleet.waitForState(ID, "canceled", Millis(8000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 0U);
}

TEST_F(JobFailuresTest, ALeaderWithoutWatchEventsReceivesAJobFromItsGateway) {
    m_fleet.m_storeState.m_dropsWatchEvents = true;
    m_fleet.submit(ID, SMALL, "9000", "/batch/", getFollower());
    m_fleet.m_loop.advance(Millis(100));
    EXPECT_TRUE(m_fleet.m_witness.isRunning(taskOf(ID)));
    EXPECT_EQ(m_fleet.sendRequest(getFollower(), "DELETE", std::string("/batch/") + ID).m_status,
              200U);
    m_fleet.m_loop.advance(Millis(200));
    EXPECT_FALSE(m_fleet.m_witness.isRunning(taskOf(ID)));
}

TEST_F(JobFailuresTest, AnUnknownJobIsAnsweredAsGone) {
    EXPECT_EQ(m_fleet.getState(ID), "410");
    EXPECT_EQ(m_fleet.sendRequest(0, "DELETE", std::string("/batch/") + ID).m_status, 410U);
}

// The store.

TEST_F(JobFailuresTest, ALostAnswerToASubmissionIsResolved) {
    m_fleet.m_storeState.m_answersToLose = 1;
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300").m_status, 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(5000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

TEST_F(JobFailuresTest, ALateWriteHasNoEffect) {
    m_fleet.m_storeState.m_writesToDelay = 1;
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300").m_status, 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(3000)));
    m_fleet.m_loop.advance(Millis(5000));
    EXPECT_EQ(m_fleet.getState(ID), "succeeded");
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

TEST_F(JobFailuresTest, DecisionsWithLostAnswersTakeEffectOnce) {
    m_fleet.submit(ID, SMALL, "300");
    m_fleet.m_storeState.m_answersToLose = 3;
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(10'000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

TEST_F(JobFailuresTest, WithTheStoreDownARequestIsRefusedAtOnceWithARetryDelay) {
    m_fleet.m_storeState.m_isDown = true;
    const Millis before = m_fleet.m_loop.now();
    const IntakeAnswer answer = m_fleet.submit(ID, SMALL, "300");
    EXPECT_EQ(answer.m_status, 503U);
    EXPECT_GT(answer.m_retryAfter, Millis(0));
    EXPECT_LT(m_fleet.m_loop.now() - before, Millis(100));
    m_fleet.m_storeState.m_isDown = false;
    m_fleet.m_loop.advance(Millis(8000));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 0U);
}

TEST_F(JobFailuresTest, RunsContinueWhileTheStoreIsDown) {
    m_fleet.submit(ID, SMALL, "6000");
    m_fleet.m_loop.advance(Millis(500));
    m_fleet.m_storeState.m_isDown = true;
    m_fleet.m_loop.advance(Millis(8000));
    m_fleet.m_storeState.m_isDown = false;
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(6000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

// The configuration.

TEST_F(JobFailuresTest, ARevokedKeyIsRefused) {
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(100));
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300").m_status, 401U);
    EXPECT_EQ(m_fleet.sendRequest(0, "POST", std::string("/batch/") + ID,
                                  R"({"spec":"1","steps":[)" + std::string(SMALL) + "]}", "key-b")
                      .m_status,
              200U);
}

TEST_F(JobFailuresTest, AKeyRevokedWithoutAWatchEventIsRefused) {
    m_fleet.m_storeState.m_dropsWatchEvents = true;
    m_fleet.configure({"key-b"});
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300").m_status, 401U);
}

TEST_F(JobFailuresTest, ANewKeyWithoutAWatchEventIsAccepted) {
    m_fleet.m_storeState.m_dropsWatchEvents = true;
    m_fleet.configure({"key-b"});
    EXPECT_EQ(m_fleet.sendRequest(0, "GET", "/batch/", "", "key-b").m_status, 200U);
}

TEST_F(JobFailuresTest, AGatewayCutOffFromTheStoreAndItsPeersRefusesRequestsWithKeys) {
    const std::size_t cut = getFollower();
    const std::string& name = m_fleet.m_gateways[cut].m_name;
    m_fleet.m_storeState.m_cutOff.insert(name);
    for (const auto& gateway : m_fleet.m_gateways) {
        if (gateway.m_name != name) {
            m_fleet.m_network.cut(name, gateway.m_name);
        }
    }
    m_fleet.m_loop.advance(Millis(2500));
    EXPECT_EQ(m_fleet.getState(ID, "/batch/", cut), "503");
}

TEST_F(JobFailuresTest, AGatewayCutOffFromTheStoreLetsTheLeaderAnswer) {
    const std::size_t cut = getFollower();
    m_fleet.m_storeState.m_cutOff.insert(m_fleet.m_gateways[cut].m_name);
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300", "/batch/", cut).m_status, 200U);
    m_fleet.m_loop.advance(Millis(2500));
    EXPECT_EQ(m_fleet.submit(OTHER_ID, SMALL, "300", "/batch/", cut).m_status, 200U);
    EXPECT_EQ(m_fleet.getState(ID, "/batch/", cut), "succeeded");
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(700));
    EXPECT_EQ(m_fleet.getState(ID, "/batch/", cut), "401");
}

// Leaders.

TEST_F(JobFailuresTest, AKilledLeaderIsReplacedAndNoTaskRunsTwice) {
    m_fleet.submit(ID, SMALL, "4000");
    m_fleet.m_loop.advance(Millis(300));
    const std::size_t dead = getLeader();
    const std::size_t other = getFollower();
    m_fleet.killGateway(dead);
    EXPECT_TRUE(m_fleet.waitForLeader(Millis(3000)));
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(8000), "/batch/", other));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

/** An order that never arrived must be sent again, also while its job has a change under way. */
TEST_F(JobFailuresTest, AnOrderThatATerminatedLeaderNeverSentIsSentByItsSuccessor) {
    m_fleet.m_network.setTap([](const std::string&, const std::string&, const Frame& frame) {
        const auto* const order = std::get_if<RunOrder>(&frame);
        return order == nullptr || order->m_task != taskOf(ID, 1).toText();
    });
    const std::string two = R"({"count":2,"cpu":8000,"gpu":8,"est_ms":500})";
    const std::size_t other = getFollower();
    EXPECT_EQ(m_fleet.submit(ID, two, "500", "/batch/", other).m_status, 200U);
    m_fleet.m_loop.advance(Millis(100));
    EXPECT_TRUE(m_fleet.m_witness.isRunning(taskOf(ID, 0)));
    m_fleet.killGateway(getLeader());
    m_fleet.m_network.setTap(nullptr);
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(8000), "/batch/", other));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID, 1)), 1U);
}

TEST_F(JobFailuresTest, ALeaderCutOffFromTheStoreIsReplacedAndCanDecideNothing) {
    m_fleet.submit(ID, SMALL, "4000");
    m_fleet.m_loop.advance(Millis(300));
    const std::size_t other = getFollower();
    m_fleet.m_storeState.m_cutOff.insert(m_fleet.m_gateways[getLeader()].m_name);
    m_fleet.m_loop.advance(Millis(4000));
    EXPECT_EQ(m_fleet.submit(OTHER_ID, SMALL, "300", "/batch/", other).m_status, 200U);
    EXPECT_TRUE(m_fleet.waitForState(OTHER_ID, "succeeded", Millis(4000), "/batch/", other));
    m_fleet.m_storeState.m_cutOff.clear();
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(4000), "/batch/", other));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

/**
 * Guards against a superseded leader that goes on connecting to sidecars, which refuse it, and
 * answers no requests.
 */
TEST_F(JobFailuresTest, ALeaderCutOffFromTheStoreStepsDownAndForwardsToItsSuccessor) {
    const std::size_t old = getLeader();
    m_fleet.m_storeState.m_cutOff.insert(m_fleet.m_gateways[old].m_name);
    m_fleet.m_loop.advance(Millis(4000));
    EXPECT_FALSE(m_fleet.m_gateways[old].m_core->getJobs().isLeading());
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300", "/batch/", old).m_status, 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(4000), "/batch/", old));
}

TEST_F(JobFailuresTest, AFrozenLeaderIsSupersededAndForwardsAfterThawing) {
    m_fleet.submit(ID, SMALL, "4000");
    m_fleet.m_loop.advance(Millis(300));
    const std::size_t frozen = getLeader();
    const std::size_t other = getFollower();
    m_fleet.m_gateways[frozen].m_loop->freeze();
    m_fleet.m_loop.advance(Millis(9000));
    m_fleet.m_gateways[frozen].m_loop->thaw();
    m_fleet.m_loop.advance(Millis(1000));
    EXPECT_EQ(m_fleet.submit(OTHER_ID, SMALL, "300", "/batch/", frozen).m_status, 200U);
    EXPECT_TRUE(m_fleet.waitForState(OTHER_ID, "succeeded", Millis(4000), "/batch/", other));
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(8000), "/batch/", other));
}

TEST_F(JobFailuresTest, ALeaderThatReleasesTheLeadershipIsReplacedAtOnce) {
    m_fleet.m_gateways[getLeader()].m_core->release();
    EXPECT_TRUE(m_fleet.waitForLeader(Millis(500)));
}

TEST_F(JobFailuresTest, AllGatewaysKilledAtOnceLoseNoJob) {
    m_fleet.submit(ID, SMALL, "3000");
    m_fleet.m_loop.advance(Millis(300));
    for (std::size_t i = 0; i < 3; ++i) {
        m_fleet.killGateway(i);
    }
    m_fleet.m_loop.advance(Millis(1000));
    for (std::size_t i = 0; i < 3; ++i) {
        m_fleet.startGateway(i);
    }
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(15'000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

/**
 * All machines except the store lose power at the same time, at several times after the acceptance.
 */
TEST_F(JobFailuresTest, AJobAcceptedJustBeforeAPowerLossRunsAfterIt) {
    for (int round = 0; round < 12; ++round) {
        const std::string id = "00000000000000" + std::to_string(10 + round);
        const std::size_t gateway = static_cast<std::size_t>(round) % 3;
        ASSERT_EQ(m_fleet.submit(id, SMALL, "500", "/batch/", gateway).m_status, 200U);
        m_fleet.m_loop.advance(Millis(7 * round));
        for (std::size_t i = 0; i < m_fleet.m_gateways.size(); ++i) {
            m_fleet.killGateway(i);
        }
        for (std::size_t i = 0; i < m_fleet.m_sidecars.size(); ++i) {
            m_fleet.killSidecar(i);
            getSidecar(i).m_worker->restart();
        }
        m_fleet.m_loop.advance(Millis(800));
        for (std::size_t i = 0; i < m_fleet.m_sidecars.size(); ++i) {
            m_fleet.startSidecar(i);
        }
        for (std::size_t i = 0; i < m_fleet.m_gateways.size(); ++i) {
            m_fleet.startGateway(i);
        }
        m_fleet.m_loop.advance(Millis(1500));
        EXPECT_TRUE(m_fleet.waitForState(id, "succeeded", Millis(15'000), "/batch/", gateway))
                << round;
    }
}

/**
 * The run record of a job is corrupt. Guards against a leader that treats the job as not started:
 * its next decision is written on the condition that there is no record, the store refuses it, the
 * leader gives up its leadership, and so does each successor.
 */
TEST_F(JobFailuresTest, ACorruptRunRecordAffectsNoOtherJobAndNoLeader) {
    m_fleet.submit(ID, SMALL, "60000");
    m_fleet.m_loop.advance(Millis(500));
    m_fleet.m_storeState.put(getRunKey(ID), "not a record");
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    const std::size_t leader = getLeader();
    const StoreRevision epoch = m_fleet.m_gateways[leader].m_core->getLock().getEpoch();
    m_fleet.submit(OTHER_ID, SMALL, "1000", "/batch/", leader);
    EXPECT_TRUE(m_fleet.waitForState(OTHER_ID, "succeeded", Millis(5000), "/batch/", leader));
    EXPECT_EQ(m_fleet.getState(ID, "/batch/", leader), "503") << "what is not known is not told";
    EXPECT_EQ(m_fleet.sendRequest(leader, "DELETE", std::string("/batch/") + ID).m_status, 503U);
    m_fleet.m_loop.advance(Millis(5000));
    EXPECT_EQ(m_fleet.m_gateways[leader].m_core->getLock().getEpoch(), epoch);
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U) << "it may have ended well";
}

}  // namespace pierbank::testing
