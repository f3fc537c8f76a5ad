// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_TEST_TASKPLANNERFIXTURE_H
#define PIERBANK_JOB_TEST_TASKPLANNERFIXTURE_H

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

/** Plans jobs on four workers with 8 accelerators each, in two racks of two workers. */
class TaskPlannerFixture : public ::testing::Test {
protected:
    static constexpr Millis NOW{1'000'000};

    struct TestJob {
        JobRecord m_record;
        JobRun m_run;
        LastingTasks m_lasting;
    };

    TaskPlannerFixture() {
        for (int i = 0; i < 4; ++i) {
            WorkerSnapshot worker;
            worker.m_id = {"h" + std::to_string(i), "life"};
            worker.m_service = "s";
            worker.m_rack = "r" + std::to_string(i / 2);
            worker.m_labels = {worker.m_rack};
            worker.m_capacity = {64'000, 64'000, 8};
            worker.m_acceptsWork = true;
            m_workers.push_back(worker);
        }
    }

    TestJob& addJob(const std::string& id, std::uint32_t priority, StepSpec step,
                    Millis acceptedAt = NOW) {
        TestJob& entry = m_jobs.emplace_back();
        entry.m_record.m_id = id;
        entry.m_record.m_organisation = "o";
        entry.m_record.m_policy = {"q", "s", priority, 3, 3.0, Millis(1000), std::nullopt};
        entry.m_record.m_acceptedAt = acceptedAt;
        entry.m_record.m_spec.m_steps = {std::move(step)};
        entry.m_run = makeJobRun(entry.m_record);
        return entry;
    }

    static StepSpec makeStep(std::uint32_t tasks, std::uint32_t accelerators) {
        StepSpec step;
        step.m_tasks = tasks;
        step.m_need = {8000, 8000, accelerators};
        step.m_estimate = Millis(1000);
        return step;
    }

    /** Adds a job with one task that has been running on a worker for the given time. */
    void addRunning(const std::string& id, int worker, std::uint32_t accelerators, Millis ran,
                    bool savesProgress = false) {
        StepSpec step = makeStep(1, accelerators);
        step.m_savesProgress = savesProgress;
        TestJob& entry = addJob(id, 2, step);
        TaskRun& task = entry.m_run.m_occurrences[0].m_steps[0].m_tasks[0];
        task.m_state = TaskState::PLACED;
        task.m_run = 1;
        task.m_lastRun = 1;
        task.m_worker = m_workers[static_cast<std::size_t>(worker)].m_id;
        task.m_placedAt = NOW - ran;
    }

    TaskPlan plan() {
        std::vector<PlannedJob> jobs;
        for (const TestJob& entry : m_jobs) {
            jobs.push_back(
                    {&entry.m_record, &entry.m_run, nullptr, std::nullopt, &entry.m_lasting});
        }
        return TaskPlanner(m_settings).plan(m_workers, jobs, m_remaining, m_guarantees, NOW);
    }

    TaskPlannerSettings m_settings;
    std::vector<WorkerSnapshot> m_workers;
    std::deque<TestJob> m_jobs;
    std::map<TaskKey, Millis> m_remaining;
    std::map<std::string, std::uint32_t> m_guarantees;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_TEST_TASKPLANNERFIXTURE_H
