// SPDX-License-Identifier: Apache-2.0
// Properties of early reservations in random regions.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "BusyRegion.h"

namespace pierbank {
namespace {

/** Regions in which more small work arrives than fits, and a few large units. */
class LargeUnitsInAnyRegion : public BusyRegion {
protected:
    static int drawInt(int low, int highInclusive) {
        return *rc::gen::inRange(low, highInclusive + 1);
    }
    void submitSmall() {
        while (m_waitingUnits < 8 * m_workers.size()) {
            const auto tasks = static_cast<std::uint32_t>(drawInt(1, 12));
            submit(2, tasks, 1, Millis(drawInt(3, m_longestSmall) * 100));
            m_waitingUnits += tasks;
        }
    }
    /** Submits a unit that fits into a rack. @return its longest run time. */
    Millis submitLarge(int perRack) {
        const Millis estimate(drawInt(3, 15) * 100);
        const auto members = static_cast<std::uint32_t>(drawInt(1, perRack));
        submitGang(static_cast<std::uint32_t>(drawInt(1, 2)), members,
                   static_cast<std::uint32_t>(drawInt(5, 8)), estimate);
        return estimate;
    }

    int m_longestSmall = 15;
};

/**
 * A large unit starts when the longest run on its hosts has ended; the units with reservations
 * before it each add that and their own run time.
 */
RC_GTEST_FIXTURE_PROP(LargeUnitsInAnyRegion, StartWithinTheLongestRunAndThoseBeforeThem, ()) {
    const int perRack = drawInt(1, 3);
    addHosts(static_cast<std::size_t>(perRack * drawInt(3, 4)), static_cast<std::size_t>(perRack));
    constexpr double MAX_SLOWNESS = 1.6;
    const auto scale = [](Millis time) {
        return Millis(std::llround(static_cast<double>(time.count()) * MAX_SLOWNESS));
    };
    for (int i = 0; i < 20; ++i) {
        submitSmall();
        pass();
    }
    const Millis longest = scale(Millis(m_longestSmall * 100));
    std::vector<std::string> large;
    Millis bound{0};
    const int count = drawInt(1, 3);
    for (int i = 0; i < count; ++i) {
        // Each of the two ends is noticed by the next plan.
        bound += scale(submitLarge(perRack)) + longest + 2 * PLAN_INTERVAL;
        large.push_back(m_jobs.back().m_record.m_id);
    }
    const Millis from = m_now;
    while (m_now - from <= bound) {
        submitSmall();
        pass();
    }
    for (const TestJob& entry : m_jobs) {
        const bool isLarge = std::count(large.begin(), large.end(), entry.m_record.m_id) > 0;
        RC_ASSERT(!isLarge || entry.m_run.m_phase == JobPhase::RUNNING);
    }
}

/** Without a large unit that waits, a plan does not depend on the switch. */
RC_GTEST_FIXTURE_PROP(LargeUnitsInAnyRegion, AreTheOnlyOnesThatChangeAPlan, ()) {
    addHosts(static_cast<std::size_t>(drawInt(2, 8)), 2);
    for (int i = 0; i < 30; ++i) {
        submit(static_cast<std::uint32_t>(drawInt(0, 2)), static_cast<std::uint32_t>(drawInt(1, 9)),
               static_cast<std::uint32_t>(drawInt(1, 4)), Millis(drawInt(3, 15) * 100));
        m_settings.m_reservesEarly = false;
        const TaskPlan before = plan();
        m_settings.m_reservesEarly = true;
        const TaskPlan after = plan();
        RC_ASSERT(after.m_reservations.empty());
        RC_ASSERT(before.m_placements.size() == after.m_placements.size());
        for (std::size_t j = 0; j < before.m_placements.size(); ++j) {
            RC_ASSERT(before.m_placements[j].m_task == after.m_placements[j].m_task);
            RC_ASSERT(before.m_placements[j].m_worker == after.m_placements[j].m_worker);
        }
        pass();
    }
}

}  // namespace
}  // namespace pierbank
