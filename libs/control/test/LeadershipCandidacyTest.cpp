// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LeadershipCandidacy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace pierbank {
namespace {

LeadershipCandidacy makeBid(double share, std::uint64_t seed, double linkMbps = 1000) {
    LeadershipCandidacySettings settings;
    settings.m_processorShare = share;
    settings.m_linkMbps = linkMbps;
    return {settings, Random(seed)};
}

/** Pauses of a fleet's gateways, all told the same by the last leader. */
std::vector<Millis> drawAll(std::vector<LeadershipCandidacy>& bids) {
    std::uint32_t best = 0;
    for (const LeadershipCandidacy& bid : bids) {
        best = std::max(best, bid.getFitness());
    }
    std::vector<Millis> pauses;
    for (LeadershipCandidacy& bid : bids) {
        bid.recordFleet(static_cast<std::uint32_t>(bids.size()), best);
        pauses.push_back(bid.drawElectionDelay());
    }
    return pauses;
}

std::vector<LeadershipCandidacy> makeFleet(std::size_t strong, std::size_t weak,
                                           std::uint64_t seed) {
    std::vector<LeadershipCandidacy> bids;
    for (std::size_t i = 0; i < strong + weak; ++i) {
        bids.push_back(makeBid(i < strong ? 1.0 : 0.12, seed + i));
    }
    return bids;
}

TEST(LeadershipCandidacyTest, AmongStrongAndWeakGatewaysAStrongOneBidsFirst) {
    constexpr std::uint64_t ROUNDS = 200;
    for (std::uint64_t round = 0; round < ROUNDS; ++round) {
        auto bids = makeFleet(50, 133, round * 1000);
        const auto pauses = drawAll(bids);
        const auto first = std::min_element(pauses.begin(), pauses.end()) - pauses.begin();
        EXPECT_LT(first, 50) << round;
    }
}

TEST(LeadershipCandidacyTest, TheOnlyStrongGatewayBidsBeforeAllWeakOnes) {
    constexpr std::uint64_t ROUNDS = 200;
    for (std::uint64_t round = 0; round < ROUNDS; ++round) {
        auto bids = makeFleet(1, 182, round * 1000);
        const auto pauses = drawAll(bids);
        EXPECT_EQ(std::min_element(pauses.begin(), pauses.end()) - pauses.begin(), 0) << round;
    }
}

TEST(LeadershipCandidacyTest, WeakOnesAloneBidAsSoonAsStrongOnesWould) {
    auto bids = makeFleet(0, 183, 7);
    const auto pauses = drawAll(bids);
    EXPECT_LE(*std::min_element(pauses.begin(), pauses.end()), Millis(10));
}

TEST(LeadershipCandidacyTest, AlikeGatewaysOfASmallFleetHardlyWait) {
    auto bids = makeFleet(3, 0, 7);
    for (const Millis pause : drawAll(bids)) {
        EXPECT_LE(pause, Millis(6));
    }
}

/** With a bid each, 183 gateways made 550 calls of the store in the first 20 ms. */
TEST(LeadershipCandidacyTest, FewOfALargeFleetBidBeforeTheFirstOnesKeyIsSeen) {
    constexpr Millis SEEN_AFTER{20};
    constexpr std::uint64_t ROUNDS = 100;
    std::ptrdiff_t bidders = 0;
    for (std::uint64_t round = 0; round < ROUNDS; ++round) {
        auto bids = makeFleet(50, 133, round * 1000);
        const auto pauses = drawAll(bids);
        const Millis first = *std::min_element(pauses.begin(), pauses.end());
        bidders += std::count_if(pauses.begin(), pauses.end(),
                                 [&](Millis pause) { return pause <= first + SEEN_AFTER; });
    }
    EXPECT_LE(bidders / static_cast<std::ptrdiff_t>(ROUNDS), 8);
}

TEST(LeadershipCandidacyTest, AStrongGatewayThatIsSlowedBidsAfterItsLikes) {
    auto bids = makeFleet(3, 0, 7);
    for (int i = 0; i < 20; ++i) {
        bids[0].recordLag(Millis(200));
    }
    EXPECT_LT(bids[0].getFitness(), bids[1].getFitness() / 5);
    const auto pauses = drawAll(bids);
    EXPECT_GT(pauses[0], pauses[1]);
    EXPECT_GT(pauses[0], pauses[2]);
}

/** At the first start nobody has told anything. */
TEST(LeadershipCandidacyTest, WithoutAnEarlierLeaderStrongGatewaysStillBidFirst) {
    constexpr std::uint64_t ROUNDS = 100;
    for (std::uint64_t round = 0; round < ROUNDS; ++round) {
        EXPECT_LT(makeBid(1.0, round).drawElectionDelay(),
                  makeBid(0.12, round + 1000).drawElectionDelay());
        EXPECT_LE(makeBid(0.25, round).drawElectionDelay(), Millis(200));
    }
}

TEST(LeadershipCandidacyTest, AGatewayBehindANarrowLinkIsLessFit) {
    EXPECT_LT(makeBid(1.0, 1, 20).getFitness(), makeBid(1.0, 1, 1000).getFitness() / 4);
}

}  // namespace
}  // namespace pierbank
