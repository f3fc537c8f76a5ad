// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_TASKPLANNER_H
#define PIERBANK_JOB_TASKPLANNER_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pierbank/job/JobRun.h"

namespace pierbank {

/** A worker as the planner sees it. */
struct WorkerSnapshot {
    WorkerId m_id;
    std::string m_service;
    std::string m_failureDomain;
    std::string m_rack;
    std::set<std::string, std::less<>> m_labels;
    Resources m_capacity;
    /** What it had before its room shrank, and may have again; less than m_capacity for unknown. */
    Resources m_fullCapacity;
    /** New runs may be placed on it. */
    bool m_acceptsWork = false;
    /** It leaves, in this time at the earliest, and what runs there dies; empty: it stays. */
    std::optional<Millis> m_leavesIn;
    /** Its failure domain is under evacuation: nothing may begin there, and what lasts moves off.
     */
    bool m_isEvacuated = false;
    /** Runs failed there lately: work that a failure costs much goes elsewhere if it can. */
    bool m_isSuspect = false;
    /** Work takes so many times the declared time there, as far as was seen; 1 is normal. */
    double m_slowness = 1.0;
};

/** Lives of workers that may run a step, by the step's occurrence and place. */
using AdvisedWorkers = std::map<std::pair<std::uint32_t, std::uint32_t>, std::set<std::string>>;

/** A job of which something may still have to run. */
struct PlannedJob {
    const JobRecord* m_record = nullptr;
    const JobRun* m_run = nullptr;
    /** For queues with advice: what was advised so far; null for none. */
    const AdvisedWorkers* m_advised = nullptr;
};

/** Weights and bounds of the decisions. */
struct TaskPlannerSettings {
    /** Work away from its data, or a gang over several racks, takes so many times as long. */
    double m_farFactor = 3.0;
    /** Work that misses its objective by so many times its length earns nothing (users' rule). */
    std::int64_t m_hopelessFactor = 2;
    /** Urgent work beyond its organisation's guarantee preempts only while that throws away at most
     * so many core-seconds, and so many times its own work more. */
    double m_maxWastedWork = 100.0;
    double m_maxWastePerOwnWork = 0.7;
    /** Urgent work waits for running work to end before it preempts: up to this share of its own
     * declared time, and at most `m_maxWait` since it was handed in. */
    double m_waitShare = 0.35;
    Millis m_maxWait{1200};
    /**
     * A unit that waited for so many times its declared time, and at least so long, is starved:
     * workers are claimed for it, on which only work that ends before then may still start. Both
     * are far above what waits on a deployment with room (MEASUREMENTS.md).
     */
    std::int64_t m_starvationFactor = 10;
    Millis m_minStarvationWait{60'000};
    /** Starved units that have claims at a time; each keeps workers idle. */
    std::size_t m_maxReservations = 2;
    /** 0 to 100: how far large units go before small ones that are due sooner. */
    std::uint32_t m_fragmentationWeight = 0;
    /** A task that may be copied is, when it would take so many times its declared time longer. */
    double m_copyFactor = 1.5;
    /**
     * Accelerators by service that only urgent work gets, those that it has included; whole workers
     * are kept. At most `m_maxHeadroomShare` of a service's.
     */
    std::map<std::string, std::uint32_t> m_urgentHeadroom;
    double m_maxHeadroomShare = 0.25;
    /**
     * While a service's workers are hardly half in use, a unit that waited so long gets reserved
     * workers too, if its job has nothing running: no job may have nothing for 3 s beside room that
     * stands idle (users' rule).
     */
    Millis m_headroomReleaseWait{1800};
    double m_lowUtilization = 0.55;
    /**
     * What a worker that takes twice the time counts for in the choice of workers, in accelerators
     * of room left: urgent work looks for fast ones before it looks for little room left, other
     * work leaves them to it. +0.0375 +- 0.0121 of a day's worth on 240 hosts (15 paired plays).
     */
    double m_urgentSpeedWeight = 20.0;
    double m_otherSpeedWeight = -8.0;
    /**
     * Where others give way, a slow worker costs so many times what it takes longer: the whole unit
     * waits for its slowest member. With the kept workers chosen by speed too, +0.0058 +- 0.0135 of
     * a day's worth on 240 hosts (15 paired plays; +0.0200 +- 0.0086 in another setting).
     */
    double m_evictionSpeedWeight = 3.0;
    /** Units keep off hosts that failed them, and off suspect ones if a failure costs them much. */
    bool m_excludesFailedHosts = true;
    /** Work moves off workers that leave before it would end. */
    bool m_migratesOffLeaving = true;
    /** Slow tasks that may be copied are. */
    bool m_copies = true;
    /** A stopped lasting task counts as away until it has run elsewhere for so long. */
    Millis m_settleTime{5000};
};

/** One run to be started. Members of a gang come together. */
struct Placement {
    TaskKey m_task;
    WorkerId m_worker;
};

/** One run to be stopped. */
struct Stop {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    std::string m_explanation;
};

/** Why a unit of work was placed or waits. */
struct PlanExplanation {
    enum class Kind {
        PLACED,
        WAITS,
        /** No worker that is known could hold it even when idle. */
        CANNOT_RUN,
    };
    std::string m_job;
    Kind m_kind = Kind::WAITS;
    std::string m_text;
};

/** Why a unit of urgent work got no room at once; the first such unit of its job. */
struct UrgentWait {
    enum class Cause {
        /** Runs that are being stopped. */
        STOPS,
        /** Runs that are about to end by themselves. */
        ENDS,
        /** What would have to give way is worth more. */
        ROOM,
        /** No workers that it may use could make room. */
        WORKERS,
    };
    std::string_view m_job;
    Cause m_cause = Cause::WORKERS;
    bool m_isGuaranteed = false;
    /** Core-seconds that give way, or would have to. */
    double m_loss = 0;
};

std::string_view toText(UrgentWait::Cause what);

/** A task's place in its job, by a name that somebody else holds. */
struct TaskRef {
    std::string_view m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_index = 0;

    TaskRef(std::string_view job, std::uint32_t occurrence, std::uint32_t step, std::uint32_t index)
            : m_job(job), m_occurrence(occurrence), m_step(step), m_index(index) {}
    // NOLINTNEXTLINE(google-explicit-constructor): a key is one way to name a task.
    TaskRef(const TaskKey& key) : TaskRef(key.m_job, key.m_occurrence, key.m_step, key.m_index) {}
};

/** Tells how long runs go on. Asked only for the runs that a decision depends on. */
class RunForecast {
public:
    virtual ~RunForecast() = default;
    /** Time until the run of a task on a host ends; empty when nothing tells. */
    virtual std::optional<Millis> getRemaining(std::string_view host,
                                               const TaskRef& task) const = 0;
};

/** What a plan is made from. All of it must outlive the call. */
struct PlanInput {
    std::span<const WorkerSnapshot> m_workers;
    std::span<const PlannedJob> m_jobs;
    const RunForecast& m_forecast;
    /** Accelerators that belong to each organisation for priority 0. */
    const std::map<std::string, std::uint32_t>& m_guarantees;
    Millis m_wallNow{0};
    /** Notes are made; they take longer than the plan when thousands of units wait. */
    bool m_withExplanations = true;
    /** Others may be stopped for urgent work. Not while workers that may have room are unknown. */
    bool m_mayPreempt = true;
};

struct TaskPlan {
    std::vector<Placement> m_placements;
    /** Second runs of tasks that are slow where they are. */
    std::vector<Placement> m_copies;
    /** Runs that give way to others, or move off workers that leave. */
    std::vector<Stop> m_stops;
    /** Only if they were asked for. */
    std::vector<PlanExplanation> m_explanations;
    /** Urgent jobs that wait; they name jobs of the input. */
    std::vector<UrgentWait> m_urgentWaits;
    /** Units that found no place: time alone may change that. */
    std::size_t m_waiting = 0;
};

/**
 * Decides which waiting tasks start where, and which running ones give way. Pure: the same input
 * gives the same plan.
 *
 * Units of work (a gang, or a single task) are tried in order: priority 0 within its organisation's
 * guarantee, other priority 0, then by priority; within one priority those first that still meet
 * their objective, nearest objective first. Priority 0 preempts what costs least; guaranteed
 * work also preempts priority 0 beyond its organisation's guarantee. A starved unit claims workers.
 * At last come copies of slow tasks, and work that moves off leaving workers.
 *
 * Reservations for starved work with backfill before them are those of EASY (Lifka, 1995).
 */
class TaskPlanner {
public:
    explicit TaskPlanner(const TaskPlannerSettings& settings) : m_settings(settings) {}

    TaskPlan plan(const PlanInput& input) const;

    /**
     * @param remaining time until running tasks end, as far as it is known.
     * @param guarantees accelerators that belong to each organisation for priority 0.
     */
    TaskPlan plan(const std::vector<WorkerSnapshot>& workers, const std::vector<PlannedJob>& jobs,
                  const std::map<TaskKey, Millis>& remaining,
                  const std::map<std::string, std::uint32_t>& guarantees, Millis wallNow) const;

private:
    const TaskPlannerSettings m_settings;
};

/** Longest chain of declared work of what is not done yet. */
Millis estimateRemainingChain(const JobSpec& spec, const OccurrenceRun& occurrence);

/** Longest chain of declared work of a job. */
Millis estimateChain(const JobSpec& spec);

/** How long after it is handed in, or due, a job should be done. */
Millis getObjectiveSpan(const JobRecord& record);

/** Cores that a need is worth: an accelerator weighs as much as eight (users' price list). */
double getCores(const Resources& need);

}  // namespace pierbank

#endif  // PIERBANK_JOB_TASKPLANNER_H
