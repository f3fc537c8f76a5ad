// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/TaskPlanner.h"

#include <gtest/gtest.h>

#include "TaskPlannerFixture.h"

namespace pierbank {
namespace {

class TaskPlannerTest : public TaskPlannerFixture {};

TEST_F(TaskPlannerTest, PlacesSmallUnitsOnWorkersWithLeastFreeCapacity) {
    addRunning("a", 2, 5, Millis(100));
    addJob("b", 1, makeStep(1, 2));
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_placements.size(), 1U);
    EXPECT_EQ(result.m_placements[0].m_worker.m_host, "h2");
}

TEST_F(TaskPlannerTest, GangWithRackAdjacencyGetsOneRackOrWaits) {
    StepSpec gang = makeStep(2, 8);
    gang.m_isGang = true;
    gang.m_adjacency = Adjacency::RACK;
    addRunning("a", 0, 1, Millis(100));
    addJob("b", 1, gang);
    const TaskPlan placed = plan();
    ASSERT_EQ(placed.m_placements.size(), 2U);
    EXPECT_EQ(placed.m_placements[0].m_worker.m_host, "h2");
    EXPECT_EQ(placed.m_placements[1].m_worker.m_host, "h3");
    addRunning("c", 2, 1, Millis(100));
    EXPECT_TRUE(plan().m_placements.empty());
}

TEST_F(TaskPlannerTest, RespectsRequiredLabelsAndMaxPerWorker) {
    StepSpec step = makeStep(3, 1);
    step.m_requiredLabel = "r1";
    step.m_maxPerWorker = 1;
    addJob("a", 1, step);
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_placements.size(), 2U);
    EXPECT_EQ(result.m_placements[0].m_worker.m_host, "h2");
    EXPECT_EQ(result.m_placements[1].m_worker.m_host, "h3");
}

TEST_F(TaskPlannerTest, GuaranteedWorkPreemptsRunsWithLeastLostWork) {
    m_guarantees["o"] = 8;
    addRunning("a", 0, 8, Millis(9000));
    addRunning("b", 1, 8, Millis(5000));
    addRunning("c", 2, 8, Millis(9000), true);
    addRunning("d", 3, 8, Millis(6000));
    addJob("e", 0, makeStep(1, 8));
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_stops.size(), 1U);
    EXPECT_EQ(result.m_stops[0].m_task.m_job, "c");
}

/**
 * Guards against two urgent jobs that undo each other: the guaranteed one preempts the other, which
 * is then placed first on the capacity that was freed, because the guaranteed one is too late.
 */
TEST_F(TaskPlannerTest, GuaranteedWorkIsPlacedFirstHoweverLateItIs) {
    m_guarantees["o"] = 32;
    const Millis longAgo = NOW - Millis(600'000);
    addJob("late", 0, makeStep(4, 8), longAgo);
    TestJob& borrower = addJob("borrower", 0, makeStep(4, 8));
    borrower.m_record.m_organisation = "without a guarantee";
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_placements.size(), 4U);
    for (const Placement& placement : result.m_placements) {
        EXPECT_EQ(placement.m_task.m_job, "late");
    }
}

TEST_F(TaskPlannerTest, UrgentWorkBeyondGuaranteePreemptsOnlyIfJustified) {
    for (int i = 0; i < 4; ++i) {
        addRunning("a" + std::to_string(i), i, 8, Millis(9000));
    }
    addJob("e", 0, makeStep(1, 8));
    EXPECT_TRUE(plan().m_stops.empty());
    m_guarantees["o"] = 8;
    EXPECT_EQ(plan().m_stops.size(), 1U);
}

TEST_F(TaskPlannerTest, ReportsCausesOfUrgentWaits) {
    for (int i = 0; i < 4; ++i) {
        addRunning("a" + std::to_string(i), i, 8, Millis(9000));
    }
    addJob("e", 0, makeStep(2, 8));
    const auto getWaits = [this] {
        std::vector<std::pair<std::string, std::string>> waits;
        for (const UrgentWait& wait : plan().m_urgentWaits) {
            waits.emplace_back(wait.m_job, toText(wait.m_cause));
        }
        return waits;
    };
    using Waits = std::vector<std::pair<std::string, std::string>>;
    EXPECT_EQ(getWaits(), (Waits{{"e", "room"}}))
            << "the victims are worth more than the urgent work";
    m_guarantees["o"] = 16;
    EXPECT_EQ(getWaits(), (Waits{{"e", "stops"}}));
    m_remaining[{"a2", 0, 0, 0}] = Millis(200);
    EXPECT_EQ(getWaits(), (Waits{{"e", "ends"}}));
    addJob("f", 0, makeStep(1, 16));
    EXPECT_EQ(getWaits(), (Waits{{"e", "ends"}, {"f", "workers"}}));
}

TEST_F(TaskPlannerTest, UrgentWorkWaitsForRunsThatAreAboutToEnd) {
    m_guarantees["o"] = 8;
    for (int i = 0; i < 4; ++i) {
        addRunning("a" + std::to_string(i), i, 8, Millis(900));
    }
    m_remaining[{"a2", 0, 0, 0}] = Millis(200);
    addJob("e", 0, makeStep(1, 8));
    EXPECT_TRUE(plan().m_stops.empty());
}

TEST_F(TaskPlannerTest, PlacesWorkThatCanMeetItsObjectiveFirst) {
    m_workers.resize(1);
    addJob("late", 1, makeStep(1, 8), NOW - Millis(4000));
    addJob("on-time", 1, makeStep(1, 8), NOW - Millis(1000));
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_placements.size(), 1U);
    EXPECT_EQ(result.m_placements[0].m_task.m_job, "on-time");
}

TEST_F(TaskPlannerTest, UrgentWorkPrefersFastWorkersAndOtherWorkSlowOnes) {
    m_workers[0].m_slowness = 1.25;
    m_workers[2].m_slowness = 0.8;
    addJob("u", 0, makeStep(1, 4));
    addJob("o", 1, makeStep(1, 8));
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_placements.size(), 2U);
    EXPECT_EQ(result.m_placements[0].m_task.m_job, "u");
    EXPECT_EQ(result.m_placements[0].m_worker.m_host, "h2");
    EXPECT_EQ(result.m_placements[1].m_worker.m_host, "h0");
}

TEST_F(TaskPlannerTest, ExcludedHostsOfOneUnitDoNotAffectOtherUnits) {
    for (int i = 0; i < 3; ++i) {
        addRunning("r" + std::to_string(i), i, 8, Millis(100));
    }
    // Only h3 has free capacity, but the first job failed there. The job avoids the host while
    // other workers could run it.
    TestJob& failed = addJob("a", 1, makeStep(1, 8), NOW - Millis(10));
    failed.m_run.m_occurrences[0].m_steps[0].m_tasks[0].m_failedHosts.add("h3");
    addJob("b", 1, makeStep(1, 8));
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_placements.size(), 1U);
    EXPECT_EQ(result.m_placements[0].m_task.m_job, "b");
    EXPECT_EQ(result.m_placements[0].m_worker.m_host, "h3");
}

TEST_F(TaskPlannerTest, FailedGangPlacementDoesNotAffectSmallerGangs) {
    addRunning("r", 0, 8, Millis(100));
    StepSpec wide = makeStep(4, 8);
    wide.m_isGang = true;
    StepSpec narrow = makeStep(3, 8);
    narrow.m_isGang = true;
    addJob("a", 1, wide, NOW - Millis(10));
    addJob("b", 1, wide, NOW - Millis(5));
    addJob("c", 1, narrow);
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_placements.size(), 3U);
    EXPECT_EQ(result.m_placements[0].m_task.m_job, "c");
    EXPECT_EQ(result.m_waitingUnits, 2U);
}

TEST_F(TaskPlannerTest, ReportsImpossibleGangAfterSmallerWaitingGang) {
    addRunning("r", 0, 8, Millis(100));
    StepSpec wide = makeStep(4, 8);
    wide.m_isGang = true;
    StepSpec tooWide = makeStep(5, 8);
    tooWide.m_isGang = true;
    addJob("a", 1, wide, NOW - Millis(10));
    addJob("b", 1, tooWide);
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_explanations.size(), 2U);
    EXPECT_EQ(result.m_explanations[0].m_kind, PlanExplanation::Kind::WAITS);
    EXPECT_EQ(result.m_explanations[1].m_kind, PlanExplanation::Kind::CANNOT_RUN);
}

/** Guards against placing a task on the next worker of a rolling restart, again and again. */
TEST_F(TaskPlannerTest, SpreadsTasksWithRepeatedCrashesOverOtherWorkers) {
    constexpr int TASKS = 24;
    std::map<std::string, int> chosen;
    for (int i = 0; i < TASKS; ++i) {
        m_jobs.clear();
        TestJob& entry = addJob("job" + std::to_string(i), 1, makeStep(1, 1));
        TaskRun& task = entry.m_run.m_occurrences[0].m_steps[0].m_tasks[0];
        task.m_lastRun = 2;
        task.m_losses.record({m_workers[0].m_id, 1, LossCategory::BYSTANDER, Millis(500)});
        task.m_losses.record({{"h9", "life"}, 2, LossCategory::BYSTANDER, Millis(700)});
        const TaskPlan result = plan();
        ASSERT_EQ(result.m_placements.size(), 1U);
        ++chosen[result.m_placements[0].m_worker.m_host];
    }
    EXPECT_EQ(chosen.count("h0"), 0U);
    EXPECT_EQ(chosen.size(), 3U);
}

TEST_F(TaskPlannerTest, PlanDoesNotDependOnExplanations) {
    addRunning("r", 0, 8, Millis(100));
    addJob("a", 0, makeStep(3, 8));
    addJob("b", 1, makeStep(2, 8));
    std::vector<PlannedJob> jobs;
    for (const TestJob& entry : m_jobs) {
        jobs.push_back({&entry.m_record, &entry.m_run});
    }
    class NoForecast final : public RunForecast {
    public:
        std::optional<Millis> getRemaining(std::string_view, const TaskRef&) const override {
            return std::nullopt;
        }
    };
    const NoForecast forecast;
    const TaskPlan plain =
            TaskPlanner(m_settings).plan({m_workers, jobs, forecast, m_guarantees, NOW, false});
    const TaskPlan explained = plan();
    EXPECT_TRUE(plain.m_explanations.empty());
    EXPECT_FALSE(explained.m_explanations.empty());
    ASSERT_EQ(plain.m_placements.size(), explained.m_placements.size());
    for (std::size_t i = 0; i < plain.m_placements.size(); ++i) {
        EXPECT_EQ(plain.m_placements[i].m_task, explained.m_placements[i].m_task);
        EXPECT_EQ(plain.m_placements[i].m_worker, explained.m_placements[i].m_worker);
    }
}

TEST_F(TaskPlannerTest, PrefersVictimsOnFastWorkers) {
    m_guarantees["o"] = 8;
    for (int i = 0; i < 4; ++i) {
        addRunning("r" + std::to_string(i), i, 8, Millis(1000));
    }
    m_workers[0].m_slowness = 1.25;
    m_workers[1].m_slowness = 1.25;
    m_workers[3].m_slowness = 0.8;
    addJob("u", 0, makeStep(1, 8), NOW - Millis(2000));
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_stops.size(), 1U);
    EXPECT_EQ(result.m_stops[0].m_task.m_job, "r3");
}

TEST_F(TaskPlannerTest, HeadroomPrefersFastWorkers) {
    m_settings.m_urgentHeadroom["s"] = 8;
    m_workers[2].m_slowness = 0.8;
    addJob("a", 1, makeStep(4, 8));
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_placements.size(), 3U);
    for (const Placement& placement : result.m_placements) {
        EXPECT_NE(placement.m_worker.m_host, "h2");
    }
}

}  // namespace
}  // namespace pierbank
