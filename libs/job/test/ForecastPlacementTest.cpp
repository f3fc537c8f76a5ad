// SPDX-License-Identifier: Apache-2.0
// Urgent work on hosts whose speeds differ by 2.6 times. Half of a gang's declared time is spare,
// so that one member on a slow host makes it late.
#include <gtest/gtest.h>

#include <deque>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank {
namespace {

constexpr Millis NOW{1'000'000};
constexpr Millis ESTIMATE{2000};

/** Two fast hosts (h0, h1), four normal ones (h2 to h5) and two slow ones (h6, h7). */
class HostsOfThreeSpeedsTest : public ::testing::Test {
protected:
    struct TestJob {
        JobRecord m_record;
        JobRun m_run;
    };

    HostsOfThreeSpeedsTest() {
        for (const double slowness : {0.62, 0.62, 1.0, 1.0, 1.0, 1.0, 1.6, 1.6}) {
            WorkerSnapshot& worker = m_workers.emplace_back();
            worker.m_id = {"h" + std::to_string(m_workers.size() - 1), "life"};
            worker.m_service = "s";
            worker.m_capacity = {64'000, 64'000, 8};
            worker.m_acceptsWork = true;
            worker.m_slowness = slowness;
            worker.m_slownessSamples = 5;
        }
    }

    TestJob& addJob(std::uint32_t priority, std::uint32_t members, Millis waited = Millis(0)) {
        TestJob& job = m_jobs.emplace_back();
        job.m_record.m_id = "j" + std::to_string(m_jobs.size());
        job.m_record.m_organisation = priority == 0 ? "urgent" : "other";
        job.m_record.m_policy = {"q", "s", priority, 3, 1.5, Millis(0), std::nullopt};
        job.m_record.m_acceptedAt = NOW - waited;
        StepSpec& step = job.m_record.m_spec.m_steps.emplace_back();
        step.m_tasks = members;
        step.m_isGang = members > 1;
        step.m_need = {8000, 8000, 8};
        step.m_estimate = ESTIMATE;
        job.m_run = makeJobRun(job.m_record);
        return job;
    }

    /** Adds a job whose tasks have run for a time, each filling a host. */
    TestJob& fill(std::initializer_list<std::size_t> hosts, Millis ran = Millis(1000),
                  std::uint32_t priority = 2) {
        TestJob& job = addJob(priority, static_cast<std::uint32_t>(hosts.size()));
        auto& tasks = job.m_run.m_occurrences[0].m_steps[0].m_tasks;
        auto task = tasks.begin();
        for (const std::size_t host : hosts) {
            task->m_state = TaskState::PLACED;
            task->m_run = task->m_lastRun = 1;
            task->m_worker = m_workers[host].m_id;
            task->m_placedAt = NOW - ran;
            ++task;
        }
        return job;
    }

    void endIn(const TestJob& job, Millis remaining) {
        for (std::uint32_t i = 0; i < job.m_record.m_spec.m_steps[0].m_tasks; ++i) {
            m_remaining[{job.m_record.m_id, 0, 0, i}] = remaining;
        }
    }

    TaskPlan plan() const {
        std::vector<PlannedJob> jobs;
        for (const TestJob& job : m_jobs) {
            jobs.push_back({&job.m_record, &job.m_run});
        }
        return TaskPlanner(m_settings).plan(m_workers, jobs, m_remaining, m_guarantees, NOW);
    }

    std::set<std::string> listPlaces() const {
        std::set<std::string> places;
        for (const Placement& placement : plan().m_placements) {
            places.insert(placement.m_worker.m_host);
        }
        return places;
    }

    std::set<std::string> listVictims() const {
        std::set<std::string> victims;
        for (const Stop& stop : plan().m_stops) {
            victims.insert(stop.m_task.m_job);
        }
        return victims;
    }

    /** Checks that the urgent job waits for this cause, with this outlook, and nothing else. */
    void expectWait(UrgentWait::Cause cause, UrgentWait::Outlook outlook) const {
        const TaskPlan result = plan();
        EXPECT_TRUE(result.m_placements.empty());
        EXPECT_TRUE(result.m_stops.empty());
        ASSERT_EQ(result.m_urgentWaits.size(), 1U);
        EXPECT_EQ(toText(result.m_urgentWaits[0].m_cause), toText(cause));
        EXPECT_EQ(toText(result.m_urgentWaits[0].m_outlook), toText(outlook));
    }

    TaskPlannerSettings m_settings;
    std::vector<WorkerSnapshot> m_workers;
    std::deque<TestJob> m_jobs;
    std::map<TaskKey, Millis> m_remaining;
    std::map<std::string, std::uint32_t> m_guarantees;
};

using Cause = UrgentWait::Cause;
using Outlook = UrgentWait::Outlook;

// A gang that was placed on slow hosts as soon as these were free came late although normal ones
// became free a few hundred milliseconds later.
class WithOnlySlowHostsFreeTest : public HostsOfThreeSpeedsTest {
protected:
    WithOnlySlowHostsFreeTest() {
        fill({0}, Millis(9000));
        fill({1}, Millis(9000));
        fill({4}, Millis(9000));
        fill({5}, Millis(9000));
        m_normal.push_back(&fill({2}));
        m_normal.push_back(&fill({3}));
    }

    void endNormalIn(Millis remaining) {
        for (const TestJob* job : m_normal) {
            endIn(*job, remaining);
        }
    }

    static inline const std::set<std::string> SLOW{"h6", "h7"};
    std::vector<TestJob*> m_normal;
};

TEST_F(WithOnlySlowHostsFreeTest, AGangWaitsForRunsThatEndSoonOnFasterHosts) {
    endNormalIn(Millis(400));
    addJob(0, 2);
    expectWait(Cause::ENDS, Outlook::IN_TIME);
}

TEST_F(WithOnlySlowHostsFreeTest, AGangWaitsForStopsOnFasterHosts) {
    for (TestJob* job : m_normal) {
        job->m_run.m_occurrences[0].m_steps[0].m_tasks[0].m_state = TaskState::STOPPING;
    }
    addJob(0, 2);
    expectWait(Cause::STOPS, Outlook::IN_TIME);
}

TEST_F(WithOnlySlowHostsFreeTest, TheReasonOfTheWaitIsExplained) {
    endNormalIn(Millis(400));
    const std::string id = addJob(0, 2).m_record.m_id;
    for (const PlanExplanation& explanation : plan().m_explanations) {
        if (explanation.m_job == id) {
            EXPECT_NE(explanation.m_text.find("fast enough for its objective"), std::string::npos);
            return;
        }
    }
    FAIL() << "no explanation";
}

TEST_F(WithOnlySlowHostsFreeTest, NothingGivesWayForSpeed) {
    addJob(0, 2);
    EXPECT_EQ(listPlaces(), SLOW);
    EXPECT_TRUE(plan().m_stops.empty());
}

TEST_F(WithOnlySlowHostsFreeTest, AGangThatIsInTimeThereStartsAtOnce) {
    endNormalIn(Millis(400));
    addJob(0, 2).m_record.m_policy.m_stretch = 3.0;
    EXPECT_EQ(listPlaces(), SLOW);
}

TEST_F(WithOnlySlowHostsFreeTest, AGangThatIsLateInAnyCaseTakesThem) {
    endNormalIn(Millis(100));
    addJob(0, 2, Millis(2500));
    EXPECT_EQ(listPlaces(), SLOW);
}

TEST_F(WithOnlySlowHostsFreeTest, WorkOfLowerPriorityTakesThem) {
    endNormalIn(Millis(100));
    addJob(1, 2);
    EXPECT_EQ(listPlaces(), SLOW);
}

TEST_F(WithOnlySlowHostsFreeTest, AGuaranteedGangThatHasWaitedLongEnoughStartsAtOnce) {
    m_guarantees["urgent"] = 16;
    endNormalIn(Millis(100));
    addJob(0, 2, Millis(701));
    EXPECT_EQ(listPlaces(), SLOW);
}

// A guaranteed unit has to start within a bound, however promising the wait is.
class WithStopsOnFastHostsTest : public WithOnlySlowHostsFreeTest {
protected:
    WithStopsOnFastHostsTest() {
        for (std::size_t host = 0; host < 2; ++host) {
            m_jobs[host].m_run.m_occurrences[0].m_steps[0].m_tasks[0].m_state = TaskState::STOPPING;
        }
        addJob(0, 2, Millis(701));
    }
};

TEST_F(WithStopsOnFastHostsTest, AGangBeyondItsGuaranteeWaitsForThem) {
    expectWait(Cause::STOPS, Outlook::IN_TIME);
}

TEST_F(WithStopsOnFastHostsTest, AGuaranteedGangThatHasWaitedLongEnoughDoesNot) {
    m_guarantees["urgent"] = 16;
    EXPECT_EQ(listPlaces(), SLOW);
}

// A gang was taken to be late because of a longer step of its job that runs beside it, and started
// on slow hosts although it would have been in time on others a moment later.
TEST_F(WithStopsOnFastHostsTest, OnlyTheStepsThatFollowTheGangTakeFromItsTime) {
    TestJob& job = m_jobs.back();
    std::vector<StepSpec>& steps = job.m_record.m_spec.m_steps;
    StepSpec& longer = steps.emplace_back();
    longer.m_need = {1000, 1000, 0};
    longer.m_estimate = Millis(10'000);
    StepSpec& following = steps.emplace_back();
    following.m_after = {0};
    following.m_estimate = Millis(500);
    // The objective is 15 s after the acceptance; 2.6 s are left for the gang.
    job.m_record.m_acceptedAt = NOW - Millis(11'900);
    job.m_run = makeJobRun(job.m_record);
    TaskRun& running = job.m_run.m_occurrences[0].m_steps[1].m_tasks[0];
    running.m_state = TaskState::PLACED;
    running.m_run = running.m_lastRun = 1;
    running.m_worker = m_workers[0].m_id;
    running.m_placedAt = NOW - Millis(9000);
    expectWait(Cause::STOPS, Outlook::IN_TIME);
}

TEST_F(WithOnlySlowHostsFreeTest, WithoutTheSwitchAGangStartsAtOnce) {
    m_settings.m_forecastsCompletion = false;
    endNormalIn(Millis(400));
    addJob(0, 2);
    EXPECT_EQ(listPlaces(), SLOW);
}

TEST_F(WithOnlySlowHostsFreeTest, WithoutKnownSpeedsAGangStartsAtOnce) {
    for (WorkerSnapshot& worker : m_workers) {
        worker.m_slownessSamples = 0;
    }
    endNormalIn(Millis(400));
    addJob(0, 2);
    EXPECT_EQ(listPlaces(), SLOW);
}

// Declared times are wrong by half.
class WithLearnedRunTimesTest : public WithOnlySlowHostsFreeTest {
protected:
    /** Forecasts a multiple of the declared run time. */
    class Learned final : public RunForecast {
    public:
        Learned(const std::map<TaskKey, Millis>& remaining, double ratio)
                : m_remaining(remaining), m_ratio(ratio) {}

        std::optional<Millis> getRemaining(std::string_view, const TaskRef& task) const override {
            const auto found = m_remaining.find({std::string(task.m_job), 0, 0, task.m_index});
            return found == m_remaining.end() ? std::nullopt : std::optional(found->second);
        }

        RunTimeEstimate getRunTime(const JobRecord&, const StepSpec& step) const override {
            const auto time = static_cast<double>(step.m_estimate.count()) * m_ratio;
            return {Millis(static_cast<std::int64_t>(time)),
                    Millis(static_cast<std::int64_t>(time * 1.2))};
        }

    private:
        const std::map<TaskKey, Millis>& m_remaining;
        double m_ratio;
    };

    std::size_t countPlacements(double ratio) {
        endNormalIn(Millis(400));
        addJob(0, 2);
        std::vector<PlannedJob> jobs;
        for (const TestJob& job : m_jobs) {
            jobs.push_back({&job.m_record, &job.m_run});
        }
        const Learned forecast(m_remaining, ratio);
        return TaskPlanner(m_settings)
                .plan({m_workers, jobs, forecast, m_guarantees, NOW})
                .m_placements.size();
    }
};

TEST_F(WithLearnedRunTimesTest, AGangThatRunsHalfAsLongIsInTimeAnywhereAndStarts) {
    EXPECT_EQ(countPlacements(0.5), 2U);
}

TEST_F(WithLearnedRunTimesTest, AGangThatRunsAsDeclaredWaits) {
    EXPECT_EQ(countPlacements(1.0), 0U);
}

TEST_F(WithLearnedRunTimesTest, AGangThatRunsMuchLongerIsLateAndStarts) {
    EXPECT_EQ(countPlacements(2.6), 2U);
}

// A host that nobody has rated may be a slow one.
class WithUnratedHostsTest : public HostsOfThreeSpeedsTest {
protected:
    WithUnratedHostsTest() {
        m_workers[2].m_slownessSamples = 0;
        m_workers[3].m_slownessSamples = 0;
        fill({0});
        fill({1});
    }
};

TEST_F(WithUnratedHostsTest, AGangKeepsOffThemWhileRatedHostsAreFree) {
    addJob(0, 2);
    EXPECT_EQ(listPlaces(), (std::set<std::string>{"h4", "h5"}));
}

TEST_F(WithUnratedHostsTest, AGangPrefersThemToSlowHosts) {
    fill({4});
    fill({5});
    addJob(0, 2);
    EXPECT_EQ(listPlaces(), (std::set<std::string>{"h2", "h3"}));
}

// Runs gave way for urgent work that was late all the same.
class WithAllHostsBusyTest : public HostsOfThreeSpeedsTest {
protected:
    /** Urgent work on the fast and slow hosts, which nothing preempts. */
    WithAllHostsBusyTest() {
        fill({0, 1}, Millis(1000), 0);
        fill({6, 7}, Millis(1000), 0);
    }
};

TEST_F(WithAllHostsBusyTest, AGangThatIsInTimePreempts) {
    fill({2, 3, 4, 5}, Millis(300));
    addJob(0, 2);
    const TaskPlan result = plan();
    EXPECT_EQ(result.m_stops.size(), 4U);
    ASSERT_EQ(result.m_urgentWaits.size(), 1U);
    EXPECT_EQ(result.m_urgentWaits[0].m_outlook, Outlook::IN_TIME);
}

TEST_F(WithAllHostsBusyTest, AGangThatIsLateInAnyCaseWaitsForEnds) {
    endIn(fill({2, 3}, Millis(300)), Millis(1500));
    fill({4, 5}, Millis(300));
    addJob(0, 2, Millis(2500));
    expectWait(Cause::ENDS, Outlook::LATE);
}

TEST_F(WithAllHostsBusyTest, AGangThatWouldBeLateAfterTheStopsWaitsForEnds) {
    endIn(fill({2, 3}, Millis(300)), Millis(1500));
    fill({4, 5}, Millis(300));
    addJob(0, 2, Millis(1000));
    expectWait(Cause::ENDS, Outlook::UNKNOWN);
}

TEST_F(WithAllHostsBusyTest, AGuaranteedGangPreemptsThoughItIsLateInAnyCase) {
    m_guarantees["urgent"] = 48;
    endIn(fill({2, 3}, Millis(300)), Millis(1500));
    fill({4, 5}, Millis(300));
    addJob(0, 2, Millis(2500));
    EXPECT_EQ(plan().m_stops.size(), 2U);
}

TEST_F(WithAllHostsBusyTest, ALateGangPreemptsIfNothingEndsForIt) {
    fill({2, 3, 4, 5}, Millis(300));
    addJob(0, 2, Millis(2500));
    EXPECT_EQ(plan().m_stops.size(), 4U);
}

// Member by member, two tasks of 0.7 s were cheaper than the gang of 0.6 s, together dearer.
TEST_F(WithAllHostsBusyTest, OneGangGivesWayInsteadOfTasksThatLoseMoreTogether) {
    const std::string gang = fill({2, 3}, Millis(600)).m_record.m_id;
    fill({4}, Millis(700));
    fill({5}, Millis(700));
    addJob(0, 2);
    EXPECT_EQ(listVictims(), std::set<std::string>{gang});
}

TEST_F(WithAllHostsBusyTest, ARunThatGaveWayBeforeIsSpared) {
    TestJob& unlucky = fill({2}, Millis(500));
    unlucky.m_run.m_occurrences[0].m_steps[0].m_tasks[0].m_lastRun = 4;
    const std::string other = fill({3}, Millis(700)).m_record.m_id;
    fill({4}, Millis(9000));
    fill({5}, Millis(9000));
    addJob(0, 1);
    EXPECT_EQ(listVictims(), std::set<std::string>{other});
}

// For one member the small run sufficed, for both the large one alone.
TEST_F(WithAllHostsBusyTest, ARunThatFreesTooLittleIsSparedWhenALargerOneGivesWay) {
    fill({3, 4, 5}, Millis(1000), 0);
    fill({2}, Millis(100)).m_record.m_spec.m_steps[0].m_need.m_accelerators = 1;
    TestJob& large = fill({2}, Millis(300));
    large.m_record.m_spec.m_steps[0].m_need.m_accelerators = 7;
    addJob(0, 2).m_record.m_spec.m_steps[0].m_need.m_accelerators = 1;
    EXPECT_EQ(listVictims(), std::set<std::string>{large.m_record.m_id});
}

// A gang on two hosts was chosen for the second member, after a task on one of these hosts had been
// chosen for the first.
TEST_F(WithAllHostsBusyTest, NothingGivesWayThatTheWholeSetDoesNotNeed) {
    m_workers[2].m_capacity = m_workers[3].m_capacity = {64'000, 64'000, 16};
    const std::string gang = fill({2, 3}, Millis(800)).m_record.m_id;
    fill({2}, Millis(700));
    fill({3}, Millis(2000));
    fill({4}, Millis(9000));
    fill({5}, Millis(9000));
    addJob(0, 2);
    EXPECT_EQ(listVictims(), std::set<std::string>{gang});
}

// The first urgent job waits for the end of one member of a gang, the second preempts the other
// member, which stops both. The capacity of the first member then counted twice: a third job was
// left waiting for it and preempted nothing.
TEST_F(HostsOfThreeSpeedsTest, CapacityOfAnAwaitedRunIsAllocatedOnceThoughItsGangIsStopped) {
    m_settings.m_forecastsCompletion = false;
    m_guarantees["urgent"] = 24;
    fill({0}, Millis(9000));
    fill({1}, Millis(9000));
    for (std::size_t host = 4; host < m_workers.size(); ++host) {
        fill({host}, Millis(9000));
    }
    const std::string gang = fill({2, 3}, Millis(300)).m_record.m_id;
    m_remaining[{gang, 0, 0, 0}] = Millis(400);
    addJob(0, 1);
    addJob(0, 1, Millis(701)).m_record.m_policy.m_stretch = 3.0;
    addJob(0, 1, Millis(701)).m_record.m_policy.m_stretch = 4.0;
    const TaskPlan result = plan();
    EXPECT_EQ(result.m_urgentWaits.size(), 3U);
    EXPECT_EQ(result.m_stops.size(), 3U) << "both members of the gang, and a run for the third job";
}

}  // namespace
}  // namespace pierbank
