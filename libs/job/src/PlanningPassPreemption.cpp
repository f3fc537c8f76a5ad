// SPDX-License-Identifier: Apache-2.0
// Preemption: urgent work gets capacity that other runs occupy.
#include <algorithm>
#include <limits>

#include "PlanningPass.h"

namespace pierbank {

namespace {

constexpr double CORES_PER_ACCELERATOR = 8.0;
constexpr double MILLIS_PER_CORE = 1000.0;
constexpr double MILLIS_PER_SECOND = 1000.0;

}  // namespace

double getCoreEquivalent(const Resources& need) {
    return need.m_cpuMillis / MILLIS_PER_CORE + CORES_PER_ACCELERATOR * need.m_accelerators;
}

/**
 * Guaranteed units may also preempt urgent runs without a guarantee.
 * @param chosen runs that the unit preempts in any case.
 */
bool PlanningPass::mayPreempt(const WorkUnit& unit, const Occupant& occupant,
                              const std::set<std::size_t>& chosen) const {
    if (occupant.m_isPreempted || occupant.m_isAwaited ||
        occupant.m_jobIndex == unit.m_waitingStep->m_jobIndex) {
        return false;
    }
    const bool mayReclaim = unit.m_waitingStep->m_isGuaranteed && !occupant.m_isGuaranteed;
    return (!occupant.m_isUrgent || mayReclaim) && mayInterrupt(occupant, chosen);
}

/** Whether a run limits how many runs of its step may be stopped at the same time. */
bool PlanningPass::isLimited(const Occupant& occupant) {
    return occupant.m_spec->m_isLongRunning && occupant.m_spec->m_maxUnavailable > 0;
}

/**
 * Whether a run may be stopped, as far as the limit of unavailable tasks of its step is concerned.
 * The stop of one member stops a whole gang.
 * @param chosen runs that are stopped together with this one.
 */
bool PlanningPass::mayInterrupt(const Occupant& occupant,
                                const std::set<std::size_t>& chosen) const {
    if (!isLimited(occupant)) {
        return true;
    }
    const StepSpec& spec = *occupant.m_spec;
    return spec.m_isGang ? spec.m_tasks <= spec.m_maxUnavailable
                         : countUnavailable(occupant, chosen) < spec.m_maxUnavailable;
}

/**
 * Counts the tasks of a lasting step that do not run, are to be stopped, started recently, or are
 * not at work yet, apart from the occupant: on a slow worker the start may take long.
 * @param chosen runs that are stopped together with this one.
 */
std::uint32_t PlanningPass::countUnavailable(const Occupant& occupant,
                                             const std::set<std::size_t>& chosen) const {
    const PlannedJob& job = m_input.m_jobs[occupant.m_jobIndex];
    TaskKey key{job.m_record->m_id, occupant.m_occurrence, occupant.m_stepNumber, 0};
    std::vector<bool> isUnavailable;
    isUnavailable.reserve(occupant.m_step->m_tasks.size());
    for (const TaskRun& task : occupant.m_step->m_tasks) {
        // To stop a task that is not at work makes no further task unavailable.
        const bool isAtWork = job.m_lasting == nullptr || key.m_index == occupant.m_index ||
                              job.m_lasting->isAtWork(key, task.m_run);
        const bool isSettled = task.m_state == TaskState::PLACED && isAtWork &&
                               m_wallNow - task.m_placedAt >= m_settings.m_settleTime;
        isUnavailable.push_back(!isSettled);
        ++key.m_index;
    }
    const OccupantGroup& group = m_groups[occupant.m_group];
    for (std::size_t i = group.m_first; i < group.m_end; ++i) {
        const Occupant& other = m_occupants[i];
        const bool isChosen = other.m_index != occupant.m_index && chosen.count(i) != 0;
        if (other.m_isPreempted || isChosen) {
            isUnavailable[other.m_index] = true;
        }
    }
    return static_cast<std::uint32_t>(std::count(isUnavailable.begin(), isUnavailable.end(), true));
}

/** Sets aside capacity that runs which are being stopped will free; no other unit may use it. */
void PlanningPass::awaitReleasing(const WorkUnit& unit, const Assignment& assignment) {
    allocateReleasing(unit, assignment);
    addExplanation(unit, unit.m_outlook == UrgentWait::Outlook::IN_TIME
                                 ? "waits until work that is being stopped has ended, on workers "
                                   "that are fast enough for its objective"
                                 : "waits until work that is being stopped has ended");
    recordUrgentWait(unit, UrgentWait::Cause::STOPS);
}

/** Returns how long the unit may still wait for ends before it preempts other runs. */
Millis PlanningPass::getWaitBudget(const WorkUnit& unit) const {
    const auto estimate = static_cast<double>(unit.getSpec().m_estimate.count());
    const Millis share(static_cast<std::int64_t>(m_settings.m_preemptionDelayShare * estimate));
    const Millis waited = m_wallNow - unit.m_waitingStep->m_dueAt;
    return std::min(share, m_settings.m_maxPreemptionDelay) - waited;
}

/** Waits for runs that are about to end instead of preempting them. */
bool PlanningPass::waitForEnds(const WorkUnit& unit, Millis budget) {
    const auto wait = findEnds(unit, budget);
    if (wait.has_value()) {
        awaitEnds(unit, *wait);
    }
    return wait.has_value();
}

/** Finds a place for the unit in capacity that is free or will be freed within the budget. */
std::optional<PlanningPass::EndsWait> PlanningPass::findEnds(const WorkUnit& unit, Millis budget) {
    if (budget <= Millis(0)) {
        return std::nullopt;
    }
    std::vector<Resources> capacities = listUsableCapacity(unit, true);
    std::vector<std::pair<std::size_t, Millis>> ending;
    for (const WorkerSlot slot : unit.m_waitingStep->m_eligible->m_slots) {
        if (isExcluded(unit, slot) || !isUnreservedFor(unit, slot)) {
            continue;
        }
        Resources overcommitted = m_workerStates[slot].m_overcommitted;
        for (const std::size_t i : m_occupantsOn[slot]) {
            const Occupant& occupant = m_occupants[i];
            const bool isReleasing = occupant.m_isPreempted || occupant.m_isAwaited;
            const auto remaining = isReleasing ? std::nullopt : getRemaining(occupant);
            if (remaining.has_value() && *remaining <= budget) {
                releaseCapacity(capacities[slot], overcommitted,
                                occupant.m_spec->getCapacityDemand());
                ending.emplace_back(i, *remaining);
            }
        }
    }
    const auto assignment = ending.empty() ? std::nullopt : assign(unit, capacities);
    if (!assignment.has_value()) {
        return std::nullopt;
    }
    EndsWait wait{*assignment, {}, Millis(0)};
    for (const auto& [i, remaining] : ending) {
        if (std::find(assignment->begin(), assignment->end(), m_occupants[i].m_slot) !=
            assignment->end()) {
            wait.m_ends.push_back(i);
            wait.m_startsIn = std::max(wait.m_startsIn, remaining);
        }
    }
    return wait;
}

/** Sets aside the capacity that the awaited runs will free. */
void PlanningPass::awaitEnds(const WorkUnit& unit, const EndsWait& wait) {
    for (const std::size_t i : wait.m_ends) {
        Occupant& occupant = m_occupants[i];
        occupant.m_isAwaited = true;
        addReleasing(occupant.m_slot, occupant.m_spec->getCapacityDemand());
    }
    allocateReleasing(unit, wait.m_assignment);
    addExplanation(unit, unit.m_outlook == UrgentWait::Outlook::IN_TIME
                                 ? "waits for work that is about to end on workers that are fast "
                                   "enough for its objective"
                                 : "waits for work that is about to end");
    recordUrgentWait(unit, UrgentWait::Cause::ENDS);
}

/** Preempts the runs whose loss, together with the cost of slow workers, is the lowest. */
bool PlanningPass::preemptFor(const WorkUnit& unit) {
    if (!m_input.m_mayPreempt) {
        recordUrgentWait(unit, UrgentWait::Cause::WORKERS, 0.0);
        return false;
    }
    const std::optional<Preemption> best = findPreemption(unit);
    if (!best.has_value() || !isPreemptionJustified(unit, best->m_preemptionCost)) {
        const auto cause =
                best.has_value() ? UrgentWait::Cause::CAPACITY : UrgentWait::Cause::WORKERS;
        recordUrgentWait(unit, cause,
                         best.has_value() ? best->m_preemptionCost / MILLIS_PER_SECOND : 0.0);
        return false;
    }
    preempt(unit, *best);
    return true;
}

/** Returns the cheapest preemption over the topology domains; empty if there is none. */
std::optional<PlanningPass::Preemption> PlanningPass::findPreemption(const WorkUnit& unit) {
    std::optional<Preemption> best;
    const auto consider = [&](std::optional<Preemption> preemption) {
        if (preemption.has_value() && (!best.has_value() || preemption->m_cost < best->m_cost)) {
            best = std::move(preemption);
        }
    };
    const std::vector<DomainId> domains = listTopologyDomains(unit);
    for (const DomainId domain : domains) {
        consider(findPreemption(unit, domain));
    }
    if (!unit.m_usesForecast || !best.has_value()) {
        return best;
    }
    for (const std::size_t gang : listFirstGangs(unit, best->m_cost)) {
        const DomainId domain =
                domains.size() == 1
                        ? domains.front()
                        : getTopologyDomain(unit, m_occupants[m_groups[gang].m_first].m_slot);
        consider(findPreemption(unit, domain, gang));
    }
    dropUnneeded(*best);
    return best;
}

/** Stops the victims and allocates the capacity that they will free. */
void PlanningPass::preempt(const WorkUnit& unit, const Preemption& preemption) {
    for (const std::size_t victim : preemption.m_victims) {
        stop(m_occupants[victim], "gave way to job " + unit.getRecord().m_id);
    }
    allocateReleasing(unit, preemption.m_assignment);
    addExplanation(unit, "waits until work that gives way to it has ended");
    recordUrgentWait(unit, UrgentWait::Cause::STOPS,
                     preemption.m_preemptionCost / MILLIS_PER_SECOND);
}

/** Guaranteed units may always preempt; for other urgent units the lost work is limited. */
bool PlanningPass::isPreemptionJustified(const WorkUnit& unit, double preemptionCost) const {
    const StepSpec& spec = unit.getSpec();
    const double own = getCoreEquivalent(spec.m_need) *
                       static_cast<double>(unit.m_taskIndexes.size()) *
                       static_cast<double>(spec.m_estimate.count());
    return unit.m_waitingStep->m_isGuaranteed ||
           preemptionCost <= m_settings.m_maxWastedWork * MILLIS_PER_SECOND +
                                     m_settings.m_maxWastePerOwnWork * own;
}

/**
 * Finds the members' workers in a topology domain one by one, each at the lowest cost.
 * @param firstGang group of a gang that is preempted before; empty for none.
 */
std::optional<PlanningPass::Preemption> PlanningPass::findPreemption(
        const WorkUnit& unit, DomainId domain, std::optional<std::size_t> firstGang) {
    Preemption preemption;
    preemption.m_taskCounts = countTasksPerWorker(unit);
    preemption.m_victimsBySlot.resize(m_workerStates.size());
    if (firstGang.has_value()) {
        addGang(*firstGang, preemption);
    }
    for (std::size_t i = 0; i < unit.m_taskIndexes.size(); ++i) {
        if (!addMember(unit, domain, preemption)) {
            return std::nullopt;
        }
    }
    return preemption;
}

/** Assigns one more member of the unit to the worker where this costs the least. */
bool PlanningPass::addMember(const WorkUnit& unit, DomainId domain, Preemption& preemption) const {
    const StepSpec& spec = unit.getSpec();
    std::optional<WorkerSlot> best;
    std::pair<double, std::uint32_t> bestCost(std::numeric_limits<double>::max(), 0);
    for (const WorkerSlot slot : unit.m_waitingStep->m_eligible->m_slots) {
        const bool isOutside = domain != ANY_DOMAIN && getTopologyDomain(unit, slot) != domain;
        const bool isFull = !preemption.m_taskCounts.empty() &&
                            preemption.m_taskCounts[slot] >= spec.m_maxPerWorker;
        if (isOutside || isFull || isExcluded(unit, slot) || !isUnreservedFor(unit, slot)) {
            continue;
        }
        const std::optional<Victims>& victims = findVictims(unit, slot, preemption);
        if (!victims.has_value()) {
            continue;
        }
        const double preemptionCost = getPreemptionCost(*victims, preemption, unit.m_usesForecast);
        const std::pair<double, std::uint32_t> cost(preemptionCost + getSlownessCost(unit, slot),
                                                    m_workerStates[slot].m_free.m_accelerators);
        if (cost < bestCost) {
            bestCost = cost;
            best = slot;
        }
    }
    if (!best.has_value()) {
        return false;
    }
    const Victims victims = **preemption.m_victimsBySlot[*best];
    preemption.m_preemptionCost += getPreemptionCost(victims, preemption, false);
    preemption.m_cost += bestCost.first;
    preemption.m_assignment.push_back(*best);
    preemption.m_allocated[*best] += spec.getCapacityDemand();
    preemption.m_victimsBySlot[*best].reset();
    addVictims(victims, preemption);
    if (!preemption.m_taskCounts.empty()) {
        ++preemption.m_taskCounts[*best];
    }
    return true;
}

/**
 * Adds victims. The capacity that a gang frees elsewhere changes the choice of victims there, and
 * so does the limit of unavailable tasks of a lasting step.
 */
void PlanningPass::addVictims(const Victims& victims, Preemption& preemption) const {
    for (const std::size_t victim : victims) {
        const std::size_t group = m_occupants[victim].m_group;
        preemption.m_victims.insert(victim);
        const bool isNewGang = m_occupants[victim].m_spec->m_isGang &&
                               preemption.m_gangGroups.insert(group).second;
        if (!isNewGang && !isLimited(m_occupants[victim])) {
            continue;
        }
        for (std::size_t i = m_groups[group].m_first; i < m_groups[group].m_end; ++i) {
            preemption.m_victimsBySlot[m_occupants[i].m_slot].reset();
        }
    }
}

/** Returns the weighted core-milliseconds that a member takes longer than at normal speed. */
double PlanningPass::getSlownessCost(const WorkUnit& unit, WorkerSlot slot) const {
    const StepSpec& spec = unit.getSpec();
    return m_settings.m_preemptionSpeedWeight * getCoreEquivalent(spec.m_need) *
           static_cast<double>(spec.m_estimate.count()) *
           (m_workerStates[slot].m_snapshot->m_slowness - 1.0);
}

/** Returns the victims for one more member on a worker, cached until a member is added there. */
const std::optional<PlanningPass::Victims>& PlanningPass::findVictims(
        const WorkUnit& unit, WorkerSlot slot, Preemption& preemption) const {
    auto& cached = preemption.m_victimsBySlot[slot];
    if (!cached.has_value()) {
        const auto allocated = preemption.m_allocated.find(slot);
        Resources need =
                allocated == preemption.m_allocated.end() ? Resources() : allocated->second;
        need += unit.getSpec().getCapacityDemand();
        cached = chooseVictims(unit, slot, need, preemption);
    }
    return *cached;
}

/** Stops a run; for a gang, all its members. */
void PlanningPass::stop(Occupant& victim, const std::string& explanation, WorkOutcome cause) {
    const OccupantGroup group =
            victim.m_spec->m_isGang
                    ? m_groups[victim.m_group]
                    : OccupantGroup{getOccupantIndex(victim), getOccupantIndex(victim) + 1};
    for (std::size_t i = group.m_first; i < group.m_end; ++i) {
        Occupant& occupant = m_occupants[i];
        if (occupant.m_isPreempted) {
            continue;
        }
        occupant.m_isPreempted = true;
        // The capacity of an awaited run is allocated to the unit that waits for it.
        if (!occupant.m_isAwaited) {
            addReleasing(occupant.m_slot, occupant.m_spec->getCapacityDemand());
        }
        m_plan.m_stops.push_back({getKey(occupant), occupant.m_run, explanation, cause});
    }
}

void PlanningPass::releaseCapacity(Resources& free, Resources& overcommitted, Resources released) {
    const Resources before = overcommitted;
    overcommitted -= released;
    released -= before;
    free += released;
}

void PlanningPass::addReleasing(WorkerSlot slot, const Resources& need) {
    releaseCapacity(m_workerStates[slot].m_releasing, m_workerStates[slot].m_overcommitted, need);
    m_hasReleasing = true;
}

/** Allocates capacity to a unit, free capacity first, the rest from capacity about to be freed. */
void PlanningPass::allocateReleasing(const WorkUnit& unit, const Assignment& assignment) {
    m_awaitsCapacity[unit.m_waitingStep->m_jobIndex] = true;
    for (const WorkerSlot slot : assignment) {
        WorkerState& state = m_workerStates[slot];
        const Resources need = unit.getSpec().getCapacityDemand();
        Resources fromReleasing = need;
        fromReleasing -= state.m_free;
        state.m_free -= need;
        state.m_releasing -= fromReleasing;
    }
}

}  // namespace pierbank
