// SPDX-License-Identifier: Apache-2.0
// Gateways that don't lead: their load on the store, and the age of their configuration.
#include <algorithm>

#include "JobFleetTest.h"
#include "pierbank/base/Random.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";

class FollowersTest : public JobFleetTest {
protected:
    std::uint64_t countCalls(std::size_t gateway) {
        return m_fleet.m_storeState.m_callCounts[m_fleet.m_gateways[gateway].m_name];
    }

    const ConfigurationFeed& getFeed(std::size_t gateway) {
        return m_fleet.m_gateways[gateway].m_core->getConfiguration();
    }
};

}  // namespace

/**
 * Guards against idle gateways that poll the configuration and the leader key several times a
 * second, which overloads the store in a large fleet.
 */
TEST_F(FollowersTest, AnIdleFollowerRarelyCallsTheStore) {
    const std::size_t index = getFollower();
    m_fleet.m_loop.advance(Millis(10'000));
    const std::uint64_t before = countCalls(index);
    m_fleet.m_loop.advance(Millis(20'000));
    EXPECT_LE(countCalls(index) - before, 3U);
    EXPECT_LE(getFeed(index).getAge().value(), Millis(1200));
}

/**
 * A confirmation that the configuration is unchanged needs no value. On a link of low bandwidth the
 * value of thousands of routes takes seconds, and reading it at each poll blocks all other calls.
 */
TEST_F(FollowersTest, AnUnchangedConfigurationIsNotReadAgain) {
    m_fleet.m_loop.advance(Millis(3000));
    m_fleet.m_storeState.m_configurationBytesRead = 0;
    m_fleet.m_loop.advance(Millis(20'000));
    EXPECT_EQ(m_fleet.sendRequest(getFollower(), "GET", "/nowhere/").m_status, 404U);
    EXPECT_EQ(m_fleet.m_storeState.m_configurationBytesRead, 0U);
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(2000));
    const std::size_t size =
            m_fleet.m_storeState.find(std::string(CONFIGURATION_KEY))->m_value.size();
    EXPECT_EQ(m_fleet.m_storeState.m_configurationBytesRead, 3 * size);
}

TEST_F(FollowersTest, AnIdleFollowerReceivesAChangeAtOnce) {
    m_fleet.m_loop.advance(Millis(15'000));
    const std::size_t index = getFollower();
    const StoreRevision before = getFeed(index).getRevision();
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(150));
    EXPECT_GT(getFeed(index).getRevision(), before);
}

TEST_F(FollowersTest, AFollowerWithoutALinkToTheLeaderReadsTheStore) {
    const std::size_t index = getFollower();
    m_fleet.m_loop.advance(Millis(15'000));
    m_fleet.m_network.cut(m_fleet.m_gateways[getLeader()].m_name, m_fleet.m_gateways[index].m_name);
    m_fleet.m_loop.advance(Millis(3000));
    const StoreRevision before = getFeed(index).getRevision();
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(600));
    EXPECT_GT(getFeed(index).getRevision(), before);
    EXPECT_LE(getFeed(index).getAge().value(), Millis(1200));
}

/** Without the leader's count, each request would list all jobs in the store twice. */
TEST_F(FollowersTest, ACountOfPendingJobsComesFromTheLeaderWithoutAList) {
    constexpr const char* HUGE = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":8,"est_ms":60000})";
    const std::size_t index = getFollower();
    for (int i = 10; i < 20; ++i) {
        const std::string id = "00000000000000" + std::to_string(i);
        ASSERT_EQ(m_fleet.submit(id, HUGE, "60000").m_status, 200U);
    }
    m_fleet.m_loop.advance(Millis(3000));
    const std::uint64_t before = countCalls(index);
    EXPECT_EQ(m_fleet.sendRequest(index, "GET", "/batch/").m_body, R"({"pending":6})");
    EXPECT_LE(countCalls(index) - before, 1U);
}

TEST_F(FollowersTest, APendingCountIsReadFromTheStoreWhenTheLeaderMayHaveBeenReplaced) {
    const std::size_t index = getFollower();
    m_fleet.m_loop.advance(Millis(3000));
    m_fleet.m_storeState.m_cutOff.insert(m_fleet.m_gateways[getLeader()].m_name);
    m_fleet.m_loop.advance(Millis(1000));
    const std::uint64_t before = countCalls(index);
    EXPECT_EQ(m_fleet.sendRequest(index, "GET", "/batch/").m_status, 200U);
    EXPECT_GE(countCalls(index) - before, 2U);
}

/** A leader that is frozen, or superseded without having detected it, reports no changes. */
TEST_F(FollowersTest, AKeyThatIsRevokedWhileTheLeaderIsFrozenIsNotAccepted) {
    const std::size_t index = getFollower();
    m_fleet.m_loop.advance(Millis(15'000));
    m_fleet.m_gateways[getLeader()].m_loop->freeze();
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(1500));
    EXPECT_NE(m_fleet.sendRequest(index, "GET", std::string("/batch/") + ID).m_status, 410U);
}

TEST_F(FollowersTest, ALeaderThatLosesTheStoreConfirmsNothing) {
    const std::size_t index = getFollower();
    m_fleet.m_loop.advance(Millis(15'000));
    m_fleet.m_storeState.m_cutOff.insert(m_fleet.m_gateways[getLeader()].m_name);
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(1500));
    EXPECT_EQ(m_fleet.sendRequest(index, "GET", std::string("/batch/") + ID).m_status, 401U);
}

/** The leader key is free when its lease expires; a long watch must report that. */
TEST_F(FollowersTest, ATerminatedLeaderIsReplacedWhenItsLeaseExpires) {
    m_fleet.m_loop.advance(Millis(15'000));
    m_fleet.killGateway(getLeader());
    EXPECT_TRUE(m_fleet.waitForLeader(Millis(1200)));
}

TEST_F(FollowersTest, ATerminatedLeaderIsReplacedWithoutWatchEvents) {
    m_fleet.m_loop.advance(Millis(15'000));
    m_fleet.m_storeState.m_dropsWatchEvents = true;
    m_fleet.killGateway(getLeader());
    EXPECT_TRUE(m_fleet.waitForLeader(Millis(3000)));
}

/**
 * The age of a gateway's configuration is never less than the time since a newer one was written,
 * under any faults: otherwise a revoked key is accepted for longer than is promised.
 */
TEST_F(FollowersTest, NoGatewayUnderestimatesTheAgeOfItsConfiguration) {
    constexpr int SEEDS = 40;
    constexpr int ROUNDS = 60;
    /** Time at which each revision was replaced by the next one. */
    std::map<StoreRevision, Millis> replacedAt;
    const auto check = [&] {
        for (std::size_t i = 0; i < m_fleet.m_gateways.size(); ++i) {
            const auto age =
                    m_fleet.m_gateways[i].m_core == nullptr ? std::nullopt : getFeed(i).getAge();
            const auto replaced =
                    age.has_value() ? replacedAt.find(getFeed(i).getRevision()) : replacedAt.end();
            if (replaced != replacedAt.end()) {
                ASSERT_LE(m_fleet.m_loop.now() - *age, replaced->second) << i;
            }
        }
    };
    for (int seed = 1; seed <= SEEDS; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Random random(static_cast<std::uint64_t>(seed));
        for (int round = 0; round < ROUNDS; ++round) {
            const std::size_t index = random.below(3);
            auto& gateway = m_fleet.m_gateways[index];
            const std::string& peer = m_fleet.m_gateways[(index + 1) % 3].m_name;
            const StoreItem* const current =
                    m_fleet.m_storeState.find(std::string(CONFIGURATION_KEY));
            switch (random.below(9)) {
                case 0:
                    m_fleet.m_storeState.m_dropsWatchEvents =
                            !m_fleet.m_storeState.m_dropsWatchEvents;
                    break;
                case 1:
                    m_fleet.m_storeState.m_isDown = !m_fleet.m_storeState.m_isDown;
                    break;
                case 2:
                    if (gateway.m_loop->isFrozen()) {
                        gateway.m_loop->thaw();
                    } else {
                        gateway.m_loop->freeze();
                    }
                    break;
                case 3:
                    m_fleet.m_network.cut(gateway.m_name, peer);
                    break;
                case 4:
                    m_fleet.m_network.heal(gateway.m_name, peer);
                    break;
                case 5:
                    if (m_fleet.m_storeState.m_cutOff.erase(gateway.m_name) == 0) {
                        m_fleet.m_storeState.m_cutOff.insert(gateway.m_name);
                    }
                    break;
                case 6:
                    m_fleet.m_storeState.m_latency = Millis(1 + random.below(300));
                    break;
                default:
                    replacedAt[current->m_revision] = m_fleet.m_loop.now();
                    m_fleet.configure({"key-" + std::to_string(round)});
                    break;
            }
            for (std::uint64_t step = random.below(20); step > 0; --step) {
                m_fleet.m_loop.advance(Millis(37));
                check();
            }
            if (HasFatalFailure()) {
                return;
            }
        }
    }
}

}  // namespace pierbank::testing
