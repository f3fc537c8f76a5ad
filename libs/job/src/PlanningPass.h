// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_PLANNINGPASS_H
#define PIERBANK_JOB_PLANNINGPASS_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

/** Place of a worker in the pass's list. */
using WorkerSlot = std::size_t;

/** Work that is placed at once or not at all: a gang, or one task. */
struct WorkUnit {
    const JobRecord* m_record = nullptr;
    const JobRun* m_run = nullptr;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    /** The tasks of the unit; more than one only for a gang. */
    std::vector<std::uint32_t> m_indexes;
    bool m_isGuaranteed = false;
    /** Lives that may run it; null for all. */
    const std::set<std::string>* m_advised = nullptr;
    bool m_needsAdvice = false;
    /** Wall time since which it could have run, and by which its job should be done. */
    Millis m_since{0};
    Millis m_objective{0};
    /** Place in the order of units; lower ones are tried first. */
    std::uint32_t m_band = 0;
    /** Workers that it keeps off although they could hold it. */
    std::set<WorkerSlot> m_barred;

    const StepSpec& getSpec() const { return m_record->m_spec.m_steps[m_step]; }
    const StepRun& getStep() const { return m_run->findOccurrence(m_occurrence)->m_steps[m_step]; }
    TaskKey getKey(std::uint32_t index) const {
        return {m_record->m_id, m_occurrence, m_step, index};
    }
    bool isUrgent() const { return m_record->m_policy.m_priority == 0; }
    std::uint32_t countAccelerators() const;
};

/** One run of TaskPlanner::plan(). */
class PlanningPass {
public:
    PlanningPass(const TaskPlannerSettings& settings, const std::vector<WorkerView>& workers,
                 const std::vector<PlannedJob>& jobs, const std::map<TaskKey, Millis>& remaining,
                 const std::map<std::string, std::uint32_t>& guarantees, Millis wallNow);

    TaskPlan run();

private:
    /** Room of one worker during the pass. */
    struct Room {
        const WorkerView* m_view = nullptr;
        Resources m_free;
        /** What stops will free. */
        Resources m_leaving;
        /** A starved unit begins here in this time; only what ends before may start. */
        std::optional<Millis> m_claimedIn;
        /** Kept for urgent work that will come. */
        bool m_isReserved = false;
    };
    /** A run that may be made to give way. */
    struct Occupant {
        const JobRecord* m_record = nullptr;
        const StepRun* m_step = nullptr;
        const StepSpec* m_spec = nullptr;
        HeldRun m_held;
        WorkerSlot m_slot = 0;
        bool m_isGuaranteed = false;
        bool m_isPreempted = false;
        /** Its room is promised to a unit that waits for its end. */
        bool m_isAwaited = false;
        /** Until it ends by itself; empty when nothing tells. */
        std::optional<Millis> m_remaining;
        /** Core-milliseconds of work that a stop throws away; of all members for a gang's. */
        double m_loss = 0;
    };
    using Assignment = std::vector<WorkerSlot>;
    /** A place for a unit, and what has to give way there. */
    struct Eviction {
        Assignment m_assignment;
        std::set<std::size_t> m_victims;
        double m_loss = 0;
    };
    /** What makes two units that find no room alike. */
    using Likeness = std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint32_t,
                                std::size_t, std::string, std::string, int, bool, bool, Millis>;

    // Set-up.
    void findGuaranteed();
    void takeRooms();
    void takeRun(const PlannedJob& job, const HeldRun& held);
    void addGangLosses();

    // Units and their order.
    std::vector<WorkUnit> collectUnits() const;
    void collectStep(const PlannedJob& job, const OccurrenceRun& occurrence, std::uint32_t step,
                     std::vector<WorkUnit>& units) const;
    static Millis getObjective(const JobRecord& record, std::uint32_t occurrence);
    std::uint32_t chooseBand(const WorkUnit& unit, const OccurrenceRun& occurrence) const;
    WorkUnit makeUnit(const PlannedJob& job, const OccurrenceRun& occurrence,
                      std::uint32_t step) const;
    Millis weighObjective(const WorkUnit& unit) const;

    void placeUnit(const WorkUnit& unit);
    bool placeOrWait(const WorkUnit& unit);
    void commit(const WorkUnit& unit, const Assignment& assignment);
    void note(const WorkUnit& unit, PlanNote::Kind kind, std::string text);
    void note(const WorkUnit& unit, std::string text) {
        note(unit, PlanNote::Kind::WAITS, std::move(text));
    }
    Likeness getLikeness(const WorkUnit& unit) const;

    // Workers kept for urgent work, and those that a unit keeps off (PlanningPassHosts.cpp).
    void reserveForUrgent();
    void reserveForUrgent(const std::string& service, std::uint32_t accelerators);
    bool isHardlyHalfUsed(const std::string& service) const;
    bool mayUseReserved(const WorkUnit& unit) const;
    void barHosts(WorkUnit& unit) const;
    bool isLastAttempt(const WorkUnit& unit) const;
    bool isRisk(const WorkUnit& unit, WorkerSlot slot) const;
    bool couldHold(const WorkUnit& unit) const;

    // Where a unit fits (PlanningPassRooms.cpp).
    /** Rooms as they would be if a unit could use everything that `withLeaving` says. */
    std::vector<Resources> getRooms(const WorkUnit& unit, bool withLeaving) const;
    std::optional<Assignment> assign(const WorkUnit& unit,
                                     const std::vector<Resources>& rooms) const;
    std::optional<Assignment> assignNear(const WorkUnit& unit,
                                         const std::vector<Resources>& rooms) const;
    std::optional<Assignment> assignWithin(const WorkUnit& unit,
                                           const std::vector<Resources>& rooms,
                                           const std::string& part) const;
    std::optional<WorkerSlot> chooseSlot(const WorkUnit& unit, std::uint32_t index,
                                         const std::vector<Resources>& rooms,
                                         const std::string& part,
                                         const std::map<WorkerSlot, std::uint32_t>& used) const;
    double rate(const WorkUnit& unit, std::uint32_t index, WorkerSlot slot,
                const Resources& room) const;
    bool isAllowed(const WorkUnit& unit, WorkerSlot slot) const;
    bool isOpenTo(const WorkUnit& unit, WorkerSlot slot) const;
    bool mayGoFar(const WorkUnit& unit) const;
    std::map<WorkerSlot, std::uint32_t> countOfStep(const WorkUnit& unit) const;
    /** The part of the topology that has to hold the unit's members; empty for any. */
    std::string getPart(const WorkUnit& unit, WorkerSlot slot) const;
    std::set<std::string> listParts(const WorkUnit& unit) const;

    // How urgent work gets room that other work has (PlanningPassEviction.cpp).
    bool waitFor(const WorkUnit& unit);
    bool isWorth(const WorkUnit& unit, double loss) const;
    bool preemptFor(const WorkUnit& unit);
    std::optional<Eviction> findEviction(const WorkUnit& unit, const std::string& part) const;
    bool addMember(const WorkUnit& unit, const std::string& part,
                   std::map<WorkerSlot, std::uint32_t>& used,
                   std::map<WorkerSlot, Resources>& needed, Eviction& eviction) const;
    std::optional<std::vector<std::size_t>> chooseVictims(const WorkUnit& unit, WorkerSlot slot,
                                                          const Resources& need) const;
    double getLoss(const std::vector<std::size_t>& victims, const Eviction& eviction) const;
    static bool isSameRun(const Occupant& a, const Occupant& b);
    bool mayPreempt(const WorkUnit& unit, const Occupant& occupant) const;
    /** A lasting task may be stopped without breaking the promise of its step. */
    bool mayMiss(const Occupant& occupant) const;
    void stop(Occupant& victim, const std::string& why);
    void reserveLeaving(const WorkUnit& unit, const Assignment& assignment);

    // Claims of starved units, copies of slow tasks, moves (PlanningPassClaims.cpp).
    bool isStarved(const WorkUnit& unit) const;
    void claimFor(const WorkUnit& unit);
    std::optional<Millis> getExpectedEnd(const Occupant& occupant) const;
    void copySlowTasks();
    bool isSlow(const Occupant& occupant) const;
    void copyElsewhere(const Occupant& occupant);
    void moveOffLeaving();
    bool mustLeave(const Occupant& occupant) const;
    WorkUnit makeUnitOf(const Occupant& occupant) const;

    // Why a unit waits, and what would change that (PlanningPassReasons.cpp).
    void noteWait(const WorkUnit& unit);
    std::string explainWait(const WorkUnit& unit) const;
    bool canEverHold(const WorkUnit& unit) const;

    const TaskPlannerSettings& m_settings;
    const std::vector<PlannedJob>& m_jobs;
    const std::map<TaskKey, Millis>& m_remaining;
    const std::map<std::string, std::uint32_t>& m_guarantees;
    const Millis m_wallNow;
    std::vector<Room> m_rooms;
    std::map<WorkerId, WorkerSlot> m_slots;
    std::vector<Occupant> m_occupants;
    /** Jobs of priority 0 that their organisation's guarantee covers. */
    std::set<std::string> m_guaranteed;
    /** Accelerators of the largest worker. */
    std::uint32_t m_largestWorker = 1;
    std::size_t m_claims = 0;
    /** Services with reserved workers, of which hardly half of some resource is in use. */
    std::set<std::string> m_idleServices;
    /** Jobs of which this pass has placed something. */
    std::set<std::string> m_begun;
    /** Units without priority 0 that found no room, and why: like ones need not be tried. */
    std::map<Likeness, PlanNote> m_roomless;
    TaskPlan m_plan;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_PLANNINGPASS_H
