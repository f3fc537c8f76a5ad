// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/TaskPlanner.h"

#include <gtest/gtest.h>

#include <deque>

namespace pierbank {
namespace {

constexpr Millis NOW{1'000'000};

/** Plans jobs on four workers with 8 accelerators each, in two racks of two workers. */
class TaskPlannerTest : public ::testing::Test {
protected:
    struct TestJob {
        JobRecord m_record;
        JobRun m_run;
        LastingTasks m_lasting;
    };

    TaskPlannerTest() {
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

class PlannerHeadroomTest : public TaskPlannerTest {
protected:
    void SetUp() override {
        m_settings.m_urgentHeadroom["s"] = 8;
        addRunning("old", 0, 4, Millis(100));
    }
    std::set<std::string> listHostsOfNewJob(std::uint32_t priority) {
        addJob("new", priority, makeStep(32, 1));
        std::set<std::string> hosts;
        for (const Placement& placement : plan().m_placements) {
            hosts.insert(placement.m_worker.m_host);
        }
        return hosts;
    }
};

TEST_F(PlannerHeadroomTest, ConsistsOfWorkersWithLeastOtherWorkAndExcludesOtherWork) {
    EXPECT_EQ(listHostsOfNewJob(2), (std::set<std::string>{"h0", "h2", "h3"}));
}

TEST_F(PlannerHeadroomTest, AcceptsUrgentWork) {
    EXPECT_EQ(listHostsOfNewJob(0), (std::set<std::string>{"h0", "h1", "h2", "h3"}));
}

TEST_F(PlannerHeadroomTest, AcceptsFirstRunOfWaitingJobWhileUnderutilized) {
    // These runs use all accelerators of their workers, but few processors.
    addRunning("busy2", 2, 8, Millis(100));
    addRunning("busy3", 3, 8, Millis(100));
    addJob("late", 2, makeStep(2, 4), NOW - Millis(2000));
    addJob("later", 2, makeStep(2, 4), NOW - Millis(1900));
    std::map<std::string, std::set<std::string>> hosts;
    for (const Placement& placement : plan().m_placements) {
        hosts[placement.m_task.m_job].insert(placement.m_worker.m_host);
    }
    EXPECT_EQ(hosts["late"], std::set<std::string>{"h0"});
    EXPECT_EQ(hosts["later"], std::set<std::string>{"h1"});
}

/**
 * Guards against a lasting task that stays away beside an empty worker: the worker is kept for
 * urgent work, and the bound on idle time asked only whether the whole job is idle.
 */
TEST_F(PlannerHeadroomTest, AcceptsALastingTaskThatHasBeenAwayForLong) {
    StepSpec step = makeStep(2, 4);
    step.m_isLongRunning = true;
    step.m_maxUnavailable = 1;
    step.m_requiredLabel = "wanted";
    TestJob& job = addJob("lasting", 2, step, NOW - Millis(30'000));
    m_workers[0].m_labels.insert("wanted");
    m_workers[1].m_labels.insert("wanted");
    applyPlacement(job.m_run, {"lasting", 0, 0, 0}, 1, m_workers[0].m_id, NOW - Millis(25'000));
    job.m_lasting.update(job.m_record, job.m_run, NOW - Millis(5900));
    EXPECT_TRUE(plan().m_placements.empty());
    job.m_lasting = LastingTasks();
    job.m_lasting.update(job.m_record, job.m_run, NOW - Millis(6000));
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_placements.size(), 1U);
    EXPECT_EQ(result.m_placements[0].m_worker.m_host, "h1");
}

TEST_F(PlannerHeadroomTest, IsUsedLastByOtherWork) {
    EXPECT_EQ(listHostsOfNewJob(2).count("h1"), 0U);
    m_jobs.back().m_record.m_acceptedAt = NOW - Millis(2000);
    for (const Placement& placement : plan().m_placements) {
        EXPECT_NE(placement.m_worker.m_host, "h1");
    }
}

TEST_F(PlannerHeadroomTest, ExcludesWaitingJobsWhileWellUtilized) {
    for (int worker = 2; worker < 4; ++worker) {
        addRunning("busy" + std::to_string(worker), worker, 8, Millis(100));
        m_jobs.back().m_record.m_spec.m_steps[0].m_need = {64'000, 64'000, 8};
    }
    m_jobs.front().m_record.m_spec.m_steps[0].m_need = {64'000, 64'000, 8};
    addJob("late", 2, makeStep(1, 8), NOW - Millis(2000));
    EXPECT_TRUE(plan().m_placements.empty());
}

TEST_F(PlannerHeadroomTest, IsLimitedToMaxHeadroomShare) {
    m_settings.m_urgentHeadroom["s"] = 1000;
    EXPECT_EQ(listHostsOfNewJob(2).size(), 3U);
}

TEST_F(PlannerHeadroomTest, IsEmptyWhenBelowOneWholeWorker) {
    m_settings.m_urgentHeadroom["s"] = 7;
    EXPECT_EQ(listHostsOfNewJob(2).size(), 4U);
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

/** A lasting step with a task on each of two workers; the second one gives way to urgent work. */
class PlannerLastingStepTest : public TaskPlannerTest {
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

}  // namespace
}  // namespace pierbank
