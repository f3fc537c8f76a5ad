// SPDX-License-Identifier: Apache-2.0
// Explanations of waiting units, with what would allow them to start.
#include <algorithm>

#include "PlanningPass.h"

namespace pierbank {

namespace {

std::string describeDemand(const WorkUnit& unit) {
    const Resources& need = unit.getSpec().m_need;
    constexpr std::uint32_t MILLIS_PER_CORE = 1000;
    return std::to_string(unit.m_taskIndexes.size()) + " x (" +
           std::to_string(need.m_accelerators) + " accelerators, " +
           std::to_string(need.m_cpuMillis / MILLIS_PER_CORE) + " cores, " +
           std::to_string(need.m_memoryMb) + " MB)";
}

/** Returns the capacity that the worker may have again, if it has shrunk. */
Resources getFullCapacity(const WorkerSnapshot& worker) {
    return componentMax(worker.m_capacity, worker.m_fullCapacity);
}

}  // namespace

/** Records why a unit waits, if it is the first waiting unit of an urgent job. */
void PlanningPass::recordUrgentWait(const WorkUnit& unit, UrgentWait::Cause cause,
                                    double preemptionCost) {
    const std::string_view job = unit.getRecord().m_id;
    auto& waits = m_plan.m_urgentWaits;
    if (unit.isUrgent() && (waits.empty() || waits.back().m_job != job)) {
        waits.push_back(
                {job, cause, unit.m_outlook, unit.m_waitingStep->m_isGuaranteed, preemptionCost});
    }
}

void PlanningPass::addExplanation(const WorkUnit& unit, PlanExplanation::Kind kind,
                                  std::string text) {
    if (m_input.m_withExplanations) {
        m_plan.m_explanations.push_back({unit.getRecord().m_id, kind, std::move(text)});
    }
}

/** Whether the known workers could run the whole unit if they were idle and had full capacity. */
bool PlanningPass::canEverHold(const WorkUnit& unit) const {
    return canEverHold(unit, true);
}

/**
 * Like the overload above; without `withEvacuated`, only workers outside evacuated failure domains
 * count.
 */
bool PlanningPass::canEverHold(const WorkUnit& unit, bool withEvacuated) const {
    const StepSpec& spec = unit.getSpec();
    const std::uint64_t limit =
            spec.m_maxPerWorker == 0 ? unit.m_taskIndexes.size() : spec.m_maxPerWorker;
    std::map<DomainId, std::uint64_t> membersByDomain;
    for (WorkerSlot slot = 0; slot < m_workerStates.size(); ++slot) {
        const WorkerSnapshot& worker = *m_workerStates[slot].m_snapshot;
        const bool isSuitable =
                worker.m_service == unit.getRecord().m_policy.m_service &&
                (withEvacuated || !worker.m_isEvacuated) &&
                (spec.m_requiredLabel.empty() || worker.m_labels.count(spec.m_requiredLabel) != 0);
        Resources capacity = isSuitable ? getFullCapacity(worker) : Resources();
        std::uint64_t members = 0;
        while (members < limit && members < unit.m_taskIndexes.size() &&
               spec.getCapacityDemand().fitsInto(capacity)) {
            capacity -= spec.getCapacityDemand();
            ++members;
        }
        const bool mayUseWholeRegion =
                unit.m_taskIndexes.size() == 1 || spec.m_allowsRemote || !spec.m_dataRack.empty();
        membersByDomain[mayUseWholeRegion ? ANY_DOMAIN : getTopologyDomain(unit, slot)] += members;
    }
    return std::any_of(membersByDomain.begin(), membersByDomain.end(), [&](const auto& entry) {
        return entry.second >= unit.m_taskIndexes.size();
    });
}

/** Returns the evacuated failure domains with workers of the unit's service, comma-separated. */
std::string PlanningPass::listEvacuated(const WorkUnit& unit) const {
    std::set<std::string_view> domains;
    for (const WorkerState& state : m_workerStates) {
        if (state.m_snapshot->m_isEvacuated &&
            state.m_snapshot->m_service == unit.getRecord().m_policy.m_service) {
            domains.insert(state.m_snapshot->m_failureDomain);
        }
    }
    std::string text;
    for (const std::string_view domain : domains) {
        text.append(text.empty() ? "" : ", ").append(domain);
    }
    return text;
}

void PlanningPass::addWaitExplanation(const WorkUnit& unit) {
    if (!m_input.m_withExplanations) {
        return;
    }
    if (canEverHold(unit)) {
        addExplanation(unit, explainWait(unit));
        return;
    }
    addExplanation(unit, PlanExplanation::Kind::CANNOT_RUN, explainWait(unit));
}

/** Returns what prevents the unit from starting, checking the most permanent reasons first. */
std::string PlanningPass::explainWait(const WorkUnit& unit) const {
    const StepSpec& spec = unit.getSpec();
    const std::string& service = unit.getRecord().m_policy.m_service;
    std::size_t ofService = 0;
    std::size_t labelled = 0;
    std::size_t allowed = 0;
    std::size_t capable = 0;
    std::size_t capableNow = 0;
    std::uint64_t free = 0;
    std::uint32_t maxFree = 0;
    for (WorkerSlot slot = 0; slot < m_workerStates.size(); ++slot) {
        const WorkerSnapshot& worker = *m_workerStates[slot].m_snapshot;
        const bool isOfService = worker.m_service == service;
        const bool hasLabel =
                spec.m_requiredLabel.empty() || worker.m_labels.count(spec.m_requiredLabel) != 0;
        const bool isCapable = spec.getCapacityDemand().fitsInto(getFullCapacity(worker));
        const bool isCapableNow = spec.getCapacityDemand().fitsInto(worker.m_capacity);
        ofService += isOfService ? 1 : 0;
        labelled += isOfService && hasLabel ? 1 : 0;
        capable += isOfService && hasLabel && isCapable ? 1 : 0;
        capableNow += isOfService && hasLabel && isCapableNow ? 1 : 0;
        if (isAllowed(unit, slot)) {
            ++allowed;
            free += m_workerStates[slot].m_free.m_accelerators;
            maxFree = std::max(maxFree, m_workerStates[slot].m_free.m_accelerators);
        }
    }
    if (ofService == 0) {
        return "waits: no worker of service " + service + " is known; add workers to it";
    }
    if (labelled == 0) {
        return "waits: no worker has the label " + spec.m_requiredLabel + "; add one that has it";
    }
    if (capable == 0) {
        return "can't run: no worker that it may use has room for " + describeDemand(unit) +
               " even when idle; ask for less a task, or add larger workers";
    }
    if (!canEverHold(unit)) {
        return "can't run: no part of the topology holds " + describeDemand(unit) + " within " +
               std::string(toText(spec.m_adjacency)) + "; ask for a smaller shape or a wider part";
    }
    if (!canEverHold(unit, false)) {
        return "waits: without the failure domains under evacuation (" + listEvacuated(unit) +
               ") the workers that are left can't hold " + describeDemand(unit) +
               "; it begins when an evacuation is withdrawn";
    }
    if (capableNow == 0) {
        return "waits: the rooms of the " + std::to_string(capable) + " workers that could hold " +
               describeDemand(unit) + " have shrunk; they may grow again";
    }
    if (unit.m_waitingStep->m_needsAdvice && allowed == 0) {
        return "waits: no worker has been advised for it so far";
    }
    if (allowed == 0) {
        return "waits: the workers that it may use are draining, avoided or not linked";
    }
    return "waits: no worker that it may use has room; it needs " + describeDemand(unit) + "; " +
           std::to_string(free) + " accelerators are free on " + std::to_string(allowed) +
           " workers, at most " + std::to_string(maxFree) + " on one; work of " +
           (unit.isUrgent() ? "guarantees" : "its own or a higher priority") +
           " has to end, or be withdrawn, before it";
}

}  // namespace pierbank
