// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_TASKPLANNER_H
#define PIERBANK_JOB_TASKPLANNER_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/job/JobRun.h"

namespace pierbank {

/** A worker as the planner sees it. */
struct WorkerView {
    WorkerId m_id;
    std::string m_service;
    std::string m_rack;
    std::set<std::string, std::less<>> m_labels;
    Resources m_capacity;
    /** New runs may be placed on it. */
    bool m_acceptsWork = false;
    /** Work takes so many times the declared time there, as far as was seen; 1 is normal. */
    double m_slowness = 1.0;
};

/** A job that is not over. */
struct PlannedJob {
    const JobRecord* m_record = nullptr;
    const JobRun* m_run = nullptr;
};

/** Weights and bounds of the decisions. */
struct TaskPlannerSettings {
    /** Work away from its data, or a gang over several racks, takes so many times as long. */
    double m_farFactor = 3.0;
    /** A unit that found no room for so long has workers kept free for it. */
    Millis m_reserveAfter{1500};
    /** Work that misses its objective by so many times its length earns nothing (users' rule). */
    std::int64_t m_hopelessAfter = 2;
    /** Urgent work beyond its organisation's guarantee preempts only while that throws away at most
     * so many core-seconds, and so many times its own work more. */
    double m_lossAllowance = 100.0;
    double m_lossPerOwnWork = 0.7;
    /** Urgent work waits for running work to end before it preempts: up to this share of its own
     * declared time, and at most `m_maxWait` since it was handed in. */
    double m_waitShare = 0.35;
    Millis m_maxWait{1200};
    /** Most workers, in percent of all, that are kept free for units that wait. */
    std::uint32_t m_maxReservedPercent = 0;
};

/** One run to be started. Members of a gang come together. */
struct Placement {
    TaskKey m_task;
    WorkerId m_worker;
};

/** One run to be stopped so that other work finds room. */
struct Preemption {
    TaskKey m_task;
    std::string m_for;
};

/** Why a unit of work was placed or waits. */
struct PlanNote {
    std::string m_job;
    std::string m_text;
};

struct TaskPlan {
    std::vector<Placement> m_placements;
    std::vector<Preemption> m_preemptions;
    std::vector<PlanNote> m_notes;
};

/**
 * Decides which waiting tasks start where, and which running ones give way. Pure: the same input
 * gives the same plan.
 *
 * Units of work (a gang, or a single task) are tried in order: priority 0 within its organisation's
 * guarantee, other priority 0, then by priority; within one priority those first that still meet
 * their objective, nearest objective first. Priority 0 preempts what costs least; guaranteed
 * work also preempts priority 0 beyond its organisation's guarantee. A unit without priority 0
 * that has waited for long keeps workers free, which later units do not use.
 */
class TaskPlanner {
public:
    explicit TaskPlanner(const TaskPlannerSettings& settings) : m_settings(settings) {}

    /**
     * @param remaining time until running tasks end, as far as it is known.
     * @param guarantees accelerators that belong to each organisation for priority 0.
     */
    TaskPlan plan(const std::vector<WorkerView>& workers, const std::vector<PlannedJob>& jobs,
                  const std::map<TaskKey, Millis>& remaining,
                  const std::map<std::string, std::uint32_t>& guarantees, Millis wallNow) const;

private:
    const TaskPlannerSettings m_settings;
};

/** Longest chain of declared work of what is not done yet. */
Millis estimateRemainingChain(const JobSpec& spec, const OccurrenceRun& occurrence);

/** Longest chain of declared work of a job. */
Millis estimateChain(const JobSpec& spec);

}  // namespace pierbank

#endif  // PIERBANK_JOB_TASKPLANNER_H
