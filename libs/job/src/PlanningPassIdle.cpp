// SPDX-License-Identifier: Apache-2.0
// Jobs without an active run that a plan leaves waiting, and why.
#include <algorithm>
#include <array>

#include "PlanningPass.h"

namespace pierbank {

/** Whether no run of the job was active before the pass and none has been placed by it. */
bool PlanningPass::isJobIdle(const WaitingStep& step) const {
    auto& wasIdle = m_wasIdle[step.m_jobIndex];
    if (!wasIdle.has_value()) {
        wasIdle = step.m_run->isIdle();
    }
    return *wasIdle && !m_hasPlacements[step.m_jobIndex];
}

/** Returns how long an idle job has had no active run since one of its tasks could start. */
Millis PlanningPass::getIdleTime(const WaitingStep& step) const {
    return m_wallNow - std::max(step.m_dueAt, step.m_idleSince.value_or(step.m_dueAt));
}

/**
 * Whether a unit has waited for so long that only the capacity may keep it waiting: the first unit
 * of an idle job, or a lasting task by itself.
 */
bool PlanningPass::isOverdue(const WorkUnit& unit) const {
    const WaitingStep& step = *unit.m_waitingStep;
    return (getIdleTime(step) >= m_settings.m_maxIdleTime && isJobIdle(step)) ||
           isLastingTaskOverdue(unit);
}

/** Whether the unit is a lasting task that has had no run for long, whatever others of its job do.
 */
bool PlanningPass::isLastingTaskOverdue(const WorkUnit& unit) const {
    const WaitingStep& step = *unit.m_waitingStep;
    const LastingTasks* const lasting = m_input.m_jobs[step.m_jobIndex].m_lasting;
    if (!step.m_spec->m_isLongRunning || lasting == nullptr) {
        return false;
    }
    const auto idleSince = lasting->getIdleSince(
            {step.m_record->m_id, step.m_occurrence, step.m_number, unit.m_taskIndexes.front()});
    return idleSince.has_value() && m_wallNow - *idleSince >= m_settings.m_maxLastingIdleTime;
}

/**
 * Places the first unit of a job that has been idle for long wherever workers have capacity. This
 * is the only place that knows the bound on idle time: it does not ask the rules that keep work off
 * free capacity, so that a new rule cannot outlast the bound. Only what makes a run impossible
 * counts: the capacity, the required label, placement advice, the limit per worker, and workers
 * that take no work. The exception are reservations of starved units. While the utilization is low
 * for some resource only, just the headroom and early reservations yield. For a lasting task these
 * two yield at any utilization, since only then the bound holds for it.
 */
bool PlanningPass::placeOverdue(const WorkUnit& unit) {
    const WaitingStep& step = *unit.m_waitingStep;
    if (step.m_hasTriedOverdue || !m_input.m_mayPreempt || !isOverdue(unit)) {
        return false;
    }
    step.m_hasTriedOverdue = true;
    const CapacityUse& use = m_useByService[unit.getRecord().m_policy.m_service];
    const bool isLow = use.m_coreEquivalents < m_settings.m_lowUtilization;
    const bool isLasting = isLastingTaskOverdue(unit);
    const bool hasTwiceTheDemand = (isLow || isLasting) && hasTwiceTheDemandFree(unit);
    const bool waivesAll = isLow && hasTwiceTheDemand;
    const bool waivesSome =
            use.getLowest() < m_settings.m_lowUtilization || (isLasting && hasTwiceTheDemand);
    const auto isUsable = [&](WorkerSlot slot) {
        // A starved unit would never start if idle jobs took its workers as these become free.
        return !m_workerStates[slot].m_reservationStartsIn.has_value() &&
               (waivesSome || m_early.findAt(slot) == nullptr);
    };
    if ((!waivesAll && !waivesSome) || countPlaces(unit, isUsable) < unit.m_taskIndexes.size()) {
        return false;
    }
    auto assignment = findPlace(unit, false);
    if (!assignment.has_value()) {
        WorkUnit overdue = unit;
        overdue.m_isOverdue = waivesAll;
        std::vector<Resources> capacities(m_workerStates.size());
        for (const WorkerSlot slot : step.m_eligible->m_slots) {
            const bool isWanted = isUsable(slot) && !isExcluded(overdue, slot);
            capacities[slot] = isWanted ? m_workerStates[slot].m_free : Resources();
        }
        assignment = assign(overdue, capacities);
    }
    if (!assignment.has_value()) {
        return false;
    }
    commit(unit, *assignment);
    return true;
}

/** An overdue unit goes to workers that others reserve, or that may fail it, only as a last resort.
 */
double PlanningPass::getOverduePenalty(const WorkUnit& unit, WorkerSlot slot) const {
    constexpr double RESERVED_PENALTY = 200.0;
    constexpr double RISK_PENALTY = 300.0;
    if (!unit.m_isOverdue) {
        return 0.0;
    }
    const WorkerState& state = m_workerStates[slot];
    const bool isReserved = m_early.findAt(slot) != nullptr && !ignoresEarlyReservation(unit, slot);
    const bool isRisky = state.m_snapshot->m_isSuspect || state.m_snapshot->m_maxTasksPerJob > 0;
    return (isReserved ? RESERVED_PENALTY : 0.0) + (isRisky ? RISK_PENALTY : 0.0);
}

/** Records why an idle job waits, by the first of its units that found no place. */
void PlanningPass::recordIdleWait(const WorkUnit& unit) {
    const WaitingStep& step = *unit.m_waitingStep;
    if (!mayRecordIdleWait(step)) {
        return;
    }
    IdleWait wait;
    wait.m_members = static_cast<std::uint32_t>(unit.m_taskIndexes.size());
    wait.m_fitting = countPlaces(unit, [](WorkerSlot) { return true; });
    wait.m_reason = findIdleReason(unit, wait.m_fitting);
    addIdleWait(step, wait);
}

/** Bounds the time that a plan takes to find out why jobs wait. */
bool PlanningPass::mayRecordIdleWait(const WaitingStep& step) const {
    constexpr std::size_t MAX_WAITS = 64;
    constexpr Millis MIN_WAIT{500};
    return m_plan.m_idleWaits.size() < MAX_WAITS && m_wallNow - step.m_dueAt >= MIN_WAIT &&
           isJobIdle(step) && !m_hasIdleWait[step.m_jobIndex];
}

void PlanningPass::addIdleWait(const WaitingStep& step, IdleWait wait) {
    const CapacityUse& use = m_useByService[step.m_record->m_policy.m_service];
    wait.m_job = step.m_record->m_id;
    wait.m_waited = m_wallNow - step.m_dueAt;
    wait.m_acceleratorUse = use.m_accelerators;
    wait.m_cpuUse = use.m_cpu;
    m_plan.m_idleWaits.push_back(wait);
    m_hasIdleWait[step.m_jobIndex] = true;
}

/** Applies the rules that may keep a unit off hosts one after the other, until too few are left. */
IdleReason PlanningPass::findIdleReason(const WorkUnit& unit, std::uint32_t fitting) {
    const auto members = static_cast<std::uint32_t>(unit.m_taskIndexes.size());
    const WaitingStep& step = *unit.m_waitingStep;
    if (m_awaitsCapacity[step.m_jobIndex]) {
        return IdleReason::RELEASING;
    }
    if (step.m_eligible->m_slots.empty()) {
        return step.m_needsAdvice ? IdleReason::ADVICE : IdleReason::HOSTS;
    }
    if (fitting < members) {
        return hasTwiceTheDemandFree(unit) ? IdleReason::SHAPE : IdleReason::CAPACITY;
    }
    const auto isWanted = [&](WorkerSlot slot) {
        return !isExcluded(unit, slot);
    };
    if (countPlaces(unit, isWanted) < members) {
        return IdleReason::AVOIDED_HOSTS;
    }
    const auto isNoHeadroom = [&](WorkerSlot slot) {
        return isWanted(slot) && (!m_workerStates[slot].m_isHeadroom || mayUseHeadroom(unit));
    };
    if (countPlaces(unit, isNoHeadroom) < members) {
        return IdleReason::HEADROOM;
    }
    const auto isUnreserved = [&](WorkerSlot slot) {
        return isWanted(slot) && isUnreservedFor(unit, slot) &&
               (m_early.findAt(slot) == nullptr || ignoresEarlyReservation(unit, slot));
    };
    if (countPlaces(unit, isUnreserved) < members) {
        return IdleReason::RESERVED;
    }
    const bool prefersRack = !unit.getSpec().m_dataRack.empty() || needsSingleDomain(unit);
    return prefersRack && !allowsRemote(unit) ? IdleReason::RACK : IdleReason::OTHER;
}

/**
 * Returns how many members of the unit the free capacity holds, up to twice as many as it has: on
 * all hosts that it may use, or on those of one topology domain if only such hosts are allowed.
 */
template <typename IsUsable>
std::uint32_t PlanningPass::countPlaces(const WorkUnit& unit, IsUsable isUsable) {
    const StepSpec& spec = unit.getSpec();
    const auto limit = 2 * static_cast<std::uint32_t>(unit.m_taskIndexes.size());
    const bool isOneDomain =
            needsSingleDomain(unit) && !spec.m_allowsRemote && spec.m_dataRack.empty();
    const TasksPerWorker& used = countTasksPerWorker(unit);
    std::map<DomainId, std::uint32_t> places;
    for (const WorkerSlot slot : unit.m_waitingStep->m_eligible->m_slots) {
        if (!isUsable(slot)) {
            continue;
        }
        const std::uint32_t perHost =
                used.empty() ? limit
                             : spec.m_maxPerWorker - std::min(spec.m_maxPerWorker, used[slot]);
        std::uint32_t& count = places[isOneDomain ? getTopologyDomain(unit, slot) : ANY_DOMAIN];
        count = std::min(limit, count + ReservationPolicy::countFitting(spec.getCapacityDemand(),
                                                                        m_workerStates[slot].m_free,
                                                                        perHost));
    }
    std::uint32_t most = 0;
    for (const auto& [domain, count] : places) {
        most = std::max(most, count);
    }
    return most;
}

/** Whether the free capacity of all hosts that the unit may use sums up to two such units. */
bool PlanningPass::hasTwiceTheDemandFree(const WorkUnit& unit) const {
    constexpr std::uint64_t UNITS = 2;
    const std::uint64_t members = UNITS * unit.m_taskIndexes.size();
    const Resources need = unit.getSpec().getCapacityDemand();
    std::uint64_t cpu = 0;
    std::uint64_t memory = 0;
    std::uint64_t accelerators = 0;
    for (const WorkerSlot slot : unit.m_waitingStep->m_eligible->m_slots) {
        const Resources& free = m_workerStates[slot].m_free;
        cpu += free.m_cpuMillis;
        memory += free.m_memoryMb;
        accelerators += free.m_accelerators;
    }
    return cpu >= members * need.m_cpuMillis && memory >= members * need.m_memoryMb &&
           accelerators >= members * need.m_accelerators;
}

/** Measures what is in use of each service; capacity that is being freed counts as in use. */
void PlanningPass::measureUse() {
    constexpr std::size_t SHARES = 4;
    struct Sums {
        std::array<double, SHARES> m_free{};
        std::array<double, SHARES> m_total{};
    };
    const auto add = [](std::array<double, SHARES>& sums, const Resources& resources) {
        sums[0] += resources.m_accelerators;
        sums[1] += resources.m_cpuMillis;
        sums[2] += resources.m_memoryMb;
        sums[3] += getCoreEquivalent(resources);
    };
    std::map<std::string_view, Sums> byService;
    for (const WorkerState& state : m_workerStates) {
        Sums& sums = byService[state.m_snapshot->m_service];
        add(sums.m_free, state.m_free);
        add(sums.m_total, state.m_snapshot->m_capacity);
    }
    for (const auto& [service, sums] : byService) {
        const auto getShare = [&sums = sums](std::size_t i) {
            return sums.m_total.at(i) > 0 ? 1.0 - sums.m_free.at(i) / sums.m_total.at(i) : 1.0;
        };
        m_useByService[service] = {getShare(0), getShare(1), getShare(2), getShare(3)};
    }
}

}  // namespace pierbank
