// SPDX-License-Identifier: Apache-2.0
// Answers to callers under failure: each caller gets its own complete answer, and a refused job is
// never run.
#include <map>
#include <set>

#include "JobFleetTest.h"
#include "pierbank/base/Random.h"

namespace pierbank::testing {

namespace {

constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":1000})";

std::string idOf(std::uint64_t number) {
    std::string id(16, '0');
    const std::string digits = std::to_string(number);
    return id.replace(id.size() - digits.size(), digits.size(), digits);
}

class RequestFailuresTest : public JobFleetTest {};

}  // namespace

TEST_F(RequestFailuresTest, EachCallerGetsItsOwnAnswerInAnyOrder) {
    m_fleet.submit(idOf(1), SMALL, "60000");
    m_fleet.submit(idOf(2), SMALL, "100");
    m_fleet.submit(idOf(3), SMALL, "!50");
    m_fleet.m_loop.advance(Millis(2000));
    const std::map<std::string, std::string> expected = {
            {idOf(1), "running"}, {idOf(2), "succeeded"}, {idOf(3), "failed"}};
    // The jitter reorders the answers of the store.
    m_fleet.m_storeState.m_jitter = Millis(90);
    std::size_t answered = 0;
    for (int round = 0; round < 20; ++round) {
        for (const auto& [id, state] : expected) {
            IntakeRequest request;
            request.m_method = "GET";
            request.m_host = JobFleet::HOST;
            request.m_path = "/batch/" + id;
            request.m_key = JobFleet::KEY;
            m_fleet.m_gateways[static_cast<std::size_t>(round) % 3].m_core->getIntake().handle(
                    request, [&answered, state = state](const IntakeAnswer& answer) {
                        ++answered;
                        EXPECT_EQ(answer.m_body, R"({"state":")" + state + R"("})");
                    });
        }
    }
    m_fleet.m_loop.advance(Millis(1000));
    EXPECT_EQ(answered, 60U);
}

/**
 * Guards against an equal retry delay for urgent and other callers. A gateway that can't confirm
 * its configuration must still determine the queue of a request, since other callers get up to half
 * as much delay in addition.
 */
TEST_F(RequestFailuresTest, InALongOutageUrgentCallersGetTheShortestRetryDelay) {
    m_fleet.m_storeState.m_isDown = true;
    m_fleet.m_loop.advance(Millis(4000));
    Millis urgent{0};
    Millis others{100'000};
    for (std::uint64_t i = 0; i < 8; ++i) {
        urgent = std::max(urgent, m_fleet.submit(idOf(i), SMALL, "100", "/urgent/").m_retryAfter);
        others = std::min(others, m_fleet.submit(idOf(10 + i), SMALL, "100").m_retryAfter);
    }
    EXPECT_GT(urgent, Millis(0));
    EXPECT_LT(urgent, others);
}

TEST_F(RequestFailuresTest, WithoutAStoreRequestsAreRefusedAtOnceWithARetryDelay) {
    for (const bool isCut : {false, true}) {
        m_fleet.m_storeState.m_isDown = !isCut;
        for (const auto& gateway : m_fleet.m_gateways) {
            if (isCut) {
                m_fleet.m_storeState.m_cutOff.insert(gateway.m_name);
            }
        }
        m_fleet.m_loop.advance(Millis(2500));
        for (const char* method : {"POST", "GET", "DELETE"}) {
            const Millis before = m_fleet.m_loop.now();
            const IntakeAnswer answer =
                    m_fleet.sendRequest(0, method, "/batch/" + idOf(7),
                                        R"({"spec":"1","steps":[)" + std::string(SMALL) + "]}");
            EXPECT_EQ(answer.m_status, 503U) << method;
            EXPECT_GT(answer.m_retryAfter, Millis(0)) << method;
            EXPECT_LE(m_fleet.m_loop.now() - before, Millis(200)) << method;
        }
    }
}

TEST_F(RequestFailuresTest, TheFirstRequestAfterAnOutageIsAccepted) {
    m_fleet.m_storeState.m_isDown = true;
    m_fleet.m_loop.advance(Millis(2500));
    EXPECT_EQ(m_fleet.submit(idOf(8), SMALL, "300").m_status, 503U);
    m_fleet.m_storeState.m_isDown = false;
    for (std::size_t gateway = 0; gateway < m_fleet.m_gateways.size(); ++gateway) {
        const IntakeAnswer answer =
                m_fleet.submit(idOf(20 + gateway), SMALL, "300", "/batch/", gateway);
        EXPECT_EQ(answer.m_status, 200U) << gateway << " " << answer.m_reason;
    }
}

TEST_F(RequestFailuresTest, AGatewayJustCutOffFromTheStoreForwardsAJobToTheLeaderInTime) {
    const std::size_t gateway = getFollower();
    m_fleet.m_storeState.m_cutOff.insert(m_fleet.m_gateways[gateway].m_name);
    const Millis before = m_fleet.m_loop.now();
    const IntakeAnswer answer = m_fleet.submit(idOf(30), SMALL, "300", "/batch/", gateway);
    EXPECT_EQ(answer.m_status, 200U) << answer.m_reason;
    EXPECT_LE(m_fleet.m_loop.now() - before, Millis(600));
}

TEST_F(RequestFailuresTest, ARequestWithAShortTimeoutIsForwardedToTheLeaderInTime) {
    const std::size_t gateway = getFollower();
    m_fleet.m_storeState.m_cutOff.insert(m_fleet.m_gateways[gateway].m_name);
    m_fleet.m_loop.advance(Millis(2500));
    IntakeRequest request;
    request.m_method = "POST";
    request.m_host = JobFleet::HOST;
    request.m_path = "/batch/" + idOf(31);
    request.m_key = JobFleet::KEY;
    request.m_body = R"({"spec":"300","steps":[)" + std::string(SMALL) + "]}";
    request.m_timeout = Millis(250);
    IntakeAnswer answer;
    m_fleet.m_gateways[gateway].m_core->getIntake().handle(
            request, [&](const IntakeAnswer& received) { answer = received; });
    m_fleet.m_loop.advance(request.m_timeout);
    EXPECT_EQ(answer.m_status, 200U) << answer.m_reason;
}

/** A gateway must not forward the leader's refusal while the outcome of its own write is unknown.
 */
TEST_F(RequestFailuresTest, ARefusalByTheLeaderDoesNotRefuseAPendingWrite) {
    m_fleet.m_storeState.m_writesToDelay = 1;
    m_fleet.m_storeState.m_writeDelay = Millis(5000);
    m_fleet.m_loop.callLater(Millis(200), [this] { m_fleet.m_storeState.m_isDown = true; });
    const IntakeAnswer answer = m_fleet.submit(idOf(9), SMALL, "300", "/batch/", getFollower());
    EXPECT_EQ(answer.m_status, 504U) << answer.m_reason;
    m_fleet.m_storeState.m_isDown = false;
    m_fleet.m_loop.advance(Millis(6000));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(idOf(9))), 1U);
}

/**
 * Guards against the answer 401 for a job that runs. The gateway writes the job, loses the answer
 * and then the store, and the operators revoke the key. The leader's 401 is correct for a new
 * request, but must not be forwarded, since the gateway's own write may have taken effect.
 */
TEST_F(RequestFailuresTest, ARevokedKeyAtTheLeaderDoesNotRefuseAWriteThatTookEffect) {
    m_fleet.m_storeState.m_answersToLose = 100;
    const std::size_t follower = getFollower();
    m_fleet.m_loop.callLater(Millis(50), [this, follower] {
        m_fleet.m_storeState.m_answersToLose = 0;
        m_fleet.m_storeState.m_cutOff.insert(m_fleet.m_gateways[follower].m_name);
        m_fleet.configure({"key-b"});
    });
    const IntakeAnswer answer = m_fleet.submit(idOf(9), SMALL, "300", "/batch/", follower);
    EXPECT_EQ(answer.m_status, 504U) << answer.m_reason;
    m_fleet.m_storeState.m_cutOff.clear();
    m_fleet.m_loop.advance(Millis(3000));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(idOf(9))), 1U);
}

TEST_F(RequestFailuresTest, AJobRunsOnceIfItIsSubmittedToSeveralGateways) {
    Random random(7);
    for (std::uint64_t job = 1; job <= 12; ++job) {
        for (int repeat = 0; repeat < 4; ++repeat) {
            m_fleet.m_storeState.m_answersToLose = random.below(2) == 0 ? 1 : 0;
            m_fleet.submit(idOf(job), SMALL, "150", "/batch/", random.below(3));
        }
    }
    m_fleet.m_storeState.m_answersToLose = 0;
    m_fleet.m_loop.advance(Millis(5000));
    for (std::uint64_t job = 1; job <= 12; ++job) {
        EXPECT_EQ(m_fleet.getState(idOf(job)), "succeeded") << job;
        EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(idOf(job))), 1U) << job;
    }
}

// Random faults, with one test per seed.

namespace {

/** Summary of the answers to the callers of one job. */
struct AnswerSummary {
    bool m_isAccepted = false;
    /** Whether every answer was a refusal. */
    bool m_isOnlyRefused = true;
    bool m_isCancelled = false;
};

class RequestChaosTest : public RequestFailuresTest,
                         public ::testing::WithParamInterface<std::uint64_t> {
protected:
    void injectFault(Random& random) {
        const std::size_t index = random.below(3);
        auto& gateway = m_fleet.m_gateways[index];
        switch (random.below(9)) {
            case 0:
                m_fleet.killGateway(index);
                m_fleet.startGateway(index);
                break;
            case 1:
                m_fleet.m_storeState.m_isDown = true;
                break;
            case 2:
                m_fleet.m_storeState.m_answersToLose = 2;
                break;
            case 3:
                m_fleet.m_storeState.m_writesToDelay = 1;
                break;
            case 4:
                m_fleet.m_storeState.m_cutOff.insert(gateway.m_name);
                break;
            case 5:
                if (!gateway.m_loop->isFrozen()) {
                    gateway.m_loop->freeze();
                }
                break;
            case 6:
                m_fleet.m_sidecars[random.below(4)].m_worker->restart();
                break;
            case 7: {
                const std::size_t side = random.below(4);
                m_fleet.killSidecar(side);
                m_fleet.startSidecar(side);
                break;
            }
            default:
                m_fleet.m_network.cut(gateway.m_name, getSidecar(random.below(4)).m_name);
                break;
        }
    }

    void heal() {
        m_fleet.m_storeState.m_isDown = false;
        m_fleet.m_storeState.m_answersToLose = 0;
        m_fleet.m_storeState.m_writesToDelay = 0;
        m_fleet.m_storeState.m_cutOff.clear();
        for (auto& gateway : m_fleet.m_gateways) {
            if (gateway.m_loop->isFrozen()) {
                gateway.m_loop->thaw();
            }
            for (auto& sidecar : m_fleet.m_sidecars) {
                m_fleet.m_network.heal(gateway.m_name, sidecar.m_name);
            }
        }
    }

    void submitTo(const std::string& id, std::size_t gateway) {
        if (m_fleet.m_gateways[gateway].m_loop->isFrozen()) {
            return;
        }
        const auto status = m_fleet.submit(id, SMALL, "400", "/batch/", gateway).m_status;
        AnswerSummary& summary = m_summaries[id];
        summary.m_isAccepted = summary.m_isAccepted || status == 200;
        summary.m_isOnlyRefused = summary.m_isOnlyRefused && status == 503;
    }

    std::map<std::string, AnswerSummary> m_summaries;
};

}  // namespace

TEST_P(RequestChaosTest, RefusedJobsNeverRunAndAcceptedJobsRunOnce) {
    Random random(GetParam());
    std::uint64_t next = 1;
    for (int round = 0; round < 12; ++round) {
        if (random.below(2) == 0) {
            injectFault(random);
        }
        for (int i = 0; i < 3; ++i) {
            submitTo(idOf(next++), random.below(3));
        }
        const std::string repeatedId = idOf(1 + random.below(next - 1));
        submitTo(repeatedId, random.below(3));
        if (random.below(3) == 0) {
            const std::string cancelledId = idOf(1 + random.below(next - 1));
            const auto status =
                    m_fleet.sendRequest(random.below(3), "DELETE", "/batch/" + cancelledId)
                            .m_status;
            m_summaries[cancelledId].m_isCancelled =
                    m_summaries[cancelledId].m_isCancelled || status != 410;
        }
        m_fleet.m_loop.advance(Millis(static_cast<std::int64_t>(random.below(1500))));
        if (random.below(2) == 0) {
            heal();
        }
    }
    heal();
    m_fleet.m_loop.advance(Millis(25'000));
    for (const auto& [id, summary] : m_summaries) {
        const std::size_t starts = m_fleet.m_witness.countStarts(taskOf(id));
        if (summary.m_isOnlyRefused && !summary.m_isAccepted) {
            EXPECT_EQ(starts, 0U) << id << " was refused and started";
        }
        if (summary.m_isAccepted && !summary.m_isCancelled) {
            EXPECT_EQ(m_fleet.getState(id), "succeeded") << id;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RequestChaosTest, ::testing::Range<std::uint64_t>(1, 31));

}  // namespace pierbank::testing
