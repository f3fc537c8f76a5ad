// SPDX-License-Identifier: Apache-2.0
// Large units of work beside small work that never stops arriving.
#include <gtest/gtest.h>

#include <set>

#include "BusyRegion.h"

namespace pierbank {
namespace {

/**
 * A gang of six whole hosts in one rack was never placed while tasks of one accelerator and a lower
 * priority arrived: each accelerator that became free went to the next of them.
 */
class LargeGangBesideSmallWork : public BusyRegion {
protected:
    static constexpr Millis SMALL_TIME{6500};

    void SetUp() override {
        addHosts(77, 12);
        for (int i = 0; i < 80; ++i) {
            arrive();
            pass();
        }
    }
    void arrive() {
        // Somewhat more than the accelerators that become free.
        if (m_now.count() % 400 == 0) {
            submit(2, 39, 1, SMALL_TIME);
        }
    }
};

TEST_F(LargeGangBesideSmallWork, StartsWhenTheLongestRunOnItsHostsHasEnded) {
    const std::string id = submitGang(1, 6, ACCELERATORS).m_record.m_id;
    const Millis longest(std::llround(static_cast<double>(SMALL_TIME.count()) * 1.6));
    const auto wait = measureWait(id, 3 * longest, [this] { arrive(); });
    ASSERT_TRUE(wait.has_value());
    EXPECT_LE(*wait, longest + PLAN_INTERVAL);
}

TEST_F(LargeGangBesideSmallWork, IsNotPlacedWithoutEarlyReservations) {
    m_settings.m_reservesEarly = false;
    const std::string id = submitGang(1, 6, ACCELERATORS).m_record.m_id;
    EXPECT_FALSE(measureWait(id, Millis(30'000), [this] { arrive(); }).has_value());
}

/** Two racks of two hosts; the hosts of the first rack have room first, after 3 s. */
class GangOfARack : public BusyRegion {
protected:
    using Hosts = std::vector<std::string_view>;

    void SetUp() override {
        addHosts(4, 2);
        for (WorkerSnapshot& worker : m_workers) {
            worker.m_slowness = 1.0;
        }
        addRunning(0, 6, Millis(3000));
        addRunning(1, 4, Millis(2000));
        addRunning(2, 8, Millis(8000));
        addRunning(3, 8, Millis(9000));
        m_gang = submitGang(1, 2, ACCELERATORS).m_record.m_id;
    }
    Hosts listReserved() const {
        const TaskPlan made = plan();
        return made.m_reservations.empty() ? Hosts() : made.m_reservations.front().m_hosts;
    }
    /** Returns how many tasks of one accelerator the plan starts. */
    std::size_t countStarted(std::uint32_t priority, Millis estimate) {
        submit(priority, 12, 1, estimate);
        return plan().m_placements.size();
    }

    static constexpr std::size_t FREE = 6;
    std::string m_gang;
};

TEST_F(GangOfARack, ReservesTheRackThatEmptiesFirst) {
    const TaskPlan made = plan();
    ASSERT_EQ(made.m_reservations.size(), 1U);
    EXPECT_EQ(made.m_reservations[0].m_job, m_gang);
    EXPECT_EQ(made.m_reservations[0].m_hosts, (Hosts{"h0", "h1"}));
    EXPECT_EQ(made.m_reservations[0].m_startsIn, Millis(3000));
}

TEST_F(GangOfARack, ExplainsWhyItWaits) {
    const std::string text = plan().m_explanations.back().m_text;
    EXPECT_NE(text.find("the first is h0; it should begin in 3000 ms"), std::string::npos) << text;
}

TEST_F(GangOfARack, KeepsItsHostsUntilItStarts) {
    while (m_now < Millis(1'002'900)) {
        submit(2, 4, 1, Millis(5000));
        pass();
        EXPECT_EQ(listReserved(), (Hosts{"h0", "h1"})) << m_now.count();
    }
    pass();
    EXPECT_FALSE(plan().m_placements.empty());
    EXPECT_TRUE(listReserved().empty());
}

TEST_F(GangOfARack, LeavesItsHostsToShorterWork) {
    EXPECT_EQ(countStarted(2, Millis(2500)), FREE);
}

TEST_F(GangOfARack, KeepsLongerWorkOffItsHosts) {
    EXPECT_EQ(countStarted(2, Millis(3000)), 0U);
}

TEST_F(GangOfARack, KeepsLongerWorkOfItsOwnPriorityOffItsHosts) {
    m_now -= Millis(1000);
    submit(1, 12, 1, Millis(3000));
    m_now += Millis(1000);
    EXPECT_TRUE(plan().m_placements.empty()) << "its objective is earlier than the gang's";
}

TEST_F(GangOfARack, KeepsShortWorkOffItsHostsThatIsForecastToLast) {
    m_highShare = 2.0;
    EXPECT_EQ(countStarted(2, Millis(2500)), 0U);
}

TEST_F(GangOfARack, CountsTheSpeedOfTheHostForShorterWork) {
    // Its runs, of 20 s, now end after 3 s as well.
    m_workers[1].m_slowness = 1.05;
    EXPECT_EQ(countStarted(2, Millis(2900)), 2U) << "only h0 ends it in time";
}

TEST_F(GangOfARack, LeavesItsHostsToWorkOfAHigherPriority) {
    m_jobs.back().m_record.m_policy.m_priority = 2;
    EXPECT_EQ(countStarted(1, Millis(9000)), FREE);
}

TEST_F(GangOfARack, LeavesItsHostsToUrgentWork) {
    EXPECT_EQ(countStarted(0, Millis(9000)), FREE);
}

TEST_F(GangOfARack, GetsNoReservationAgainstWorkThatCannotUseItsHosts) {
    const TestJob gang = m_jobs.back();
    m_jobs.clear();
    for (const std::size_t host : {0U, 1U, 2U, 3U}) {
        TestJob& other = submitGang(1, 2, 6);
        applyPlacement(other.m_run, {other.m_record.m_id, 0, 0, 0}, 1, m_workers[host].m_id, m_now);
    }
    m_jobs.push_back(gang);
    submit(2, 4, 1, Millis(5000)).m_record.m_spec.m_steps[0].m_requiredLabel = "elsewhere";
    EXPECT_TRUE(plan().m_reservations.empty());
    submit(2, 4, 1, Millis(5000));
    EXPECT_EQ(plan().m_reservations.size(), 1U);
}

TEST_F(GangOfARack, GetsNoReservationIfItIsUrgent) {
    m_jobs.back().m_record.m_policy.m_priority = 0;
    EXPECT_TRUE(plan().m_reservations.empty());
}

TEST_F(GangOfARack, LeavesRoomBesideItsMembersToLongerWork) {
    m_jobs.back().m_record.m_spec.m_steps[0].m_need = {28'000, 56'000, 7};
    EXPECT_EQ(countStarted(2, Millis(9000)), 2U) << "one accelerator of each host";
}

/** While hardly anything is in use, no job may be without a run for long. */
TEST_F(GangOfARack, LeavesItsHostsToJobsWithoutARunWhileCapacityIsIdle) {
    for (WorkerSnapshot& worker : m_workers) {
        worker.m_capacity.m_memoryMb *= 2;
    }
    EXPECT_EQ(countStarted(2, Millis(9000)), 0U);
    m_jobs.back().m_record.m_acceptedAt = m_now - m_settings.m_maxIdleTime;
    EXPECT_EQ(plan().m_placements.size(), 1U) << "the first run of the job";
}

// A gang that no rack can hold, since it spreads its members, also ended the search for the gangs
// after it that have the same demand.
TEST_F(GangOfARack, GetsAReservationAfterAGangThatNoRackCanHold) {
    StepSpec& spread = m_jobs.back().m_record.m_spec.m_steps[0];
    spread.m_tasks = 3;
    spread.m_need = {16'000, 32'000, 4};
    spread.m_maxPerWorker = 1;
    m_jobs.back().m_run = makeJobRun(m_jobs.back().m_record);
    const std::string packed = submitGang(1, 3, 4).m_record.m_id;
    const TaskPlan made = plan();
    ASSERT_EQ(made.m_reservations.size(), 1U);
    EXPECT_EQ(made.m_reservations[0].m_job, packed);
}

// A gang that prefers one rack and is larger than any waited for three times its run time before it
// was tried over several racks, and had no reservation meanwhile.
TEST_F(GangOfARack, GetsAReservationOverRacksIfNoRackCanHoldIt) {
    StepSpec& spec = m_jobs.back().m_record.m_spec.m_steps[0];
    spec.m_tasks = 3;
    spec.m_allowsRemote = true;
    m_jobs.back().m_run = makeJobRun(m_jobs.back().m_record);
    EXPECT_EQ(listReserved(), (Hosts{"h0", "h1", "h2"}));
}

/** A host that can't run the gang any more gives its reservation back. */
class GangThatLosesAHost : public GangOfARack {
protected:
    void expectOtherRack() const { EXPECT_EQ(listReserved(), (Hosts{"h2", "h3"})); }
};

TEST_F(GangThatLosesAHost, MovesWhenTheHostIsGone) {
    m_workers.erase(m_workers.begin());
    expectOtherRack();
}

TEST_F(GangThatLosesAHost, MovesWhenTheHostTakesNoWork) {
    // It leaves, drains, is evacuated, paused or not linked.
    m_workers[0].m_acceptsWork = false;
    expectOtherRack();
}

TEST_F(GangThatLosesAHost, MovesWhenTheHostIsTested) {
    m_workers[1].m_maxTasksPerJob = 1;
    expectOtherRack();
}

TEST_F(GangThatLosesAHost, WaitsWithoutAReservationWhenNoRackIsLeft) {
    m_workers[0].m_acceptsWork = false;
    m_workers[3].m_acceptsWork = false;
    EXPECT_TRUE(plan().m_reservations.empty());
    EXPECT_EQ(countStarted(2, Millis(9000)), 4U) << "what is free on h1";
}

/** Free accelerators that are of no use to what waits. */
class FragmentationOfARegion : public GangOfARack {};

TEST_F(FragmentationOfARegion, CountsAcceleratorsThatNoWaitingGangCanUse) {
    EXPECT_DOUBLE_EQ(plan().m_fragmentation, 1.0);
    submitGang(1, 5, 3);
    EXPECT_DOUBLE_EQ(plan().m_fragmentation, 0.5) << "one member of three accelerators fits on h1";
    submitGang(1, 8, 2);
    EXPECT_DOUBLE_EQ(plan().m_fragmentation, 0.0) << "members of two accelerators fit";
}

TEST_F(FragmentationOfARegion, IsZeroWhileNoLargeUnitWaits) {
    m_jobs.pop_back();
    submit(2, 40, 1, Millis(1000));
    EXPECT_EQ(plan().m_fragmentation, 0.0);
}

/** Three hosts of a rack, of which the slowest is empty, and a gang that waits for another rack. */
class SmallWorkBesideAWaitingGang : public BusyRegion {
protected:
    void SetUp() override {
        addHosts(5, 3);
        m_workers[2].m_slowness = 3.0;
        addRunning(0, 5, Millis(9000));
        addRunning(1, 5, Millis(9000));
        addRunning(3, 8, Millis(3000));
        addRunning(4, 8, Millis(3000));
        for (std::size_t host : {3U, 4U}) {
            m_workers[host].m_labels = {"wanted"};
        }
        TestJob& gang = submitGang(1, 2, ACCELERATORS);
        gang.m_record.m_spec.m_steps[0].m_requiredLabel = "wanted";
    }
    std::set<std::string> listHostsOfSmallTasks() {
        submit(2, 6, 1, Millis(9000));
        std::set<std::string> hosts;
        for (const Placement& placement : plan().m_placements) {
            hosts.insert(placement.m_worker.m_host);
        }
        return hosts;
    }
};

TEST_F(SmallWorkBesideAWaitingGang, IsPackedOnHostsInUseWhateverTheirSpeed) {
    EXPECT_EQ(listHostsOfSmallTasks(), (std::set<std::string>{"h0", "h1"}));
}

TEST_F(SmallWorkBesideAWaitingGang, GoesToSlowHostsWithoutOne) {
    m_jobs.pop_back();
    EXPECT_EQ(listHostsOfSmallTasks(), std::set<std::string>{"h2"});
}

}  // namespace
}  // namespace pierbank
