// SPDX-License-Identifier: Apache-2.0
// Which hosts the tasks of wide steps avoid.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank {
namespace {

constexpr Millis NOW{1'000'000};

/** Plans on four workers with 8 accelerators each. */
class FailingHostsPlanTest : public ::testing::Test {
protected:
    struct TestJob {
        JobRecord m_record;
        JobRun m_run;
    };

    FailingHostsPlanTest() {
        for (int i = 0; i < 4; ++i) {
            WorkerSnapshot worker;
            worker.m_id = {"h" + std::to_string(i), "life"};
            worker.m_service = "s";
            worker.m_capacity = {64'000, 64'000, 8};
            worker.m_acceptsWork = true;
            m_workers.push_back(worker);
        }
    }

    TestJob& addJob(const std::string& id, std::uint32_t tasks) {
        TestJob& entry = m_jobs.emplace_back();
        entry.m_record.m_id = id;
        entry.m_record.m_policy = {"q", "s", 1, 2, 3.0, Millis(1000), std::nullopt};
        entry.m_record.m_acceptedAt = NOW;
        StepSpec step;
        step.m_tasks = tasks;
        step.m_need = {1000, 1000, 1};
        step.m_estimate = Millis(1000);
        entry.m_record.m_spec.m_steps = {step};
        entry.m_run = makeJobRun(entry.m_record);
        return entry;
    }
    /** Leaves a task waiting whose run was placed on `h3` some time ago and failed there. */
    TaskRun& failTask(TestJob& entry, std::uint32_t index, Millis placedAgo) {
        TaskRun& task = entry.m_run.m_occurrences[0].m_steps[0].m_tasks[index];
        task.m_failures = 1;
        task.m_lastRun = 1;
        task.m_placedAt = NOW - placedAgo;
        task.m_failedHosts.add("h3");
        return task;
    }
    /** Marks all tasks but the first as done. */
    static void finishOthers(TestJob& entry) {
        auto& tasks = entry.m_run.m_occurrences[0].m_steps[0].m_tasks;
        std::for_each(tasks.begin() + 1, tasks.end(),
                      [](TaskRun& task) { task.m_state = TaskState::DONE; });
    }
    /** Fills a worker with a job of 8 tasks. */
    void occupy(std::size_t worker) {
        TestJob& entry = addJob("occupant" + std::to_string(worker), 8);
        for (TaskRun& task : entry.m_run.m_occurrences[0].m_steps[0].m_tasks) {
            task.m_state = TaskState::PLACED;
            task.m_run = 1;
            task.m_lastRun = 1;
            task.m_worker = m_workers[worker].m_id;
            task.m_placedAt = NOW;
        }
    }

    TaskPlan plan() {
        std::vector<PlannedJob> jobs;
        for (const TestJob& entry : m_jobs) {
            jobs.push_back({&entry.m_record, &entry.m_run});
        }
        return TaskPlanner(m_settings).plan(m_workers, jobs, {}, {}, NOW);
    }
    static std::size_t countOn(const TaskPlan& plan, const std::string& host,
                               const std::string& job) {
        return static_cast<std::size_t>(std::count_if(
                plan.m_placements.begin(), plan.m_placements.end(), [&](const Placement& placed) {
                    return placed.m_worker.m_host == host && placed.m_task.m_job == job;
                }));
    }

    TaskPlannerSettings m_settings;
    std::vector<WorkerSnapshot> m_workers;
    std::deque<TestJob> m_jobs;
};

class HostWithALimitPlanTest : public FailingHostsPlanTest {
protected:
    HostWithALimitPlanTest() { m_workers[0].m_maxTasksPerJob = 2; }
};

TEST_F(HostWithALimitPlanTest, GetsFewTasksOfEachWideJob) {
    addJob("a", 40);
    addJob("b", 40);
    const TaskPlan result = plan();
    EXPECT_EQ(countOn(result, "h0", "a"), 2U);
    EXPECT_EQ(countOn(result, "h0", "b"), 2U);
    EXPECT_EQ(countOn(result, "h1", "a"), 8U);
}

TEST_F(HostWithALimitPlanTest, CountsTheTasksThatRunThere) {
    TestJob& entry = addJob("a", 40);
    TaskRun& task = entry.m_run.m_occurrences[0].m_steps[0].m_tasks[0];
    task.m_state = TaskState::PLACED;
    task.m_run = 1;
    task.m_worker = m_workers[0].m_id;
    EXPECT_EQ(countOn(plan(), "h0", "a"), 1U);
}

TEST_F(HostWithALimitPlanTest, ServesNarrowJobsAsBefore) {
    for (std::size_t i = 1; i < m_workers.size(); ++i) {
        occupy(i);
    }
    addJob("a", 8);
    EXPECT_EQ(countOn(plan(), "h0", "a"), 8U);
}

class HostOnProbePlanTest : public FailingHostsPlanTest {
protected:
    HostOnProbePlanTest() {
        m_workers[0].m_maxTasksPerJob = 1;
        m_workers[0].m_isSuspect = true;
    }
};

TEST_F(HostOnProbePlanTest, GetsOneTaskOfAllJobs) {
    addJob("a", 40);
    addJob("b", 40);
    const TaskPlan result = plan();
    EXPECT_EQ(countOn(result, "h0", "a") + countOn(result, "h0", "b"), 1U);
}

TEST_F(HostOnProbePlanTest, GetsNoLastAttempt) {
    TestJob& entry = addJob("a", 40);
    finishOthers(entry);
    failTask(entry, 0, Millis(10'000));
    for (std::size_t i = 1; i < m_workers.size(); ++i) {
        occupy(i);
    }
    EXPECT_TRUE(plan().m_placements.empty());
}

class LastAttemptPlanTest : public FailingHostsPlanTest {
protected:
    LastAttemptPlanTest() {
        finishOthers(m_job);
        m_workers[2].m_isProven = true;
    }
    TestJob& m_job = addJob("a", 40);
};

TEST_F(LastAttemptPlanTest, GoesWhereARunEndedWellLately) {
    failTask(m_job, 0, Millis(200));
    EXPECT_EQ(countOn(plan(), "h2", "a"), 1U);
}

TEST_F(LastAttemptPlanTest, WaitsALittleForSuchAHost) {
    failTask(m_job, 0, Millis(200));
    occupy(2);
    EXPECT_TRUE(plan().m_placements.empty());
}

TEST_F(LastAttemptPlanTest, DoesNotWaitForLong) {
    failTask(m_job, 0, Millis(2000));
    occupy(2);
    EXPECT_EQ(countOn(plan(), "h0", "a") + countOn(plan(), "h1", "a"), 1U);
}

TEST_F(LastAttemptPlanTest, DoesNotGoWhereARunHasJustFailed) {
    failTask(m_job, 0, Millis(2000));
    m_workers[0].m_maxTasksPerJob = 2;
    occupy(1);
    occupy(2);
    EXPECT_TRUE(plan().m_placements.empty());
}

TEST_F(LastAttemptPlanTest, GoesAnywhereIfNoHostIsProven) {
    failTask(m_job, 0, Millis(200));
    m_workers[2].m_isProven = false;
    EXPECT_EQ(plan().m_placements.size(), 1U);
}

TEST_F(LastAttemptPlanTest, OfANarrowJobIsPlacedAsBefore) {
    m_jobs.clear();
    failTask(addJob("b", 1), 0, Millis(200));
    occupy(2);
    EXPECT_EQ(plan().m_placements.size(), 1U);
}

}  // namespace
}  // namespace pierbank
