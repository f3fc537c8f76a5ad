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

#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

/** Place of a worker in the pass's list. */
using WorkerSlot = std::size_t;

/** Number of a host, rack or failure domain, in the order of their names. */
using PartNumber = std::int32_t;
/** Any worker will do. */
constexpr PartNumber ANY_PART = -1;
/** No worker is there. */
constexpr PartNumber UNKNOWN_PART = -2;

/** Workers that may run a step, whatever room they have. */
struct EligibleWorkers {
    /** Ascending. */
    std::vector<WorkerSlot> m_slots;
    /** By slot. */
    std::vector<bool> m_has;
};

/** A step of which tasks wait: all that its units have in common. */
struct WaitingStep {
    const JobRecord* m_record = nullptr;
    const JobRun* m_run = nullptr;
    const StepRun* m_step = nullptr;
    const StepSpec* m_spec = nullptr;
    /** Place in the list of jobs. */
    std::size_t m_job = 0;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_number = 0;
    /** Waiting tasks. */
    std::vector<std::uint32_t> m_indexes;
    bool m_isGuaranteed = false;
    const EligibleWorkers* m_eligible = nullptr;
    /** Lives that may run it; null for all. */
    const std::set<std::string>* m_advised = nullptr;
    bool m_needsAdvice = false;
    /** Wall time since which it could have run, and by which its job should be done. */
    Millis m_since{0};
    Millis m_objective{0};
    /** The objective as it counts for the order. */
    Millis m_weighedObjective{0};
    /** Place in the order; lower ones are tried first. */
    std::uint32_t m_band = 0;
};

/** Work that is placed at once or not at all: a gang, or one task. */
struct WorkUnit {
    const WaitingStep* m_of = nullptr;
    /** The tasks of the unit; more than one only for a gang. */
    std::span<const std::uint32_t> m_indexes;
    /** Workers that it keeps off although they could hold it. */
    std::vector<WorkerSlot> m_barred;
    /** One of its tasks may crash its worker. */
    bool m_isSuspect = false;
    /** It keeps off workers on which a suspect is about to run, as it is then. */
    bool m_keepsOffRisks = false;

    const JobRecord& getRecord() const { return *m_of->m_record; }
    const StepSpec& getSpec() const { return *m_of->m_spec; }
    const StepRun& getStep() const { return *m_of->m_step; }
    TaskKey getKey(std::uint32_t index) const {
        return {getRecord().m_id, m_of->m_occurrence, m_of->m_number, index};
    }
    bool isUrgent() const { return getRecord().m_policy.m_priority == 0; }
    std::uint32_t countAccelerators() const;
};

/**
 * One run of TaskPlanner::plan(). Workers, parts and steps have dense numbers inside; names are
 * looked up once for each at the beginning.
 */
class PlanningPass {
public:
    PlanningPass(const TaskPlannerSettings& settings, const PlanInput& input);

    TaskPlan run();

private:
    /** Room of one worker during the pass. */
    struct Room {
        const WorkerSnapshot* m_view = nullptr;
        Resources m_free;
        /** What stops will free. */
        Resources m_leaving;
        /** What runs beyond the room since that has shrunk: ends of as much free nothing. */
        Resources m_over;
        /** A starved unit begins here in this time; only what ends before may start. */
        std::optional<Millis> m_claimedIn;
        /** Kept for urgent work that will come. */
        bool m_isReserved = false;
        /** A run on it may crash it. */
        bool m_isAtRisk = false;
        /** Runs that hold it, those that this pass places included. */
        std::size_t m_runs = 0;
        PartNumber m_host = ANY_PART;
        PartNumber m_rack = ANY_PART;
        PartNumber m_failureDomain = ANY_PART;
    };
    /** A run that may be made to give way. */
    struct Occupant {
        std::size_t m_job = 0;
        const StepRun* m_step = nullptr;
        const StepSpec* m_spec = nullptr;
        /** Place in m_groups. */
        std::size_t m_group = 0;
        std::uint32_t m_occurrence = 0;
        std::uint32_t m_stepNumber = 0;
        std::uint32_t m_index = 0;
        std::uint32_t m_run = 0;
        Millis m_placedAt{0};
        WorkerSlot m_slot = 0;
        bool m_isCopy = false;
        bool m_isUrgent = false;
        bool m_isGuaranteed = false;
        bool m_isPreempted = false;
        /** Its room is promised to a unit that waits for its end. */
        bool m_isAwaited = false;
        /** Core-milliseconds of work that a stop throws away; of all members for a gang's. */
        double m_loss = 0;
    };
    /** Occupants of one step of one occurrence; they lie side by side. */
    struct OccupantGroup {
        std::size_t m_first = 0;
        std::size_t m_end = 0;
    };
    using Assignment = std::vector<WorkerSlot>;
    using Victims = std::vector<std::size_t>;
    /** Tasks of a step by slot; empty where no limit asks for them. */
    using StepCounts = std::vector<std::uint32_t>;
    /** A place for a unit, and what has to give way there. */
    struct Eviction {
        Assignment m_assignment;
        std::set<std::size_t> m_victims;
        /** Groups of gangs among the victims. */
        std::set<std::size_t> m_gangs;
        double m_loss = 0;
        /** The loss, and what slow workers cost. */
        double m_rate = 0;
        /** What the unit's members take so far, and what that would evict, by slot. */
        std::map<WorkerSlot, Resources> m_needed;
        std::vector<std::optional<std::optional<Victims>>> m_victimsOn;
        StepCounts m_used;
    };
    /** What makes two units that find no room alike, but for the number of their members. */
    using Likeness = std::tuple<const EligibleWorkers*, std::uint32_t, std::uint32_t, std::uint32_t,
                                bool, bool, PartNumber, int, bool, bool, Millis>;
    /** Units of so many members, and larger ones, find no room. */
    struct Roomless {
        std::size_t m_members = 0;
        PlanExplanation m_note;
    };

    // Set-up.
    void numberParts();
    void findGuaranteed();
    void takeRooms();
    void takeStep(std::size_t job, const OccurrenceRun& occurrence, std::uint32_t step);
    std::optional<WorkerSlot> findSlot(const WorkerId& worker) const;
    void takeRun(const Occupant& run, const WorkerId& worker, bool isStopping);
    void noteRisk(const TaskRun& task);
    void addGangLosses();
    void sortOccupants();
    void findOvercommitted();

    // Units and their order (PlanningPassOrder.cpp).
    std::vector<WaitingStep> collectSteps();
    void collectStep(std::size_t job, const OccurrenceRun& occurrence, std::uint32_t step,
                     std::vector<WaitingStep>& steps);
    void noteOpenLosses(const JobRecord& record);
    static Millis getObjective(const JobRecord& record, std::uint32_t occurrence);
    std::uint32_t chooseBand(const WaitingStep& step, const OccurrenceRun& occurrence) const;
    WaitingStep makeStep(std::size_t job, const OccurrenceRun& occurrence, std::uint32_t step);
    Millis weighObjective(const WaitingStep& step) const;
    Likeness getLikeness(const WorkUnit& unit);
    const EligibleWorkers* findEligible(const std::string& service, const std::string& label);
    const EligibleWorkers* findAdvised(const EligibleWorkers& all,
                                       const std::set<std::string>* advised);

    void placeStep(const WaitingStep& step);
    void placeUnit(const WorkUnit& unit);
    void noteRoomless(const WorkUnit& unit);
    void noteUrgentWait(const WorkUnit& unit, UrgentWait::Cause what, double loss = 0);
    bool placeOrWait(const WorkUnit& unit);
    void commit(const WorkUnit& unit, const Assignment& assignment);
    void note(const WorkUnit& unit, PlanExplanation::Kind kind, std::string text);
    void note(const WorkUnit& unit, std::string_view text) {
        note(unit, PlanExplanation::Kind::WAITS, std::string(text));
    }

    // Workers kept for urgent work, and those that a unit keeps off (PlanningPassHosts.cpp).
    void reserveForUrgent();
    void reserveForUrgent(const std::string& service, std::uint32_t accelerators);
    bool isHardlyHalfUsed(const std::string& service) const;
    bool mayUseReserved(const WorkUnit& unit) const;
    bool hasNothingRunning(const WaitingStep& step) const;
    void barHosts(WorkUnit& unit);
    void keepOffRisks(WorkUnit& unit);
    bool isLastAttempt(const WorkUnit& unit) const;
    bool isRisk(const WorkUnit& unit, WorkerSlot slot) const;
    bool couldHold(const WorkUnit& unit);

    // Where a unit fits (PlanningPassCapacity.cpp).
    /** Rooms as they would be if a unit could use everything that `withLeaving` says. */
    std::vector<Resources> getRooms(const WorkUnit& unit, bool withLeaving) const;
    Resources getRoom(const WorkUnit& unit, WorkerSlot slot, bool withLeaving) const;
    /** A place among the rooms as they are. */
    std::optional<Assignment> findPlace(const WorkUnit& unit, bool withLeaving);
    std::optional<Assignment> assign(const WorkUnit& unit, const std::vector<Resources>& rooms);
    std::optional<Assignment> assignNear(const WorkUnit& unit, const std::vector<Resources>& rooms);
    std::optional<Assignment> assignWithin(const WorkUnit& unit,
                                           const std::vector<Resources>& rooms, PartNumber part);
    template <typename GetRoom>
    std::optional<WorkerSlot> chooseSlot(const WorkUnit& unit, std::uint32_t index, PartNumber part,
                                         const StepCounts& used, GetRoom getRoom) const;
    static double rateAfterLoss(const WorkUnit& unit, std::uint32_t index, std::string_view host);
    double rate(const WorkUnit& unit, std::uint32_t index, WorkerSlot slot,
                const Resources& room) const;
    bool isBarred(const WorkUnit& unit, WorkerSlot slot) const;
    bool isAllowed(const WorkUnit& unit, WorkerSlot slot) const;
    bool isOpenTo(const WorkUnit& unit, WorkerSlot slot) const;
    bool allowsRemote(const WorkUnit& unit) const;
    const StepCounts& countOfStep(const WorkUnit& unit);
    /** The part of the topology that has to hold the unit's members; ANY_PART for any. */
    PartNumber getPart(const WorkUnit& unit, WorkerSlot slot) const;
    std::vector<PartNumber> listParts(const WorkUnit& unit) const;
    bool needsPart(const WorkUnit& unit) const;

    // How urgent work gets room that other work has (PlanningPassEviction.cpp).
    bool waitFor(const WorkUnit& unit);
    bool isWorth(const WorkUnit& unit, double loss) const;
    bool preemptFor(const WorkUnit& unit);
    std::optional<Eviction> findEviction(const WorkUnit& unit, PartNumber part);
    bool addMember(const WorkUnit& unit, PartNumber part, Eviction& eviction) const;
    const std::optional<Victims>& findVictims(const WorkUnit& unit, WorkerSlot slot,
                                              Eviction& eviction) const;
    std::optional<Victims> chooseVictims(const WorkUnit& unit, WorkerSlot slot,
                                         const Resources& need) const;
    double getDelay(const WorkUnit& unit, WorkerSlot slot) const;
    double getLoss(const Victims& victims, const Eviction& eviction) const;
    bool mayPreempt(const WorkUnit& unit, const Occupant& occupant) const;
    /** A lasting task may be stopped without breaking the promise of its step. */
    bool mayMiss(const Occupant& occupant) const;
    std::uint32_t countAway(const Occupant& occupant) const;
    void stop(Occupant& victim, const std::string& why);
    std::size_t getPlace(const Occupant& occupant) const {
        return static_cast<std::size_t>(&occupant - m_occupants.data());
    }
    void reserveLeaving(const WorkUnit& unit, const Assignment& assignment);
    void addLeaving(WorkerSlot slot, const Resources& need);
    /** Adds to a room what an end frees, after what makes up for the room that is gone. */
    static void giveBack(Resources& room, Resources& over, Resources need);
    TaskKey getKey(const Occupant& occupant) const;
    const JobRecord& getRecord(const Occupant& occupant) const;
    std::optional<Millis> getRemaining(const Occupant& occupant) const;

    // Claims of starved units, copies of slow tasks, moves (PlanningPassClaims.cpp).
    bool isStarved(const WorkUnit& unit) const;
    bool isStarved(const WaitingStep& step) const;
    void claimFor(const WorkUnit& unit);
    std::optional<Millis> getExpectedEnd(const Occupant& occupant) const;
    void copySlowTasks();
    bool isSlow(const Occupant& occupant) const;
    void copyElsewhere(const Occupant& occupant);
    void moveOffLeaving();
    bool mustLeave(const Occupant& occupant) const;
    bool mustLeaveDomain(const Occupant& occupant) const;
    WaitingStep makeStepOf(const Occupant& occupant);

    // Why a unit waits, and what would change that (PlanningPassReasons.cpp).
    void noteWait(const WorkUnit& unit);
    std::string explainWait(const WorkUnit& unit) const;
    bool canEverHold(const WorkUnit& unit) const;
    bool canEverHold(const WorkUnit& unit, bool withEvacuated) const;
    std::string listEvacuated(const WorkUnit& unit) const;

    const TaskPlannerSettings& m_settings;
    const PlanInput& m_input;
    const Millis m_wallNow;
    std::vector<Room> m_rooms;
    /** Slots by host; a host that has several lives has several. */
    std::unordered_multimap<std::string_view, WorkerSlot> m_slots;
    std::unordered_map<std::string_view, PartNumber> m_racks;
    std::vector<WorkerSlot> m_suspects;
    std::vector<Occupant> m_occupants;
    std::vector<OccupantGroup> m_groups;
    /** Occupants by slot, those that cost least first. */
    std::vector<std::vector<std::size_t>> m_occupantsOn;
    /** By place of the job: of priority 0, and covered by its organisation's guarantee. */
    std::vector<bool> m_guaranteed;
    /** Accelerators of the largest worker. */
    std::uint32_t m_largestWorker = 1;
    std::size_t m_claims = 0;
    /** Services with reserved workers, of which hardly half of some resource is in use. */
    std::set<std::string> m_idleServices;
    /** Some worker is at risk. */
    bool m_hasRisks = false;
    /** By place of the job: this pass has placed something of it. */
    std::vector<bool> m_begun;
    /** By place of the job: nothing of it ran when the pass began; worked out when asked for. */
    mutable std::vector<std::optional<bool>> m_wasIdle;
    std::map<std::pair<std::string_view, std::string_view>, EligibleWorkers> m_eligible;
    std::deque<EligibleWorkers> m_advised;
    std::unordered_map<const StepRun*, StepCounts> m_stepCounts;
    const StepCounts m_noCounts;
    /**
     * Units without priority 0 that found no room: like ones need not be tried, since nothing that
     * comes after them gives room back. With 3,500 gangs waiting for 690 workers a pass takes 6.7
     * ms instead of 156 (median of 15, `pierbank-replay --pass`).
     */
    std::map<Likeness, Roomless> m_roomless;
    TaskPlan m_plan;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_PLANNINGPASS_H
