// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_PLANNINGPASS_H
#define PIERBANK_JOB_PLANNINGPASS_H

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "EarlyReservations.h"
#include "pierbank/job/CompletionForecast.h"
#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

/** Index of a worker in PlanInput::m_workers and PlanningPass::m_workerStates. */
using WorkerSlot = std::size_t;

/**
 * Number of a topology domain (host, rack or failure domain): its position among the domains of the
 * same level, in the order of their names.
 */
using DomainId = std::int32_t;
/** Stands for the whole region: any worker may be used. */
constexpr DomainId ANY_DOMAIN = -1;
/** Stands for a topology domain without workers. */
constexpr DomainId UNKNOWN_DOMAIN = -2;

/** Workers that may run a step, regardless of their free capacity. */
struct EligibleWorkers {
    /** In ascending order. */
    std::vector<WorkerSlot> m_slots;
    /** Indexed by slot. */
    std::vector<bool> m_isEligible;
};

/** A step with waiting tasks: the properties that all its units share. */
struct WaitingStep {
    const JobRecord* m_record = nullptr;
    const JobRun* m_run = nullptr;
    const StepRun* m_step = nullptr;
    const StepSpec* m_spec = nullptr;
    /** Index of the job in PlanInput::m_jobs. */
    std::size_t m_jobIndex = 0;
    /** Number of the occurrence. */
    std::uint32_t m_occurrence = 0;
    /** Index of the step within the job. */
    std::uint32_t m_number = 0;
    /** Indexes of the waiting tasks. */
    std::vector<std::uint32_t> m_taskIndexes;
    /** Whether the guarantee of the job's organisation covers the job. */
    bool m_isGuaranteed = false;
    const EligibleWorkers* m_eligible = nullptr;
    /** Advised incarnations of workers; null if no advice is needed or available yet. */
    const std::set<std::string>* m_advised = nullptr;
    /** Whether only workers with placement advice may run the step. */
    bool m_needsAdvice = false;
    /** Wall time at which the occurrence became due, or its job was accepted. */
    Millis m_dueAt{0};
    /** Wall time by which the occurrence should be done. */
    Millis m_objective{0};
    /** Sort key: the objective, advanced for large units by the fragmentation weight. */
    Millis m_weightedObjective{0};
    /** First sort key, see chooseBand(); lower bands are placed first. */
    std::uint32_t m_band = 0;
    /** Run time that few tasks exceed on a normal host; computed on demand. */
    mutable std::optional<Millis> m_highRunTime;
};

/** Smallest amount of work that is placed at once: a whole gang, or a single task. */
struct WorkUnit {
    const WaitingStep* m_waitingStep = nullptr;
    /** Indexes of the unit's tasks; more than one only for a gang. */
    std::span<const std::uint32_t> m_taskIndexes;
    /** Workers that the unit avoids: runs of its tasks failed there, or the host is suspect. */
    std::vector<WorkerSlot> m_excludedSlots;
    /** Whether one of the tasks is suspected of crashing its worker. */
    bool m_isSuspect = false;
    /** Whether the unit avoids workers that have a run of a suspect task at its placement. */
    bool m_avoidsSuspectRuns = false;
    /** By slot: workers that may make the unit late, which it avoids at present; null for none. */
    const std::vector<bool>* m_avoidedSlots = nullptr;
    /** Whether the unit is placed by its forecast completion. */
    bool m_usesForecast = false;
    /** Forecast of the unit's end on the workers that are tried for it. */
    UrgentWait::Outlook m_outlook = UrgentWait::Outlook::UNKNOWN;

    const JobRecord& getRecord() const { return *m_waitingStep->m_record; }
    const StepSpec& getSpec() const { return *m_waitingStep->m_spec; }
    const StepRun& getStep() const { return *m_waitingStep->m_step; }
    TaskKey getKey(std::uint32_t index) const {
        return {getRecord().m_id, m_waitingStep->m_occurrence, m_waitingStep->m_number, index};
    }
    /** Whether the job has priority 0, which may preempt other runs. */
    bool isUrgent() const { return getRecord().m_policy.m_priority == 0; }
    /** Returns the number of accelerators that all tasks of the unit need together. */
    std::uint32_t countAccelerators() const;
};

/**
 * One execution of TaskPlanner::plan(). For speed, workers and topology domains are identified by
 * dense numbers, which are assigned from their names once at the beginning of the pass.
 */
class PlanningPass {
public:
    PlanningPass(const TaskPlannerSettings& settings, const PlanInput& input);

    /** Makes the plan; to be called once. */
    TaskPlan run();

private:
    /** Free capacity and other state of a worker during the pass. */
    struct WorkerState {
        const WorkerSnapshot* m_snapshot = nullptr;
        /** Capacity that no run occupies and this pass has not allocated yet. */
        Resources m_free;
        /** Capacity that runs which are being stopped, or are awaited, will free. */
        Resources m_releasing;
        /**
         * Demand of active runs beyond the capacity of a worker that has shrunk. Runs that end
         * reduce this demand first and free only what exceeds it.
         */
        Resources m_overcommitted;
        /** Time until a starved unit is expected to start; only shorter work may be placed. */
        std::optional<Millis> m_reservationStartsIn;
        /** Whether the worker is kept free for urgent work that is expected. */
        bool m_isHeadroom = false;
        /** Whether a run of a suspect task is active there, which may crash the worker. */
        bool m_hasSuspectRun = false;
        /** Number of active runs, including those placed by this pass. */
        std::size_t m_runCount = 0;
        /** Topology domains that contain the worker. */
        DomainId m_host = ANY_DOMAIN;
        DomainId m_rack = ANY_DOMAIN;
        DomainId m_failureDomain = ANY_DOMAIN;
    };
    /** Active run that is not being stopped, and so may be preempted, copied or migrated. */
    struct Occupant {
        /** Index of the job in PlanInput::m_jobs. */
        std::size_t m_jobIndex = 0;
        const StepRun* m_step = nullptr;
        const StepSpec* m_spec = nullptr;
        /** Index in m_groups. */
        std::size_t m_group = 0;
        /** Number of the occurrence. */
        std::uint32_t m_occurrence = 0;
        /** Index of the step within the job. */
        std::uint32_t m_stepNumber = 0;
        /** Index of the task within the step. */
        std::uint32_t m_index = 0;
        std::uint32_t m_run = 0;
        /** Wall time. */
        Millis m_placedAt{0};
        WorkerSlot m_slot = 0;
        bool m_isCopy = false;
        bool m_isUrgent = false;
        bool m_isGuaranteed = false;
        /** Whether this pass stops the run. */
        bool m_isPreempted = false;
        /** Whether the capacity is already allocated to a unit that waits for the run to end. */
        bool m_isAwaited = false;
        /**
         * Core-milliseconds of work that is lost if the run is stopped; for gangs, of all members.
         */
        double m_preemptionCost = 0;
    };
    /** Range of the occupants of one step of one occurrence in m_occupants, end exclusive. */
    struct OccupantGroup {
        std::size_t m_first = 0;
        std::size_t m_end = 0;
    };
    /** Slots for the tasks of a unit, in their order. */
    using Assignment = std::vector<WorkerSlot>;
    /** Indexes in m_occupants of runs to preempt. */
    using Victims = std::vector<std::size_t>;
    /** Number of a step's tasks by slot; empty for a step without a limit per worker. */
    using TasksPerWorker = std::vector<std::uint32_t>;
    /** An assignment of workers to a unit, with the runs to preempt there. */
    struct Preemption {
        Assignment m_assignment;
        std::set<std::size_t> m_victims;
        /** Groups of gangs among the victims. */
        std::set<std::size_t> m_gangGroups;
        /** Core-milliseconds of work that the victims lose. */
        double m_preemptionCost = 0;
        /** m_preemptionCost and the cost of slow workers; the cheapest preemption is chosen. */
        double m_cost = 0;
        /** Capacity allocated to the members that have been assigned so far. */
        std::map<WorkerSlot, Resources> m_allocated;
        /**
         * Cached results of chooseVictims() for one more member, by slot. The outer optional is
         * empty before the computation, the inner optional is empty if the worker cannot run the
         * member.
         */
        std::vector<std::optional<std::optional<Victims>>> m_victimsBySlot;
        /** Tasks of the step by slot, including the members that have been assigned so far. */
        TasksPerWorker m_taskCounts;
    };
    /** An assignment of workers to a unit that waits for runs to end there. */
    struct EndsWait {
        Assignment m_assignment;
        /** Indexes in m_occupants of the runs that end. */
        std::vector<std::size_t> m_ends;
        /** Time until the last of them ends. */
        Millis m_startsIn{0};
    };
    /** Properties on which the placement of a unit depends, apart from the number of members. */
    using UnitClass =
            std::tuple<const EligibleWorkers*, std::uint32_t, std::uint32_t, std::uint32_t, bool,
                       bool, DomainId, int, bool, bool, Millis, std::size_t, std::size_t, bool>;
    /** Eligible workers, demand of a member, and minimum members on one worker. */
    using LargeDemand = std::tuple<const EligibleWorkers*, std::uint32_t, std::uint32_t,
                                   std::uint32_t, std::uint32_t>;
    /** Smallest unit of its class that could not be placed; larger units are not tried. */
    struct FailedPlacement {
        std::size_t m_memberCount = 0;
        PlanExplanation m_explanation;
    };

    // Initial state.
    void assignDomainIds();
    void findGuaranteed();
    void collectActiveRuns();
    void collectActiveRunsOfStep(std::size_t job, const OccurrenceRun& occurrence,
                                 std::uint32_t step);
    std::optional<WorkerSlot> findSlot(const WorkerId& worker) const;
    void addActiveRun(const Occupant& run, const WorkerId& worker, bool isStopping);
    void recordSuspectRun(const TaskRun& task);
    void addGangCosts();
    void sortOccupants();
    void computeFreeCapacity();

    // Units and their order (PlanningPassOrder.cpp).
    std::vector<WaitingStep> collectSteps();
    void collectStep(std::size_t job, const OccurrenceRun& occurrence, std::uint32_t step,
                     std::vector<WaitingStep>& steps);
    void explainUnresolvedLosses(const JobRecord& record);
    static Millis getObjective(const JobRecord& record, std::uint32_t occurrence);
    std::uint32_t chooseBand(const WaitingStep& step, const OccurrenceRun& occurrence) const;
    WaitingStep makeStep(std::size_t job, const OccurrenceRun& occurrence, std::uint32_t step);
    Millis getWeightedObjective(const WaitingStep& step) const;
    UnitClass getUnitClass(const WorkUnit& unit);
    const EligibleWorkers* findEligible(const std::string& service, const std::string& label);
    const EligibleWorkers* findAdvised(const EligibleWorkers& all,
                                       const std::set<std::string>* advised);

    void placeStep(const WaitingStep& step);
    void placeUnit(const WorkUnit& unit);
    static bool isTypicalOfClass(const WorkUnit& unit);
    void recordFailedPlacement(const WorkUnit& unit);
    void recordUrgentWait(const WorkUnit& unit, UrgentWait::Cause cause, double preemptionCost = 0);
    bool placeOrWait(const WorkUnit& unit);
    bool placeInFreeOrReleasing(const WorkUnit& unit);
    void awaitReleasing(const WorkUnit& unit, const Assignment& assignment);
    void commit(const WorkUnit& unit, const Assignment& assignment);
    void addExplanation(const WorkUnit& unit, PlanExplanation::Kind kind, std::string text);
    void addExplanation(const WorkUnit& unit, std::string_view text) {
        addExplanation(unit, PlanExplanation::Kind::WAITS, std::string(text));
    }

    // Headroom for urgent work, and workers that a unit avoids (PlanningPassHosts.cpp).
    void setAsideHeadroom();
    void setAsideHeadroom(const std::string& service, std::uint32_t accelerators);
    bool isUnderutilized(const std::string& service) const;
    bool mayUseHeadroom(const WorkUnit& unit) const;
    bool isJobIdle(const WaitingStep& step) const;
    void excludeHosts(WorkUnit& unit);
    void avoidSuspectRuns(WorkUnit& unit);
    bool isLastAttempt(const WorkUnit& unit) const;
    bool mustAvoidSuspectHost(const WorkUnit& unit, WorkerSlot slot) const;
    bool fitsIdleWorkers(const WorkUnit& unit);
    void excludeIfOthersFit(WorkUnit& unit, const std::vector<WorkerSlot>& slots);
    void excludeUnprovenHosts(WorkUnit& unit);
    bool hasTaskLimit(const WorkUnit& unit) const;
    bool isAtTaskLimit(const WorkUnit& unit, WorkerSlot slot) const;
    void countLimitedTask(WorkerSlot slot, std::size_t job);

    // Placement within the free capacity (PlanningPassCapacity.cpp).
    /** Returns getUsableCapacity() by slot; zero for workers that are not eligible. */
    std::vector<Resources> listUsableCapacity(const WorkUnit& unit, bool withReleasing) const;
    Resources getUsableCapacity(const WorkUnit& unit, WorkerSlot slot, bool withReleasing) const;
    /** Assigns a unit within the current free capacity. */
    std::optional<Assignment> findPlace(const WorkUnit& unit, bool withReleasing);
    std::optional<Assignment> assign(const WorkUnit& unit,
                                     const std::vector<Resources>& capacities);
    std::optional<Assignment> assignToOneDomain(const WorkUnit& unit,
                                                const std::vector<Resources>& capacities);
    std::optional<Assignment> assignWithin(const WorkUnit& unit,
                                           const std::vector<Resources>& capacities,
                                           DomainId domain);
    template <typename GetCapacity>
    std::optional<WorkerSlot> chooseSlot(const WorkUnit& unit, std::uint32_t index, DomainId domain,
                                         const TasksPerWorker& used, GetCapacity getCapacity) const;
    static double getSpreadPenalty(const WorkUnit& unit, std::uint32_t index,
                                   std::string_view host);
    double getPenalty(const WorkUnit& unit, std::uint32_t index, WorkerSlot slot,
                      const Resources& capacity) const;
    bool isExcluded(const WorkUnit& unit, WorkerSlot slot) const;
    bool isAllowed(const WorkUnit& unit, WorkerSlot slot) const;
    bool isUnreservedFor(const WorkUnit& unit, WorkerSlot slot) const;
    bool allowsRemote(const WorkUnit& unit) const;
    const TasksPerWorker& countTasksPerWorker(const WorkUnit& unit);
    /** Returns the worker's topology domain at the level that must contain the whole unit. */
    DomainId getTopologyDomain(const WorkUnit& unit, WorkerSlot slot) const;
    std::vector<DomainId> listTopologyDomains(const WorkUnit& unit) const;
    bool needsSingleDomain(const WorkUnit& unit) const;

    // Preemption for urgent work (PlanningPassPreemption.cpp).
    Millis getWaitBudget(const WorkUnit& unit) const;
    bool waitForEnds(const WorkUnit& unit, Millis budget);
    std::optional<EndsWait> findEnds(const WorkUnit& unit, Millis budget);
    void awaitEnds(const WorkUnit& unit, const EndsWait& wait);
    bool isPreemptionJustified(const WorkUnit& unit, double preemptionCost) const;
    bool preemptFor(const WorkUnit& unit);
    std::optional<Preemption> findPreemption(const WorkUnit& unit);
    std::optional<Preemption> findPreemption(const WorkUnit& unit, DomainId domain,
                                             std::optional<std::size_t> firstGang = std::nullopt);
    void preempt(const WorkUnit& unit, const Preemption& preemption);
    bool addMember(const WorkUnit& unit, DomainId domain, Preemption& preemption) const;
    void addVictims(const Victims& victims, Preemption& preemption) const;
    const std::optional<Victims>& findVictims(const WorkUnit& unit, WorkerSlot slot,
                                              Preemption& preemption) const;
    std::optional<Victims> chooseVictims(const WorkUnit& unit, WorkerSlot slot,
                                         const Resources& need, const Preemption& preemption) const;
    double getSlownessCost(const WorkUnit& unit, WorkerSlot slot) const;
    double getPreemptionCost(const Victims& victims, const Preemption& preemption,
                             bool isWeighted) const;
    bool mayPreempt(const WorkUnit& unit, const Occupant& occupant) const;
    /** Whether a stop keeps the number of unavailable tasks of a lasting step within its limit. */
    bool mayInterrupt(const Occupant& occupant) const;
    std::uint32_t countUnavailable(const Occupant& occupant) const;
    void stop(Occupant& victim, const std::string& explanation,
              WorkOutcome cause = WorkOutcome::PREEMPTED);
    std::size_t getOccupantIndex(const Occupant& occupant) const {
        return static_cast<std::size_t>(&occupant - m_occupants.data());
    }
    void allocateReleasing(const WorkUnit& unit, const Assignment& assignment);
    void addReleasing(WorkerSlot slot, const Resources& need);
    /** Adds released capacity to `free`, after reducing `overcommitted` by as much as possible. */
    static void releaseCapacity(Resources& free, Resources& overcommitted, Resources released);
    TaskKey getKey(const Occupant& occupant) const;
    const JobRecord& getRecord(const Occupant& occupant) const;
    std::optional<Millis> getRemaining(const Occupant& occupant) const;

    // Victims over the whole set (PlanningPassVictims.cpp).
    double getVictimCost(const Occupant& victim, bool isWeighted) const;
    std::span<const std::size_t> orderVictims(const WorkUnit& unit, WorkerSlot slot,
                                              std::vector<std::size_t>& storage) const;
    bool isFreedByGang(const Occupant& occupant, const Preemption& preemption) const;
    std::vector<std::size_t> listFirstGangs(const WorkUnit& unit, double maxCost) const;
    void addGang(std::size_t group, Preemption& preemption) const;
    void dropUnneeded(Preemption& preemption) const;
    bool isHeldBy(const Preemption& preemption) const;

    // Placement by forecast completion (PlanningPassForecast.cpp).
    const SpeedSpread& getSpeeds(const EligibleWorkers& eligible);
    bool usesForecast(const WorkUnit& unit);
    CompletionForecast makeForecast(const WorkUnit& unit);
    double getSlowness(const Assignment& assignment) const;
    std::vector<bool> listSlowWorkers(const WorkUnit& unit, double maxSlowness,
                                      bool withUnrated) const;
    bool placeByForecast(const WorkUnit& unit);
    bool placeInTime(const WorkUnit& unit, const CompletionForecast& forecast,
                     const std::vector<bool>& avoided);
    bool waitInTime(const WorkUnit& unit, const CompletionForecast& forecast,
                    const WorkUnit& faster);
    bool preemptInTime(const WorkUnit& unit, const CompletionForecast& forecast,
                       const std::vector<bool>& slow);
    Millis getValueLeft(const WorkUnit& unit) const;

    // Early reservations (PlanningPassEarlyReservations.cpp).
    void reserveEarly(std::span<const WaitingStep> rest);
    bool reserveEarlyFor(const WorkUnit& unit, std::span<const WaitingStep> rest);
    bool mayReserve(const WorkUnit& unit);
    bool isLarge(const StepSpec& spec, std::uint32_t members) const;
    bool hasSmallRuns(const WorkUnit& unit, const ReservedHosts& hosts) const;
    std::vector<ReservableHost> listReservableHosts(const WorkUnit& unit);
    void collectExpectedReleases();
    bool ignoresEarlyReservation(const WorkUnit& unit, WorkerSlot slot) const;
    bool mayUseIdleReserved(const WorkUnit& unit) const;
    Resources limitToUnreserved(const WorkUnit& unit, WorkerSlot slot, const Resources& free) const;
    const EarlyReservation* findEarlyReservation(const WorkUnit& unit) const;
    void releaseEarlyReservation(const WorkUnit& unit);
    Millis getHighRunTime(const WaitingStep& step) const;
    void measureWholeRacks();
    bool isPacked(const WorkUnit& unit) const;
    double getPackingPenalty(const WorkUnit& unit, WorkerSlot slot,
                             const Resources& capacity) const;
    void addReservationExplanation(const WorkUnit& unit);
    void recordUnplaced(const WorkUnit& unit);
    double getFragmentation() const;
    void addReservationsToPlan();

    // Reservations, speculative copies and migrations (PlanningPassReservations.cpp).
    bool isStarved(const WorkUnit& unit) const;
    bool isStarved(const WaitingStep& step) const;
    void reserveFor(const WorkUnit& unit);
    std::optional<Millis> getExpectedRemaining(const Occupant& occupant) const;
    void copySlowTasks();
    bool isSlow(const Occupant& occupant) const;
    void addCopy(const Occupant& occupant);
    void migrateOffLeaving();
    bool mustMigrate(const Occupant& occupant) const;
    bool mustMigrateOffEvacuated(const Occupant& occupant) const;
    WaitingStep makeStepFor(const Occupant& occupant);

    // Explanations of waiting units (PlanningPassExplanations.cpp).
    void addWaitExplanation(const WorkUnit& unit);
    std::string explainWait(const WorkUnit& unit) const;
    bool canEverHold(const WorkUnit& unit) const;
    bool canEverHold(const WorkUnit& unit, bool withEvacuated) const;
    std::string listEvacuated(const WorkUnit& unit) const;

    const TaskPlannerSettings& m_settings;
    const PlanInput& m_input;
    const Millis m_wallNow;
    std::vector<WorkerState> m_workerStates;
    /** Slots by host; a host with several incarnations of its worker has several slots. */
    std::unordered_multimap<std::string_view, WorkerSlot> m_slots;
    std::unordered_map<std::string_view, DomainId> m_racks;
    /** Topology domains of each level in ascending order, computed on demand. */
    mutable std::map<Adjacency, std::vector<DomainId>> m_domainsByLevel;
    /** Workers on suspect hosts. */
    std::vector<WorkerSlot> m_suspectSlots;
    /** Workers with a limit of tasks per job. */
    std::vector<WorkerSlot> m_limitedSlots;
    /** Number of active runs by slot and job index, on the workers in m_limitedSlots. */
    std::map<std::pair<WorkerSlot, std::size_t>, std::uint32_t> m_limitedTasks;
    std::vector<Occupant> m_occupants;
    std::vector<OccupantGroup> m_groups;
    /** Indexes in m_occupants by slot, in the order in which they are considered as victims. */
    std::vector<std::vector<std::size_t>> m_occupantsOn;
    /** By job index: whether the job has priority 0 and its organisation's guarantee covers it. */
    std::vector<bool> m_guaranteed;
    /** Accelerators of the largest worker. */
    std::uint32_t m_maxWorkerAccelerators = 1;
    /** Starved units with reservations in this pass. */
    std::size_t m_reservationCount = 0;
    /** Services with headroom for which some resource is in low use, see isUnderutilized(). */
    std::set<std::string> m_underutilizedServices;
    /** Whether capacity of some worker is, or was in this pass, about to be freed. */
    bool m_hasReleasing = false;
    /** Whether some worker has a run of a suspect task. */
    bool m_hasSuspectRuns = false;
    /** By job index: whether this pass has placed a run of the job. */
    std::vector<bool> m_hasPlacements;
    /** By job index: whether the job had no active run before the pass; computed on demand. */
    mutable std::vector<std::optional<bool>> m_wasIdle;
    /** Eligible workers by service and required label. */
    std::map<std::pair<std::string_view, std::string_view>, EligibleWorkers> m_eligible;
    /** Speeds of eligible workers, computed on demand. */
    std::map<const EligibleWorkers*, SpeedSpread> m_speeds;
    /** Eligible workers of steps with placement advice; a deque keeps their addresses valid. */
    std::deque<EligibleWorkers> m_advised;
    std::unordered_map<const StepRun*, TasksPerWorker> m_tasksPerWorker;
    /** Result of countTasksPerWorker() for steps without a limit per worker. */
    const TasksPerWorker m_noTaskCounts;
    /**
     * Non-urgent units that could not be placed, by class. Units of the same class with as many or
     * more members are skipped, since the rest of the pass frees no capacity for them. Without this
     * cache a pass takes many times as long when thousands of gangs wait.
     */
    std::map<UnitClass, FailedPlacement> m_failedPlacements;
    EarlyReservations m_early;
    /** Large units for which hosts were searched in this pass. */
    std::size_t m_reservationAttempts = 0;
    /** Expected ends of active runs by slot; empty until a reservation is considered. */
    std::vector<std::vector<ExpectedRelease>> m_expectedReleases;
    std::map<std::string_view, std::uint64_t> m_acceleratorsByService;
    /** By rack number plus one: share of workers without an accelerator in use. */
    std::vector<double> m_wholeShares;
    std::set<LargeDemand> m_unplacedDemands;
    TaskPlan m_plan;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_PLANNINGPASS_H
