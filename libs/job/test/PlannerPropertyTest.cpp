// SPDX-License-Identifier: Apache-2.0
// Property tests of the planner with random workers, guarantees, jobs, run ends and lost workers.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "RegionSimulation.h"

namespace pierbank {
namespace {

RC_GTEST_PROP(PlannerPropertyTest, InvariantsHoldAfterEveryPass, ()) {
    RegionSimulation simulation;
    if (drawInt(0, 1) == 0) {
        simulation.m_guarantees["o0"] = static_cast<std::uint32_t>(drawInt(1, 6));
    }
    const int steps = drawInt(5, 40);
    for (int i = 0; i < steps; ++i) {
        simulation.applyRandomEvent();
    }
}

RC_GTEST_PROP(PlannerPropertyTest, InvariantsHoldWhileCapacityChanges, ()) {
    RegionSimulation simulation;
    simulation.m_changesCapacity = true;
    const int steps = drawInt(5, 40);
    for (int i = 0; i < steps; ++i) {
        simulation.applyRandomEvent();
    }
}

/**
 * Urgent work within its guarantee starts as soon as the runs in its way have ended, if a worker
 * has enough capacity, also when the workers have shrunk below the demand of their runs.
 */
RC_GTEST_PROP(PlannerPropertyTest, GuaranteedWorkStartsHoweverBusyTheWorkersAre, ()) {
    RegionSimulation simulation;
    simulation.m_changesCapacity = drawInt(0, 1) == 0;
    const int steps = drawInt(5, 30);
    for (int i = 0; i < steps; ++i) {
        simulation.applyRandomEvent();
    }
    for (WorkerSnapshot& worker : simulation.m_workers) {
        worker.m_acceptsWork = true;
    }
    const std::uint32_t wanted =
            std::max(1U, simulation.m_workers.front().m_capacity.m_accelerators);
    simulation.m_workers.front().m_capacity.m_accelerators = wanted;
    StepSpec step;
    step.m_need = {1000, 100, wanted};
    step.m_estimate = Millis(1000);
    RegionSimulation::TestJob& urgent = simulation.submit(0, step);
    // No other job has a guarantee, so that all other urgent work may be preempted.
    urgent.m_record.m_organisation = "owner";
    simulation.m_guarantees = {{"owner", wanted}};
    // The first pass preempts runs, or waits for runs that are about to end. A later pass places
    // the job.
    simulation.plan();
    simulation.m_now += Millis(1300);
    simulation.plan();
    simulation.plan();
    RC_ASSERT(simulation.isRunning(urgent));
}

/** A large starved unit is placed although small units arrive all the time. */
RC_GTEST_PROP(PlannerPropertyTest, LargeUnitDoesNotStarve, ()) {
    RegionSimulation simulation;
    for (WorkerSnapshot& worker : simulation.m_workers) {
        worker.m_capacity.m_accelerators = 4;
    }
    StepSpec small;
    small.m_need = {500, 10, 1};
    small.m_estimate = Millis(5000);
    StepSpec large;
    large.m_need = {500, 10, 4};
    large.m_isGang = true;
    large.m_tasks = 2;
    large.m_estimate = Millis(2000);
    const auto submitSmallJobs = [&] {
        // More jobs arrive than fit. Between two passes a fifth of the active runs ends, anywhere.
        for (std::size_t i = 0; i < simulation.m_workers.size() * 2; ++i) {
            simulation.submit(1, small);
        }
    };
    submitSmallJobs();
    submitSmallJobs();
    simulation.plan();
    RegionSimulation::TestJob& starvingJob = simulation.submit(2, large);
    constexpr int ROUNDS = 60;
    for (int round = 0; round < ROUNDS && !simulation.isRunning(starvingJob); ++round) {
        submitSmallJobs();
        int position = round;
        for (RegionSimulation::TestJob& entry : simulation.m_jobs) {
            for (const ActiveRun& run : listActiveRuns(entry.m_record.m_id, entry.m_run)) {
                if (++position % 5 == 0 && &entry != &starvingJob) {
                    applyEnd(entry.m_record, entry.m_run, run.m_task, run.m_run, RunEnd::DONE, "",
                             simulation.m_now);
                }
            }
        }
        simulation.m_now += Millis(1000);
        simulation.plan();
    }
    RC_ASSERT(simulation.isRunning(starvingJob));
}

}  // namespace
}  // namespace pierbank
