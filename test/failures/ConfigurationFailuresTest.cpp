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

TEST_F(ConfigurationFailuresTest, AChangeIsInForceEverywhereWithinSeconds) {
    const std::uint64_t before = getVersion(0);
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(300));
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_EQ(getVersion(i), before + 1) << i;
    }
}

TEST_F(ConfigurationFailuresTest, ABrokenWatchIsMadeUpForByThePoll) {
    const std::uint64_t before = getVersion(0);
    m_fleet.m_state.m_isDeaf = true;
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(1500));
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_EQ(getVersion(i), before + 1) << i;
    }
}

TEST_F(ConfigurationFailuresTest, AGatewayStartedInAnOutageServesNothingUntilItKnowsAVersion) {
    const std::size_t place = getFollower();
    m_fleet.killGateway(place);
    m_fleet.m_state.m_isDown = true;
    m_fleet.startGateway(place);
    m_fleet.m_loop.advance(Millis(2000));
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300", "/batch/", place).m_status, 503U);
    m_fleet.m_state.m_isDown = false;
    m_fleet.m_loop.advance(Millis(1500));
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300", "/batch/", place).m_status, 200U);
}

/**
 * Users saw a gateway answer one caller by a new configuration and, in the same moment, another by
 * the one before. Order of events: a count of pending jobs is allowed by the configuration at hand;
 * the jobs are listed, which takes 0.3 s behind a narrow link; the next configuration comes into
 * force; a caller whose call it decides and the one that waited are answered together. Cause: what
 * allowed the count was not looked at again. Evidence: the gateway's log, `in-force` of the newer
 * version 139 ms before both lines `answered`, with 269 and 856 ms since their calls came.
 */
TEST_F(ConfigurationFailuresTest, AReadIsNotAnsweredByAConfigurationThatIsNotInForceAnyMore) {
    // The others ask the leader for the count.
    const std::size_t place = getLeader();
    m_fleet.m_state.m_listLatency = Millis(400);
    IntakeRequest request;
    request.m_method = "GET";
    request.m_host = JobFleet::HOST;
    request.m_path = "/batch/";
    request.m_key = JobFleet::KEY;
    std::optional<IntakeAnswer> answer;
    m_fleet.m_gateways[place].m_core->getIntake().handle(
            request, [&answer](const IntakeAnswer& got) { answer = got; });
    m_fleet.m_loop.advance(Millis(20));
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(300));
    ASSERT_FALSE(answer.has_value());
    ASSERT_TRUE(waitUntil(Millis(3000), [&] { return answer.has_value(); }));
    EXPECT_EQ(answer->m_status, 401U);
}

/**
 * Users saw a gateway go back: one request was answered by version 26, and one that was sent 0.35 s
 * later to the same gateway by version 24. Order of events: the gateway hears that there is a newer
 * configuration and reads it, which takes a second behind its narrow link; one request, whose view
 * is too old, is passed on to the leader, which has the newer one; the next comes while the view
 * was confirmed less than 1.2 s ago, and is answered by it. Evidence: a hunted day of 91 hosts,
 * big-configurations-and-storms varied with seed 494149354957.
 */
TEST_F(ConfigurationFailuresTest, AGatewayThatHearsOfANewerConfigurationAnswersNothingByItsOwn) {
    const std::size_t place = getFollower();
    m_fleet.m_loop.advance(Millis(2000));
    m_fleet.m_state.m_narrow.insert(m_fleet.m_gateways[place].m_name);
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(60));
    ASSERT_LT(getVersion(place), getVersion(getLeader()));
    EXPECT_EQ(m_fleet.ask(place, "GET", "/batch/", "", "key-a").m_status, 401U);
    EXPECT_EQ(m_fleet.ask(place, "GET", "/batch/", "", "key-b").m_status, 200U);
    EXPECT_LT(getVersion(place), getVersion(getLeader()));
}

TEST_F(ConfigurationFailuresTest, AVersionNeverGoesBackThroughRestartsAndOutages) {
    constexpr int ROUNDS = 60;
    Random random(20261202);
    std::vector<std::uint64_t> seen(3, 0);
    for (int round = 0; round < ROUNDS; ++round) {
        const std::size_t place = random.below(3);
        switch (random.below(5)) {
            case 0:
                m_fleet.m_state.m_isDown = !m_fleet.m_state.m_isDown;
                break;
            case 1:
                m_fleet.m_state.m_isDeaf = !m_fleet.m_state.m_isDeaf;
                break;
            case 2:
                m_fleet.killGateway(place);
                m_fleet.startGateway(place);
                // A new process knows nothing; it may not go back from what it learns.
                seen[place] = 0;
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
    m_fleet.m_state.m_isDown = false;
    m_fleet.m_loop.advance(Millis(2500));
    EXPECT_EQ(getVersion(0), getVersion(1));
    EXPECT_EQ(getVersion(1), getVersion(2));
}

TEST_F(ConfigurationFailuresTest, ASlowStoreIsWaitedForAndNothingIsDoneTwice) {
    m_fleet.m_state.m_latency = Millis(250);
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "300").m_status, 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(10'000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

// Operators' changes.

TEST_F(ConfigurationFailuresTest, OfTwoRacingOperatorsOneWinsAndTheOtherIsToldSo) {
    const std::size_t leader = getLeader();
    const auto first = m_fleet.begin(leader, "weights fragmentation 10");
    const auto second = m_fleet.begin(leader, "weights fragmentation 20");
    m_fleet.m_loop.advance(Millis(1000));
    ASSERT_TRUE(first->has_value() && second->has_value());
    EXPECT_EQ((*first)->m_status, StatementStatus::DONE) << (*first)->m_message;
    EXPECT_EQ((*second)->m_status, StatementStatus::NOT_RUN) << (*second)->m_message;
    EXPECT_GT((*second)->m_retryAfter, Millis(0));
    EXPECT_EQ(m_fleet.m_gateways[leader].m_core->getJobs().getFragmentationWeight(), 10U);
}

TEST_F(ConfigurationFailuresTest, EveryChangeHasItsEntryInTheAuditTrail) {
    const std::size_t leader = getLeader();
    EXPECT_EQ(m_fleet.state(leader, "worker drain 127.0.1.1-7000").m_status, StatementStatus::DONE);
    EXPECT_EQ(m_fleet.state(leader, "weights fragmentation 70").m_status, StatementStatus::DONE);
    const StatementAnswer audit = m_fleet.state(leader, "show audit");
    ASSERT_TRUE(audit.m_table.has_value());
    ASSERT_EQ(audit.m_table->m_rows.size(), 2U);
    EXPECT_EQ(audit.m_table->m_rows[0][1].m_text, "alice");
    EXPECT_EQ(audit.m_table->m_rows[0][3].m_text, "weight of fragmentation: 0 -> 70");
    EXPECT_EQ(audit.m_table->m_rows[1][3].m_text, "worker 127.0.1.1-7000: release -> drain");
}

TEST_F(ConfigurationFailuresTest, WhatAnOperatorDecidedOutlivesTheLeader) {
    m_fleet.state(getLeader(), "worker quarantine 127.0.1.1-7000");
    m_fleet.state(getLeader(), "weights fragmentation 70");
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    m_fleet.m_loop.advance(Millis(500));
    const JobController& jobs = m_fleet.m_gateways[getLeader()].m_core->getJobs();
    EXPECT_EQ(jobs.getAdminState("127.0.1.1:7000"), WorkerAdminState::QUARANTINE);
    EXPECT_EQ(jobs.getFragmentationWeight(), 70U);
}

// A statement whose write meets each fault: the answer agrees with what is in the store.

namespace {

struct SubmitFault {
    const char* m_name;
    void (*m_strike)(FakeStoreState&);
    StatementStatus m_status;
    bool m_isThere;
};

class SubmitFaultTest : public ConfigurationFailuresTest,
                        public ::testing::WithParamInterface<SubmitFault> {};

}  // namespace

TEST_P(SubmitFaultTest, TheAnswerAgreesWithTheStore) {
    const std::size_t leader = getLeader();
    GetParam().m_strike(m_fleet.m_state);
    const StatementAnswer answer =
            m_fleet.state(leader, "submit job 60000-score for a shape 1x8 runtime 1s");
    EXPECT_EQ(answer.m_status, GetParam().m_status) << answer.m_message;
    m_fleet.m_state.m_isDown = false;
    m_fleet.m_loop.advance(Millis(8000));
    const StatementAnswer why = m_fleet.state(*m_fleet.findLeader(), "why job 60000-score");
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

/** Found by the table above, with a job that ends at once: its record was gone by the retry. */
TEST_F(ConfigurationFailuresTest, ALostAnswerIsFoundOutThoughTheJobHasEndedMeanwhile) {
    m_fleet.m_state.m_answersToLose = 1;
    const StatementAnswer answer =
            m_fleet.state(getLeader(), "submit job quick for a shape 1x8 runtime 1s");
    EXPECT_EQ(answer.m_status, StatementStatus::DONE) << answer.m_message;
}

}  // namespace pierbank::testing
