// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LeadershipCandidacy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace pierbank {
namespace {

LeadershipCandidacy makeCandidacy(double share, std::uint64_t seed, double linkMbps = 1000) {
    LeadershipCandidacySettings settings;
    settings.m_processorShare = share;
    settings.m_linkMbps = linkMbps;
    return {settings, Random(seed)};
}

/** Draws the election delays of a fleet whose gateways have the same report of the last leader. */
std::vector<Millis> drawAll(std::vector<LeadershipCandidacy>& candidacies) {
    std::uint32_t best = 0;
    for (const LeadershipCandidacy& candidacy : candidacies) {
        best = std::max(best, candidacy.getFitness());
    }
    std::vector<Millis> delays;
    for (LeadershipCandidacy& candidacy : candidacies) {
        candidacy.recordFleet(static_cast<std::uint32_t>(candidacies.size()), best);
        delays.push_back(candidacy.drawElectionDelay());
    }
    return delays;
}

std::vector<LeadershipCandidacy> makeFleet(std::size_t strong, std::size_t weak,
                                           std::uint64_t seed) {
    std::vector<LeadershipCandidacy> candidacies;
    for (std::size_t i = 0; i < strong + weak; ++i) {
        candidacies.push_back(makeCandidacy(i < strong ? 1.0 : 0.12, seed + i));
    }
    return candidacies;
}

TEST(LeadershipCandidacyTest, AmongStrongAndWeakGatewaysAStrongOneGoesFirst) {
    constexpr std::uint64_t ROUNDS = 200;
    for (std::uint64_t round = 0; round < ROUNDS; ++round) {
        auto candidacies = makeFleet(50, 133, round * 1000);
        const auto delays = drawAll(candidacies);
        const auto first = std::min_element(delays.begin(), delays.end()) - delays.begin();
        EXPECT_LT(first, 50) << round;
    }
}

TEST(LeadershipCandidacyTest, TheOnlyStrongGatewayGoesBeforeAllWeakOnes) {
    constexpr std::uint64_t ROUNDS = 200;
    for (std::uint64_t round = 0; round < ROUNDS; ++round) {
        auto candidacies = makeFleet(1, 182, round * 1000);
        const auto delays = drawAll(candidacies);
        EXPECT_EQ(std::min_element(delays.begin(), delays.end()) - delays.begin(), 0) << round;
    }
}

TEST(LeadershipCandidacyTest, WeakGatewaysAloneGoAsEarlyAsStrongOnes) {
    auto candidacies = makeFleet(0, 183, 7);
    const auto delays = drawAll(candidacies);
    EXPECT_LE(*std::min_element(delays.begin(), delays.end()), Millis(10));
}

TEST(LeadershipCandidacyTest, EqualGatewaysOfASmallFleetWaitOnlyBriefly) {
    auto candidacies = makeFleet(3, 0, 7);
    for (const Millis delay : drawAll(candidacies)) {
        EXPECT_LE(delay, Millis(6));
    }
}

/**
 * Guards against all gateways trying to acquire a free key at once: 183 gateways made 550 calls of
 * the store in the first 20 ms.
 */
TEST(LeadershipCandidacyTest, FewGatewaysOfALargeFleetGoBeforeTheFirstKeyIsVisible) {
    constexpr Millis KEY_VISIBLE_AFTER{20};
    constexpr std::uint64_t ROUNDS = 100;
    std::ptrdiff_t candidates = 0;
    for (std::uint64_t round = 0; round < ROUNDS; ++round) {
        auto candidacies = makeFleet(50, 133, round * 1000);
        const auto delays = drawAll(candidacies);
        const Millis first = *std::min_element(delays.begin(), delays.end());
        candidates += std::count_if(delays.begin(), delays.end(), [&](Millis delay) {
            return delay <= first + KEY_VISIBLE_AFTER;
        });
    }
    EXPECT_LE(candidates / static_cast<std::ptrdiff_t>(ROUNDS), 8);
}

TEST(LeadershipCandidacyTest, AStrongGatewayWithALaggingLoopGoesAfterItsEquals) {
    auto candidacies = makeFleet(3, 0, 7);
    for (int i = 0; i < 20; ++i) {
        candidacies[0].recordLag(Millis(200));
    }
    EXPECT_LT(candidacies[0].getFitness(), candidacies[1].getFitness() / 5);
    const auto delays = drawAll(candidacies);
    EXPECT_GT(delays[0], delays[1]);
    EXPECT_GT(delays[0], delays[2]);
}

/** At the first start no leader has reported anything about the fleet. */
TEST(LeadershipCandidacyTest, WithoutAnEarlierLeaderStrongGatewaysStillGoFirst) {
    constexpr std::uint64_t ROUNDS = 100;
    for (std::uint64_t round = 0; round < ROUNDS; ++round) {
        EXPECT_LT(makeCandidacy(1.0, round).drawElectionDelay(),
                  makeCandidacy(0.12, round + 1000).drawElectionDelay());
        EXPECT_LE(makeCandidacy(0.25, round).drawElectionDelay(), Millis(200));
    }
}

TEST(LeadershipCandidacyTest, AGatewayBehindANarrowLinkIsLessFit) {
    EXPECT_LT(makeCandidacy(1.0, 1, 20).getFitness(), makeCandidacy(1.0, 1, 1000).getFitness() / 4);
}

}  // namespace
}  // namespace pierbank
