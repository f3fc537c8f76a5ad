// SPDX-License-Identifier: Apache-2.0
// Configuration and store outages: in force everywhere in seconds, never reverting.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "TestCluster.h"

namespace pierbank::testing {
namespace {

class ConfigurationFailuresTest : public ::testing::Test {
protected:
    void setUp(int gateways, int workers, int endpoints = 1) {
        m_cluster = std::make_unique<TestCluster>(gateways, workers, endpoints);
        ASSERT_TRUE(m_cluster->waitForReady());
        m_cluster->run("organisation create factoring");
    }

    std::uint64_t getVersion(int gateway) {
        const std::string health = cluster().gateway(gateway).m_core->getHealth();
        return nlohmann::json::parse(health)["configuration_version"].get<std::uint64_t>();
    }

    void setFault(int gateway, Fault fault) {
        cluster().gateway(gateway).m_service->setFault(fault);
    }

    /** A gateway that does not lead. */
    int findFollower() { return cluster().findLeader() == 1 ? 2 : 1; }

    TestCluster& cluster() { return *m_cluster; }

    std::unique_ptr<TestCluster> m_cluster;
};

TEST_F(ConfigurationFailuresTest, AChangeIsInForceEverywhereWithinSeconds) {
    setUp(3, 2);
    cluster().run("guarantee factoring 1 of 1x8");
    const std::uint64_t version = getVersion(cluster().findLeader());
    cluster().loop().advance(Millis(2000));
    for (int i = 1; i <= 3; ++i) {
        EXPECT_EQ(getVersion(i), version);
    }
    const StatementAnswer shown = cluster().execute(1, "show configuration");
    for (const auto& row : shown.m_table->m_rows) {
        EXPECT_EQ(row.at(1).m_number, static_cast<double>(version)) << row.at(0).m_text;
    }
}

TEST_F(ConfigurationFailuresTest, ABrokenWatchIsMadeUpForByThePoll) {
    setUp(2, 1, 0);
    const int follower = findFollower();
    // Neither watches nor the sidecar bring the news to the follower.
    cluster().network().cut("g" + std::to_string(follower), "w1");
    cluster().store().breakWatches();
    cluster().run("weights fragmentation 80");
    const std::uint64_t version = getVersion(cluster().findLeader());
    EXPECT_TRUE(cluster().loop().advanceUntil(Millis(11'000),
                                              [&] { return getVersion(follower) == version; }));
}

TEST_F(ConfigurationFailuresTest, OneGatewayWithTheNewsIsEnoughForAll) {
    setUp(2, 1);
    const int follower = findFollower();
    setFault(follower, Fault::DOWN);
    cluster().loop().advance(Millis(1000));
    cluster().run("weights fragmentation 80");
    const std::uint64_t version = getVersion(cluster().findLeader());
    EXPECT_TRUE(cluster().loop().advanceUntil(Millis(3000),
                                              [&] { return getVersion(follower) == version; }));
}

TEST_F(ConfigurationFailuresTest, AGatewayStartedInAnOutageTakesTheHighestVersionItsSidecarsHold) {
    setUp(2, 1);
    cluster().run("weights fragmentation 80");
    cluster().loop().advance(Millis(2000));
    const std::uint64_t version = getVersion(1);
    const int follower = findFollower();
    cluster().killGateway(follower);
    cluster().startGateway(follower);
    setFault(follower, Fault::DOWN);
    EXPECT_TRUE(cluster().loop().advanceUntil(Millis(5000),
                                              [&] { return getVersion(follower) == version; }));
    const AnswerPtr answer = cluster().send(follower, "/in-outage");
    ASSERT_TRUE(cluster().waitForAnswer(answer));
    EXPECT_EQ((*answer)->m_outcome, CallerOutcome::RAN);
}

TEST_F(ConfigurationFailuresTest, AVersionNeverGoesBackThroughRestartsAndOutages) {
    setUp(3, 2);
    Random random(7);
    std::map<int, std::uint64_t> highest;
    for (int round = 0; round < 40; ++round) {
        const int gateway = 1 + static_cast<int>(random.below(3));
        switch (random.below(4)) {
            case 0:
                cluster().killGateway(gateway);
                cluster().startGateway(gateway);
                highest[gateway] = 0;
                break;
            case 1:
                setFault(gateway, Fault::DOWN);
                break;
            case 2:
                setFault(gateway, Fault::NONE);
                break;
            default:
                if (cluster().findLeader() != 0) {
                    cluster().begin(cluster().findLeader(),
                                    "weights fragmentation " + std::to_string(round));
                }
                break;
        }
        for (int step = 0; step < 10; ++step) {
            cluster().loop().advance(Millis(100));
            for (int i = 1; i <= 3; ++i) {
                EXPECT_GE(getVersion(i), highest[i]);
                highest[i] = getVersion(i);
            }
        }
    }
}

TEST_F(ConfigurationFailuresTest, OfTwoRacingOperatorsOneWinsAndTheOtherIsToldWhatItLostTo) {
    setUp(2, 2);
    const int leader = cluster().findLeader();
    const auto first = cluster().begin(leader, "guarantee factoring 1 of 1x8", "alice");
    const auto second = cluster().begin(leader, "guarantee factoring 2 of 1x8", "bob");
    cluster().loop().advance(Millis(2000));
    ASSERT_TRUE(first->has_value() && second->has_value());
    EXPECT_EQ((*first)->m_status, StatementStatus::DONE);
    EXPECT_EQ((*second)->m_status, StatementStatus::REFUSED);
    EXPECT_NE((*second)->m_message.find("alice"), std::string::npos);
    const StatementAnswer audit = cluster().execute(leader, "show audit where who = bob");
    ASSERT_EQ(audit.m_table->m_rows.size(), 1U);
    EXPECT_EQ(audit.m_table->m_rows.at(0).at(3).m_text, "refused");
}

TEST_F(ConfigurationFailuresTest, ALostAnswerOfAChangeIsResolvedBeforeAnybodyIsTold) {
    setUp(1, 2);
    cluster().gateway(1).m_service->failNextWrites({Fault::ANSWER_LOST});
    const StatementAnswer answer = cluster().execute(1, "guarantee factoring 1 of 1x8");
    EXPECT_EQ(answer.m_status, StatementStatus::DONE);
    const StatementAnswer shown = cluster().execute(1, "show organisations");
    EXPECT_EQ(shown.m_table->m_rows.at(0).at(1).m_text, "1 of 1x8 within region");
}

struct SubmitCase {
    const char* m_name;
    std::deque<Fault> m_faults;
    Fault m_faultAfter;
    /** The answers that are right; the job must then be there or not be there. */
    std::vector<StatementStatus> m_allowed;
};

class SubmitFaultTest : public ConfigurationFailuresTest,
                        public ::testing::WithParamInterface<SubmitCase> {};

TEST_P(SubmitFaultTest, TheAnswerAgreesWithTheRecord) {
    setUp(1, 1);
    cluster().loop().advance(Millis(1000));
    cluster().gateway(1).m_service->failNextWrites(GetParam().m_faults);
    const auto answer = cluster().begin(1, "submit job one for factoring shape 1x4");
    cluster().loop().advance(Millis(100));
    setFault(1, GetParam().m_faultAfter);
    cluster().loop().advance(Millis(9000));
    setFault(1, Fault::NONE);
    cluster().loop().advance(Millis(9000));
    ASSERT_TRUE(answer->has_value());
    const StatementStatus status = (*answer)->m_status;
    const auto& allowed = GetParam().m_allowed;
    EXPECT_NE(std::find(allowed.begin(), allowed.end(), status), allowed.end())
            << static_cast<int>(status);
    const bool isThere = cluster().findJob("one").has_value();
    if (status == StatementStatus::DONE) {
        EXPECT_TRUE(isThere);
    }
    if (status == StatementStatus::NOT_RUN) {
        EXPECT_FALSE(isThere);
    }
}

INSTANTIATE_TEST_SUITE_P(
        Faults, SubmitFaultTest,
        ::testing::Values(
                SubmitCase{"None", {}, Fault::NONE, {StatementStatus::DONE}},
                SubmitCase{"Down", {Fault::DOWN}, Fault::DOWN, {StatementStatus::NOT_RUN}},
                SubmitCase{
                        "AnswerLost", {Fault::ANSWER_LOST}, Fault::NONE, {StatementStatus::DONE}},
                SubmitCase{"AnswerLostThenDown",
                           {Fault::ANSWER_LOST},
                           Fault::DOWN,
                           {StatementStatus::UNKNOWN}},
                SubmitCase{"CallLostThenDown",
                           {Fault::CALL_LOST},
                           Fault::DOWN,
                           {StatementStatus::UNKNOWN}},
                SubmitCase{
                        "LateEffect", {Fault::LATE_EFFECT}, Fault::NONE, {StatementStatus::DONE}},
                SubmitCase{"LateEffectThenDown",
                           {Fault::LATE_EFFECT},
                           Fault::DOWN,
                           {StatementStatus::UNKNOWN}}),
        [](const auto& info) { return info.param.m_name; });

TEST_F(ConfigurationFailuresTest, InAnOutageRunningJobsGoOnAndChangesAreRefusedAtOnce) {
    setUp(2, 2);
    cluster().run("submit job score for factoring shape 2x8 runtime 10min");
    ASSERT_TRUE(cluster().waitForJob("score", JobState::RUNNING));
    const std::uint64_t attempt = cluster().findJob("score")->m_attempt;
    const int leader = cluster().findLeader();
    setFault(1, Fault::DOWN);
    setFault(2, Fault::DOWN);
    cluster().loop().advance(Millis(1000));
    cluster().begin(leader, "submit job first for factoring shape 1x4");
    cluster().loop().advance(Millis(500));
    const Millis asked = cluster().loop().now();
    const StatementAnswer refused =
            cluster().execute(leader, "submit job second for factoring shape 1x4");
    EXPECT_EQ(refused.m_status, StatementStatus::NOT_RUN);
    EXPECT_GT(refused.m_retryAfter, Millis(0));
    EXPECT_LE(cluster().loop().now() - asked, Millis(50));
    cluster().loop().advance(Millis(50'000));
    EXPECT_EQ(cluster().worker(1).getTasks().countRunning(), 1U);
    const AnswerPtr answer = cluster().send(1, "/in-outage");
    ASSERT_TRUE(cluster().waitForAnswer(answer));
    EXPECT_EQ((*answer)->m_outcome, CallerOutcome::RAN);
    setFault(1, Fault::NONE);
    setFault(2, Fault::NONE);
    cluster().loop().advance(Millis(10'000));
    EXPECT_EQ(cluster().findJob("score")->m_attempt, attempt);
    EXPECT_EQ(cluster().findJob("score")->m_state, JobState::RUNNING);
    EXPECT_FALSE(cluster().findJob("second").has_value());
}

TEST_F(ConfigurationFailuresTest, ALeaderCutOffForLongStopsGrantingBeforeAnotherPlacesItsWork) {
    setUp(2, 4);
    cluster().run("submit job score for factoring shape 1x8 runtime 30min");
    ASSERT_TRUE(cluster().waitForJob("score", JobState::RUNNING));
    cluster().loop().advance(Millis(100));
    const Job before = *cluster().findJob("score");
    const int old = cluster().findLeader();
    const std::string worker = "w" + std::to_string(before.m_members.front().m_worker + 1);
    // The old leader still reaches the worker, but neither the service nor the other gateway does.
    setFault(old, Fault::DOWN);
    cluster().network().cut("g" + std::to_string(old == 1 ? 2 : 1), worker);
    const auto hasMoved = [&] {
        const auto job = cluster().findJob("score");
        return job->m_state == JobState::RUNNING && job->m_attempt > before.m_attempt;
    };
    ASSERT_TRUE(cluster().loop().advanceUntil(Millis(300'000), hasMoved));
    cluster().loop().advance(Millis(20'000));
    EXPECT_EQ(cluster().findDoubleRun("score"), Millis(0));
}

TEST_F(ConfigurationFailuresTest, ASlowServiceIsWaitedForAndNothingIsDoneTwice) {
    setUp(2, 2);
    cluster().gateway(1).m_service->setLatency(Millis(300));
    cluster().gateway(2).m_service->setLatency(Millis(300));
    for (int i = 1; i <= 5; ++i) {
        cluster().run("submit job slow-" + std::to_string(i) +
                      " for factoring shape 1x2 runtime 5s");
    }
    for (int i = 1; i <= 5; ++i) {
        const std::string name = "slow-" + std::to_string(i);
        EXPECT_TRUE(cluster().waitForJob(name, JobState::ENDED, Millis(60'000)));
        EXPECT_EQ(cluster().findDoubleRun(name), Millis(0));
    }
}

}  // namespace
}  // namespace pierbank::testing
