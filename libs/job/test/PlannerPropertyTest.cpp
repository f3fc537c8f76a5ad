// SPDX-License-Identifier: Apache-2.0
// Properties of the planner over random workers, guarantees, jobs, ends and lost workers.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank {
namespace {

int pick(int low, int highInclusive) {
    return *rc::gen::inRange(low, highInclusive + 1);
}

/** A small region that random events happen to. Runs are started at once and stop at once. */
class Story {
public:
    Story() {
        const int workers = pick(2, 6);
        const int perRack = pick(1, 3);
        for (int i = 0; i < workers; ++i) {
            WorkerSnapshot worker;
            worker.m_id = {"h" + std::to_string(i), "life"};
            worker.m_service = "s";
            worker.m_rack = "r" + std::to_string(i / perRack);
            worker.m_failureDomain = "d" + std::to_string(i / perRack / 2);
            worker.m_labels = {pick(0, 1) == 0 ? "a" : "b", worker.m_rack};
            worker.m_capacity = {8000, 8000, static_cast<std::uint32_t>(pick(2, 8))};
            worker.m_acceptsWork = true;
            m_workers.push_back(worker);
        }
    }

    struct Entry {
        JobRecord m_record;
        JobRun m_run;
    };

    void step() {
        if (m_shrinks && pick(0, 3) == 0) {
            drawWorker().m_capacity.m_accelerators = static_cast<std::uint32_t>(pick(0, 8));
        }
        switch (pick(0, 9)) {
            case 0:
            case 1:
            case 2:
            case 3:
                submit(static_cast<std::uint32_t>(pick(0, 2)), drawStep());
                break;
            case 4:
            case 5:
                endOne(RunEnd::DONE);
                break;
            case 6:
                endOne(RunEnd::FAILED);
                break;
            case 7: {
                WorkerSnapshot& worker = drawWorker();
                worker.m_acceptsWork = !worker.m_acceptsWork;
                break;
            }
            case 8:
                loseOne();
                break;
            default:
                m_now += Millis(pick(1, 90) * 1000);
                break;
        }
        plan();
    }

    Entry& submit(std::uint32_t priority, StepSpec step) {
        Entry& entry = m_jobs.emplace_back();
        entry.m_record.m_id = "j" + std::to_string(++m_counter);
        entry.m_record.m_organisation = "o" + std::to_string(pick(0, 2));
        entry.m_record.m_policy = {"q", "s", priority, 3, 3.0, Millis(1000), std::nullopt};
        entry.m_record.m_acceptedAt = m_now;
        entry.m_record.m_spec.m_steps = {std::move(step)};
        entry.m_run = makeJobRun(entry.m_record);
        return entry;
    }

    TaskPlan plan() {
        std::vector<PlannedJob> jobs;
        for (const Entry& entry : m_jobs) {
            jobs.push_back({&entry.m_record, &entry.m_run, nullptr});
        }
        TaskPlannerSettings settings;
        settings.m_minStarvationWait = Millis(20'000);
        const TaskPlan plan = TaskPlanner(settings).plan(m_workers, jobs, {}, m_guarantees, m_now);
        checkStops(plan);
        std::map<TaskKey, std::uint32_t> gangRuns;
        for (const Placement& placement : plan.m_placements) {
            Entry& entry = find(placement.m_task.m_job);
            TaskKey gang = placement.m_task;
            gang.m_index = 0;
            const std::uint32_t next = getNextRun(entry.m_record, entry.m_run, placement.m_task);
            const bool isGang = entry.m_record.m_spec.m_steps[placement.m_task.m_step].m_isGang;
            const std::uint32_t run =
                    isGang ? gangRuns.try_emplace(gang, next).first->second : next;
            applyPlacement(entry.m_run, placement.m_task, run, placement.m_worker, m_now);
        }
        checkPlacements(plan);
        for (const Stop& stop : plan.m_stops) {
            Entry& entry = find(stop.m_task.m_job);
            applyEnd(entry.m_record, entry.m_run, stop.m_task, stop.m_run, RunEnd::STOPPED, "c",
                     m_now);
        }
        finishStops();
        checkRooms();
        checkGangs();
        return plan;
    }

    std::map<std::string, Resources> sumUsed() const {
        std::map<std::string, Resources> used;
        for (const Entry& entry : m_jobs) {
            for (const ActiveRun& run : listActiveRuns(entry.m_record.m_id, entry.m_run)) {
                used[run.m_worker.m_host] +=
                        entry.m_record.m_spec.m_steps[run.m_task.m_step].getCapacityDemand();
            }
        }
        return used;
    }

    /** No start goes beyond a worker's room, in which what is being stopped still counts. */
    void checkPlacements(const TaskPlan& plan) {
        const std::map<std::string, Resources> used = sumUsed();
        for (const Placement& placement : plan.m_placements) {
            const std::string& host = placement.m_worker.m_host;
            RC_ASSERT(used.at(host).fitsInto(findWorker(host)->m_capacity));
        }
    }

    /** No worker holds more than it has, unless its room has shrunk; and only what it may hold. */
    void checkRooms() {
        for (const Entry& entry : m_jobs) {
            for (const ActiveRun& run : listActiveRuns(entry.m_record.m_id, entry.m_run)) {
                const StepSpec& spec = entry.m_record.m_spec.m_steps[run.m_task.m_step];
                const WorkerSnapshot& worker = *findWorker(run.m_worker.m_host);
                RC_ASSERT(spec.m_requiredLabel.empty() ||
                          worker.m_labels.count(spec.m_requiredLabel) != 0);
            }
        }
        std::map<std::string, Resources> used = sumUsed();
        for (const WorkerSnapshot& worker : m_workers) {
            RC_ASSERT(m_shrinks || used[worker.m_id.m_host].fitsInto(worker.m_capacity));
        }
    }

    /** A gang has workers for all its members, in one part, or for none. */
    void checkGangs() {
        for (const Entry& entry : m_jobs) {
            const StepSpec& spec = entry.m_record.m_spec.m_steps[0];
            const auto held = listActiveRuns(entry.m_record.m_id, entry.m_run);
            if (!spec.m_isGang || held.empty()) {
                continue;
            }
            RC_ASSERT(held.size() == spec.m_tasks);
            for (const ActiveRun& run : held) {
                RC_ASSERT(run.m_run == held.front().m_run);
                RC_ASSERT(spec.m_adjacency != Adjacency::RACK ||
                          findWorker(run.m_worker.m_host)->m_rack ==
                                  findWorker(held.front().m_worker.m_host)->m_rack);
            }
        }
    }

    /** Only lower work gives way, or urgent work beyond its guarantee to one within. */
    void checkStops(const TaskPlan& plan) {
        for (const Stop& stop : plan.m_stops) {
            const Entry& entry = find(stop.m_task.m_job);
            const bool isLower = entry.m_record.m_policy.m_priority > 0;
            RC_ASSERT(isLower || !m_guarantees.empty());
            RC_ASSERT(entry.m_run.findActiveRun(stop.m_task, stop.m_run).has_value());
        }
    }

    bool isRunning(const Entry& entry) const {
        return listActiveRuns(entry.m_record.m_id, entry.m_run).size() ==
               entry.m_record.m_spec.m_steps[0].m_tasks;
    }

    std::vector<WorkerSnapshot> m_workers;
    std::deque<Entry> m_jobs;
    std::map<std::string, std::uint32_t> m_guarantees;
    Millis m_now{1'000'000};
    /** Rooms shrink and grow, also below what runs in them. */
    bool m_shrinks = false;

private:
    WorkerSnapshot& drawWorker() {
        const int last = static_cast<int>(m_workers.size()) - 1;
        return m_workers[static_cast<std::size_t>(pick(0, last))];
    }

    StepSpec drawStep() {
        StepSpec step;
        step.m_isGang = pick(0, 2) == 0;
        step.m_tasks = static_cast<std::uint32_t>(pick(1, 3));
        step.m_need = {static_cast<std::uint32_t>(pick(1, 4)) * 1000, 100,
                       static_cast<std::uint32_t>(pick(1, 4))};
        step.m_estimate = Millis(pick(1, 60) * 1000);
        step.m_adjacency = pick(0, 2) == 0 ? Adjacency::RACK : Adjacency::REGION;
        step.m_requiredLabel = pick(0, 4) == 0 ? "a" : "";
        step.m_maxPerWorker = static_cast<std::uint32_t>(pick(0, 3) == 0 ? 1 : 0);
        step.m_savesProgress = pick(0, 1) == 0;
        step.m_isFilling = pick(0, 7) == 0;
        return step;
    }

    Entry& find(const std::string& id) {
        for (Entry& entry : m_jobs) {
            if (entry.m_record.m_id == id) {
                return entry;
            }
        }
        RC_FAIL("the plan names a job that is not there");
        return m_jobs.front();
    }

    const WorkerSnapshot* findWorker(const std::string& host) const {
        for (const WorkerSnapshot& worker : m_workers) {
            if (worker.m_id.m_host == host) {
                return &worker;
            }
        }
        return nullptr;
    }

    void endOne(RunEnd how) {
        for (Entry& entry : m_jobs) {
            const auto held = listActiveRuns(entry.m_record.m_id, entry.m_run);
            if (!held.empty() && pick(0, 2) == 0) {
                applyEnd(entry.m_record, entry.m_run, held.front().m_task, held.front().m_run, how,
                         "", m_now);
                finishStops();
                return;
            }
        }
    }

    void loseOne() {
        const WorkerSnapshot& worker = drawWorker();
        for (Entry& entry : m_jobs) {
            for (const ActiveRun& run : listActiveRuns(entry.m_record.m_id, entry.m_run)) {
                if (run.m_worker == worker.m_id) {
                    applyNotRunning(entry.m_record, entry.m_run, run.m_task, run.m_run, m_now);
                }
            }
        }
        finishStops();
    }

    void finishStops() {
        for (Entry& entry : m_jobs) {
            for (const ActiveRun& run : listActiveRuns(entry.m_record.m_id, entry.m_run)) {
                if (run.m_isStopping) {
                    applyEnd(entry.m_record, entry.m_run, run.m_task, run.m_run, RunEnd::STOPPED,
                             "c", m_now);
                }
            }
        }
    }

    int m_counter = 0;
};

RC_GTEST_PROP(PlannerPropertyTest, ItsPromisesHoldAfterEveryPass, ()) {
    Story story;
    if (pick(0, 1) == 0) {
        story.m_guarantees["o0"] = static_cast<std::uint32_t>(pick(1, 6));
    }
    const int steps = pick(5, 40);
    for (int i = 0; i < steps; ++i) {
        story.step();
    }
}

RC_GTEST_PROP(PlannerPropertyTest, ItsPromisesHoldWhileRoomsShrinkAndGrow, ()) {
    Story story;
    story.m_shrinks = true;
    const int steps = pick(5, 40);
    for (int i = 0; i < steps; ++i) {
        story.step();
    }
}

/** Whatever runs, also beyond rooms that have shrunk: urgent work within its guarantee begins in
 * the next pass, if a worker holds it. */
RC_GTEST_PROP(PlannerPropertyTest, AGuaranteeIsReclaimedHoweverBusyTheRacksAre, ()) {
    Story story;
    story.m_shrinks = pick(0, 1) == 0;
    const int steps = pick(5, 30);
    for (int i = 0; i < steps; ++i) {
        story.step();
    }
    for (WorkerSnapshot& worker : story.m_workers) {
        worker.m_acceptsWork = true;
    }
    const std::uint32_t wanted = std::max(1U, story.m_workers.front().m_capacity.m_accelerators);
    story.m_workers.front().m_capacity.m_accelerators = wanted;
    StepSpec step;
    step.m_need = {1000, 100, wanted};
    step.m_estimate = Millis(1000);
    Story::Entry& urgent = story.submit(0, step);
    // Only this one is within a guarantee: whatever else is urgent was handed in beyond it.
    urgent.m_record.m_organisation = "owner";
    story.m_guarantees = {{"owner", wanted}};
    // One pass stops what is in the way, or awaits an end that is near; the next one places it.
    story.plan();
    story.m_now += Millis(1300);
    story.plan();
    story.plan();
    RC_ASSERT(story.isRunning(urgent));
}

/** However much small work comes: a large unit that starves gets its workers in the end. */
RC_GTEST_PROP(PlannerPropertyTest, ALargeUnitDoesNotStarve, ()) {
    Story story;
    for (WorkerSnapshot& worker : story.m_workers) {
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
    const auto fill = [&] {
        // More than fits, each pass; a fifth of what runs ends meanwhile, at any place.
        for (std::size_t i = 0; i < story.m_workers.size() * 2; ++i) {
            story.submit(1, small);
        }
    };
    fill();
    fill();
    story.plan();
    Story::Entry& starving = story.submit(2, large);
    constexpr int ROUNDS = 60;
    for (int round = 0; round < ROUNDS && !story.isRunning(starving); ++round) {
        fill();
        int place = round;
        for (Story::Entry& entry : story.m_jobs) {
            for (const ActiveRun& run : listActiveRuns(entry.m_record.m_id, entry.m_run)) {
                if (++place % 5 == 0 && &entry != &starving) {
                    applyEnd(entry.m_record, entry.m_run, run.m_task, run.m_run, RunEnd::DONE, "",
                             story.m_now);
                }
            }
        }
        story.m_now += Millis(1000);
        story.plan();
    }
    RC_ASSERT(story.isRunning(starving));
}

}  // namespace
}  // namespace pierbank
