// SPDX-License-Identifier: Apache-2.0
// Gangs, leases and guarantees under failure.
#include "JobFleetTest.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr const char* WHOLE = R"({"count":1,"cpu":8000,"gpu":8,"est_ms":1000})";
constexpr const char* PAIR =
        R"({"count":2,"cpu":8000,"gpu":8,"est_ms":1000,"gang":true,"same_rack":true})";

std::string idOf(int number) {
    std::string id(16, '0');
    const std::string digits = std::to_string(number);
    return id.replace(id.size() - digits.size(), digits.size(), digits);
}

class ScheduleFailuresTest : public JobFleetTest {
protected:
    void silence(std::size_t place) {
        getSidecar(place).m_worker->m_isSilent = true;
        m_fleet.killSidecar(place);
    }

    /** With the settings of the fleet: grant, clock slack, a tick and what a stop takes. */
    static constexpr Millis LEASE_BOUND{4500 + 200 + 400};
};

}  // namespace

// Gangs.

TEST_F(ScheduleFailuresTest, ADeadWorkersGangStopsWholeAndRunsAgainElsewhereOnlyAfterTheLease) {
    m_fleet.submit(ID, PAIR, "60000");
    m_fleet.m_loop.advance(Millis(500));
    const auto lost = findWorker(taskOf(ID, 0));
    ASSERT_TRUE(lost.has_value());
    silence(*lost);
    const Millis alone = measurePart(ID, 2, Millis(12'000));
    EXPECT_EQ(countMembers(ID, 2), 2U);
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID, 0)), 2U);
    EXPECT_LE(alone, LEASE_BOUND);
}

TEST_F(ScheduleFailuresTest, ALeaderThatDiesBetweenCommitAndStartLeavesNoPartAlone) {
    const std::string old = m_fleet.m_gateways[getLeader()].m_name;
    m_fleet.m_network.setTap(
            [old](const std::string& from, const std::string&, const Frame& frame) {
                return !(std::holds_alternative<RunOrder>(frame) && from == old);
            });
    const std::size_t other = getFollower();
    EXPECT_EQ(m_fleet.submit(ID, PAIR, "20000", "/batch/", other).m_status, 200U);
    m_fleet.m_loop.advance(Millis(200));
    EXPECT_EQ(countMembers(ID, 2), 0U);
    m_fleet.killGateway(getLeader());
    const Millis alone = measurePart(ID, 2, Millis(4000));
    EXPECT_EQ(countMembers(ID, 2), 2U);
    EXPECT_LE(alone, Millis(100));
}

TEST_F(ScheduleFailuresTest, OneOrderThatDiedWithItsSidecarIsSentAgain) {
    int dropped = 0;
    m_fleet.m_network.setTap([&](const std::string&, const std::string& to, const Frame& frame) {
        const bool isFirst = std::holds_alternative<RunOrder>(frame) && dropped == 0;
        if (isFirst) {
            ++dropped;
            m_fleet.m_loop.post([this, to] {
                for (std::size_t i = 0; i < 4; ++i) {
                    if (getSidecar(i).m_name == to) {
                        m_fleet.killSidecar(i);
                        m_fleet.startSidecar(i);
                    }
                }
            });
        }
        return !isFirst;
    });
    m_fleet.submit(ID, PAIR, "20000");
    measurePart(ID, 2, Millis(3000));
    EXPECT_EQ(dropped, 1);
    EXPECT_EQ(countMembers(ID, 2), 2U);
}

TEST_F(ScheduleFailuresTest, AMemberThatFailsStopsItsWholeGang) {
    getSidecar(0).m_worker->m_failsAll = true;
    const std::string four = R"({"count":4,"cpu":8000,"gpu":8,"est_ms":1000,"gang":true})";
    m_fleet.submit(ID, four, "60000");
    const Millis alone = measurePart(ID, 4, Millis(3000));
    // It needs the failing worker each time, so the job itself is given up in the end.
    EXPECT_EQ(m_fleet.getState(ID), "failed");
    EXPECT_EQ(countMembers(ID, 4), 0U);
    EXPECT_LE(alone, Millis(400));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID, 0)), 2U);
}

// Leases.

TEST_F(ScheduleFailuresTest, ACutOffWorkerStopsItsTasksBeforeTheyRunElsewhere) {
    m_fleet.submit(ID, PAIR, "60000");
    m_fleet.m_loop.advance(Millis(500));
    const auto cut = findWorker(taskOf(ID, 1));
    ASSERT_TRUE(cut.has_value());
    for (const auto& gateway : m_fleet.m_gateways) {
        m_fleet.m_network.cut(gateway.m_name, getSidecar(*cut).m_name);
    }
    ASSERT_TRUE(waitUntil(Millis(12'000),
                          [&] { return m_fleet.m_witness.countStarts(taskOf(ID, 1)) == 2; }));
    EXPECT_FALSE(getSidecar(*cut).m_worker->isRunning(taskOf(ID, 1)));
}

TEST_F(ScheduleFailuresTest, AFrozenSidecarDoesNotLengthenItsLeaseByOldRenewals) {
    m_fleet.submit(ID, WHOLE, "60000");
    m_fleet.m_loop.advance(Millis(500));
    const auto held = findWorker(taskOf(ID));
    ASSERT_TRUE(held.has_value());
    getSidecar(*held).m_loop->freeze();
    ASSERT_TRUE(waitUntil(Millis(12'000),
                          [&] { return m_fleet.m_witness.countStarts(taskOf(ID)) == 2; }));
    getSidecar(*held).m_loop->thaw();
    m_fleet.m_loop.advance(Millis(5000));
    EXPECT_FALSE(getSidecar(*held).m_worker->isRunning(taskOf(ID)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 2U);
}

/** Found by the model: an order that waited for a lease was carried out when the lease was back. */
TEST_F(ScheduleFailuresTest, AnOrderThatAFrozenSidecarReadsLateIsNotCarriedOut) {
    std::string frozen;
    m_fleet.m_network.setTap([&](const std::string&, const std::string& to, const Frame& frame) {
        if (std::holds_alternative<RunOrder>(frame) && frozen.empty()) {
            frozen = to;
            for (auto& sidecar : m_fleet.m_sidecars) {
                if (sidecar.m_name == to) {
                    sidecar.m_loop->freeze();
                }
            }
        }
        return true;
    });
    m_fleet.submit(ID, WHOLE, "60000");
    ASSERT_TRUE(waitUntil(Millis(12'000),
                          [&] { return m_fleet.m_witness.countStarts(taskOf(ID)) == 1; }));
    for (auto& sidecar : m_fleet.m_sidecars) {
        if (sidecar.m_name == frozen) {
            EXPECT_FALSE(sidecar.m_worker->isRunning(taskOf(ID)));
            sidecar.m_loop->thaw();
        }
    }
    m_fleet.m_loop.advance(Millis(5000));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

TEST_F(ScheduleFailuresTest, AWorkerLostSoonAfterATakeOverDoesNotWaitForTheOutageGrace) {
    m_fleet.submit(ID, WHOLE, "60000");
    m_fleet.m_loop.advance(Millis(500));
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    m_fleet.m_loop.advance(Millis(1500));
    const auto lost = findWorker(taskOf(ID));
    ASSERT_TRUE(lost.has_value());
    silence(*lost);
    EXPECT_TRUE(waitUntil(LEASE_BOUND + Millis(1000),
                          [&] { return m_fleet.m_witness.countStarts(taskOf(ID)) == 2; }));
}

/** It grants on without the store, but not longer than a successor waits for silent hosts. */
TEST_F(ScheduleFailuresTest, ALeaderCutOffForLongStopsGrantingBeforeAnotherPlacesItsWork) {
    m_fleet.submit(ID, WHOLE, "90000");
    m_fleet.m_loop.advance(Millis(500));
    const std::size_t old = getLeader();
    const auto held = findWorker(taskOf(ID));
    ASSERT_TRUE(held.has_value());
    m_fleet.m_state.m_cutOff.insert(m_fleet.m_gateways[old].m_name);
    // Its own side is cut off with it: the successor can't reach the worker, nor the old leader.
    for (std::size_t i = 0; i < m_fleet.m_gateways.size(); ++i) {
        if (i != old) {
            m_fleet.m_network.cut(m_fleet.m_gateways[i].m_name, getSidecar(*held).m_name);
            m_fleet.m_network.cut(m_fleet.m_gateways[i].m_name, m_fleet.m_gateways[old].m_name);
        }
    }
    ASSERT_TRUE(waitUntil(Millis(40'000),
                          [&] { return m_fleet.m_witness.countStarts(taskOf(ID)) == 2; }));
    EXPECT_FALSE(getSidecar(*held).m_worker->isRunning(taskOf(ID)));
}

/** Found by chaos: frames dropped in a short cut that no link noticed were never sent again. */
TEST_F(ScheduleFailuresTest, AnOrderThatGotLostOnALinkThatLivesIsSentAgain) {
    bool isLossy = true;
    m_fleet.m_network.setTap([&](const std::string&, const std::string&, const Frame& frame) {
        return !isLossy || !std::holds_alternative<RunOrder>(frame);
    });
    m_fleet.submit(ID, WHOLE, "500");
    m_fleet.m_loop.advance(Millis(1000));
    isLossy = false;
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(6000)));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
}

TEST_F(ScheduleFailuresTest, AStopThatGotLostOnALinkThatLivesIsSentAgain) {
    m_fleet.submit(ID, WHOLE, "60000");
    m_fleet.m_loop.advance(Millis(300));
    bool isLossy = true;
    m_fleet.m_network.setTap([&](const std::string&, const std::string&, const Frame& frame) {
        return !isLossy || !std::holds_alternative<RunStop>(frame);
    });
    EXPECT_EQ(m_fleet.ask(0, "DELETE", std::string("/batch/") + ID).m_status, 200U);
    m_fleet.m_loop.advance(Millis(1000));
    isLossy = false;
    EXPECT_TRUE(waitUntil(Millis(3000), [&] { return m_fleet.m_witness.countRunning() == 0; }));
}

// Workers, guarantees, waves.

TEST_F(ScheduleFailuresTest, AWorkerThatFailsEverythingIsAvoidedAndTheJobsRunElsewhere) {
    getSidecar(0).m_worker->m_failsAll = true;
    const std::string half = R"({"count":1,"cpu":1000,"gpu":4,"est_ms":1000})";
    for (int i = 1; i <= 6; ++i) {
        m_fleet.submit(idOf(i), half, "600000");
    }
    EXPECT_TRUE(waitUntil(Millis(10'000), [&] {
        return m_fleet.m_witness.countRunning() == 6 && getSidecar(0).m_worker->countRunning() == 0;
    }));
}

TEST_F(ScheduleFailuresTest, AGuaranteedShapeIsReclaimedFromFullRacks) {
    const std::string half = R"({"count":1,"cpu":1000,"gpu":4,"est_ms":600000})";
    for (int i = 1; i <= 8; ++i) {
        m_fleet.submit(idOf(i), half, "600000");
    }
    ASSERT_TRUE(waitUntil(Millis(3000), [&] { return m_fleet.m_witness.countRunning() == 8; }));
    EXPECT_EQ(m_fleet.submit(ID, WHOLE, "600", "/urgent/").m_status, 200U);
    // The users' bound for urgent work is 8.1 s; here a stop takes no time.
    EXPECT_TRUE(waitUntil(Millis(500), [&] { return m_fleet.m_witness.isRunning(taskOf(ID)); }));
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(3000), "/urgent/"));
}

TEST_F(ScheduleFailuresTest, WhileNothingChangesHardlyAnyPlansAreMade) {
    m_fleet.submit(ID, R"({"count":4,"cpu":8000,"gpu":8,"est_ms":60000})", "60000");
    ASSERT_TRUE(waitUntil(Millis(2000), [&] { return countMembers(ID, 4) == 4; }));
    m_fleet.m_loop.advance(Millis(1000));
    const JobStatistics& figures =
            m_fleet.m_gateways[getLeader()].m_core->getJobs().getStatistics();
    const std::uint64_t before = figures.m_plans;
    m_fleet.m_loop.advance(Millis(10'000));
    // One each 500 ms. A plan each 100 ms and for each report would be 140 (worked out).
    EXPECT_LE(figures.m_plans - before, 21U);
}

TEST_F(ScheduleFailuresTest, OnASlowStoreUrgentWorkWaitsForOneWriteOnly) {
    constexpr Millis LATENCY{400};
    constexpr Millis STOP{150};
    m_fleet.submit(ID, R"({"count":4,"cpu":8000,"gpu":8,"est_ms":60000})", "60000");
    ASSERT_TRUE(waitUntil(Millis(2000), [&] { return countMembers(ID, 4) == 4; }));
    m_fleet.m_state.m_latency = LATENCY;
    const std::string urgent = idOf(77);
    ASSERT_EQ(m_fleet.submit(urgent, WHOLE, "1000", "/urgent/", getFollower()).m_status, 200U);
    const Millis accepted = m_fleet.m_loop.now();
    ASSERT_TRUE(waitUntil(Millis(5000), [&] { return countMembers(urgent, 1) == 1; }));
    // The write that places it; 815 ms when the stop was written before it was sent.
    EXPECT_LE(m_fleet.m_loop.now() - accepted, LATENCY + STOP);
}

TEST_F(ScheduleFailuresTest, AHostThatIsGoneForLongIsForgottenAndComesBackWhenItStarts) {
    const std::string key = getHostKey(m_fleet.m_sidecars[1].m_address);
    m_fleet.killSidecar(1);
    m_fleet.m_loop.advance(Millis(540'000));
    EXPECT_NE(m_fleet.m_state.find(key), nullptr);
    m_fleet.m_loop.advance(Millis(120'000));
    EXPECT_EQ(m_fleet.m_state.find(key), nullptr);

    m_fleet.startSidecar(1);
    m_fleet.m_loop.advance(Millis(2000));
    EXPECT_NE(m_fleet.m_state.find(key), nullptr);
    EXPECT_TRUE(m_fleet.m_sidecars[1].m_agent->hasLeader());
}

TEST_F(ScheduleFailuresTest, AHostForgottenWhileItWasCutOffRegistersAgain) {
    JobFleet::Sidecar& sidecar = m_fleet.m_sidecars[1];
    for (const JobFleet::Gateway& gateway : m_fleet.m_gateways) {
        m_fleet.m_network.cut(gateway.m_name, sidecar.m_name);
    }
    m_fleet.m_loop.advance(Millis(660'000));
    for (const JobFleet::Gateway& gateway : m_fleet.m_gateways) {
        m_fleet.m_network.heal(gateway.m_name, sidecar.m_name);
    }
    m_fleet.m_loop.advance(Registration::CHECK_INTERVAL + Millis(2000));
    EXPECT_TRUE(sidecar.m_agent->hasLeader());
}

TEST_F(ScheduleFailuresTest, AWaveOfCancellationsFreesEverything) {
    const std::string half = R"({"count":1,"cpu":1000,"gpu":4,"est_ms":600000})";
    for (int i = 1; i <= 40; ++i) {
        m_fleet.submit(idOf(i), half, "600000");
    }
    for (int i = 1; i <= 40; ++i) {
        EXPECT_EQ(m_fleet.ask(static_cast<std::size_t>(i) % 3, "DELETE", "/batch/" + idOf(i))
                          .m_status,
                  200U);
    }
    m_fleet.m_loop.advance(Millis(1000));
    EXPECT_EQ(m_fleet.m_witness.countRunning(), 0U);
    for (int i = 1; i <= 40; ++i) {
        EXPECT_EQ(m_fleet.getState(idOf(i)), "canceled");
    }
}

}  // namespace pierbank::testing
