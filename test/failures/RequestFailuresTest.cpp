// SPDX-License-Identifier: Apache-2.0
// Callers' requests under failure: whole answers, "not run" that stays true, at most once.
#include <gtest/gtest.h>

#include "TestCluster.h"

namespace pierbank::testing {
namespace {

const HttpHeader NEVER{"Pierbank-Repeat", "never"};

class RequestFailuresTest : public ::testing::Test {
protected:
    void setUp(int gateways, int endpoints) {
        m_cluster = std::make_unique<TestCluster>(gateways, 0, endpoints);
        ASSERT_TRUE(m_cluster->waitForReady());
        m_cluster->run("organisation create factoring");
        m_cluster->loop().advance(Millis(1000));
    }

    CallerAnswer sendAndWait(const std::string& path, std::vector<HttpHeader> headers = {},
                             const std::string& method = "POST") {
        const AnswerPtr answer = cluster().send(1, path, std::move(headers), method);
        EXPECT_TRUE(cluster().waitForAnswer(answer));
        return answer->value_or(CallerAnswer());
    }

    int countRan(const std::string& path, int endpoints) {
        int ran = 0;
        for (int i = 1; i <= endpoints; ++i) {
            const auto& counts = cluster().endpoint(i).m_ran;
            const auto found = counts.find(path);
            ran += found == counts.end() ? 0 : found->second;
        }
        return ran;
    }

    TestCluster& cluster() { return *m_cluster; }

    std::unique_ptr<TestCluster> m_cluster;
};

TEST_F(RequestFailuresTest, EveryCallerGetsItsOwnAnswerWhateverTheOrder) {
    setUp(2, 3);
    std::vector<std::pair<std::string, AnswerPtr>> sent;
    for (int i = 0; i < 120; ++i) {
        cluster().endpoint(1 + i % 3).m_time = Millis(5 + (i * 37) % 90);
        const std::string path = "/invoice/" + std::to_string(i);
        sent.emplace_back(path, cluster().send(1 + i % 2, path));
        cluster().loop().advance(Millis(1));
    }
    cluster().loop().advance(Millis(10'000));
    for (const auto& [path, answer] : sent) {
        ASSERT_TRUE(answer->has_value()) << path;
        EXPECT_EQ((*answer)->m_outcome, CallerOutcome::RAN);
        EXPECT_EQ((*answer)->m_body, "answer to " + path);
        EXPECT_FALSE((*answer)->m_requestId.empty());
    }
}

TEST_F(RequestFailuresTest, AfterACutTheSidecarIsAskedAndTheAnswerStillComes) {
    setUp(1, 2);
    cluster().endpoint(1).m_time = Millis(400);
    cluster().endpoint(2).m_time = Millis(400);
    const AnswerPtr answer = cluster().send(1, "/pay", {NEVER});
    cluster().loop().advance(Millis(100));
    cluster().network().breakLinks("g1", "e1");
    cluster().network().breakLinks("g1", "e2");
    ASSERT_TRUE(cluster().waitForAnswer(answer));
    EXPECT_EQ((*answer)->m_outcome, CallerOutcome::RAN);
    EXPECT_EQ(countRan("/pay", 2), 1);
}

TEST_F(RequestFailuresTest, ARequestWhoseSidecarDiedIsUnknownSoonAndNotSentElsewhere) {
    setUp(1, 2);
    cluster().endpoint(1).m_time = Millis(5000);
    cluster().endpoint(2).m_time = Millis(5000);
    const AnswerPtr answer = cluster().send(1, "/pay", {NEVER});
    cluster().loop().advance(Millis(100));
    const int at = cluster().endpoint(1).m_ran.count("/pay") != 0 ? 1 : 2;
    const Millis killed = cluster().loop().now();
    cluster().killEndpointSidecar(at);
    ASSERT_TRUE(cluster().waitForAnswer(answer));
    EXPECT_EQ((*answer)->m_outcome, CallerOutcome::UNKNOWN);
    EXPECT_LE(cluster().loop().now() - killed, Millis(2000));
    cluster().loop().advance(Millis(10'000));
    EXPECT_EQ(countRan("/pay", 2), 1);
}

TEST_F(RequestFailuresTest, ARestartedSidecarDoesNotVouchForWhatTheOldOneDid) {
    setUp(1, 1);
    cluster().endpoint(1).m_time = Millis(5000);
    const AnswerPtr answer = cluster().send(1, "/pay", {NEVER});
    cluster().loop().advance(Millis(100));
    cluster().killEndpointSidecar(1);
    cluster().startEndpointSidecar(1);
    ASSERT_TRUE(cluster().waitForAnswer(answer));
    EXPECT_EQ((*answer)->m_outcome, CallerOutcome::UNKNOWN);
}

TEST_F(RequestFailuresTest, ARepeatableRequestIsRunElsewhere) {
    setUp(1, 2);
    cluster().endpoint(1).m_cutsAnswers = true;
    for (int i = 0; i < 10; ++i) {
        const CallerAnswer answer = sendAndWait("/plan/" + std::to_string(i), {}, "GET");
        EXPECT_EQ(answer.m_outcome, CallerOutcome::RAN);
    }
}

TEST_F(RequestFailuresTest, AnAnswerCutShortIsNotPassedOn) {
    setUp(1, 1);
    cluster().endpoint(1).m_cutsAnswers = true;
    const CallerAnswer answer = sendAndWait("/pay", {NEVER});
    EXPECT_EQ(answer.m_outcome, CallerOutcome::UNKNOWN);
    EXPECT_TRUE(answer.m_body.empty());
}

TEST_F(RequestFailuresTest, ARefusingEndpointIsProvedNotToHaveRunIt) {
    setUp(1, 2);
    cluster().endpoint(1).m_refuses = true;
    for (int i = 0; i < 10; ++i) {
        const std::string path = "/pay/" + std::to_string(i);
        EXPECT_EQ(sendAndWait(path, {NEVER}).m_outcome, CallerOutcome::RAN);
        EXPECT_EQ(countRan(path, 2), 1);
    }
    EXPECT_TRUE(cluster().endpoint(1).m_ran.empty());
}

TEST_F(RequestFailuresTest, WhatIsGivenUpOnIsAnsweredAtOnceWithATimeToComeBack) {
    setUp(1, 1);
    cluster().killEndpointSidecar(1);
    cluster().loop().advance(Millis(500));
    const Millis asked = cluster().loop().now();
    const CallerAnswer answer = sendAndWait("/pay");
    EXPECT_EQ(answer.m_outcome, CallerOutcome::NOT_RUN);
    EXPECT_GT(answer.m_retryAfter, Millis(0));
    EXPECT_LE(cluster().loop().now() - asked, Millis(20));
}

TEST_F(RequestFailuresTest, ABurstIsShedEarlyAndWhatIsShedNeverRuns) {
    setUp(1, 1);
    cluster().endpoint(1).m_time = Millis(200);
    std::vector<std::pair<std::string, AnswerPtr>> sent;
    const HttpHeader timeout{"Pierbank-Timeout-Ms", "600"};
    for (int i = 0; i < 200; ++i) {
        const std::string path = "/burst/" + std::to_string(i);
        sent.emplace_back(path, cluster().send(1, path, {timeout, NEVER}));
    }
    cluster().loop().advance(Millis(5000));
    int notRun = 0;
    for (const auto& [path, answer] : sent) {
        ASSERT_TRUE(answer->has_value());
        const bool isNotRun = (*answer)->m_outcome == CallerOutcome::NOT_RUN;
        notRun += isNotRun ? 1 : 0;
        EXPECT_LE(countRan(path, 1), isNotRun ? 0 : 1) << path;
    }
    EXPECT_GT(notRun, 100);
}

TEST_F(RequestFailuresTest, AWaveOfCallersThatLeaveFreesTheQueue) {
    setUp(1, 1);
    cluster().endpoint(1).m_time = Millis(300);
    std::vector<CallerExchangePtr> exchanges;
    for (int i = 0; i < 60; ++i) {
        CallerRequest request;
        request.m_service = "assess";
        request.m_method = "POST";
        request.m_path = "/wave/" + std::to_string(i);
        request.m_headers = {{"Pierbank-Organisation", "factoring"}};
        exchanges.push_back(std::make_shared<CallerExchange>(request, cluster().loop().now(),
                                                             [](const CallerAnswer&) {}));
        cluster().gateway(1).m_core->handleRequest(exchanges.back());
    }
    cluster().loop().advance(Millis(50));
    for (const CallerExchangePtr& exchange : exchanges) {
        exchange->abandon();
    }
    cluster().loop().advance(Millis(2000));
    EXPECT_LE(cluster().endpoint(1).m_ran.size(), 8U);
    EXPECT_EQ(sendAndWait("/after").m_outcome, CallerOutcome::RAN);
}

TEST_F(RequestFailuresTest, ALeavingEndpointGetsNoNewWorkAndFinishesWhatItHas) {
    setUp(1, 2);
    cluster().endpoint(1).m_time = Millis(1000);
    cluster().endpoint(2).m_time = Millis(1000);
    std::vector<AnswerPtr> before;
    for (int i = 0; i < 8; ++i) {
        before.push_back(cluster().send(1, "/before/" + std::to_string(i), {NEVER}));
    }
    cluster().loop().advance(Millis(100));
    bool hasLeft = false;
    cluster().endpointSidecar(1).m_server->leave([&] { hasLeft = true; });
    cluster().loop().advance(Millis(100));
    const std::size_t ranBefore = cluster().endpoint(1).m_ran.size();
    for (int i = 0; i < 8; ++i) {
        before.push_back(cluster().send(1, "/after/" + std::to_string(i), {NEVER}));
    }
    cluster().loop().advance(Millis(5000));
    EXPECT_TRUE(hasLeft);
    EXPECT_EQ(cluster().endpoint(1).m_ran.size(), ranBefore);
    for (const AnswerPtr& answer : before) {
        ASSERT_TRUE(answer->has_value());
        EXPECT_EQ((*answer)->m_outcome, CallerOutcome::RAN);
    }
}

TEST_F(RequestFailuresTest, AnEndpointThatTheHostListCallsLeavingGetsNoNewWork) {
    setUp(1, 2);
    cluster().hosts().at(0).m_isLeaving = true;
    cluster().loop().advance(Millis(3000));
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(sendAndWait("/x/" + std::to_string(i)).m_outcome, CallerOutcome::RAN);
    }
    EXPECT_TRUE(cluster().endpoint(1).m_ran.empty());
}

TEST_F(RequestFailuresTest, AnEndpointThatTheListForgotIsKeptWhileItAnswers) {
    setUp(1, 1);
    const std::vector<Host> all = cluster().hosts();
    cluster().hosts().clear();
    cluster().loop().advance(Millis(10'000));
    EXPECT_EQ(sendAndWait("/still").m_outcome, CallerOutcome::RAN);
    cluster().hosts() = all;
}

TEST_F(RequestFailuresTest, APlannedStopOfAGatewayCutsNothingInProgress) {
    setUp(1, 1);
    cluster().endpoint(1).m_time = Millis(1500);
    const AnswerPtr before = cluster().send(1, "/before", {NEVER});
    cluster().loop().advance(Millis(100));
    bool hasLeft = false;
    cluster().gateway(1).m_core->leave([&] { hasLeft = true; });
    cluster().loop().advance(Millis(100));
    const AnswerPtr after = cluster().send(1, "/after", {NEVER});
    cluster().loop().advance(Millis(50));
    ASSERT_TRUE(after->has_value());
    EXPECT_EQ((*after)->m_outcome, CallerOutcome::NOT_RUN);
    EXPECT_FALSE(hasLeft);
    ASSERT_TRUE(cluster().waitForAnswer(before));
    EXPECT_EQ((*before)->m_outcome, CallerOutcome::RAN);
    cluster().loop().advance(Millis(1000));
    EXPECT_TRUE(hasLeft);
}

TEST_F(RequestFailuresTest, OneOrganisationsBurstDoesNotPushOutAnothers) {
    setUp(1, 1);
    cluster().run("organisation create forecast");
    cluster().endpoint(1).m_time = Millis(100);
    for (int i = 0; i < 250; ++i) {
        cluster().send(1, "/burst/" + std::to_string(i), {{"Pierbank-Timeout-Ms", "60000"}});
    }
    CallerRequest request;
    request.m_service = "assess";
    request.m_method = "GET";
    request.m_path = "/warning";
    request.m_headers = {{"Pierbank-Organisation", "forecast"}};
    const auto answer = std::make_shared<std::optional<CallerAnswer>>();
    const auto exchange = std::make_shared<CallerExchange>(
            request, cluster().loop().now(), [answer](const CallerAnswer& a) { *answer = a; });
    const Millis asked = cluster().loop().now();
    cluster().gateway(1).m_core->handleRequest(exchange);
    ASSERT_TRUE(cluster().waitForAnswer(answer));
    EXPECT_EQ((*answer)->m_outcome, CallerOutcome::RAN);
    // In turn with the burst: after those at the endpoint and at most one more round.
    EXPECT_LE(cluster().loop().now() - asked, Millis(500));
}

TEST_F(RequestFailuresTest, ARepeatKeyRunsOnceWhateverGatewaysItsRepeatsComeTo) {
    setUp(2, 2);
    const HttpHeader key{"Idempotency-Key", "receivable-17"};
    std::vector<AnswerPtr> answers;
    for (int i = 0; i < 6; ++i) {
        answers.push_back(cluster().send(1 + i % 2, "/buy", {key}));
    }
    cluster().loop().advance(Millis(2000));
    int ran = 0;
    for (const AnswerPtr& answer : answers) {
        ASSERT_TRUE(answer->has_value());
        const bool hasRun = (*answer)->m_outcome == CallerOutcome::RAN;
        EXPECT_TRUE(hasRun || (*answer)->m_status == 409U);
        ran += hasRun ? 1 : 0;
    }
    EXPECT_EQ(ran, 1);
    EXPECT_EQ(countRan("/buy", 2), 1);
}

TEST_F(RequestFailuresTest, ARepeatKeyIsFreeAgainWhenItsRequestDidNotRun) {
    setUp(1, 1);
    const HttpHeader key{"Idempotency-Key", "receivable-18"};
    cluster().endpoint(1).m_refuses = true;
    EXPECT_EQ(sendAndWait("/buy", {key}).m_outcome, CallerOutcome::NOT_RUN);
    cluster().endpoint(1).m_refuses = false;
    cluster().loop().advance(Millis(500));
    EXPECT_EQ(sendAndWait("/buy", {key}).m_outcome, CallerOutcome::RAN);
    EXPECT_EQ(sendAndWait("/buy", {key}).m_status, 409U);
}

TEST_F(RequestFailuresTest, ARepeatKeyThatCannotBeClaimedDoesNotRun) {
    setUp(1, 1);
    for (const Fault fault : {Fault::DOWN, Fault::CALL_LOST, Fault::ANSWER_LOST}) {
        cluster().gateway(1).m_service->setFault(fault);
        const std::string path = "/buy/" + std::to_string(static_cast<int>(fault));
        const CallerAnswer answer = sendAndWait(path, {{"Idempotency-Key", path}});
        EXPECT_EQ(answer.m_outcome, CallerOutcome::NOT_RUN);
        EXPECT_GT(answer.m_retryAfter, Millis(0));
        EXPECT_EQ(countRan(path, 1), 0);
    }
}

/** Random kills, cuts and freezes under load; the brief's promises are counted at the end. */
class RequestChaosTest : public RequestFailuresTest,
                         public ::testing::WithParamInterface<std::uint64_t> {};

TEST_P(RequestChaosTest, NotRunStaysTrueAndNeverIsAtMostOnce) {
    setUp(2, 3);
    Random random(GetParam());
    std::vector<std::pair<std::string, AnswerPtr>> sent;
    std::set<int> frozen;
    for (int round = 0; round < 60; ++round) {
        for (int i = 0; i < 4; ++i) {
            const std::string path = "/pay/" + std::to_string(sent.size());
            cluster().endpoint(1 + static_cast<int>(random.below(3))).m_time =
                    Millis(5 + static_cast<std::int64_t>(random.below(400)));
            sent.emplace_back(path, cluster().send(1 + static_cast<int>(random.below(2)), path,
                                                   {NEVER, {"Pierbank-Timeout-Ms", "3000"}}));
        }
        const int endpoint = 1 + static_cast<int>(random.below(3));
        const std::string name = "e" + std::to_string(endpoint);
        const std::string gateway = "g" + std::to_string(1 + random.below(2));
        switch (random.below(6)) {
            case 0:
                frozen.erase(endpoint);
                cluster().killEndpointSidecar(endpoint);
                cluster().startEndpointSidecar(endpoint);
                break;
            case 1:
                cluster().network().breakLinks(gateway, name);
                break;
            case 2:
                cluster().network().cut(gateway, name);
                break;
            case 3:
                cluster().network().heal(gateway, name);
                break;
            case 4:
                frozen.insert(endpoint);
                cluster().endpointSidecar(endpoint).m_loop->freeze();
                break;
            default:
                for (const int f : std::exchange(frozen, {})) {
                    cluster().endpointSidecar(f).m_loop->thaw();
                }
                break;
        }
        cluster().loop().advance(Millis(100));
    }
    for (const int f : frozen) {
        cluster().endpointSidecar(f).m_loop->thaw();
    }
    cluster().loop().advance(Millis(20'000));
    int ran = 0;
    for (const auto& [path, answer] : sent) {
        ASSERT_TRUE(answer->has_value()) << path;
        const int count = countRan(path, 3);
        EXPECT_LE(count, 1) << path << " ran twice";
        if ((*answer)->m_outcome == CallerOutcome::NOT_RUN) {
            EXPECT_EQ(count, 0) << path << " was told not to have run";
        }
        if ((*answer)->m_outcome == CallerOutcome::RAN) {
            EXPECT_EQ((*answer)->m_body, "answer to " + path);
            ++ran;
        }
    }
    EXPECT_GT(ran, 50);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RequestChaosTest, ::testing::Range<std::uint64_t>(1, 21));

}  // namespace
}  // namespace pierbank::testing
