// SPDX-License-Identifier: Apache-2.0
// A small region with random workers, jobs, run ends and lost workers, for property tests.
#ifndef PIERBANK_JOB_TEST_REGIONSIMULATION_H
#define PIERBANK_JOB_TEST_REGIONSIMULATION_H

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

inline int drawInt(int low, int highInclusive) {
    return *rc::gen::inRange(low, highInclusive + 1);
}

/** Simulates a small region with random events. Runs start and stop without delay. */
class RegionSimulation {
public:
    explicit RegionSimulation(int minWorkers = 2) {
        const int workers = drawInt(minWorkers, 6);
        const int perRack = drawInt(1, 3);
        for (int i = 0; i < workers; ++i) {
            WorkerSnapshot worker;
            worker.m_id = {"h" + std::to_string(i), "life"};
            worker.m_service = "s";
            worker.m_rack = "r" + std::to_string(i / perRack);
            worker.m_failureDomain = "d" + std::to_string(i / perRack / 2);
            worker.m_labels = {drawInt(0, 1) == 0 ? "a" : "b", worker.m_rack};
            worker.m_capacity = {8000, 8000, static_cast<std::uint32_t>(drawInt(2, 8))};
            worker.m_acceptsWork = true;
            m_workers.push_back(worker);
        }
    }

    struct TestJob {
        JobRecord m_record;
        JobRun m_run;
    };

    /** Gives the workers known speeds: a slow, a normal and a fast one by turns. */
    void makeUneven() {
        constexpr std::array<double, 3> SLOWNESS{1.6, 1.0, 0.62};
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            m_workers[i].m_slowness = SLOWNESS.at(i % SLOWNESS.size());
            m_workers[i].m_slownessSamples = 5;
        }
    }

    void applyRandomEvent() {
        if (m_changesCapacity && drawInt(0, 3) == 0) {
            drawWorker().m_capacity.m_accelerators = static_cast<std::uint32_t>(drawInt(0, 8));
        }
        switch (drawInt(0, 9)) {
            case 0:
            case 1:
            case 2:
            case 3:
                submit(static_cast<std::uint32_t>(drawInt(0, 2)), drawStep());
                break;
            case 4:
            case 5:
                endSomeRun(RunEnd::DONE);
                break;
            case 6:
                endSomeRun(RunEnd::FAILED);
                break;
            case 7: {
                WorkerSnapshot& worker = drawWorker();
                worker.m_acceptsWork = !worker.m_acceptsWork;
                break;
            }
            case 8:
                loseWorker();
                break;
            default:
                m_now += Millis(drawInt(1, 90) * 1000);
                break;
        }
        plan();
    }

    TestJob& submit(std::uint32_t priority, StepSpec step) {
        TestJob& entry = m_jobs.emplace_back();
        entry.m_record.m_id = "j" + std::to_string(++m_lastJobNumber);
        entry.m_record.m_organisation = "o" + std::to_string(drawInt(0, 2));
        entry.m_record.m_policy = {"q", "s", priority, 3, 3.0, Millis(1000), std::nullopt};
        entry.m_record.m_acceptedAt = m_now;
        entry.m_record.m_spec.m_steps = {std::move(step)};
        entry.m_run = makeJobRun(entry.m_record);
        return entry;
    }

    TaskPlan plan() {
        std::vector<PlannedJob> jobs;
        for (const TestJob& entry : m_jobs) {
            jobs.push_back({&entry.m_record, &entry.m_run, nullptr});
        }
        TaskPlannerSettings settings;
        settings.m_minStarvationWait = Millis(20'000);
        const TaskPlan plan = TaskPlanner(settings).plan(m_workers, jobs, {}, m_guarantees, m_now);
        if (m_comparesForecast) {
            settings.m_forecastsCompletion = false;
            checkSame(plan, TaskPlanner(settings).plan(m_workers, jobs, {}, m_guarantees, m_now));
        }
        checkStops(plan);
        recordLosses(plan);
        std::map<TaskKey, std::uint32_t> gangRuns;
        for (const Placement& placement : plan.m_placements) {
            TestJob& entry = find(placement.m_task.m_job);
            TaskKey gang = placement.m_task;
            gang.m_index = 0;
            const std::uint32_t next =
                    getNextRunNumber(entry.m_record, entry.m_run, placement.m_task);
            const bool isGang = entry.m_record.m_spec.m_steps[placement.m_task.m_step].m_isGang;
            const std::uint32_t run =
                    isGang ? gangRuns.try_emplace(gang, next).first->second : next;
            applyPlacement(entry.m_run, placement.m_task, run, placement.m_worker, m_now);
        }
        checkPlacements(plan);
        for (const Stop& stop : plan.m_stops) {
            TestJob& entry = find(stop.m_task.m_job);
            applyEnd(entry.m_record, entry.m_run, stop.m_task, stop.m_run, RunEnd::STOPPED, "c",
                     m_now);
        }
        finishStops();
        checkCapacity();
        checkGangs();
        return plan;
    }

    std::map<std::string, Resources> sumUsed() const {
        std::map<std::string, Resources> used;
        for (const TestJob& entry : m_jobs) {
            for (const ActiveRun& run : listActiveRuns(entry.m_record.m_id, entry.m_run)) {
                used[run.m_worker.m_host] +=
                        entry.m_record.m_spec.m_steps[run.m_task.m_step].getCapacityDemand();
            }
        }
        return used;
    }

    /** Checks that placements fit into their worker together with runs that are being stopped. */
    void checkPlacements(const TaskPlan& plan) {
        const std::map<std::string, Resources> used = sumUsed();
        for (const Placement& placement : plan.m_placements) {
            const std::string& host = placement.m_worker.m_host;
            RC_ASSERT(used.at(host).fitsInto(findWorker(host)->m_capacity));
        }
    }

    /** Checks the required labels of all active runs, and the capacity unless it may shrink. */
    void checkCapacity() {
        for (const TestJob& entry : m_jobs) {
            for (const ActiveRun& run : listActiveRuns(entry.m_record.m_id, entry.m_run)) {
                const StepSpec& spec = entry.m_record.m_spec.m_steps[run.m_task.m_step];
                const WorkerSnapshot& worker = *findWorker(run.m_worker.m_host);
                RC_ASSERT(spec.m_requiredLabel.empty() ||
                          worker.m_labels.count(spec.m_requiredLabel) != 0);
            }
        }
        std::map<std::string, Resources> used = sumUsed();
        for (const WorkerSnapshot& worker : m_workers) {
            RC_ASSERT(m_changesCapacity || used[worker.m_id.m_host].fitsInto(worker.m_capacity));
        }
    }

    /** Checks that all members of a gang are active within their topology domain, or none. */
    void checkGangs() {
        for (const TestJob& entry : m_jobs) {
            const StepSpec& spec = entry.m_record.m_spec.m_steps[0];
            const auto activeRuns = listActiveRuns(entry.m_record.m_id, entry.m_run);
            if (!spec.m_isGang || activeRuns.empty()) {
                continue;
            }
            RC_ASSERT(activeRuns.size() == spec.m_tasks);
            for (const ActiveRun& run : activeRuns) {
                RC_ASSERT(run.m_run == activeRuns.front().m_run);
                RC_ASSERT(spec.m_adjacency != Adjacency::RACK ||
                          findWorker(run.m_worker.m_host)->m_rack ==
                                  findWorker(activeRuns.front().m_worker.m_host)->m_rack);
            }
        }
    }

    /** Checks that two plans have the same placements and stops in the same order. */
    static void checkSame(const TaskPlan& a, const TaskPlan& b) {
        const auto isSamePlacement = [](const Placement& left, const Placement& right) {
            return left.m_task == right.m_task && left.m_worker == right.m_worker;
        };
        const auto isSameStop = [](const Stop& left, const Stop& right) {
            return left.m_task == right.m_task && left.m_run == right.m_run;
        };
        RC_ASSERT(std::ranges::equal(a.m_placements, b.m_placements, isSamePlacement));
        RC_ASSERT(std::ranges::equal(a.m_stops, b.m_stops, isSameStop));
    }

    /** Records the work that the victims of preemption lose. */
    void recordLosses(const TaskPlan& plan) {
        const std::string prefix = "gave way to job ";
        m_lostFor.clear();
        for (const Stop& stop : plan.m_stops) {
            const TestJob& entry = find(stop.m_task.m_job);
            const auto run = entry.m_run.findActiveRun(stop.m_task, stop.m_run);
            if (run.has_value() && stop.m_explanation.starts_with(prefix)) {
                const StepSpec& step = entry.m_record.m_spec.m_steps[0];
                const Millis lost = step.m_savesProgress ? Millis(0) : m_now - run->m_placedAt;
                m_lostFor[stop.m_explanation.substr(prefix.size())] +=
                        getCoreEquivalent(step.m_need) * static_cast<double>(lost.count()) / 1000;
            }
        }
    }

    /** Checks that stopped runs are active, and of priority 0 only if there are guarantees. */
    void checkStops(const TaskPlan& plan) {
        for (const Stop& stop : plan.m_stops) {
            const TestJob& entry = find(stop.m_task.m_job);
            const bool isLower = entry.m_record.m_policy.m_priority > 0;
            RC_ASSERT(isLower || !m_guarantees.empty());
            RC_ASSERT(entry.m_run.findActiveRun(stop.m_task, stop.m_run).has_value());
        }
    }

    bool isRunning(const TestJob& entry) const {
        return listActiveRuns(entry.m_record.m_id, entry.m_run).size() ==
               entry.m_record.m_spec.m_steps[0].m_tasks;
    }

    std::vector<WorkerSnapshot> m_workers;
    std::deque<TestJob> m_jobs;
    std::map<std::string, std::uint32_t> m_guarantees;
    Millis m_now{1'000'000};
    /** Whether each plan has to be the same as without the forecast of completion. */
    bool m_comparesForecast = false;
    /** Core-seconds of work that each job has cost others in the last plan, by its id. */
    std::map<std::string, double> m_lostFor;
    /** Whether the capacity of workers changes at random, also below the demand of their runs. */
    bool m_changesCapacity = false;

private:
    WorkerSnapshot& drawWorker() {
        const int last = static_cast<int>(m_workers.size()) - 1;
        return m_workers[static_cast<std::size_t>(drawInt(0, last))];
    }

    StepSpec drawStep() {
        StepSpec step;
        step.m_isGang = drawInt(0, 2) == 0;
        step.m_tasks = static_cast<std::uint32_t>(drawInt(1, 3));
        step.m_need = {static_cast<std::uint32_t>(drawInt(1, 4)) * 1000, 100,
                       static_cast<std::uint32_t>(drawInt(1, 4))};
        step.m_estimate = Millis(drawInt(1, 60) * 1000);
        step.m_adjacency = drawInt(0, 2) == 0 ? Adjacency::RACK : Adjacency::REGION;
        step.m_requiredLabel = drawInt(0, 4) == 0 ? "a" : "";
        step.m_maxPerWorker = static_cast<std::uint32_t>(drawInt(0, 3) == 0 ? 1 : 0);
        step.m_savesProgress = drawInt(0, 1) == 0;
        step.m_isFilling = drawInt(0, 7) == 0;
        return step;
    }

public:
    TestJob& find(const std::string& id) {
        for (TestJob& entry : m_jobs) {
            if (entry.m_record.m_id == id) {
                return entry;
            }
        }
        RC_FAIL("the plan names a job that does not exist");
        return m_jobs.front();
    }

private:
    const WorkerSnapshot* findWorker(const std::string& host) const {
        for (const WorkerSnapshot& worker : m_workers) {
            if (worker.m_id.m_host == host) {
                return &worker;
            }
        }
        return nullptr;
    }

    void endSomeRun(RunEnd end) {
        for (TestJob& entry : m_jobs) {
            const auto activeRuns = listActiveRuns(entry.m_record.m_id, entry.m_run);
            if (!activeRuns.empty() && drawInt(0, 2) == 0) {
                applyEnd(entry.m_record, entry.m_run, activeRuns.front().m_task,
                         activeRuns.front().m_run, end, "", m_now);
                finishStops();
                return;
            }
        }
    }

    void loseWorker() {
        const WorkerSnapshot& worker = drawWorker();
        for (TestJob& entry : m_jobs) {
            for (const ActiveRun& run : listActiveRuns(entry.m_record.m_id, entry.m_run)) {
                if (run.m_worker == worker.m_id) {
                    applyNotRunning(entry.m_record, entry.m_run, run.m_task, run.m_run, m_now);
                }
            }
        }
        finishStops();
    }

    void finishStops() {
        for (TestJob& entry : m_jobs) {
            for (const ActiveRun& run : listActiveRuns(entry.m_record.m_id, entry.m_run)) {
                if (run.m_isStopping) {
                    applyEnd(entry.m_record, entry.m_run, run.m_task, run.m_run, RunEnd::STOPPED,
                             "c", m_now);
                }
            }
        }
    }

    int m_lastJobNumber = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_TEST_REGIONSIMULATION_H
