// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: tasks start in a failure domain that the operators have asked to evacuate, although
 * other failure domains have free capacity.
 *
 * Cause: new jobs, repeated tasks and urgent work with its preemptions are all placed on any worker
 * that is linked and not draining, unless the leader follows the evacuation requests in the
 * store. Each request must be in force within a fixed time after the store has acknowledged it.
 */
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "JobFleetTest.h"
#include "pierbank/base/Random.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr const char* OTHER_ID = "00000000000000b2";
constexpr const char* WHOLE = R"({"count":1,"cpu":8000,"gpu":8,"est_ms":1000})";
constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":1000})";
/** Bound that operators rely on: no start this long after the request was acknowledged. */
constexpr Millis BOUND{5000};

/** Failure domains `d0` and `d1` with four workers each, two in each rack. */
class EvacuationTest : public JobFleetTest {
protected:
    explicit EvacuationTest(std::size_t workers = 8) : JobFleetTest(workers) {}

    static std::string keyOf(const std::string& domain) { return "op/evacuate/" + domain; }
    static std::string domainOf(std::size_t index) { return "d" + std::to_string(index / 4); }

    void evacuate(const std::string& domain) { m_fleet.m_storeState.put(keyOf(domain), "{}"); }
    void withdraw(const std::string& domain) { m_fleet.m_storeState.erase(keyOf(domain)); }

    /** Requests an evacuation and waits until it is in force, provided that the store answers. */
    void evacuateAndWait(const std::string& domain) {
        evacuate(domain);
        m_fleet.m_loop.advance(Millis(1500));
    }

    /** Returns the times at which tasks were started on a worker. */
    std::vector<Millis> listStarts(std::size_t index) {
        std::vector<Millis> starts;
        for (const auto& row :
             nlohmann::json::parse(getSidecar(index).m_worker->getJournalText())) {
            if (row[0] == "start") {
                starts.emplace_back(row[3].get<std::int64_t>());
            }
        }
        return starts;
    }

    std::size_t countStartsIn(const std::string& domain, Millis since = Millis(0)) {
        std::size_t count = 0;
        for (std::size_t i = 0; i < m_fleet.m_sidecars.size(); ++i) {
            for (const Millis at : listStarts(i)) {
                count += domainOf(i) == domain && at >= since ? 1 : 0;
            }
        }
        return count;
    }

    static std::string idOf(std::uint64_t number) {
        std::string id(16, '0');
        const std::string digits = std::to_string(number);
        return id.replace(id.size() - digits.size(), digits.size(), digits);
    }

    void submitMany(std::size_t jobs, const std::string& step, const std::string& payload,
                    const std::string& queue = "/batch/") {
        for (std::size_t i = 0; i < jobs; ++i) {
            EXPECT_EQ(m_fleet.submit(idOf(++m_number), step, payload, queue, getLeader()).m_status,
                      200U);
        }
        m_fleet.m_loop.advance(Millis(300));
    }

    std::uint64_t m_number = 0;
};

}  // namespace

TEST_F(EvacuationTest, NothingStartsInTheFailureDomainAndJobsWaitForOtherCapacity) {
    evacuateAndWait("d1");
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d0"), 4U);
    EXPECT_EQ(countStartsIn("d1"), 0U);
}

TEST_F(EvacuationTest, JobsStartThereWithinASecondAfterTheRequestIsWithdrawn) {
    evacuateAndWait("d1");
    submitMany(6, WHOLE, "60000");
    withdraw("d1");
    m_fleet.m_loop.advance(Millis(1000));
    EXPECT_EQ(countStartsIn("d1"), 2U);
}

TEST_F(EvacuationTest, ActiveRunsAreNotStopped) {
    submitMany(8, WHOLE, "3000");
    ASSERT_EQ(countStartsIn("d1"), 4U);
    evacuate("d1");
    m_fleet.m_loop.advance(Millis(6000));
    for (std::uint64_t i = 1; i <= 8; ++i) {
        EXPECT_EQ(m_fleet.getState(idOf(i)), "succeeded");
        EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(idOf(i))), 1U);
    }
}

TEST_F(EvacuationTest, AFailedTaskIsRepeatedInAnotherFailureDomain) {
    submitMany(4, WHOLE, "2000");
    for (std::size_t i = 4; i < 8; ++i) {
        getSidecar(i).m_worker->m_failsAll = true;
    }
    submitMany(4, WHOLE, "60000");
    const std::size_t before = countStartsIn("d1");
    ASSERT_GT(before, 0U);
    evacuateAndWait("d1");
    const std::size_t atBound = countStartsIn("d1");
    m_fleet.m_loop.advance(Millis(8000));
    EXPECT_EQ(countStartsIn("d1"), atBound);
    EXPECT_EQ(countStartsIn("d0"), 8U);
}

TEST_F(EvacuationTest, UrgentWorkPreemptsOnlyWhereItMayStart) {
    submitMany(8, WHOLE, "60000");
    evacuateAndWait("d1");
    m_fleet.submit(ID, WHOLE, "60000", "/urgent/");
    m_fleet.m_loop.advance(Millis(1500));
    const auto worker = findWorker(taskOf(ID));
    ASSERT_TRUE(worker.has_value());
    EXPECT_EQ(domainOf(*worker), "d0");
    std::size_t running = 0;
    for (std::size_t i = 4; i < 8; ++i) {
        running += getSidecar(i).m_worker->countRunning();
    }
    EXPECT_EQ(running, 4U);
}

TEST_F(EvacuationTest, AGangIsPlacedInTheOtherFailureDomain) {
    evacuateAndWait("d0");
    m_fleet.submit(ID, R"({"count":4,"cpu":8000,"gpu":8,"est_ms":1000,"gang":true})", "60000");
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_EQ(countMembers(ID, 4), 4U);
    EXPECT_EQ(countStartsIn("d0"), 0U);
}

TEST_F(EvacuationTest, SeveralRequestsAreIndependent) {
    evacuateAndWait("d0");
    evacuateAndWait("d1");
    submitMany(2, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d0") + countStartsIn("d1"), 0U);
    EXPECT_EQ(m_fleet.getState(idOf(1)), "pending");
    withdraw("d0");
    m_fleet.m_loop.advance(Millis(1000));
    EXPECT_EQ(countStartsIn("d0"), 2U);
    EXPECT_EQ(countStartsIn("d1"), 0U);
}

TEST_F(EvacuationTest, ARequestThatIsRepeatedWithinASecondIsInForce) {
    evacuateAndWait("d1");
    for (int round = 0; round < 5; ++round) {
        withdraw("d1");
        m_fleet.m_loop.advance(Millis(300));
        evacuate("d1");
        m_fleet.m_loop.advance(Millis(200));
    }
    const Millis since = m_fleet.m_loop.now() + BOUND;
    m_fleet.m_loop.advance(BOUND);
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d1", since), 0U);
}

TEST_F(EvacuationTest, ARequestForAnUnknownFailureDomainHasNoEffect) {
    evacuateAndWait("d7");
    submitMany(8, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d0") + countStartsIn("d1"), 8U);
}

TEST_F(EvacuationTest, MalformedKeysAndValuesAffectNoOtherRequest) {
    m_fleet.m_storeState.put("op/evacuate/", "{}");
    m_fleet.m_storeState.put("op/evacuate/d0/extra", "{}");
    m_fleet.m_storeState.put(keyOf("d1"), std::string("\xff\x00 no document", 14));
    m_fleet.m_loop.advance(Millis(1500));
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d0"), 4U);
    EXPECT_EQ(countStartsIn("d1"), 0U);
}

// Operators' statements and lists.

TEST_F(EvacuationTest, AStatementHasTheSameEffectAndIsInTheAuditTrail) {
    const std::size_t leader = getLeader();
    EXPECT_EQ(m_fleet.executeStatement(leader, "domain evacuate d1").m_status,
              StatementStatus::DONE);
    m_fleet.m_loop.advance(Millis(300));
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d1"), 0U);
    const StatementAnswer why = m_fleet.executeStatement(leader, "why domain d1");
    EXPECT_NE(why.m_message.find("by a statement"), std::string::npos) << why.m_message;
    const StatementAnswer audit = m_fleet.executeStatement(leader, "show audit");
    EXPECT_EQ(audit.m_table->m_rows.size(), 1U);
    EXPECT_EQ(m_fleet.executeStatement(leader, "domain release d1").m_status,
              StatementStatus::DONE);
    m_fleet.m_loop.advance(Millis(300));
    EXPECT_EQ(countStartsIn("d1"), 2U);
}

TEST_F(EvacuationTest, AStatementSurvivesATakeover) {
    m_fleet.executeStatement(getLeader(), "domain evacuate d1");
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    m_fleet.m_loop.advance(Millis(500));
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d1"), 0U);
}

TEST_F(EvacuationTest, AStatementWithoutEffectIsRefusedWithAReason) {
    const std::size_t leader = getLeader();
    EXPECT_EQ(m_fleet.executeStatement(leader, "domain evacuate d9").m_status,
              StatementStatus::REFUSED);
    EXPECT_EQ(m_fleet.executeStatement(leader, "domain release d1").m_status,
              StatementStatus::REFUSED);
    evacuateAndWait("d1");
    const StatementAnswer release = m_fleet.executeStatement(leader, "domain release d1");
    EXPECT_EQ(release.m_status, StatementStatus::REFUSED);
    EXPECT_NE(release.m_message.find("platform's operators"), std::string::npos)
            << release.m_message;
}

TEST_F(EvacuationTest, ListsShowEvacuatedDomainsAndWorkers) {
    const std::size_t leader = getLeader();
    evacuateAndWait("d1");
    const StatementAnswer domains = m_fleet.executeStatement(
            leader, "show domains where state = \"evacuated by the platform\"");
    ASSERT_EQ(domains.m_table->m_rows.size(), 1U);
    const StatementAnswer workers =
            m_fleet.executeStatement(leader, "show workers where state = evacuated");
    EXPECT_EQ(workers.m_table->m_rows.size(), 4U);
    const StatementAnswer why = m_fleet.executeStatement(leader, "why domain d1");
    EXPECT_NE(why.m_message.find("since revision"), std::string::npos) << why.m_message;
}

/** An evacuation is temporary: a job that fits only there is pending, not impossible. */
TEST_F(EvacuationTest, AJobThatFitsOnlyThereIsPendingWithAnExplanation) {
    evacuateAndWait("d1");
    const std::string step = R"({"count":1,"cpu":1000,"gpu":1,"est_ms":1000,"requires":"r3"})";
    EXPECT_EQ(m_fleet.submit(ID, step, "1000").m_status, 200U);
    m_fleet.m_loop.advance(Millis(2000));
    EXPECT_EQ(m_fleet.getState(ID), "pending");
    const StatementAnswer why = m_fleet.executeStatement(getLeader(), "why job " + std::string(ID));
    EXPECT_NE(why.m_message.find("under evacuation (d1)"), std::string::npos) << why.m_message;
    EXPECT_EQ(why.m_message.find("can't run"), std::string::npos) << why.m_message;
    withdraw("d1");
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(4000)));
}

/** The gang needs six of the eight workers, more than d0 has. */
TEST_F(EvacuationTest, AnOperatorsGangThatNeedsTheEvacuatedCapacityIsAcceptedAndWaits) {
    evacuateAndWait("d1");
    const StatementAnswer answer =
            m_fleet.executeStatement(getLeader(), "submit job wide for a shape 6x8 runtime 1s");
    EXPECT_EQ(answer.m_status, StatementStatus::DONE) << answer.m_message;
    m_fleet.m_loop.advance(Millis(500));
    const StatementAnswer why = m_fleet.executeStatement(getLeader(), "why job wide");
    EXPECT_NE(why.m_message.find("under evacuation"), std::string::npos) << why.m_message;
}

// Long-running tasks.

TEST_F(EvacuationTest, LongRunningTasksMoveWithinTheirUnavailabilityLimit) {
    const std::string lasting =
            R"({"count":4,"cpu":4000,"gpu":4,"est_ms":1000,"long_running":true,"may_miss":1})";
    evacuateAndWait("d0");
    m_fleet.submit(ID, lasting, "serve");
    m_fleet.m_loop.advance(Millis(8000));
    withdraw("d0");
    evacuateAndWait("d1");
    std::size_t minRunning = 4;
    for (int i = 0; i < 400; ++i) {
        m_fleet.m_loop.advance(Millis(100));
        minRunning = std::min(minRunning, countMembers(ID, 4));
    }
    EXPECT_GE(minRunning, 3U);
    for (std::uint32_t i = 0; i < 4; ++i) {
        const auto worker = findWorker(taskOf(ID, i));
        ASSERT_TRUE(worker.has_value()) << i;
        EXPECT_EQ(domainOf(*worker), "d0") << i;
    }
}

TEST_F(EvacuationTest, LongRunningTasksStayIfNoOtherWorkerHasCapacity) {
    submitMany(4, WHOLE, "60000");
    const std::string lasting =
            R"({"count":2,"cpu":8000,"gpu":8,"est_ms":1000,"long_running":true,"may_miss":1})";
    m_fleet.submit(ID, lasting, "serve");
    m_fleet.m_loop.advance(Millis(8000));
    evacuateAndWait("d1");
    m_fleet.m_loop.advance(Millis(5000));
    EXPECT_EQ(countMembers(ID, 2), 2U);
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID, 0)), 1U);
}

// Orders that are under way when the request arrives.

/** A lost order is sent again until its run is revoked, which the evacuation must do. */
TEST_F(EvacuationTest, ALostOrderIsNotSentAgain) {
    submitMany(4, WHOLE, "60000");
    bool isLossy = true;
    m_fleet.m_network.setTap([&](const std::string&, const std::string&, const Frame& frame) {
        return !(isLossy && std::holds_alternative<RunOrder>(frame));
    });
    m_fleet.submit(ID, SMALL, "60000", "/batch/", getLeader());
    m_fleet.m_loop.advance(Millis(100));
    evacuate("d1");
    const Millis since = m_fleet.m_loop.now() + BOUND;
    m_fleet.m_loop.advance(Millis(1000));
    isLossy = false;
    m_fleet.m_loop.advance(Millis(9000));
    EXPECT_EQ(countStartsIn("d1", since), 0U);
    // The task must not wait for a run that never started.
    withdraw("d1");
    m_fleet.m_loop.advance(Millis(3000));
    EXPECT_TRUE(findWorker(taskOf(ID)).has_value());
}

TEST_F(EvacuationTest, AnOrderPendingAtASidecarIsRevoked) {
    submitMany(4, WHOLE, "60000");
    for (std::size_t i = 4; i < 8; ++i) {
        getSidecar(i).m_worker->m_startsToDelay = 3;
        getSidecar(i).m_worker->m_startDelay = Millis(60'000);
    }
    m_fleet.submit(ID, SMALL, "60000", "/batch/", getLeader());
    m_fleet.m_loop.advance(Millis(100));
    evacuate("d1");
    const Millis since = m_fleet.m_loop.now() + BOUND;
    m_fleet.m_loop.advance(Millis(12'000));
    EXPECT_EQ(countStartsIn("d1", since), 0U);
}

TEST_F(EvacuationTest, ACommitWithALateAnswerStartsNothing) {
    submitMany(4, WHOLE, "60000");
    evacuate("d1");
    m_fleet.m_storeState.m_latency = Millis(400);
    m_fleet.submit(ID, SMALL, "60000", "/batch/", getLeader());
    const Millis since = m_fleet.m_loop.now() + Millis(2000);
    m_fleet.m_loop.advance(Millis(8000));
    EXPECT_EQ(countStartsIn("d1", since), 0U);
}

// Failures of leaders and of the store.

TEST_F(EvacuationTest, ANewLeaderStartsNothingInTheFailureDomain) {
    submitMany(4, WHOLE, "60000");
    for (int round = 0; round < 3; ++round) {
        evacuate("d1");
        const std::size_t old = getLeader();
        m_fleet.killGateway(old);
        ASSERT_TRUE(m_fleet.waitForLeader());
        m_fleet.startGateway(old);
        const Millis since = m_fleet.m_loop.now() + Millis(1000);
        m_fleet.m_loop.advance(Millis(1000));
        submitMany(1, WHOLE, "60000");
        m_fleet.m_loop.advance(Millis(2000));
        EXPECT_EQ(countStartsIn("d1", since), 0U) << round;
        withdraw("d1");
    }
}

/** A new leader's first plan may be due seconds before its list of the evacuations is complete. */
TEST_F(EvacuationTest, ANewLeaderPlacesNothingBeforeItHasListedTheRequests) {
    submitMany(4, WHOLE, "60000");
    evacuate("d1");
    m_fleet.m_loop.advance(BOUND);
    submitMany(1, WHOLE, "60000");
    ASSERT_EQ(countStartsIn("d1"), 0U);
    m_fleet.m_storeState.m_listsToLose = {"op/evacuate/", 4};
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    m_fleet.m_loop.advance(Millis(8000));
    EXPECT_EQ(countStartsIn("d1"), 0U);
    EXPECT_EQ(m_fleet.m_storeState.m_listsToLose.m_count, 0U);
}

TEST_F(EvacuationTest, AThawedLeaderStartsNothingByOutdatedRequests) {
    submitMany(4, WHOLE, "60000");
    const std::size_t leader = getLeader();
    m_fleet.m_gateways[leader].m_loop->freeze();
    evacuate("d1");
    const Millis since = m_fleet.m_loop.now() + BOUND;
    m_fleet.m_loop.advance(Millis(6000));
    m_fleet.m_gateways[leader].m_loop->thaw();
    submitMany(1, SMALL, "60000");
    m_fleet.m_loop.advance(Millis(3000));
    EXPECT_EQ(countStartsIn("d1", since), 0U);
}

TEST_F(EvacuationTest, ARequestIsFoundWithoutHistoryOrWatchEvents) {
    m_fleet.m_storeState.m_dropsWatchEvents = true;
    evacuate("d1");
    m_fleet.m_loop.advance(Millis(1000));
    m_fleet.m_storeState.m_historyStart = m_fleet.m_storeState.getRevision();
    m_fleet.m_storeState.m_dropsWatchEvents = false;
    m_fleet.m_loop.advance(Millis(1000));
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d1"), 0U);
}

TEST_F(EvacuationTest, AWithdrawalDuringAnOutageIsInForceAfterIt) {
    evacuateAndWait("d1");
    m_fleet.m_storeState.m_isDown = true;
    m_fleet.m_loop.advance(Millis(2000));
    withdraw("d1");
    m_fleet.m_loop.advance(Millis(2000));
    m_fleet.m_storeState.m_isDown = false;
    m_fleet.m_loop.advance(Millis(3000));
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d1"), 2U);
}

namespace {

/** Evacuation requests and faults of the store and of gateways, both at random times. */
class EvacuationUnderFailureTest : public EvacuationTest {
protected:
    enum Fault {
        KILL,
        DOWN,
        SLOW,
        LOSE_ANSWERS,
        DELAY_WRITES,
        DROP_WATCH_EVENTS,
        DROP_HISTORY,
        FREEZE,
        NONE,
        FAULTS
    };

    explicit EvacuationUnderFailureTest(std::size_t workers = 12) : EvacuationTest(workers) {}

    struct EvacuationPeriod {
        std::string m_domain;
        Millis m_from{0};
        Millis m_to{1'000'000'000};
    };

    void toggleEvacuation(const std::string& domain) {
        const auto open = std::find_if(
                m_periods.rbegin(), m_periods.rend(), [&](const EvacuationPeriod& span) {
                    return span.m_domain == domain && span.m_to > m_fleet.m_loop.now();
                });
        if (open != m_periods.rend()) {
            withdraw(domain);
            open->m_to = m_fleet.m_loop.now();
        } else {
            evacuate(domain);
            m_periods.push_back({domain, m_fleet.m_loop.now()});
        }
    }

    void injectFault(Fault fault, Random& random) {
        auto& state = m_fleet.m_storeState;
        const std::size_t gateway = random.below(3);
        switch (fault) {
            case KILL:
                m_fleet.killGateway(gateway);
                m_fleet.startGateway(gateway);
                break;
            case DOWN:
                state.m_isDown = !state.m_isDown;
                break;
            case SLOW:
                state.m_latency = state.m_latency == Millis(2) ? Millis(200) : Millis(2);
                break;
            case LOSE_ANSWERS:
                state.m_answersToLose = 3;
                break;
            case DELAY_WRITES:
                state.m_writesToDelay = 2;
                break;
            case DROP_WATCH_EVENTS:
                state.m_dropsWatchEvents = !state.m_dropsWatchEvents;
                break;
            case DROP_HISTORY:
                state.m_historyStart = state.getRevision();
                break;
            case FREEZE:
                m_fleet.m_gateways[gateway].m_loop->freeze();
                m_fleet.m_loop.advance(Millis(static_cast<std::int64_t>(random.below(4000))));
                m_fleet.m_gateways[gateway].m_loop->thaw();
                break;
            case NONE:
            case FAULTS:
                break;
        }
    }

    /** Returns the number of starts after the bound, which holds under every fault. */
    std::size_t countLateStarts() {
        std::size_t count = 0;
        for (std::size_t i = 0; i < m_fleet.m_sidecars.size(); ++i) {
            for (const Millis at : listStarts(i)) {
                for (const EvacuationPeriod& span : m_periods) {
                    count += span.m_domain == domainOf(i) && at > span.m_from + BOUND &&
                                             at < span.m_to
                                     ? 1
                                     : 0;
                }
            }
        }
        return count;
    }

    std::vector<EvacuationPeriod> m_periods;
};

}  // namespace

TEST_F(EvacuationUnderFailureTest, NoStartExceedsTheBoundUnderRandomFaults) {
    Random random(20261203);
    constexpr int ROUNDS = 250;
    for (int round = 0; round < ROUNDS; ++round) {
        if (random.below(3) == 0) {
            toggleEvacuation("d" + std::to_string(random.below(3)));
        }
        if (random.below(3) == 0) {
            injectFault(static_cast<Fault>(random.below(FAULTS)), random);
        }
        const std::string id = idOf(++m_number);
        const std::string body = std::string(R"({"spec":")") +
                                 std::to_string(200 + random.below(4000)) + R"(","steps":[)" +
                                 (random.below(2) == 0 ? WHOLE : SMALL) + "]}";
        IntakeRequest request;
        request.m_method = "POST";
        request.m_host = JobFleet::HOST;
        request.m_path = (random.below(4) == 0 ? "/urgent/" : "/batch/") + id;
        request.m_body = body;
        request.m_key = JobFleet::KEY;
        m_fleet.m_gateways[random.below(3)].m_core->getIntake().handle(request,
                                                                       [](const IntakeAnswer&) {});
        m_fleet.m_loop.advance(Millis(static_cast<std::int64_t>(random.below(900))));
    }
    EXPECT_GT(m_periods.size(), 20U);
    EXPECT_EQ(countLateStarts(), 0U);
}

}  // namespace pierbank::testing
