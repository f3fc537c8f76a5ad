// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "TaskPlannerFixture.h"

namespace pierbank {
namespace {

/**
 * Guards against copies of several slow tasks that are placed on one worker by one plan, although
 * the step limits its tasks per worker: a placed copy was not counted.
 */
class CopiesOfAStepWithALimitPerWorker : public TaskPlannerFixture {
protected:
    /** Adds a step whose tasks are slow, one on each of the first workers. */
    void addSlowStep(std::uint32_t tasks, std::uint32_t maxPerWorker) {
        StepSpec step = makeStep(tasks, 1);
        step.m_isSpeculative = true;
        step.m_maxPerWorker = maxPerWorker;
        TestJob& job = addJob("slow", 2, step, NOW - Millis(30'000));
        for (std::uint32_t i = 0; i < tasks; ++i) {
            applyPlacement(job.m_run, {"slow", 0, 0, i}, 1, m_workers[i].m_id,
                           NOW - Millis(20'000));
            m_remaining[{"slow", 0, 0, i}] = Millis(60'000);
        }
    }

    /** Returns how many copies the plan places on a worker at most. */
    std::size_t countMostOnOneWorker(const TaskPlan& result) {
        std::map<std::string, std::size_t> counts;
        std::size_t most = 0;
        for (const Placement& copy : result.m_copies) {
            most = std::max(most, ++counts[copy.m_worker.m_host]);
        }
        return most;
    }
};

TEST_F(CopiesOfAStepWithALimitPerWorker, GoToDifferentWorkers) {
    addSlowStep(2, 1);
    const TaskPlan result = plan();
    EXPECT_EQ(result.m_copies.size(), 2U);
    EXPECT_EQ(countMostOnOneWorker(result), 1U);
}

TEST_F(CopiesOfAStepWithALimitPerWorker, WaitIfNoOtherWorkerIsLeft) {
    m_workers[3].m_acceptsWork = false;
    addSlowStep(2, 1);
    EXPECT_EQ(plan().m_copies.size(), 1U);
}

TEST_F(CopiesOfAStepWithALimitPerWorker, ShareAWorkerAsFarAsItAllows) {
    m_workers[3].m_acceptsWork = false;
    addSlowStep(3, 2);
    const TaskPlan result = plan();
    EXPECT_LE(countMostOnOneWorker(result), 2U);
}

TEST_F(CopiesOfAStepWithALimitPerWorker, LeaveNoPlaceToOtherTasksOfTheStep) {
    m_workers[3].m_acceptsWork = false;
    addSlowStep(3, 1);
    TestJob& job = m_jobs.back();
    job.m_run.m_occurrences[0].m_steps[0].m_tasks[2].m_state = TaskState::WAITING;
    const TaskPlan result = plan();
    EXPECT_LE(result.m_copies.size() + result.m_placements.size(), 1U);
}

}  // namespace
}  // namespace pierbank
