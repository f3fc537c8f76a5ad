// SPDX-License-Identifier: Apache-2.0
// Properties of the placement by forecast, on random workers of three speeds.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "RegionSimulation.h"

namespace pierbank {
namespace {

/** Fewer workers have no known spread of speeds. */
constexpr int MIN_WORKERS = 4;

RC_GTEST_PROP(ForecastPropertyTest, InvariantsHoldOnUnevenWorkers, ()) {
    RegionSimulation simulation(MIN_WORKERS);
    simulation.makeUneven();
    simulation.m_changesCapacity = drawInt(0, 2) == 0;
    if (drawInt(0, 1) == 0) {
        simulation.m_guarantees["o0"] = static_cast<std::uint32_t>(drawInt(1, 6));
    }
    const int steps = drawInt(5, 40);
    for (int i = 0; i < steps; ++i) {
        simulation.applyRandomEvent();
    }
}

/** The bound on the start of guaranteed work does not depend on the forecast. */
RC_GTEST_PROP(ForecastPropertyTest, GuaranteedWorkStartsHoweverBusyUnevenWorkersAre, ()) {
    RegionSimulation simulation(MIN_WORKERS);
    simulation.makeUneven();
    const int steps = drawInt(5, 30);
    for (int i = 0; i < steps; ++i) {
        simulation.applyRandomEvent();
    }
    for (WorkerSnapshot& worker : simulation.m_workers) {
        worker.m_acceptsWork = true;
    }
    // The first worker is a slow one.
    StepSpec step;
    step.m_need = {1000, 100, simulation.m_workers.front().m_capacity.m_accelerators};
    step.m_estimate = Millis(1000);
    RegionSimulation::TestJob& urgent = simulation.submit(0, step);
    urgent.m_record.m_organisation = "owner";
    simulation.m_guarantees = {{"owner", step.m_need.m_accelerators}};
    simulation.plan();
    simulation.m_now += Millis(1300);
    simulation.plan();
    simulation.plan();
    RC_ASSERT(simulation.isRunning(urgent));
}

/** Runs are stopped only for work that starts as soon as they have ended. */
RC_GTEST_PROP(ForecastPropertyTest, NothingGivesWayWithoutAStartOfWhatItWasFor, ()) {
    RegionSimulation simulation(MIN_WORKERS);
    simulation.makeUneven();
    const int steps = drawInt(5, 40);
    for (int i = 0; i < steps; ++i) {
        simulation.applyRandomEvent();
        const auto lostFor = simulation.m_lostFor;
        simulation.plan();
        for (const auto& [id, coreSeconds] : lostFor) {
            RC_ASSERT(!listActiveRuns(id, simulation.find(id).m_run).empty());
        }
    }
}

/** Over any stretch, the lost work is bounded by the work that it made room for. */
RC_GTEST_PROP(ForecastPropertyTest, LostWorkIsBoundedByTheWorkThatIsServed, ()) {
    const TaskPlannerSettings settings;
    RegionSimulation simulation(MIN_WORKERS);
    simulation.makeUneven();
    const int steps = drawInt(5, 40);
    for (int i = 0; i < steps; ++i) {
        simulation.applyRandomEvent();
        for (const auto& [id, coreSeconds] : simulation.m_lostFor) {
            const StepSpec& step = simulation.find(id).m_record.m_spec.m_steps[0];
            const double units = step.m_isGang ? 1 : step.m_tasks;
            const double own = getCoreEquivalent(step.m_need) * step.m_tasks *
                               static_cast<double>(step.m_estimate.count()) / 1000;
            RC_ASSERT(coreSeconds <=
                      units * settings.m_maxWastedWork + settings.m_maxWastePerOwnWork * own);
        }
    }
}

/** On workers of one kind the forecast changes nothing. */
RC_GTEST_PROP(ForecastPropertyTest, PlansOnHostsOfOneKindAreTheSameAsWithoutIt, ()) {
    RegionSimulation simulation(MIN_WORKERS);
    simulation.m_comparesForecast = true;
    if (drawInt(0, 1) == 0) {
        simulation.m_guarantees["o0"] = static_cast<std::uint32_t>(drawInt(1, 6));
    }
    for (WorkerSnapshot& worker : simulation.m_workers) {
        worker.m_slowness = 0.85 + 0.01 * drawInt(0, 40);
        worker.m_slownessSamples = drawInt(0, 5);
    }
    const int steps = drawInt(5, 40);
    for (int i = 0; i < steps; ++i) {
        simulation.applyRandomEvent();
    }
}

}  // namespace
}  // namespace pierbank
