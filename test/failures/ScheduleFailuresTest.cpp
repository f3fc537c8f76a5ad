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
    void loseWorker(std::size_t index) {
        getSidecar(index).m_worker->m_isSilent = true;
        m_fleet.killSidecar(index);
    }

    /** Time until a lost worker's runs have stopped: lease, then clock slack, then tick and stop.
     */
    static constexpr Millis LEASE_BOUND{4500 + 200 + 400};
};

}  // namespace

// Gangs.

TEST_F(ScheduleFailuresTest, AGangOnALostWorkerStopsAndRunsElsewhereAfterTheLease) {
    m_fleet.submit(ID, PAIR, "60000");
    m_fleet.m_loop.advance(Millis(500));
    const auto lost = findWorker(taskOf(ID, 0));
    ASSERT_TRUE(lost.has_value());
    loseWorker(*lost);
    const Millis partialTime = measurePartialRunTime(ID, 2, Millis(12'000));
    EXPECT_EQ(countMembers(ID, 2), 2U);
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID, 0)), 2U);
    EXPECT_LE(partialTime, LEASE_BOUND);
}

TEST_F(ScheduleFailuresTest, ALeaderThatTerminatesBetweenCommitAndStartLeavesNoPartialGang) {
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
    const Millis partialTime = measurePartialRunTime(ID, 2, Millis(4000));
    EXPECT_EQ(countMembers(ID, 2), 2U);
    EXPECT_LE(partialTime, Millis(100));
}

TEST_F(ScheduleFailuresTest, AnOrderThatIsLostWithItsSidecarIsSentAgain) {
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
    measurePartialRunTime(ID, 2, Millis(3000));
    EXPECT_EQ(dropped, 1);
    EXPECT_EQ(countMembers(ID, 2), 2U);
}

TEST_F(ScheduleFailuresTest, AFailedMemberStopsItsGang) {
    getSidecar(0).m_worker->m_failsAll = true;
    const std::string four = R"({"count":4,"cpu":8000,"gpu":8,"est_ms":1000,"gang":true})";
    m_fleet.submit(ID, four, "60000");
    const Millis partialTime = measurePartialRunTime(ID, 4, Millis(3000));
    // The gang needs all four workers, so each attempt includes the failing one and the job fails.
    EXPECT_EQ(m_fleet.getState(ID), "failed");
    EXPECT_EQ(countMembers(ID, 4), 0U);
    EXPECT_LE(partialTime, Millis(400));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID, 0)), 2U);
}

// Leases.

TEST_F(ScheduleFailuresTest, ADisconnectedWorkerStopsItsTasksBeforeTheyRunElsewhere) {
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

TEST_F(ScheduleFailuresTest, AFrozenSidecarDoesNotExtendItsLeaseByOldRenewals) {
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

/** An order that waits for a lease must not be carried out when the lease is renewed later. */
TEST_F(ScheduleFailuresTest, AnOrderThatAFrozenSidecarReceivesLateIsNotCarriedOut) {
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

TEST_F(ScheduleFailuresTest, AWorkerLostSoonAfterATakeoverDoesNotWaitForTheOutageGrace) {
    m_fleet.submit(ID, WHOLE, "60000");
    m_fleet.m_loop.advance(Millis(500));
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    m_fleet.m_loop.advance(Millis(1500));
    const auto lost = findWorker(taskOf(ID));
    ASSERT_TRUE(lost.has_value());
    loseWorker(*lost);
    EXPECT_TRUE(waitUntil(LEASE_BOUND + Millis(1000),
                          [&] { return m_fleet.m_witness.countStarts(taskOf(ID)) == 2; }));
}

/** A leader renews leases without the store, but no longer than a successor waits for the hosts. */
TEST_F(ScheduleFailuresTest,
       ALeaderCutOffForLongStopsGrantingLeasesBeforeItsSuccessorPlacesItsRuns) {
    m_fleet.submit(ID, WHOLE, "90000");
    m_fleet.m_loop.advance(Millis(500));
    const std::size_t old = getLeader();
    const auto held = findWorker(taskOf(ID));
    ASSERT_TRUE(held.has_value());
    m_fleet.m_storeState.m_cutOff.insert(m_fleet.m_gateways[old].m_name);
    // The worker stays connected to the old leader only: the successor can reach neither.
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

/** Frames lost in an interruption too short to close the link must be sent again. */
TEST_F(ScheduleFailuresTest, AnOrderLostOnAnOpenLinkIsSentAgain) {
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

TEST_F(ScheduleFailuresTest, AStopLostOnAnOpenLinkIsSentAgain) {
    m_fleet.submit(ID, WHOLE, "60000");
    m_fleet.m_loop.advance(Millis(300));
    bool isLossy = true;
    m_fleet.m_network.setTap([&](const std::string&, const std::string&, const Frame& frame) {
        return !isLossy || !std::holds_alternative<RunStop>(frame);
    });
    EXPECT_EQ(m_fleet.sendRequest(0, "DELETE", std::string("/batch/") + ID).m_status, 200U);
    m_fleet.m_loop.advance(Millis(1000));
    isLossy = false;
    EXPECT_TRUE(waitUntil(Millis(3000), [&] { return m_fleet.m_witness.countRunning() == 0; }));
}

// Workers, guarantees, waves.

TEST_F(ScheduleFailuresTest, AWorkerThatFailsAllRunsIsAvoided) {
    getSidecar(0).m_worker->m_failsAll = true;
    const std::string half = R"({"count":1,"cpu":1000,"gpu":4,"est_ms":1000})";
    for (int i = 1; i <= 6; ++i) {
        m_fleet.submit(idOf(i), half, "600000");
    }
    EXPECT_TRUE(waitUntil(Millis(10'000), [&] {
        return m_fleet.m_witness.countRunning() == 6 && getSidecar(0).m_worker->countRunning() == 0;
    }));
}

TEST_F(ScheduleFailuresTest, AGuaranteedShapeIsReclaimedByPreemption) {
    const std::string half = R"({"count":1,"cpu":1000,"gpu":4,"est_ms":600000})";
    for (int i = 1; i <= 8; ++i) {
        m_fleet.submit(idOf(i), half, "600000");
    }
    ASSERT_TRUE(waitUntil(Millis(3000), [&] { return m_fleet.m_witness.countRunning() == 8; }));
    EXPECT_EQ(m_fleet.submit(ID, WHOLE, "600", "/urgent/").m_status, 200U);
    // The contract allows 8.1 s for urgent work; in this test stops are immediate.
    EXPECT_TRUE(waitUntil(Millis(500), [&] { return m_fleet.m_witness.isRunning(taskOf(ID)); }));
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(3000), "/urgent/"));
}

TEST_F(ScheduleFailuresTest, FewPlansAreMadeWithoutChanges) {
    m_fleet.submit(ID, R"({"count":4,"cpu":8000,"gpu":8,"est_ms":60000})", "60000");
    ASSERT_TRUE(waitUntil(Millis(2000), [&] { return countMembers(ID, 4) == 4; }));
    m_fleet.m_loop.advance(Millis(1000));
    const JobStatistics& figures =
            m_fleet.m_gateways[getLeader()].m_core->getJobs().getStatistics();
    const std::uint64_t before = figures.m_plans;
    m_fleet.m_loop.advance(Millis(10'000));
    // One plan each 500 ms. A plan each 100 ms and for each report would make 140.
    EXPECT_LE(figures.m_plans - before, 21U);
}

TEST_F(ScheduleFailuresTest, OnASlowStoreUrgentWorkWaitsForOneWrite) {
    constexpr Millis LATENCY{400};
    constexpr Millis STOP{150};
    m_fleet.submit(ID, R"({"count":4,"cpu":8000,"gpu":8,"est_ms":60000})", "60000");
    ASSERT_TRUE(waitUntil(Millis(2000), [&] { return countMembers(ID, 4) == 4; }));
    m_fleet.m_storeState.m_latency = LATENCY;
    const std::string urgent = idOf(77);
    ASSERT_EQ(m_fleet.submit(urgent, WHOLE, "1000", "/urgent/", getFollower()).m_status, 200U);
    const Millis accepted = m_fleet.m_loop.now();
    ASSERT_TRUE(waitUntil(Millis(5000), [&] { return countMembers(urgent, 1) == 1; }));
    // One write, which places the task. Writing the stop before sending it takes a second one.
    EXPECT_LE(m_fleet.m_loop.now() - accepted, LATENCY + STOP);
}

TEST_F(ScheduleFailuresTest, AnExpiredHostIsRemovedAndRegistersWhenItStarts) {
    const std::string key = getHostKey(m_fleet.m_sidecars[1].m_address);
    m_fleet.killSidecar(1);
    m_fleet.m_loop.advance(Millis(540'000));
    EXPECT_NE(m_fleet.m_storeState.find(key), nullptr);
    m_fleet.m_loop.advance(Millis(120'000));
    EXPECT_EQ(m_fleet.m_storeState.find(key), nullptr);

    m_fleet.startSidecar(1);
    m_fleet.m_loop.advance(Millis(2000));
    EXPECT_NE(m_fleet.m_storeState.find(key), nullptr);
    EXPECT_TRUE(m_fleet.m_sidecars[1].m_agent->hasLeader());
}

TEST_F(ScheduleFailuresTest, AHostRemovedWhileDisconnectedRegistersAgain) {
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

TEST_F(ScheduleFailuresTest, ManyCancellationsFreeAllWorkers) {
    const std::string half = R"({"count":1,"cpu":1000,"gpu":4,"est_ms":600000})";
    for (int i = 1; i <= 40; ++i) {
        m_fleet.submit(idOf(i), half, "600000");
    }
    for (int i = 1; i <= 40; ++i) {
        EXPECT_EQ(
                m_fleet.sendRequest(static_cast<std::size_t>(i) % 3, "DELETE", "/batch/" + idOf(i))
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
