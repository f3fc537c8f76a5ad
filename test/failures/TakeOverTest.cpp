// SPDX-License-Identifier: Apache-2.0
// Leaders on hosts that are slow for the number of workers.
#include <gtest/gtest.h>

#include <set>

#include "JobFleet.h"
#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

/** What one gateway's answer or message takes on a host that has an eighth of a core. */
constexpr std::int64_t SLOW_TASK_MICROS = 700;
constexpr std::size_t MANY_WORKERS = 400;

class LeadersOnSlowHosts : public ::testing::Test {
protected:
    LeadersOnSlowHosts() : m_fleet(3, MANY_WORKERS, SLOW_TASK_MICROS) {}

    std::size_t countLinked() {
        const auto leader = m_fleet.findLeader();
        std::size_t linked = 0;
        if (leader.has_value()) {
            const auto& pool = m_fleet.m_gateways[*leader].m_core->getJobs().getWorkers();
            for (const auto& [address, host] : pool.getHosts()) {
                linked += host.isLinked() && host.m_hasReport ? 1 : 0;
            }
        }
        return linked;
    }

    /** Lets time pass. @return epochs of the leaders that were there. */
    std::set<StoreRevision> listEpochs(Millis time) {
        std::set<StoreRevision> epochs;
        constexpr Millis STEP{20};
        for (Millis passed{0}; passed < time; passed += STEP) {
            m_fleet.m_loop.advance(STEP);
            const auto leader = m_fleet.findLeader();
            if (leader.has_value()) {
                epochs.insert(m_fleet.m_gateways[*leader].m_core->getLock().getEpoch());
            }
        }
        return epochs;
    }

    JobFleet m_fleet;
};

}  // namespace

/**
 * Users saw 41 leaders in 47 s and two thirds of their jobs late or lost, with gateways on weak
 * hosts alone. Order of events: a gateway takes the leader key and opens links to all workers at
 * once; their answers keep its loop busy for longer than its lease of 1 s; the renewal comes too
 * late; the next gateway does the same. Evidence: "acquired" and "lost ... the lease has
 * lapsed" 1.4 to 1.9 s later, by turns in the logs of all gateways.
 */
TEST_F(LeadersOnSlowHosts, KeepTheLeadershipWhileTheyLinkTheirWorkers) {
    EXPECT_LE(listEpochs(Millis(10'000)).size(), 1U);
    EXPECT_EQ(countLinked(), MANY_WORKERS);
}

TEST_F(LeadersOnSlowHosts, TakeOverOnceWhenTheLeaderDies) {
    listEpochs(Millis(10'000));
    m_fleet.killGateway(*m_fleet.findLeader());
    EXPECT_EQ(listEpochs(Millis(6000)).size(), 1U);
    EXPECT_EQ(countLinked(), MANY_WORKERS);
}

/** A host without power does not refuse: each connection to it hangs for two seconds. */
TEST_F(LeadersOnSlowHosts, LinkTheLivingWorkersThoughManyAreDark) {
    listEpochs(Millis(10'000));
    const std::size_t leader = *m_fleet.findLeader();
    constexpr std::size_t DARK = 100;
    for (std::size_t place = 0; place < DARK; ++place) {
        m_fleet.m_network.hang(m_fleet.m_sidecars[place].m_name);
    }
    m_fleet.killGateway(leader);
    EXPECT_EQ(listEpochs(Millis(6000)).size(), 1U);
    EXPECT_EQ(countLinked(), MANY_WORKERS - DARK);
}

/**
 * Users saw three gangs of twenty stopped 50 ms after a leader was replaced, for urgent jobs that
 * were handed in shortly before, while half of the workers stood idle. Cause: the new leader links
 * the workers with work first, and planned when it knew of these alone. Evidence: its log, "waits
 * for=workers", 15 ms later "waits for=stops loss_core_s=2276" and 53 lines "gave way".
 */
TEST_F(LeadersOnSlowHosts, StopNothingBeforeTheyKnowOfTheIdleWorkers) {
    listEpochs(Millis(10'000));
    constexpr const char* ID = "00000000000000a1";
    constexpr const char* URGENT = "00000000000000a2";
    constexpr const char* GANG =
            R"({"count":150,"cpu":1000,"mem_mb":100,"gpu":8,"est_ms":60000,"gang":true})";
    constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":8,"est_ms":2000})";
    ASSERT_EQ(m_fleet.submit(ID, GANG, "60000").m_status, 200U);
    ASSERT_TRUE(m_fleet.m_loop.advanceUntil(
            Millis(5000), [&] { return m_fleet.m_witness.isRunning(taskOf(ID, 149)); }));
    m_fleet.m_loop.advance(Millis(2000));
    const std::size_t leader = *m_fleet.findLeader();
    m_fleet.killGateway(leader);
    ASSERT_EQ(m_fleet.submit(URGENT, SMALL, "60000", "/urgent/", (leader + 1) % 3).m_status, 200U);
    EXPECT_TRUE(m_fleet.m_loop.advanceUntil(
            Millis(4000), [&] { return m_fleet.m_witness.isRunning(taskOf(URGENT)); }));
    for (std::uint32_t member = 0; member < 150; ++member) {
        EXPECT_TRUE(m_fleet.m_witness.isRunning(taskOf(ID, member))) << member;
    }
}

TEST_F(LeadersOnSlowHosts, LinkWorkersWithWorkFirst) {
    listEpochs(Millis(10'000));
    constexpr const char* ID = "00000000000000a1";
    constexpr const char* GANG =
            R"({"count":8,"cpu":1000,"mem_mb":100,"gpu":8,"est_ms":60000,"gang":true})";
    ASSERT_EQ(m_fleet.submit(ID, GANG, "60000").m_status, 200U);
    ASSERT_TRUE(m_fleet.m_loop.advanceUntil(
            Millis(5000), [&] { return m_fleet.m_witness.isRunning(taskOf(ID, 7)); }));
    m_fleet.m_loop.advance(Millis(2000));
    m_fleet.killGateway(*m_fleet.findLeader());
    ASSERT_TRUE(m_fleet.m_loop.advanceUntil(Millis(5000), [&] { return countLinked() >= 40; }));
    const auto& pool = m_fleet.m_gateways[*m_fleet.findLeader()].m_core->getJobs().getWorkers();
    for (const auto& sidecar : m_fleet.m_sidecars) {
        if (sidecar.m_worker->countRunning() > 0) {
            EXPECT_TRUE(pool.findHost(sidecar.m_address)->m_hasReport) << sidecar.m_address;
        }
    }
}

}  // namespace pierbank::testing
