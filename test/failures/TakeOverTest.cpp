// SPDX-License-Identifier: Apache-2.0
// Takeover by leaders on hosts that are slow in relation to the number of workers.
#include <gtest/gtest.h>

#include <set>

#include "JobFleet.h"
#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

/** Processor time of a message or an answer on a gateway's host with an eighth of a core. */
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

    /** Advances the clock. @return the epochs of all leaders during that time. */
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
 * Guards against a leadership that changes each second or two on slow hosts. A new leader that
 * opens links to all workers at once is busy with their answers for longer than its lease of 1 s,
 * renews too late, and the next gateway does the same. In the logs of the gateways "acquired" and
 * "lost ... the lease has lapsed" then alternate.
 */
TEST_F(LeadersOnSlowHosts, KeepTheLeadershipWhileLinkingTheirWorkers) {
    EXPECT_LE(listEpochs(Millis(10'000)).size(), 1U);
    EXPECT_EQ(countLinked(), MANY_WORKERS);
}

TEST_F(LeadersOnSlowHosts, TakeOverOnceWhenTheLeaderTerminates) {
    listEpochs(Millis(10'000));
    m_fleet.killGateway(*m_fleet.findLeader());
    EXPECT_EQ(listEpochs(Millis(6000)).size(), 1U);
    EXPECT_EQ(countLinked(), MANY_WORKERS);
}

/** Connections to a host without power time out after two seconds instead of being refused. */
TEST_F(LeadersOnSlowHosts, LinkReachableWorkersIfManyHostsAreWithoutPower) {
    listEpochs(Millis(10'000));
    const std::size_t leader = *m_fleet.findLeader();
    constexpr std::size_t WITHOUT_POWER = 100;
    for (std::size_t index = 0; index < WITHOUT_POWER; ++index) {
        m_fleet.m_network.hang(m_fleet.m_sidecars[index].m_name);
    }
    m_fleet.killGateway(leader);
    EXPECT_EQ(listEpochs(Millis(6000)).size(), 1U);
    EXPECT_EQ(countLinked(), MANY_WORKERS - WITHOUT_POWER);
}

/**
 * Guards against needless preemptions after a takeover. A new leader links the workers with active
 * runs first. If it plans while only these are linked, it preempts them for urgent jobs although
 * other workers are idle. In its log "waits for=stops" and "gave way" then follow soon after
 * "waits for=workers".
 */
TEST_F(LeadersOnSlowHosts, PreemptNothingBeforeTheyHaveLinkedIdleWorkers) {
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

TEST_F(LeadersOnSlowHosts, LinkWorkersWithActiveRunsFirst) {
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
