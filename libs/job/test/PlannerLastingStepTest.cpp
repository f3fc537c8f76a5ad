// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <algorithm>

#include "TaskPlannerFixture.h"

namespace pierbank {
namespace {

/** A lasting step with a task on each of two workers; the second one gives way to urgent work. */
class PlannerLastingStepTest : public TaskPlannerFixture {
protected:
    void SetUp() override {
        StepSpec step = makeStep(2, 8);
        step.m_isLongRunning = true;
        step.m_maxUnavailable = 1;
        m_lasting = &addJob("lasting", 2, step);
        for (std::uint32_t i = 0; i < 2; ++i) {
            applyPlacement(m_lasting->m_run, {"lasting", 0, 0, i}, 1, m_workers[i].m_id,
                           NOW - Millis(6000));
        }
        m_workers[1].m_labels.insert("wanted");
        m_guarantees["o"] = 8;
        StepSpec urgent = makeStep(1, 8);
        urgent.m_requiredLabel = "wanted";
        addJob("urgent", 0, urgent, NOW - Millis(2000));
    }
    void report(std::uint32_t task, std::uint32_t percent) {
        m_lasting->m_lasting.recordProgress({"lasting", 0, 0, task}, 1, percent);
    }

    TestJob* m_lasting = nullptr;
};

/** Guards against a second task that is stopped while the first is starting on a slow worker. */
TEST_F(PlannerLastingStepTest, GivesNoTaskAwayWhileAnotherIsNotAtWork) {
    report(0, 40);
    report(1, 100);
    EXPECT_TRUE(plan().m_stops.empty());
}

TEST_F(PlannerLastingStepTest, GivesTheTaskAwayThatIsNotAtWorkItself) {
    report(0, 100);
    report(1, 40);
    EXPECT_EQ(plan().m_stops.size(), 1U);
}

TEST_F(PlannerLastingStepTest, GivesATaskAwayWhenAllAreAtWork) {
    report(0, 100);
    report(1, 100);
    ASSERT_EQ(plan().m_stops.size(), 1U);
    EXPECT_EQ(plan().m_stops[0].m_task, (TaskKey{"lasting", 0, 0, 1}));
}

/**
 * Guards against one preemption that stops more tasks of a lasting step than may be unavailable:
 * each of its victims was looked at as if it were the only one.
 */
class LastingStepBesideOneLargePreemption : public TaskPlannerFixture {
protected:
    /** Adds a lasting step whose tasks are all at work, `perWorker` on each of the first workers.
     */
    TestJob& addLasting(std::uint32_t workers, std::uint32_t perWorker, std::uint32_t mayMiss) {
        StepSpec step = makeStep(workers * perWorker, 8 / perWorker);
        step.m_isLongRunning = true;
        step.m_savesProgress = true;
        step.m_maxUnavailable = mayMiss;
        TestJob& job = addJob("lasting", 2, step);
        for (std::uint32_t i = 0; i < step.m_tasks; ++i) {
            applyPlacement(job.m_run, {"lasting", 0, 0, i}, 1, m_workers[i / perWorker].m_id,
                           NOW - Millis(60'000));
            job.m_lasting.recordProgress({"lasting", 0, 0, i}, 1, 100);
        }
        return job;
    }

    void addUrgent(std::uint32_t members) {
        StepSpec step = makeStep(members, 8);
        step.m_isGang = members > 1;
        m_guarantees["o"] = 8 * members;
        addJob("urgent", 0, step, NOW - Millis(2000));
    }

    /** Returns how many runs of a job the plan stops. */
    std::size_t countStops(const TaskPlan& plan, const std::string& job) {
        return static_cast<std::size_t>(
                std::count_if(plan.m_stops.begin(), plan.m_stops.end(),
                              [&](const Stop& stop) { return stop.m_task.m_job == job; }));
    }
};

TEST_F(LastingStepBesideOneLargePreemption, KeepsTheSecondTaskOnAWorkerThatIsWanted) {
    addLasting(2, 2, 1);
    addRunning("ordinary-2", 2, 8, Millis(60'000));
    addRunning("ordinary-3", 3, 8, Millis(60'000));
    addUrgent(1);
    const TaskPlan result = plan();
    EXPECT_EQ(countStops(result, "lasting"), 0U);
    EXPECT_EQ(result.m_stops.size(), 1U) << "an ordinary run gives way instead";
}

TEST_F(LastingStepBesideOneLargePreemption, KeepsTheSecondTaskOnAnotherWorker) {
    addLasting(2, 1, 1);
    addRunning("ordinary-2", 2, 8, Millis(60'000));
    addRunning("ordinary-3", 3, 8, Millis(60'000));
    addUrgent(2);
    const TaskPlan result = plan();
    EXPECT_EQ(countStops(result, "lasting"), 1U);
    EXPECT_EQ(result.m_stops.size(), 2U);
}

TEST_F(LastingStepBesideOneLargePreemption, KeepsItsTasksThoughTheUrgentWorkHasNoOtherPlace) {
    addLasting(4, 2, 1);
    addUrgent(1);
    EXPECT_TRUE(plan().m_stops.empty());
}

TEST_F(LastingStepBesideOneLargePreemption, GivesAsManyTasksAwayAsMayBeUnavailable) {
    addLasting(4, 2, 2);
    addUrgent(1);
    EXPECT_EQ(countStops(plan(), "lasting"), 2U);
}

TEST_F(LastingStepBesideOneLargePreemption, CountsATaskThatIsNotAtWorkOnlyOnce) {
    TestJob& job = addLasting(4, 2, 2);
    job.m_lasting.recordProgress({"lasting", 0, 0, 7}, 1, 40);
    addUrgent(1);
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_stops.size(), 2U);
    EXPECT_TRUE(result.m_stops[0].m_task.m_index == 7 || result.m_stops[1].m_task.m_index == 7);
}

/** A stop of one member stops the whole gang. */
TEST_F(LastingStepBesideOneLargePreemption, KeepsAGangThatHasMoreMembersThanMayBeUnavailable) {
    TestJob& job = addLasting(2, 1, 1);
    job.m_record.m_spec.m_steps[0].m_isGang = true;
    addRunning("ordinary-2", 2, 8, Millis(60'000));
    addRunning("ordinary-3", 3, 8, Millis(60'000));
    addUrgent(1);
    EXPECT_EQ(countStops(plan(), "lasting"), 0U);
}

/** Drawn regions: no plan takes more tasks of a lasting step than may be unavailable. */
class DrawnLastingSteps : public LastingStepBesideOneLargePreemption,
                          public ::testing::WithParamInterface<std::uint32_t> {
protected:
    std::uint32_t pick(std::uint32_t below) {
        m_random = m_random * 1664525 + 1013904223;
        return (m_random >> 8) % below;
    }

    /** Adds a lasting step with tasks on drawn workers, some of them not at work. */
    TestJob& addDrawnStep(const std::string& id, std::vector<std::uint32_t>& free) {
        StepSpec step = makeStep(1 + pick(5), 1 + pick(4));
        step.m_isLongRunning = true;
        step.m_maxUnavailable = 1 + pick(3);
        TestJob& job = addJob(id, 2, step);
        for (std::uint32_t i = 0; i < step.m_tasks; ++i) {
            const std::uint32_t worker = pick(4);
            if (free[worker] < step.m_need.m_accelerators) {
                continue;
            }
            free[worker] -= step.m_need.m_accelerators;
            applyPlacement(job.m_run, {id, 0, 0, i}, 1, m_workers[worker].m_id,
                           NOW - Millis(pick(4) == 0 ? 500 : 60'000));
            job.m_lasting.recordProgress({id, 0, 0, i}, 1, pick(4) == 0 ? 40 : 100);
        }
        return job;
    }

    /** Returns how many tasks are unavailable if the plan's stops are carried out. */
    std::uint32_t countUnavailable(const TestJob& job, const TaskPlan& result, bool withStops) {
        std::uint32_t count = 0;
        const auto& tasks = job.m_run.m_occurrences[0].m_steps[0].m_tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            const TaskKey key{job.m_record.m_id, 0, 0, i};
            const bool isStopped =
                    std::any_of(result.m_stops.begin(), result.m_stops.end(),
                                [&](const Stop& stop) { return stop.m_task == key; });
            const bool isAtWork =
                    tasks[i].m_state == TaskState::PLACED && job.m_lasting.isAtWork(key, 1);
            count += !isAtWork || (withStops && isStopped) ? 1 : 0;
        }
        return count;
    }

    std::uint32_t m_random = 20261207 + GetParam();
};

INSTANTIATE_TEST_SUITE_P(Seeds, DrawnLastingSteps, ::testing::Range(0U, 40U));

TEST_P(DrawnLastingSteps, LoseNoMoreTasksThanMayBeUnavailable) {
    std::vector<std::uint32_t> free(4, 8);
    std::vector<TestJob*> steps;
    for (int i = 0; i < 3; ++i) {
        steps.push_back(&addDrawnStep("lasting-" + std::to_string(i), free));
    }
    for (int worker = 0; worker < 4; ++worker) {
        if (free[static_cast<std::size_t>(worker)] > 0 && pick(2) == 0) {
            addRunning("ordinary-" + std::to_string(worker), worker,
                       free[static_cast<std::size_t>(worker)], Millis(pick(60'000)));
        }
    }
    addUrgent(1 + pick(3));
    const TaskPlan result = plan();
    for (const TestJob* const job : steps) {
        const std::uint32_t before = countUnavailable(*job, result, false);
        const std::uint32_t after = countUnavailable(*job, result, true);
        EXPECT_LE(after, std::max(before, job->m_record.m_spec.m_steps[0].m_maxUnavailable))
                << job->m_record.m_id;
    }
}

}  // namespace
}  // namespace pierbank
