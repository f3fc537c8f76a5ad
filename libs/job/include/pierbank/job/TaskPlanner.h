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

#include "pierbank/job/IdleWait.h"
#include "pierbank/job/JobRun.h"
#include "pierbank/job/LastingTasks.h"
#include "pierbank/job/WorkOutcome.h"

namespace pierbank {

/** Snapshot of a worker: its place in the topology, its capacity and its state. */
struct WorkerSnapshot {
    WorkerId m_id;
    /** Only jobs of this service run on the worker. */
    std::string m_service;
    std::string m_failureDomain;
    std::string m_rack;
    std::set<std::string, std::less<>> m_labels;
    Resources m_capacity;
    /** Capacity before it shrank, to which it may grow again; below m_capacity if unknown. */
    Resources m_fullCapacity;
    /** Whether new runs may be placed on the worker. */
    bool m_acceptsWork = false;
    /** Minimum time until the worker leaves, which kills its runs; empty if it does not leave. */
    std::optional<Millis> m_leavesIn;
    /**
     * Whether the failure domain is under evacuation: no run starts there, and lasting tasks move
     * to other failure domains.
     */
    bool m_isEvacuated = false;
    /** Whether runs failed there recently; work that is costly to lose avoids suspect hosts. */
    bool m_isSuspect = false;
    /** Observed run time of tasks there as a multiple of the declared time; 1 is normal. */
    double m_slowness = 1.0;
    /** Number of runs from which m_slowness was observed; 0 if no run was observed yet. */
    double m_slownessSamples = 0;
    /** Whether a run ended well there recently and none has failed since. */
    bool m_isProven = false;
    /**
     * Maximum number of tasks of one job that may run there at the same time, so that a host which
     * may fail them all does not use up their attempts at once; zero for no limit.
     */
    std::uint32_t m_maxTasksPerJob = 0;
};

/**
 * Incarnations of workers that the placement advice allows for a step, by the number of the
 * occurrence and the index of the step within the job.
 */
using AdvisedWorkers = std::map<std::pair<std::uint32_t, std::uint32_t>, std::set<std::string>>;

/** A job that may have tasks left to run, with its state. */
struct PlannedJob {
    const JobRecord* m_record = nullptr;
    const JobRun* m_run = nullptr;
    /** Advised workers so far, for a queue with placement advice; null if there are none. */
    const AdvisedWorkers* m_advised = nullptr;
    /** Wall time at which the last active run ended; empty if there was none, or if unknown. */
    std::optional<Millis> m_idleSince = std::nullopt;
    /** Observations of the job's lasting tasks; null if there are none. */
    const LastingTasks* m_lasting = nullptr;
};

/** Weights and limits of the planner's decisions. */
struct TaskPlannerSettings {
    /** Run time factor of tasks outside the rack of their data, and of gangs on several racks. */
    double m_remoteFactor = 3.0;
    /**
     * Work is hopeless, and is placed last within its priority, when it will miss its objective by
     * more than this multiple of the span from its due time to its objective. The platform's
     * contract gives no credit for work that is so late.
     */
    std::int64_t m_hopelessFactor = 2;
    /**
     * Urgent work beyond its organisation's guarantee preempts other runs only if the work lost by
     * them is at most `m_maxWastedWork` core-seconds plus `m_maxWastePerOwnWork` times its own
     * declared work.
     */
    double m_maxWastedWork = 100.0;
    double m_maxWastePerOwnWork = 0.7;
    /**
     * Before urgent work preempts other runs, it waits for runs that are about to end. The wait,
     * counted from its due time, is limited to this share of its declared time and to
     * `m_maxPreemptionDelay`.
     */
    double m_preemptionDelayShare = 0.35;
    Millis m_maxPreemptionDelay{1200};
    /**
     * A unit is starved when it has waited for this multiple of its declared time and for at least
     * `m_minStarvationWait`. Workers are then reserved for it; only work that ends before the
     * reservation starts may still be placed on them. Both bounds are far above the waits that
     * occur when the workers have sufficient capacity.
     */
    std::int64_t m_starvationFactor = 10;
    Millis m_minStarvationWait{60'000};
    /** Maximum number of starved units with reservations; each reservation keeps workers idle. */
    std::size_t m_maxReservations = 2;
    /** 0 to 100: how strongly large units are preferred to small units with earlier objectives. */
    std::uint32_t m_fragmentationWeight = 0;
    /** A task gets a speculative copy when it still needs this multiple of its declared time. */
    double m_copyFactor = 1.5;
    /**
     * Headroom for urgent work by service, in accelerators; workers on which urgent work already
     * runs count too. Only whole workers are kept free, with at most `m_maxHeadroomShare` of the
     * service's accelerators.
     */
    std::map<std::string, std::uint32_t> m_urgentHeadroom;
    double m_maxHeadroomShare = 0.25;
    /**
     * The first unit of a job that has been idle for this long is placed wherever workers have
     * capacity, whatever else keeps work off them, while the utilization of the service is below
     * `m_lowUtilization` in sum and twice the unit's demand is free. While it is below for some
     * resource, the unit may use the headroom and workers with early reservations. Reservations of
     * starved units are kept.
     * The platform's contract does not allow a job to be without a run for 3 s while there is
     * twice the capacity that it needs. The rest of the 3 s is for the plan, its commit and orders.
     */
    Millis m_maxIdleTime{1800};
    /**
     * The same for each lasting task, whether or not others of its job run, and at any utilization
     * as far as the headroom and early reservations are concerned. The platform's contract allows
     * 6 s after the task's last run, and then 3 s.
     */
    Millis m_maxLastingIdleTime{6000};
    double m_lowUtilization = 0.55;
    /**
     * Weight of a worker's slowness against free capacity in the choice of a worker: a worker that
     * takes twice the declared time is rated like a worker with this many more accelerators left
     * free. Urgent work prefers fast workers to well-packed ones. Other work has a negative weight,
     * which leaves the fast workers to urgent work. Both together raise the value of the completed
     * work.
     */
    double m_urgentSpeedWeight = 20.0;
    double m_nonUrgentSpeedWeight = -8.0;
    /**
     * Weight of a worker's slowness in the choice of victims: the additional run time on a slow
     * worker is multiplied by this factor, since all members of a unit wait for the slowest one.
     * The headroom prefers fast workers as well, so that the benefit of this weight is small.
     */
    double m_preemptionSpeedWeight = 3.0;
    /** Units avoid hosts on which they failed, and suspect hosts if they are costly to lose. */
    bool m_excludesFailedHosts = true;
    /** Tasks migrate from workers that leave before the tasks would end. */
    bool m_migratesOffLeaving = true;
    /** Slow tasks of speculative steps get a second run on another worker. */
    bool m_copiesSlowTasks = true;
    /**
     * A lasting task counts as unavailable until its run has lasted for this long, and until its
     * worker reports it at work.
     */
    Millis m_settleTime{5000};
    /** Urgent work is placed where it is forecast to meet its objective, see switch
     * `forecasts-completion`. */
    bool m_forecastsCompletion = true;
    /** Workers are reserved for large units as soon as smaller work would keep them out, see switch
     * `reserves-early`. */
    bool m_reservesEarly = true;
};

/** One run to start. A plan has placements for all members of a gang or for none. */
struct Placement {
    TaskKey m_task;
    WorkerId m_worker;
};

/** One run to stop, of a task or a copy. */
struct Stop {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    /** Reason for the stop, as text. */
    std::string m_explanation;
    /** What the run's work counts as if it is thrown away. */
    WorkOutcome m_cause = WorkOutcome::PREEMPTED;
};

/** Explanation why a unit was placed or waits. */
struct PlanExplanation {
    enum class Kind {
        PLACED,
        WAITS,
        /** The known workers could not run the unit even if they were idle. */
        CANNOT_RUN,
    };
    /** Id of the unit's job. */
    std::string m_job;
    Kind m_kind = Kind::WAITS;
    /** Text for users and operators. */
    std::string m_text;
};

/** Why the first waiting unit of an urgent job could not be placed at once. */
struct UrgentWait {
    enum class Cause {
        /** Runs on the unit's workers are being stopped. */
        STOPS,
        /** Runs on the unit's workers are expected to end soon. */
        ENDS,
        /** The runs that would have to be preempted are worth more than the unit. */
        CAPACITY,
        /** No worker that the unit may use can free enough capacity, or preemption is disabled. */
        WORKERS,
    };
    /** Forecast of the unit's end, for the log. */
    enum class Outlook {
        /** The unit is not placed by its forecast completion, or waits without a place. */
        UNKNOWN,
        /** The place for which it waits keeps its objective. */
        IN_TIME,
        /** It misses its objective wherever it runs. */
        LATE,
    };
    /** Id of the job, owned by the job's record. */
    std::string_view m_job;
    Cause m_cause = Cause::WORKERS;
    Outlook m_outlook = Outlook::UNKNOWN;
    /** Whether the guarantee of the job's organisation covers the job. */
    bool m_isGuaranteed = false;
    /** Core-seconds of work that is lost by preemption, or would be lost by it. */
    double m_wastedWork = 0;
};

/** Returns the name of the cause for the log. */
std::string_view toText(UrgentWait::Cause cause);
/** Returns the name of the outlook for the log. */
std::string_view toText(UrgentWait::Outlook outlook);

/** Non-owning reference to a task; the job's id must outlive it. */
struct TaskRef {
    std::string_view m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_index = 0;

    TaskRef(std::string_view job, std::uint32_t occurrence, std::uint32_t step, std::uint32_t index)
            : m_job(job), m_occurrence(occurrence), m_step(step), m_index(index) {}
    // NOLINTNEXTLINE(google-explicit-constructor): a key identifies a task.
    TaskRef(const TaskKey& key) : TaskRef(key.m_job, key.m_occurrence, key.m_step, key.m_index) {}
};

/** Expected run time of a task on a host of normal speed, with its uncertainty. */
struct RunTimeEstimate {
    Millis m_expected{0};
    /** Run time that few tasks exceed; at least m_expected. */
    Millis m_high{0};
};

/** Estimates when runs end. Queried only for the runs on which a decision depends. */
class RunForecast {
public:
    virtual ~RunForecast() = default;
    /** Returns the time until the run of a task on a host ends; empty if it cannot be estimated. */
    virtual std::optional<Millis> getRemaining(std::string_view host,
                                               const TaskRef& task) const = 0;
    /** Returns the run time of a task of the step; without observations, the declared time. */
    virtual RunTimeEstimate getRunTime(const JobRecord& record, const StepSpec& step) const;
};

/**
 * Input of TaskPlanner::plan(). The referenced data must outlive the call; the job records must
 * outlive the plan, which refers to the ids of urgent jobs.
 */
struct PlanInput {
    std::span<const WorkerSnapshot> m_workers;
    std::span<const PlannedJob> m_jobs;
    const RunForecast& m_forecast;
    /** Accelerators guaranteed to each organisation for its jobs of priority 0. */
    const std::map<std::string, std::uint32_t>& m_guarantees;
    Millis m_wallNow{0};
    /**
     * Fills TaskPlan::m_explanations, which takes longer than the planning itself when thousands of
     * units wait.
     */
    bool m_withExplanations = true;
    /**
     * Allows preemption, and capacity for idle jobs against the planner's preferences. False while
     * workers that may have free capacity are not known yet.
     */
    bool m_mayPreempt = true;
};

/** A large unit that waits and for which hosts are reserved before it has starved. */
struct PlannedReservation {
    /** Id of the job, owned by the job's record. */
    std::string_view m_job;
    /** Expected time until the unit starts. */
    Millis m_startsIn{0};
    /** Reserved hosts, owned by the workers of the input. */
    std::vector<std::string_view> m_hosts;
};

/** Decisions of one planning pass. */
struct TaskPlan {
    std::vector<Placement> m_placements;
    /** Second runs of tasks that run slowly. */
    std::vector<Placement> m_copies;
    /** Runs that are preempted or migrated. */
    std::vector<Stop> m_stops;
    /** Empty unless PlanInput::m_withExplanations is set. */
    std::vector<PlanExplanation> m_explanations;
    /** Urgent jobs with waiting units; they refer to job ids of the input. */
    std::vector<UrgentWait> m_urgentWaits;
    /** Idle jobs that have waited for a moment, a bounded number; ids as in m_urgentWaits. */
    std::vector<IdleWait> m_idleWaits;
    /** Number of units left unplaced; later passes may place them because time has passed. */
    std::size_t m_waitingUnits = 0;
    /** Early reservations of units that wait; see ReservationPolicy. */
    std::vector<PlannedReservation> m_reservations;
    /**
     * 0 to 1: share of the free accelerators that no waiting large unit can use, since too few of
     * them are on one host; 0 if no large unit waits.
     */
    double m_fragmentation = 0;
};

/**
 * Decides where waiting tasks start, and which active runs are preempted or migrated. The planner
 * has no state: the same input gives the same plan.
 *
 * Units of work (a gang, or a single task) are placed in this order: priority 0 within the
 * guarantee of its organisation, other work of priority 0, then the other priorities. Within one
 * priority, units that can still meet their objective are placed first, in the order of their
 * objectives. Units of priority 0 preempt the runs that are the cheapest to stop; guaranteed units
 * may also preempt runs of priority 0 that no guarantee covers. Workers are reserved for starved
 * units, which are placed right after urgent work, and for large units that smaller work of their
 * own or a lower priority would keep out, see ReservationPolicy. Finally, slow tasks get copies,
 * and tasks migrate from leaving workers.
 *
 * Reservations with backfill follow the EASY scheduler (Lifka, 1995).
 */
class TaskPlanner {
public:
    explicit TaskPlanner(const TaskPlannerSettings& settings) : m_settings(settings) {}

    /** Plans one pass. Units that cannot be placed are counted and explained. */
    TaskPlan plan(const PlanInput& input) const;

    /**
     * Plans one pass with explanations and preemption.
     * @param remaining time until the runs of tasks end, where it is known.
     * @param guarantees accelerators guaranteed to each organisation for its jobs of priority 0.
     */
    TaskPlan plan(const std::vector<WorkerSnapshot>& workers, const std::vector<PlannedJob>& jobs,
                  const std::map<TaskKey, Millis>& remaining,
                  const std::map<std::string, std::uint32_t>& guarantees, Millis wallNow) const;

private:
    const TaskPlannerSettings m_settings;
};

/** Returns the declared time of the critical path through the steps that are not done. */
Millis estimateRemainingCriticalPath(const JobSpec& spec, const OccurrenceRun& occurrence);

/** Returns the declared time of the longest path through the steps that follow a step. */
Millis estimateTimeAfter(const JobSpec& spec, std::uint32_t step);

/** Returns the declared time of the critical path through all steps of a job. */
Millis estimateCriticalPath(const JobSpec& spec);

/** Returns the time from a job's acceptance, or an occurrence's due time, to its objective. */
Millis getObjectiveSpan(const JobRecord& record);

/**
 * Returns the value of resources in cores. An accelerator counts as eight cores, as in the
 * platform's price list.
 */
double getCoreEquivalent(const Resources& need);

}  // namespace pierbank

#endif  // PIERBANK_JOB_TASKPLANNER_H
