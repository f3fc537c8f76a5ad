// SPDX-License-Identifier: Apache-2.0
// Gateways that only follow: what they cost the store, and how old their configuration may be.
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
        return m_fleet.m_state.m_callsOf[m_fleet.m_gateways[gateway].m_name];
    }

    const ConfigurationFeed& getFeed(std::size_t gateway) {
        return m_fleet.m_gateways[gateway].m_core->getConfiguration();
    }
};

}  // namespace

/**
 * A fleet of 183 gateways made 56,000 calls of the store in 68 s with nothing to do: two reads of
 * the configuration and 2.5 calls for the leader key a second each. The figure below was 110
 * before.
 */
TEST_F(FollowersTest, AnIdleFollowerHardlyCallsTheStore) {
    const std::size_t place = getFollower();
    m_fleet.m_loop.advance(Millis(10'000));
    const std::uint64_t before = countCalls(place);
    m_fleet.m_loop.advance(Millis(20'000));
    EXPECT_LE(countCalls(place) - before, 3U);
    EXPECT_LE(getFeed(place).getAge().value(), Millis(1200));
}

/**
 * Whoever confirms the configuration needs no value of it: behind a narrow link the value of
 * thousands of routes takes seconds, and read twice a second nothing else came through. It was 40
 * values in 20 s at each gateway before.
 */
TEST_F(FollowersTest, NobodyReadsAConfigurationThatItHas) {
    m_fleet.m_loop.advance(Millis(3000));
    m_fleet.m_state.m_bytesRead = 0;
    m_fleet.m_loop.advance(Millis(20'000));
    EXPECT_EQ(m_fleet.ask(getFollower(), "GET", "/nowhere/").m_status, 404U);
    EXPECT_EQ(m_fleet.m_state.m_bytesRead, 0U);
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(2000));
    const std::size_t size = m_fleet.m_state.find(std::string(CONFIGURATION_KEY))->m_value.size();
    EXPECT_EQ(m_fleet.m_state.m_bytesRead, 3 * size);
}

TEST_F(FollowersTest, AnIdleFollowerHearsOfAChangeAtOnce) {
    m_fleet.m_loop.advance(Millis(15'000));
    const std::size_t place = getFollower();
    const StoreRevision before = getFeed(place).getRevision();
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(150));
    EXPECT_GT(getFeed(place).getRevision(), before);
}

TEST_F(FollowersTest, AFollowerWithoutItsLeadersLinkReadsForItself) {
    const std::size_t place = getFollower();
    m_fleet.m_loop.advance(Millis(15'000));
    m_fleet.m_network.cut(m_fleet.m_gateways[getLeader()].m_name, m_fleet.m_gateways[place].m_name);
    m_fleet.m_loop.advance(Millis(3000));
    const StoreRevision before = getFeed(place).getRevision();
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(600));
    EXPECT_GT(getFeed(place).getRevision(), before);
    EXPECT_LE(getFeed(place).getAge().value(), Millis(1200));
}

/** Each count of pending jobs was two lists of all jobs at the gateway that was asked. */
TEST_F(FollowersTest, ACountOfPendingJobsIsTheLeadersAndCostsNoList) {
    constexpr const char* HUGE = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":8,"est_ms":60000})";
    const std::size_t place = getFollower();
    for (int i = 10; i < 20; ++i) {
        const std::string id = "00000000000000" + std::to_string(i);
        ASSERT_EQ(m_fleet.submit(id, HUGE, "60000").m_status, 200U);
    }
    m_fleet.m_loop.advance(Millis(3000));
    const std::uint64_t before = countCalls(place);
    EXPECT_EQ(m_fleet.ask(place, "GET", "/batch/").m_body, R"({"pending":6})");
    EXPECT_LE(countCalls(place) - before, 1U);
}

TEST_F(FollowersTest, APendingCountIsReadFromTheStoreWhenTheLeaderMayHaveBeenReplaced) {
    const std::size_t place = getFollower();
    m_fleet.m_loop.advance(Millis(3000));
    m_fleet.m_state.m_cutOff.insert(m_fleet.m_gateways[getLeader()].m_name);
    m_fleet.m_loop.advance(Millis(1000));
    const std::uint64_t before = countCalls(place);
    EXPECT_EQ(m_fleet.ask(place, "GET", "/batch/").m_status, 200U);
    EXPECT_GE(countCalls(place) - before, 2U);
}

/** A leader that is frozen, or has been replaced and does not know it, tells nothing new. */
TEST_F(FollowersTest, AKeyThatIsRevokedWhileTheLeaderIsFrozenIsNotServed) {
    const std::size_t place = getFollower();
    m_fleet.m_loop.advance(Millis(15'000));
    m_fleet.m_gateways[getLeader()].m_loop->freeze();
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(1500));
    EXPECT_NE(m_fleet.ask(place, "GET", std::string("/batch/") + ID).m_status, 410U);
}

TEST_F(FollowersTest, ALeaderThatLosesTheStoreConfirmsNothing) {
    const std::size_t place = getFollower();
    m_fleet.m_loop.advance(Millis(15'000));
    m_fleet.m_state.m_cutOff.insert(m_fleet.m_gateways[getLeader()].m_name);
    m_fleet.configure({"key-b"});
    m_fleet.m_loop.advance(Millis(1500));
    EXPECT_EQ(m_fleet.ask(place, "GET", std::string("/batch/") + ID).m_status, 401U);
}

/** The leader key is free when its lease lapses; a watch that waits long must not miss that. */
TEST_F(FollowersTest, ADeadLeaderIsReplacedAsSoonAsItsLeaseHasLapsed) {
    m_fleet.m_loop.advance(Millis(15'000));
    m_fleet.killGateway(getLeader());
    EXPECT_TRUE(m_fleet.waitForLeader(Millis(1200)));
}

TEST_F(FollowersTest, ADeadLeaderIsReplacedAlthoughNoWatchHearsOfIt) {
    m_fleet.m_loop.advance(Millis(15'000));
    m_fleet.m_state.m_isDeaf = true;
    m_fleet.killGateway(getLeader());
    EXPECT_TRUE(m_fleet.waitForLeader(Millis(3000)));
}

/**
 * Whatever happens, what a gateway takes for the age of its configuration is never less than the
 * time since a newer one came: otherwise a revoked key is served for longer than is promised.
 */
TEST_F(FollowersTest, NoGatewayTakesItsConfigurationForYoungerThanItIs) {
    constexpr int SEEDS = 40;
    constexpr int ROUNDS = 60;
    /** When each revision was replaced by the next. */
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
            const std::size_t place = random.below(3);
            auto& gateway = m_fleet.m_gateways[place];
            const std::string& peer = m_fleet.m_gateways[(place + 1) % 3].m_name;
            const StoreItem* const current = m_fleet.m_state.find(std::string(CONFIGURATION_KEY));
            switch (random.below(9)) {
                case 0:
                    m_fleet.m_state.m_isDeaf = !m_fleet.m_state.m_isDeaf;
                    break;
                case 1:
                    m_fleet.m_state.m_isDown = !m_fleet.m_state.m_isDown;
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
                    if (m_fleet.m_state.m_cutOff.erase(gateway.m_name) == 0) {
                        m_fleet.m_state.m_cutOff.insert(gateway.m_name);
                    }
                    break;
                case 6:
                    m_fleet.m_state.m_latency = Millis(1 + random.below(300));
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
