// SPDX-License-Identifier: Apache-2.0
// Answers of the leader to requests that other gateways relay, while gateways and links end.
#include <algorithm>
#include <functional>

#include "JobFleetTest.h"
#include "pierbank/base/Random.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank::testing {

namespace {

constexpr const char* RUNNING = "00000000000000a1";
constexpr const char* UNKNOWN = "00000000000000e1";
/** Longer than it takes to replace a gateway's process, but too short for the leader to lose its
 * key. */
constexpr Millis SLOW_STORE{400};
constexpr const char* KEY_OF_SECOND = "key-b";
constexpr const char* STEP = R"({"count":1,"cpu":1000,"mem_mb":100,"est_ms":1000})";

/** A request of a caller, and the answer as soon as it has arrived. */
struct OpenRequest {
    std::size_t m_gateway = 0;
    std::string m_text;
    /** Returns whether the answer may be given to this request. */
    std::function<bool(const IntakeAnswer&)> m_isAllowed;
    std::optional<IntakeAnswer> m_answer;
};

bool isRefusal(const IntakeAnswer& answer) {
    return answer.m_status == 503 || answer.m_status == 504;
}

/** Allows a refusal, or this status with this body. */
std::function<bool(const IntakeAnswer&)> allowOnly(std::uint32_t status, std::string body = "") {
    return [status, body = std::move(body)](const IntakeAnswer& answer) {
        return isRefusal(answer) || (answer.m_status == status && answer.m_body == body);
    };
}

/**
 * Job m_finished of organisation a has finished and job RUNNING of organisation b is running. All
 * gateways but the leader relay their requests, since the store does not answer them.
 */
class RelayedAnswersTest : public JobFleetTest {
protected:
    void SetUp() override {
        JobFleetTest::SetUp();
        m_fleet.configure({JobFleet::KEY}, {KEY_OF_SECOND});
        m_fleet.m_loop.advance(Millis(2000));
        finishAJob();
        ASSERT_EQ(m_fleet.sendRequest(0, "POST", std::string("/batch/") + RUNNING, makeJob(),
                                      KEY_OF_SECOND)
                          .m_status,
                  200U);
        ASSERT_TRUE(waitUntil(Millis(5000),
                              [this] { return m_fleet.m_witness.isRunning(taskOf(RUNNING)); }));
        cutFollowersOff();
    }

    /** Submits job m_finished and waits for its end; finished jobs are kept for some minutes. */
    void finishAJob() {
        m_finished = m_random.token();
        ASSERT_EQ(m_fleet.submit(m_finished, STEP, "300").m_status, 200U);
        ASSERT_TRUE(m_fleet.waitForState(m_finished, "succeeded", Millis(5000)));
    }

    static std::string makeJob() {
        return R"({"spec":"3600000","steps":[)" + std::string(STEP) + "]}";
    }

    /** Cuts all gateways but the leader off from the store. */
    void cutFollowersOff() {
        m_fleet.m_storeState.m_cutOff.clear();
        const auto leader = m_fleet.findLeader();
        for (std::size_t i = 0; leader.has_value() && i < m_fleet.m_gateways.size(); ++i) {
            if (i != *leader) {
                m_fleet.m_storeState.m_cutOff.insert(m_fleet.m_gateways[i].m_name);
            }
        }
    }

    /** Sends a request to a gateway; its answer arrives while the clock advances. */
    std::shared_ptr<OpenRequest> open(std::size_t gateway, const std::string& method,
                                      const std::string& path, const std::string& key,
                                      std::function<bool(const IntakeAnswer&)> isAllowed,
                                      const std::string& body = "") {
        const auto request = std::make_shared<OpenRequest>();
        request->m_gateway = gateway;
        request->m_text = method + " " + path + " with " + key;
        request->m_isAllowed = std::move(isAllowed);
        IntakeRequest intake;
        intake.m_method = method;
        intake.m_host = JobFleet::HOST;
        intake.m_path = path;
        intake.m_key = key;
        intake.m_body = body;
        m_fleet.m_gateways[gateway].m_core->getIntake().handle(
                intake, [request](const IntakeAnswer& answer) { request->m_answer = answer; });
        return request;
    }

    std::shared_ptr<OpenRequest> askForFinished(std::size_t gateway) {
        return open(gateway, "GET", "/batch/" + m_finished, JobFleet::KEY,
                    allowOnly(200, R"({"state":"succeeded"})"));
    }
    std::shared_ptr<OpenRequest> askForRunning(std::size_t gateway) {
        return open(gateway, "GET", std::string("/batch/") + RUNNING, KEY_OF_SECOND,
                    allowOnly(200, R"({"state":"running"})"));
    }

    /** Starts a gateway anew and waits until the leader has opened a link to the new process. */
    void restart(std::size_t gateway) {
        m_fleet.killGateway(gateway);
        m_fleet.startGateway(gateway);
        ASSERT_TRUE(waitUntil(Millis(3000), [&] {
            return m_fleet.m_gateways[gateway].m_core->isReady(Millis(0));
        }));
    }

    /** Kills a gateway and starts it anew; its callers lose their connections with the process. */
    void replaceProcess(std::size_t gateway, std::vector<std::shared_ptr<OpenRequest>>& requests) {
        std::erase_if(requests, [&](const auto& request) {
            return request->m_gateway == gateway && !request->m_answer.has_value();
        });
        m_fleet.killGateway(gateway);
        m_fleet.startGateway(gateway);
    }

    /** Lets all gateways reach the store until one of them leads. */
    void restoreLeader() {
        m_fleet.m_storeState.m_latency = Millis(2);
        m_fleet.m_storeState.m_jitter = Millis(0);
        m_fleet.m_storeState.m_cutOff.clear();
        ASSERT_TRUE(m_fleet.waitForLeader(Millis(10'000)));
        cutFollowersOff();
    }

    Random m_random{1};
    std::string m_finished;

    void expectOwnAnswer(const OpenRequest& request) {
        ASSERT_TRUE(request.m_answer.has_value()) << request.m_text;
        EXPECT_TRUE(request.m_isAllowed(*request.m_answer))
                << request.m_text << " was answered " << request.m_answer->m_status << " "
                << request.m_answer->m_body << " (" << request.m_answer->m_reason << ")";
    }
};

}  // namespace

/**
 * Guards against the answer to a request of a gateway's former process being delivered to a request
 * of the present process. Both processes number their requests alike, and the leader used to send
 * an answer over whatever link to the gateway's address was open when the answer was ready.
 */
TEST_F(RelayedAnswersTest, ALateAnswerToTheFormerProcessOfAGatewayReachesNoOtherRequest) {
    const std::size_t gateway = getFollower();
    restart(gateway);
    m_fleet.m_storeState.m_latency = SLOW_STORE;
    askForFinished(gateway);
    m_fleet.m_loop.advance(Millis(10));
    restart(gateway);
    const auto request = askForRunning(gateway);
    ASSERT_TRUE(waitUntil(Millis(3000), [&] { return request->m_answer.has_value(); }));
    EXPECT_EQ(request->m_answer->m_status, 200U);
    EXPECT_EQ(request->m_answer->m_body, R"({"state":"running"})");
}

/**
 * Guards against the same mix-up while versions are mixed: gateways of earlier versions number
 * their requests from 1 in each process, so only the leader can keep their answers apart.
 */
TEST_F(RelayedAnswersTest, ALateAnswerIsNotSentOverALaterLink) {
    constexpr const char* ADDRESS = "127.0.2.77:7001";
    FakeTransport transport(m_fleet.m_network, m_fleet.m_loop, "earlier-version");
    std::vector<std::shared_ptr<Link>> links;
    std::vector<std::pair<std::size_t, RelayedAnswer>> answers;
    Reason reason;
    const auto accept = [&](std::shared_ptr<Link> link) {
        link->setCallbacks(
                [&, number = links.size()](const Frame& frame) {
                    if (const auto* const answer = std::get_if<RelayedAnswer>(&frame)) {
                        answers.emplace_back(number, *answer);
                    }
                },
                [] {});
        links.push_back(std::move(link));
    };
    ASSERT_TRUE(transport.listen(*Address::parse(ADDRESS), accept, reason)) << reason;
    m_fleet.m_storeState.put(getGatewayKey(ADDRESS), "");
    ASSERT_TRUE(waitUntil(Millis(2000), [&] { return links.size() == 1; }));
    m_fleet.m_storeState.m_latency = SLOW_STORE;
    RelayedRequest request{1,  "GET", JobFleet::HOST, "/batch/" + m_finished, JobFleet::KEY,
                           "", 3000};
    links[0]->send(request);
    m_fleet.m_loop.advance(Millis(10));
    links[0]->close();
    ASSERT_TRUE(waitUntil(Millis(390), [&] { return links.size() == 2; }));
    request.m_path = std::string("/batch/") + RUNNING;
    request.m_key = KEY_OF_SECOND;
    links[1]->send(request);
    m_fleet.m_loop.advance(Millis(2000));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].first, 1U);
    EXPECT_EQ(answers[0].second.m_body, R"({"state":"running"})");
}

/** An answer over a link that has ended can't arrive, so waiting for it only delays the caller. */
TEST_F(RelayedAnswersTest, ARequestWhoseLinkEndsIsAnsweredAtOnce) {
    const std::size_t gateway = getFollower();
    m_fleet.m_storeState.m_latency = SLOW_STORE;
    const auto request = askForRunning(gateway);
    const auto& core = *m_fleet.m_gateways[gateway].m_core;
    ASSERT_TRUE(waitUntil(Millis(2000),
                          [&] { return core.getLeaderLink().getStatistics().m_relayed == 1; }));
    m_fleet.m_loop.advance(Millis(50));
    ASSERT_FALSE(request->m_answer.has_value());
    m_fleet.m_network.breakLinks(m_fleet.m_gateways[gateway].m_name,
                                 m_fleet.m_gateways[getLeader()].m_name);
    m_fleet.m_loop.advance(Millis(10));
    ASSERT_TRUE(request->m_answer.has_value());
    EXPECT_EQ(request->m_answer->m_status, 503U);
    EXPECT_GT(request->m_answer->m_retryAfter, Millis(0));
}

/**
 * Guards against answers that reach another request than their own, in whatever order gateways are
 * killed, links end and are opened again, answers are late and the leader changes. Each request of
 * the test has an answer that none of the others may get.
 */
TEST_F(RelayedAnswersTest, EachCallerGetsTheAnswerToItsOwnRequestInAnyOrderOfFaults) {
    constexpr int SEEDS = 30;
    constexpr int ROUNDS = 60;
    constexpr Millis MAX_WAIT{4000};
    int accepted = 0;
    int succeeded = 0;
    for (int seed = 1; seed <= SEEDS; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Random random(static_cast<std::uint64_t>(seed));
        std::vector<std::shared_ptr<OpenRequest>> requests;
        std::vector<std::pair<std::string, std::shared_ptr<OpenRequest>>> submissions;
        const auto ask = [&](std::size_t gateway) {
            switch (random.below(7)) {
                case 0:
                    return askForFinished(gateway);
                case 1:
                    return askForRunning(gateway);
                case 2:
                    return open(gateway, "GET", std::string("/batch/") + UNKNOWN, JobFleet::KEY,
                                allowOnly(410));
                case 3:
                    return open(gateway, "GET", "/batch/" + m_finished, "no-key", allowOnly(401));
                case 4:
                    return open(gateway, "GET", "/nowhere/" + std::string(UNKNOWN), JobFleet::KEY,
                                allowOnly(404));
                case 5:
                    return open(gateway, "DELETE", "/batch/" + m_finished, JobFleet::KEY,
                                allowOnly(200));
                default:
                    break;
            }
            const std::string id = random.token();
            const std::string job = R"({"spec":"20","steps":[)" + std::string(STEP) + "]}";
            submissions.emplace_back(
                    id, open(gateway, "POST", "/batch/" + id, JobFleet::KEY, allowOnly(200), job));
            return submissions.back().second;
        };
        for (int round = 0; round < ROUNDS; ++round) {
            const std::size_t index = random.below(3);
            auto leader = m_fleet.findLeader();
            if (!leader.has_value()) {
                restoreLeader();
                leader = m_fleet.findLeader();
                ASSERT_TRUE(leader.has_value());
            }
            switch (random.below(10)) {
                case 0:
                    if (leader != index) {
                        replaceProcess(index, requests);
                    }
                    break;
                case 1:
                    m_fleet.m_network.breakLinks(m_fleet.m_gateways[index].m_name,
                                                 m_fleet.m_gateways[*leader].m_name);
                    break;
                case 2:
                    m_fleet.m_storeState.m_latency = Millis(250 + random.below(150));
                    m_fleet.m_storeState.m_jitter = Millis(random.below(150));
                    break;
                case 3:
                    if (random.below(4) == 0) {
                        replaceProcess(*leader, requests);
                        restoreLeader();
                    }
                    break;
                default:
                    requests.push_back(ask(index));
                    requests.push_back(ask(index));
                    break;
            }
            m_fleet.m_loop.advance(Millis(random.below(100)));
        }
        m_fleet.m_storeState.m_latency = Millis(2);
        m_fleet.m_storeState.m_jitter = Millis(0);
        m_fleet.m_loop.advance(MAX_WAIT);
        for (const auto& request : requests) {
            expectOwnAnswer(*request);
            succeeded += request->m_answer.has_value() && !isRefusal(*request->m_answer) ? 1 : 0;
        }
        m_fleet.m_storeState.m_cutOff.clear();
        m_fleet.m_loop.advance(MAX_WAIT);
        finishAJob();
        for (const auto& [id, request] : submissions) {
            if (request->m_answer.has_value() && request->m_answer->m_status == 200) {
                ++accepted;
                EXPECT_NE(m_fleet.getState(id), "410") << "an accepted job is unknown: " << id;
            }
        }
        cutFollowersOff();
        if (HasFatalFailure() || HasFailure()) {
            return;
        }
    }
    // Most requests are answered by the leader, and not refused.
    EXPECT_GT(succeeded, SEEDS * ROUNDS / 5);
    EXPECT_GT(accepted, SEEDS);
}

}  // namespace pierbank::testing
