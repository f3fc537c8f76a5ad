// SPDX-License-Identifier: Apache-2.0
// The operators' configuration and statements under failure.
#include "JobFleetTest.h"
#include "pierbank/base/Random.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":1000})";

class ConfigurationFailuresTest : public JobFleetTest {
protected:
    std::uint64_t getVersion(std::size_t gateway) {
        const auto* const configuration =
                m_fleet.m_gateways[gateway].m_core->getConfiguration().get();
        return configuration == nullptr ? 0 : configuration->m_version;
    }
};

}  // namespace

TEST_F(ConfigurationFailuresTest, AChangeIsInForceOnAllGatewaysWithinSeconds) {
    const std::uint64_t before = getVersion(0);
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(300));
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_EQ(getVersion(i), before + 1) << i;
    }
}

TEST_F(ConfigurationFailuresTest, ThePollFindsAChangeThatTheWatchMisses) {
    const std::uint64_t before = getVersion(0);
    m_fleet.m_storeState.m_dropsWatchEvents = true;
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(1500));
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_EQ(getVersion(i), before + 1) << i;
    }
}

TEST_F(ConfigurationFailuresTest, AGatewayStartedInAnOutageRefusesRequestsUntilItHasAVersion) {
    const std::size_t index = getFollower();
    m_fleet.killGateway(index);
    m_fleet.m_storeState.m_isDown = true;
    m_fleet.startGateway(index);
    m_fleet.m_loop.advance(Millis(2000));
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300", "/batch/", index).m_status, 503U);
    m_fleet.m_storeState.m_isDown = false;
    m_fleet.m_loop.advance(Millis(1500));
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300", "/batch/", index).m_status, 200U);
}

/**
 * Guards against an answer that is based on two different configurations. A request for the number
 * of pending jobs is authorised, and its list of the jobs takes 0.3 s on a link of low bandwidth.
 * If a new configuration comes into force meanwhile, the request must be authorised again before it
 * is answered.
 */
TEST_F(ConfigurationFailuresTest, AReadIsNotAnsweredByAReplacedConfiguration) {
    // Only a gateway that has no link to the leader lists the jobs; others get the count from it.
    const std::size_t index = getFollower();
    m_fleet.m_network.cut(m_fleet.m_gateways[getLeader()].m_name, m_fleet.m_gateways[index].m_name);
    m_fleet.m_loop.advance(Millis(3000));
    m_fleet.m_storeState.m_listLatency = Millis(400);
    IntakeRequest request;
    request.m_method = "GET";
    request.m_host = JobFleet::HOST;
    request.m_path = "/batch/";
    request.m_key = JobFleet::KEY;
    std::optional<IntakeAnswer> answer;
    m_fleet.m_gateways[index].m_core->getIntake().handle(
            request, [&answer](const IntakeAnswer& got) { answer = got; });
    m_fleet.m_loop.advance(Millis(20));
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(300));
    ASSERT_FALSE(answer.has_value());
    ASSERT_TRUE(waitUntil(Millis(3000), [&] { return answer.has_value(); }));
    EXPECT_EQ(answer->m_status, 401U);
}

/**
 * Guards against a gateway whose answers return to an older configuration. While the gateway reads
 * a newer version, which takes a second on a link of low bandwidth, it forwards one request to the
 * leader, which has the newer version. The gateway must not answer the next request by its own
 * older version, even if that version was confirmed less than 1.2 s ago.
 */
TEST_F(ConfigurationFailuresTest, AGatewayThatReadsANewerConfigurationDoesNotAnswerByItsOlderOne) {
    const std::size_t index = getFollower();
    m_fleet.m_loop.advance(Millis(2000));
    m_fleet.m_storeState.m_lowBandwidthProcesses.insert(m_fleet.m_gateways[index].m_name);
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(60));
    ASSERT_LT(getVersion(index), getVersion(getLeader()));
    EXPECT_EQ(m_fleet.sendRequest(index, "GET", "/batch/", "", "key-a").m_status, 401U);
    EXPECT_EQ(m_fleet.sendRequest(index, "GET", "/batch/", "", "key-b").m_status, 200U);
    EXPECT_LT(getVersion(index), getVersion(getLeader()));
}

TEST_F(ConfigurationFailuresTest, VersionsNeverDecreaseThroughRestartsAndOutages) {
    constexpr int ROUNDS = 60;
    Random random(20261202);
    std::vector<std::uint64_t> seen(3, 0);
    for (int round = 0; round < ROUNDS; ++round) {
        const std::size_t index = random.below(3);
        switch (random.below(5)) {
            case 0:
                m_fleet.m_storeState.m_isDown = !m_fleet.m_storeState.m_isDown;
                break;
            case 1:
                m_fleet.m_storeState.m_dropsWatchEvents = !m_fleet.m_storeState.m_dropsWatchEvents;
                break;
            case 2:
                m_fleet.killGateway(index);
                m_fleet.startGateway(index);
                // The new process has no version yet, so the check starts again from zero.
                seen[index] = 0;
                break;
            default:
                m_fleet.configure({"key-" + std::to_string(round)});
                break;
        }
        m_fleet.m_loop.advance(Millis(static_cast<std::int64_t>(random.below(900))));
        for (std::size_t i = 0; i < 3; ++i) {
            EXPECT_GE(getVersion(i), seen[i]);
            seen[i] = getVersion(i);
        }
    }
    m_fleet.m_storeState.m_isDown = false;
    m_fleet.m_loop.advance(Millis(2500));
    EXPECT_EQ(getVersion(0), getVersion(1));
    EXPECT_EQ(getVersion(1), getVersion(2));
}

TEST_F(ConfigurationFailuresTest, ASlowStoreDelaysAJobAndRunsItOnce) {
    m_fleet.m_storeState.m_latency = Millis(250);
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300").m_status, 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(10'000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

// Changes by operators.

TEST_F(ConfigurationFailuresTest, OfTwoConcurrentStatementsOneIsNotRun) {
    const std::size_t leader = getLeader();
    const auto first = m_fleet.startStatement(leader, "weights fragmentation 10");
    const auto second = m_fleet.startStatement(leader, "weights fragmentation 20");
    m_fleet.m_loop.advance(Millis(1000));
    ASSERT_TRUE(first->has_value() && second->has_value());
    EXPECT_EQ((*first)->m_status, StatementStatus::DONE) << (*first)->m_message;
    EXPECT_EQ((*second)->m_status, StatementStatus::NOT_RUN) << (*second)->m_message;
    EXPECT_GT((*second)->m_retryAfter, Millis(0));
    EXPECT_EQ(m_fleet.m_gateways[leader].m_core->getJobs().getFragmentationWeight(), 10U);
}

TEST_F(ConfigurationFailuresTest, EachChangeIsInTheAuditTrail) {
    const std::size_t leader = getLeader();
    EXPECT_EQ(m_fleet.executeStatement(leader, "worker drain 127.0.1.1-7000").m_status,
              StatementStatus::DONE);
    EXPECT_EQ(m_fleet.executeStatement(leader, "weights fragmentation 70").m_status,
              StatementStatus::DONE);
    const StatementAnswer audit = m_fleet.executeStatement(leader, "show audit");
    ASSERT_TRUE(audit.m_table.has_value());
    ASSERT_EQ(audit.m_table->m_rows.size(), 2U);
    EXPECT_EQ(audit.m_table->m_rows[0][1].m_text, "alice");
    EXPECT_EQ(audit.m_table->m_rows[0][3].m_text, "weight of fragmentation: 0 -> 70");
    EXPECT_EQ(audit.m_table->m_rows[1][3].m_text, "worker 127.0.1.1-7000: release -> drain");
}

TEST_F(ConfigurationFailuresTest, OperatorsDecisionsSurviveATakeover) {
    m_fleet.executeStatement(getLeader(), "worker quarantine 127.0.1.1-7000");
    m_fleet.executeStatement(getLeader(), "weights fragmentation 70");
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    m_fleet.m_loop.advance(Millis(500));
    const JobController& jobs = m_fleet.m_gateways[getLeader()].m_core->getJobs();
    EXPECT_EQ(jobs.getAdminState("127.0.1.1:7000"), WorkerAdminState::QUARANTINE);
    EXPECT_EQ(jobs.getFragmentationWeight(), 70U);
}

// The answer to a statement agrees with the store under each fault of its write.

namespace {

struct SubmitFault {
    const char* m_name;
    void (*m_inject)(FakeStoreState&);
    StatementStatus m_status;
    bool m_isThere;
};

class SubmitFaultTest : public ConfigurationFailuresTest,
                        public ::testing::WithParamInterface<SubmitFault> {};

}  // namespace

TEST_P(SubmitFaultTest, TheAnswerAgreesWithTheStore) {
    const std::size_t leader = getLeader();
    GetParam().m_inject(m_fleet.m_storeState);
    const StatementAnswer answer =
            m_fleet.executeStatement(leader, "submit job 60000-score for a shape 1x8 runtime 1s");
    EXPECT_EQ(answer.m_status, GetParam().m_status) << answer.m_message;
    m_fleet.m_storeState.m_isDown = false;
    m_fleet.m_loop.advance(Millis(8000));
    const StatementAnswer why =
            m_fleet.executeStatement(*m_fleet.findLeader(), "why job 60000-score");
    EXPECT_EQ(why.m_status == StatementStatus::DONE, GetParam().m_isThere) << why.m_message;
}

INSTANTIATE_TEST_SUITE_P(
        Table, SubmitFaultTest,
        ::testing::Values(
                SubmitFault{"None", [](FakeStoreState&) {}, StatementStatus::DONE, true},
                SubmitFault{"Down", [](FakeStoreState& s) { s.m_isDown = true; },
                            StatementStatus::NOT_RUN, false},
                SubmitFault{"LostAnswer", [](FakeStoreState& s) { s.m_answersToLose = 1; },
                            StatementStatus::DONE, true},
                SubmitFault{"AppliedLate", [](FakeStoreState& s) { s.m_writesToDelay = 1; },
                            StatementStatus::DONE, true},
                SubmitFault{"AllAnswersLost", [](FakeStoreState& s) { s.m_answersToLose = 100; },
                            StatementStatus::UNKNOWN, true}),
        [](const auto& info) { return info.param.m_name; });

/** The job ends at once, so its record is gone when the commit is retried after the lost answer. */
TEST_F(ConfigurationFailuresTest, ALostAnswerIsResolvedAfterTheJobHasFinished) {
    m_fleet.m_storeState.m_answersToLose = 1;
    const StatementAnswer answer =
            m_fleet.executeStatement(getLeader(), "submit job quick for a shape 1x8 runtime 1s");
    EXPECT_EQ(answer.m_status, StatementStatus::DONE) << answer.m_message;
}

}  // namespace pierbank::testing
