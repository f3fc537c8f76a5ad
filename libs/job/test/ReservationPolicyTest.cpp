// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/ReservationPolicy.h"

#include <gtest/gtest.h>

#include <list>
#include <vector>

namespace pierbank {
namespace {

/** Decisions beside hosts of which the largest has 8 accelerators. */
class ReservationPolicyTest : public ::testing::Test {
protected:
    const ReservationPolicy m_policy{8};
};

class ReservationPolicyForSizes : public ReservationPolicyTest {};

TEST_F(ReservationPolicyForSizes, CallsTasksOfMoreThanHalfAHostLarge) {
    EXPECT_FALSE(m_policy.isLarge({4, 4}));
    EXPECT_TRUE(m_policy.isLarge({5, 5}));
}

TEST_F(ReservationPolicyForSizes, CallsGangsLargeThatNeedMoreThanOneHost) {
    EXPECT_FALSE(m_policy.isLarge({1, 8}));
    EXPECT_TRUE(m_policy.isLarge({1, 9}));
}

TEST_F(ReservationPolicyForSizes, AddsTheMembersThatShareAHost) {
    StepSpec spec;
    spec.m_need.m_accelerators = 2;
    EXPECT_FALSE(m_policy.isLarge(getUnitSize(spec, 3)));
    spec.m_adjacency = Adjacency::WORKER;
    EXPECT_TRUE(m_policy.isLarge(getUnitSize(spec, 3)));
}

TEST_F(ReservationPolicyForSizes, CallsNothingLargeWhereHostsAreNeverShared) {
    EXPECT_FALSE(ReservationPolicy(1).isLarge({1, 40}));
    EXPECT_FALSE(m_policy.isLarge({0, 0}));
}

/** A large unit that waits beside small work. */
class ReservationPolicyForWaits : public ReservationPolicyTest {
protected:
    ContentionState m_state{false, Millis(0), true, false};
};

TEST_F(ReservationPolicyForWaits, SeesAUnitWithoutRoomKeptOutAtOnce) {
    EXPECT_TRUE(ReservationPolicy::isKeptOut(m_state));
}

TEST_F(ReservationPolicyForWaits, SeesItKeptOutByRunsOnItsHosts) {
    m_state.m_hasSmallWaiting = false;
    EXPECT_FALSE(ReservationPolicy::isKeptOut(m_state));
    m_state.m_hasSmallRunning = true;
    EXPECT_TRUE(ReservationPolicy::isKeptOut(m_state));
}

TEST_F(ReservationPolicyForWaits, LeavesAUnitToTheNextPlansForWhichThereIsRoom) {
    m_state.m_fitsNow = true;
    EXPECT_FALSE(ReservationPolicy::isKeptOut(m_state));
    m_state.m_waited = Millis(1000);
    EXPECT_TRUE(ReservationPolicy::isKeptOut(m_state)) << "others took its room";
}

class ReservationPolicyForLimits : public ReservationPolicyTest {};

TEST_F(ReservationPolicyForLimits, ReservesForOneUnitWhateverItsSize) {
    EXPECT_TRUE(ReservationPolicy::mayReserve({0, 0, 64}, 64));
}

TEST_F(ReservationPolicyForLimits, ReservesForOthersWithinAQuarterOfTheService) {
    EXPECT_TRUE(ReservationPolicy::mayReserve({1, 8, 64}, 8));
    EXPECT_FALSE(ReservationPolicy::mayReserve({1, 8, 64}, 9));
}

TEST_F(ReservationPolicyForLimits, ReservesForFewUnitsAtATime) {
    EXPECT_TRUE(ReservationPolicy::mayReserve({3, 24, 6400}, 8));
    EXPECT_FALSE(ReservationPolicy::mayReserve({4, 32, 6400}, 8));
}

/** Two racks of two hosts with 8 accelerators each. */
class ReservationPolicyForHosts : public ReservationPolicyTest {
protected:
    void addHost(std::int32_t domain, std::uint32_t free, std::vector<ExpectedRelease> releases) {
        const std::vector<ExpectedRelease>& kept = m_releases.emplace_back(std::move(releases));
        m_hosts.push_back({m_hosts.size(), domain, {32'000, 64'000, free}, 8 - free, 8, kept});
    }
    static ExpectedRelease releaseOf(std::uint32_t accelerators, int inMs) {
        return {Millis(inMs), {0, 0, accelerators}};
    }
    std::vector<std::size_t> listSlots(const std::optional<ReservedHosts>& reserved) {
        std::vector<std::size_t> slots;
        for (const HostShare& share : reserved->m_hosts) {
            slots.push_back(share.m_slot);
        }
        return slots;
    }
    std::optional<ReservedHosts> find(std::uint32_t accelerators, std::uint32_t members) {
        return ReservationPolicy::findEarliest({1000, 1000, accelerators}, members, m_hosts);
    }

    std::vector<ReservableHost> m_hosts;
    /** Releases to which m_hosts refers. */
    std::list<std::vector<ExpectedRelease>> m_releases;
};

TEST_F(ReservationPolicyForHosts, TakesTheRackThatHoldsAllMembersFirst) {
    addHost(0, 6, {releaseOf(2, 900)});
    addHost(0, 0, {releaseOf(8, 4000)});
    addHost(1, 4, {releaseOf(4, 3000)});
    addHost(1, 0, {releaseOf(4, 1000), releaseOf(4, 3500)});
    const auto reserved = find(8, 2);
    ASSERT_TRUE(reserved.has_value());
    EXPECT_EQ(reserved->m_startsIn, Millis(3500));
    EXPECT_EQ(listSlots(reserved), (std::vector<std::size_t>{2, 3}));
    EXPECT_EQ(reserved->m_hosts[1].m_released.m_accelerators, 8U);
}

TEST_F(ReservationPolicyForHosts, TakesTheHostThatIsEmptiestAmongEquals) {
    addHost(0, 2, {releaseOf(6, 1000)});
    addHost(0, 5, {releaseOf(3, 1000)});
    EXPECT_EQ(listSlots(find(8, 1)), std::vector<std::size_t>{1});
}

TEST_F(ReservationPolicyForHosts, CountsSeveralMembersOnOneHost) {
    addHost(0, 4, {releaseOf(4, 500)});
    const auto reserved = find(2, 3);
    ASSERT_TRUE(reserved.has_value());
    EXPECT_EQ(reserved->m_startsIn, Millis(500));
    EXPECT_EQ(reserved->m_hosts[0].m_members, 3U);
}

TEST_F(ReservationPolicyForHosts, KeepsToTheLimitOfMembersOnOneHost) {
    addHost(0, 8, {});
    addHost(0, 0, {releaseOf(8, 700)});
    m_hosts[0].m_maxMembers = 1;
    EXPECT_EQ(find(2, 2)->m_startsIn, Millis(700));
}

TEST_F(ReservationPolicyForHosts, FindsNoneWhereRunsNeverEnd) {
    addHost(0, 0, {});
    addHost(1, 8, {});
    EXPECT_FALSE(find(8, 2).has_value());
}

/** Hosts for a small task while a large unit waits. */
class ReservationPolicyForPacking : public ReservationPolicyTest {
protected:
    double rate(const PackingChoice& choice) { return m_policy.getPackingPenalty(choice); }

    const PackingChoice m_used{5, false, 0.5, 1.0, false};
    const PackingChoice m_whole{7, true, 0.5, 1.0, false};
};

TEST_F(ReservationPolicyForPacking, PrefersAUsedFastHostToAWholeSlowOne) {
    PackingChoice fast = m_used;
    fast.m_slowness = 0.4;
    PackingChoice slow = m_whole;
    slow.m_slowness = 3.0;
    EXPECT_LT(rate(fast), rate(slow));
}

TEST_F(ReservationPolicyForPacking, PrefersTheFullestHostWhateverTheSpeeds) {
    PackingChoice fuller = m_used;
    fuller.m_left = 4;
    fuller.m_slowness = 0.4;
    PackingChoice slow = m_used;
    slow.m_slowness = 3.0;
    EXPECT_LT(rate(fuller), rate(slow));
}

TEST_F(ReservationPolicyForPacking, LeavesFastHostsFreeAmongEquals) {
    PackingChoice slow = m_used;
    slow.m_slowness = 1.5;
    EXPECT_LT(rate(slow), rate(m_used));
}

TEST_F(ReservationPolicyForPacking, OpensAHostInTheRackThatIsBrokenAlready) {
    PackingChoice broken = m_whole;
    broken.m_wholeShareOfRack = 0.1;
    EXPECT_LT(rate(broken), rate(m_whole));
}

TEST_F(ReservationPolicyForPacking, TakesReservedHostsLast) {
    PackingChoice reserved = m_used;
    reserved.m_left = 0;
    reserved.m_isReserved = true;
    EXPECT_LT(rate(m_whole), rate(reserved));
}

class ReservationPolicyForEnds : public ReservationPolicyTest {};

TEST_F(ReservationPolicyForEnds, ExpectsARunToLastAsForecast) {
    EXPECT_EQ(ReservationPolicy::estimateRemaining(Millis(1000), Millis(3000), Millis(400)),
              Millis(600));
}

TEST_F(ReservationPolicyForEnds, ExpectsARunThatOutlastsItToBeALongOne) {
    EXPECT_EQ(ReservationPolicy::estimateRemaining(Millis(1000), Millis(3000), Millis(1200)),
              Millis(1800));
    EXPECT_EQ(ReservationPolicy::estimateRemaining(Millis(1000), Millis(1000), Millis(4000)),
              Millis(1000));
}

}  // namespace
}  // namespace pierbank
