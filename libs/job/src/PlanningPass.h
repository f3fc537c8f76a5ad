// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_PLANNINGPASS_H
#define PIERBANK_JOB_PLANNINGPASS_H

#include <algorithm>
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
#include "Occupant.h"
#include "pierbank/job/CompletionForecast.h"
#include "pierbank/job/TaskPlanner.h"
#include "WorkerState.h"
#include "WorkUnit.h"

namespace pierbank {

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
                       bool, DomainId, int, bool, bool, Millis, std::size_t, std::size_t>;
    /** Eligible workers, demand of a member, and minimum members on one worker. */
    using LargeDemand = std::tuple<const EligibleWorkers*, std::uint32_t, std::uint32_t,
                                   std::uint32_t, std::uint32_t>;
    /** Shares of a service's capacity in use, 0 to 1; 1 for what the service has none of. */
    struct CapacityUse {
        double m_accelerators = 1.0;
        double m_cpu = 1.0;
        double m_memory = 1.0;
        /** All resources, in cores. */
        double m_coreEquivalents = 1.0;

        double getLowest() const { return std::min({m_accelerators, m_cpu, m_memory}); }
    };
    /** Smallest unit of its class that could not be placed; larger units are not tried. */
    struct FailedPlacement {
        std::size_t m_memberCount = 0;
        PlanExplanation m_explanation;
    };

    // Initial state.
    void assignDomainIds();
    void findGuaranteed();

    // Active runs (PlanningPassActiveRuns.cpp).
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
    void explainUnresolvedLosses(const WaitingStep& step);
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
    bool mayUseHeadroom(const WorkUnit& unit) const;
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
    bool prefersDomain(const WorkUnit& unit) const;
    bool canPreferredDomainHold(const WorkUnit& unit) const;
    bool canEverUse(const WorkUnit& unit, WorkerSlot slot) const;
    const TasksPerWorker& countTasksPerWorker(const WorkUnit& unit);
    void countPlacedTask(const WorkUnit& unit, WorkerSlot slot);
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
    bool mayPreempt(const WorkUnit& unit, const Occupant& occupant,
                    const std::set<std::size_t>& chosen) const;
    static bool isLimited(const Occupant& occupant);
    /** Whether a stop keeps the number of unavailable tasks of a lasting step within its limit. */
    bool mayInterrupt(const Occupant& occupant, const std::set<std::size_t>& chosen) const;
    std::uint32_t countUnavailable(const Occupant& occupant,
                                   const std::set<std::size_t>& chosen) const;
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

    // Idle jobs that wait (PlanningPassIdle.cpp).
    bool isJobIdle(const WaitingStep& step) const;
    Millis getIdleTime(const WaitingStep& step) const;
    bool isOverdue(const WorkUnit& unit) const;
    bool isLastingTaskOverdue(const WorkUnit& unit) const;
    bool placeOverdue(const WorkUnit& unit);
    double getOverduePenalty(const WorkUnit& unit, WorkerSlot slot) const;
    void recordIdleWait(const WorkUnit& unit);
    bool mayRecordIdleWait(const WaitingStep& step) const;
    void addIdleWait(const WaitingStep& step, IdleWait wait);
    IdleReason findIdleReason(const WorkUnit& unit, std::uint32_t fitting);
    template <typename IsUsable>
    std::uint32_t countPlaces(const WorkUnit& unit, IsUsable isUsable);
    bool hasTwiceTheDemandFree(const WorkUnit& unit) const;
    void measureUse();

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
    /** Whether capacity of some worker is, or was in this pass, about to be freed. */
    bool m_hasReleasing = false;
    /** Whether some worker has a run of a suspect task. */
    bool m_hasSuspectRuns = false;
    /** By job index: whether this pass has placed a run of the job. */
    std::vector<bool> m_hasPlacements;
    /** By job index: whether the job had no active run before the pass; computed on demand. */
    mutable std::vector<std::optional<bool>> m_wasIdle;
    /** By job index: whether a unit was assigned capacity that is being freed. */
    std::vector<bool> m_awaitsCapacity;
    /** By job index: whether the plan says why the idle job waits. */
    std::vector<bool> m_hasIdleWait;
    /** As it was at the start of the pass. */
    std::map<std::string_view, CapacityUse> m_useByService;
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
