// SPDX-License-Identifier: Apache-2.0
/*
 * Operators saw: they asked for a failure domain to be emptied, so that it could be worked on, and
 * the system went on starting tasks there for as long as the request stood: 185 on one day of 55
 * workers, while its other two failure domains had room.
 *
 * Order of events: the request is acknowledged by the store; jobs arrive, tasks fail and are
 * repeated, urgent work makes others give way; all of it is placed on the workers of that failure
 * domain as on any others.
 *
 * Cause: nothing read these requests. A worker took new work as long as it was linked and did not
 * say that it drains.
 *
 * Evidence: the workers' record of starts, 185 of them more than 5 s after the request, and no line
 * of the leader's log that names an evacuation.
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
/** Users' bound: nothing begins so long after the request was acknowledged. */
constexpr Millis BOUND{5000};

/** Failure domains `d0` and `d1` of four workers each, two a rack. */
class EvacuationTest : public JobFleetTest {
protected:
    explicit EvacuationTest(std::size_t workers = 8) : JobFleetTest(workers) {}

    static std::string keyOf(const std::string& domain) { return "op/evacuate/" + domain; }
    static std::string domainOf(std::size_t place) { return "d" + std::to_string(place / 4); }

    void evacuate(const std::string& domain) { m_fleet.m_state.put(keyOf(domain), "{}"); }
    void takeBack(const std::string& domain) { m_fleet.m_state.erase(keyOf(domain)); }

    /** Evacuates, and lets enough time pass for a store that answers. */
    void evacuateAndWait(const std::string& domain) {
        evacuate(domain);
        m_fleet.m_loop.advance(Millis(1500));
    }

    /** Times at which tasks were started on a worker. */
    std::vector<Millis> listStarts(std::size_t place) {
        std::vector<Millis> starts;
        for (const auto& row :
             nlohmann::json::parse(getSidecar(place).m_worker->getJournalText())) {
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

TEST_F(EvacuationTest, NothingBeginsInTheFailureDomainAndWorkWaitsForRoomElsewhere) {
    evacuateAndWait("d1");
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d0"), 4U);
    EXPECT_EQ(countStartsIn("d1"), 0U);
}

TEST_F(EvacuationTest, WorkBeginsThereWithinASecondAfterTheRequestIsWithdrawn) {
    evacuateAndWait("d1");
    submitMany(6, WHOLE, "60000");
    takeBack("d1");
    m_fleet.m_loop.advance(Millis(1000));
    EXPECT_EQ(countStartsIn("d1"), 2U);
}

TEST_F(EvacuationTest, WhatRunsThereEndsByItself) {
    submitMany(8, WHOLE, "3000");
    ASSERT_EQ(countStartsIn("d1"), 4U);
    evacuate("d1");
    m_fleet.m_loop.advance(Millis(6000));
    for (std::uint64_t i = 1; i <= 8; ++i) {
        EXPECT_EQ(m_fleet.getState(idOf(i)), "succeeded");
        EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(idOf(i))), 1U);
    }
}

TEST_F(EvacuationTest, ATaskThatFailedThereIsRepeatedElsewhere) {
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

TEST_F(EvacuationTest, UrgentWorkMakesOthersGiveWayOnlyWhereItMayBegin) {
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

TEST_F(EvacuationTest, AGangGoesWholeIntoTheFailureDomainThatIsLeft) {
    evacuateAndWait("d0");
    m_fleet.submit(ID, R"({"count":4,"cpu":8000,"gpu":8,"est_ms":1000,"gang":true})", "60000");
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_EQ(countMembers(ID, 4), 4U);
    EXPECT_EQ(countStartsIn("d0"), 0U);
}

TEST_F(EvacuationTest, SeveralRequestsStandSideBySideAndEachIsWithdrawnAlone) {
    evacuateAndWait("d0");
    evacuateAndWait("d1");
    submitMany(2, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d0") + countStartsIn("d1"), 0U);
    EXPECT_EQ(m_fleet.getState(idOf(1)), "pending");
    takeBack("d0");
    m_fleet.m_loop.advance(Millis(1000));
    EXPECT_EQ(countStartsIn("d0"), 2U);
    EXPECT_EQ(countStartsIn("d1"), 0U);
}

TEST_F(EvacuationTest, OneThatIsWithdrawnAndAskedForAnewWithinASecondStands) {
    evacuateAndWait("d1");
    for (int round = 0; round < 5; ++round) {
        takeBack("d1");
        m_fleet.m_loop.advance(Millis(300));
        evacuate("d1");
        m_fleet.m_loop.advance(Millis(200));
    }
    const Millis since = m_fleet.m_loop.now() + BOUND;
    m_fleet.m_loop.advance(BOUND);
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d1", since), 0U);
}

TEST_F(EvacuationTest, OneOfAFailureDomainThatNobodyKnowsKeepsNobodyFromWorking) {
    evacuateAndWait("d7");
    submitMany(8, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d0") + countStartsIn("d1"), 8U);
}

TEST_F(EvacuationTest, AKeyThatNamesNoFailureDomainAndAnyValueCostNothingElse) {
    m_fleet.m_state.put("op/evacuate/", "{}");
    m_fleet.m_state.put("op/evacuate/d0/extra", "{}");
    m_fleet.m_state.put(keyOf("d1"), std::string("\xff\x00 no document", 14));
    m_fleet.m_loop.advance(Millis(1500));
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d0"), 4U);
    EXPECT_EQ(countStartsIn("d1"), 0U);
}

// What operators ask for and see.

TEST_F(EvacuationTest, AStatementAsksForTheSameAndIsOnTheAuditTrail) {
    const std::size_t leader = getLeader();
    EXPECT_EQ(m_fleet.state(leader, "domain evacuate d1").m_status, StatementStatus::DONE);
    m_fleet.m_loop.advance(Millis(300));
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d1"), 0U);
    const StatementAnswer why = m_fleet.state(leader, "why domain d1");
    EXPECT_NE(why.m_message.find("by a statement"), std::string::npos) << why.m_message;
    const StatementAnswer audit = m_fleet.state(leader, "show audit");
    EXPECT_EQ(audit.m_table->m_rows.size(), 1U);
    EXPECT_EQ(m_fleet.state(leader, "domain release d1").m_status, StatementStatus::DONE);
    m_fleet.m_loop.advance(Millis(300));
    EXPECT_EQ(countStartsIn("d1"), 2U);
}

TEST_F(EvacuationTest, AStatementOutlivesTheLeaderThatTookIt) {
    m_fleet.state(getLeader(), "domain evacuate d1");
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    m_fleet.m_loop.advance(Millis(500));
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d1"), 0U);
}

TEST_F(EvacuationTest, AStatementThatCanChangeNothingSaysWhy) {
    const std::size_t leader = getLeader();
    EXPECT_EQ(m_fleet.state(leader, "domain evacuate d9").m_status, StatementStatus::REFUSED);
    EXPECT_EQ(m_fleet.state(leader, "domain release d1").m_status, StatementStatus::REFUSED);
    evacuateAndWait("d1");
    const StatementAnswer release = m_fleet.state(leader, "domain release d1");
    EXPECT_EQ(release.m_status, StatementStatus::REFUSED);
    EXPECT_NE(release.m_message.find("platform's operators"), std::string::npos)
            << release.m_message;
}

TEST_F(EvacuationTest, ListsShowWhatIsEvacuated) {
    const std::size_t leader = getLeader();
    evacuateAndWait("d1");
    const StatementAnswer domains =
            m_fleet.state(leader, "show domains where state = \"evacuated by the platform\"");
    ASSERT_EQ(domains.m_table->m_rows.size(), 1U);
    const StatementAnswer workers = m_fleet.state(leader, "show workers where state = evacuated");
    EXPECT_EQ(workers.m_table->m_rows.size(), 4U);
    const StatementAnswer why = m_fleet.state(leader, "why domain d1");
    EXPECT_NE(why.m_message.find("since revision"), std::string::npos) << why.m_message;
}

/** Its workers come back one day: a job that only they could hold is no job that can't run. */
TEST_F(EvacuationTest, AJobThatOnlyThisFailureDomainCouldHoldWaitsAndSaysSo) {
    evacuateAndWait("d1");
    const std::string step = R"({"count":1,"cpu":1000,"gpu":1,"est_ms":1000,"requires":"r3"})";
    EXPECT_EQ(m_fleet.submit(ID, step, "1000").m_status, 200U);
    m_fleet.m_loop.advance(Millis(2000));
    EXPECT_EQ(m_fleet.getState(ID), "pending");
    const StatementAnswer why = m_fleet.state(getLeader(), "why job " + std::string(ID));
    EXPECT_NE(why.m_message.find("under evacuation (d1)"), std::string::npos) << why.m_message;
    EXPECT_EQ(why.m_message.find("can't run"), std::string::npos) << why.m_message;
    takeBack("d1");
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(4000)));
}

/** Six of eight workers are asked for at once, so that d0 alone can't hold it. */
TEST_F(EvacuationTest, AnOperatorsGangThatNeedsTheEvacuatedRoomIsTakenAndWaits) {
    evacuateAndWait("d1");
    const StatementAnswer answer =
            m_fleet.state(getLeader(), "submit job wide for a shape 6x8 runtime 1s");
    EXPECT_EQ(answer.m_status, StatementStatus::DONE) << answer.m_message;
    m_fleet.m_loop.advance(Millis(500));
    const StatementAnswer why = m_fleet.state(getLeader(), "why job wide");
    EXPECT_NE(why.m_message.find("under evacuation"), std::string::npos) << why.m_message;
}

// What lasts.

TEST_F(EvacuationTest, TasksThatLastMoveOffOneByOneAsTheirPromiseAllows) {
    const std::string lasting =
            R"({"count":4,"cpu":4000,"gpu":4,"est_ms":1000,"long_running":true,"may_miss":1})";
    evacuateAndWait("d0");
    m_fleet.submit(ID, lasting, "serve");
    m_fleet.m_loop.advance(Millis(8000));
    takeBack("d0");
    evacuateAndWait("d1");
    std::size_t fewest = 4;
    for (int i = 0; i < 400; ++i) {
        m_fleet.m_loop.advance(Millis(100));
        fewest = std::min(fewest, countMembers(ID, 4));
    }
    EXPECT_GE(fewest, 3U);
    for (std::uint32_t i = 0; i < 4; ++i) {
        const auto worker = findWorker(taskOf(ID, i));
        ASSERT_TRUE(worker.has_value()) << i;
        EXPECT_EQ(domainOf(*worker), "d0") << i;
    }
}

TEST_F(EvacuationTest, TasksThatLastStayWhereNothingElseHasRoomForThem) {
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

// Work that is on its way when the request comes.

/** An order that got lost was sent again for as long as nobody took the run back. */
TEST_F(EvacuationTest, AnOrderThatGotLostIsNotSentAgainThere) {
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
    // Nor does it wait for ever for a run that never began.
    takeBack("d1");
    m_fleet.m_loop.advance(Millis(3000));
    EXPECT_TRUE(findWorker(taskOf(ID)).has_value());
}

TEST_F(EvacuationTest, AnOrderThatASidecarHoldsIsTakenBack) {
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

TEST_F(EvacuationTest, ACommitWhoseAnswerCameLateStartsNothingThere) {
    submitMany(4, WHOLE, "60000");
    evacuate("d1");
    m_fleet.m_state.m_latency = Millis(400);
    m_fleet.submit(ID, SMALL, "60000", "/batch/", getLeader());
    const Millis since = m_fleet.m_loop.now() + Millis(2000);
    m_fleet.m_loop.advance(Millis(8000));
    EXPECT_EQ(countStartsIn("d1", since), 0U);
}

// Failures of those who decide.

TEST_F(EvacuationTest, ANewLeaderStartsNothingThereHoweverTheOldOneEnded) {
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
        takeBack("d1");
    }
}

/** Its first plan came 40 ms after it led, its list of evacuations seconds later. */
TEST_F(EvacuationTest, ANewLeaderPlacesNothingBeforeItHasReadTheRequests) {
    submitMany(4, WHOLE, "60000");
    evacuate("d1");
    m_fleet.m_loop.advance(BOUND);
    submitMany(1, WHOLE, "60000");
    ASSERT_EQ(countStartsIn("d1"), 0U);
    m_fleet.m_state.m_listsToLose = {"op/evacuate/", 4};
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    m_fleet.m_loop.advance(Millis(8000));
    EXPECT_EQ(countStartsIn("d1"), 0U);
    EXPECT_EQ(m_fleet.m_state.m_listsToLose.m_count, 0U);
}

TEST_F(EvacuationTest, ALeaderThatWakesStartsNothingByWhatItKnewBefore) {
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

TEST_F(EvacuationTest, AStoreThatForgetsItsHistoryOrWhoseWatchesHearNothingHidesNoRequest) {
    m_fleet.m_state.m_isDeaf = true;
    evacuate("d1");
    m_fleet.m_loop.advance(Millis(1000));
    m_fleet.m_state.m_historyFrom = m_fleet.m_state.getRevision();
    m_fleet.m_state.m_isDeaf = false;
    m_fleet.m_loop.advance(Millis(1000));
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d1"), 0U);
}

TEST_F(EvacuationTest, OneThatIsWithdrawnWhileTheStoreIsDownCountsUntilThatIsKnown) {
    evacuateAndWait("d1");
    m_fleet.m_state.m_isDown = true;
    m_fleet.m_loop.advance(Millis(2000));
    takeBack("d1");
    m_fleet.m_loop.advance(Millis(2000));
    m_fleet.m_state.m_isDown = false;
    m_fleet.m_loop.advance(Millis(3000));
    submitMany(6, WHOLE, "60000");
    EXPECT_EQ(countStartsIn("d1"), 2U);
}

namespace {

/** Requests that come and go beside troubles of the store and of gateways, at random times. */
class EvacuationUnderFailureTest : public EvacuationTest {
protected:
    enum Trouble { KILL, DOWN, SLOW, LOSES, DELAYS, DEAF, FORGETS, FREEZE, NONE, TROUBLES };

    explicit EvacuationUnderFailureTest(std::size_t workers = 12) : EvacuationTest(workers) {}

    struct Span {
        std::string m_domain;
        Millis m_from{0};
        Millis m_to{1'000'000'000};
    };

    void turn(const std::string& domain) {
        const auto open = std::find_if(m_spans.rbegin(), m_spans.rend(), [&](const Span& span) {
            return span.m_domain == domain && span.m_to > m_fleet.m_loop.now();
        });
        if (open != m_spans.rend()) {
            takeBack(domain);
            open->m_to = m_fleet.m_loop.now();
        } else {
            evacuate(domain);
            m_spans.push_back({domain, m_fleet.m_loop.now()});
        }
    }

    void trouble(Trouble trouble, Random& random) {
        auto& state = m_fleet.m_state;
        const std::size_t gateway = random.below(3);
        switch (trouble) {
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
            case LOSES:
                state.m_answersToLose = 3;
                break;
            case DELAYS:
                state.m_writesToDelay = 2;
                break;
            case DEAF:
                state.m_isDeaf = !state.m_isDeaf;
                break;
            case FORGETS:
                state.m_historyFrom = state.getRevision();
                break;
            case FREEZE:
                m_fleet.m_gateways[gateway].m_loop->freeze();
                m_fleet.m_loop.advance(Millis(static_cast<std::int64_t>(random.below(4000))));
                m_fleet.m_gateways[gateway].m_loop->thaw();
                break;
            case NONE:
            case TROUBLES:
                break;
        }
    }

    /** Starts that break the bound, which no trouble makes longer. */
    std::size_t countLateStarts() {
        std::size_t count = 0;
        for (std::size_t i = 0; i < m_fleet.m_sidecars.size(); ++i) {
            for (const Millis at : listStarts(i)) {
                for (const Span& span : m_spans) {
                    count += span.m_domain == domainOf(i) && at > span.m_from + BOUND &&
                                             at < span.m_to
                                     ? 1
                                     : 0;
                }
            }
        }
        return count;
    }

    std::vector<Span> m_spans;
};

}  // namespace

TEST_F(EvacuationUnderFailureTest, NoStartBreaksTheBoundWhateverFailsMeanwhile) {
    Random random(20261203);
    constexpr int ROUNDS = 250;
    for (int round = 0; round < ROUNDS; ++round) {
        if (random.below(3) == 0) {
            turn("d" + std::to_string(random.below(3)));
        }
        if (random.below(3) == 0) {
            trouble(static_cast<Trouble>(random.below(TROUBLES)), random);
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
    EXPECT_GT(m_spans.size(), 20U);
    EXPECT_EQ(countLateStarts(), 0U);
}

}  // namespace pierbank::testing
