// SPDX-License-Identifier: Apache-2.0
// Jobs without an active run that a plan leaves waiting, and why.
#include <algorithm>

#include "PlanningPass.h"

namespace pierbank {

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
    const CapacityUse& use = getUse(step.m_record->m_policy.m_service);
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

/** Returns what is in use of a service, as it was when this was first asked in the pass. */
const PlanningPass::CapacityUse& PlanningPass::getUse(const std::string& service) {
    const auto [place, isNew] = m_useByService.try_emplace(service);
    if (!isNew) {
        return place->second;
    }
    double free = 0;
    double total = 0;
    double freeCpu = 0;
    double totalCpu = 0;
    for (const WorkerState& state : m_workerStates) {
        if (state.m_snapshot->m_service == service) {
            free += state.m_free.m_accelerators;
            total += state.m_snapshot->m_capacity.m_accelerators;
            freeCpu += state.m_free.m_cpuMillis;
            totalCpu += state.m_snapshot->m_capacity.m_cpuMillis;
        }
    }
    place->second = {total > 0 ? 1.0 - free / total : 0.0,
                     totalCpu > 0 ? 1.0 - freeCpu / totalCpu : 0.0};
    return place->second;
}

}  // namespace pierbank
