// SPDX-License-Identifier: Apache-2.0
// Why a unit waits, and what would change that.
#include <algorithm>

#include "PlanningPass.h"

namespace pierbank {

namespace {

std::string describeNeed(const WorkUnit& unit) {
    const Resources& need = unit.getSpec().m_need;
    constexpr std::uint32_t MILLIS_PER_CORE = 1000;
    return std::to_string(unit.m_indexes.size()) + " x (" + std::to_string(need.m_accelerators) +
           " accelerators, " + std::to_string(need.m_cpuMillis / MILLIS_PER_CORE) + " cores, " +
           std::to_string(need.m_memoryMb) + " MB)";
}

Resources getWhole(const WorkerSnapshot& worker) {
    return componentMax(worker.m_capacity, worker.m_fullCapacity);
}

}  // namespace

/** Whether the workers that are known could hold the whole unit if nothing else ran, and their
 * rooms were as large as they have been. */
bool PlanningPass::canEverHold(const WorkUnit& unit) const {
    return canEverHold(unit, true);
}

/** The same, with or without failure domains under evacuation. */
bool PlanningPass::canEverHold(const WorkUnit& unit, bool withEvacuated) const {
    const StepSpec& spec = unit.getSpec();
    const std::uint64_t limit =
            spec.m_maxPerWorker == 0 ? unit.m_indexes.size() : spec.m_maxPerWorker;
    std::map<PartNumber, std::uint64_t> heldBy;
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        const WorkerSnapshot& worker = *m_rooms[slot].m_view;
        const bool mayHold =
                worker.m_service == unit.getRecord().m_policy.m_service &&
                (withEvacuated || !worker.m_isEvacuated) &&
                (spec.m_requiredLabel.empty() || worker.m_labels.count(spec.m_requiredLabel) != 0);
        Resources room = mayHold ? getWhole(worker) : Resources();
        std::uint64_t held = 0;
        while (held < limit && held < unit.m_indexes.size() &&
               spec.getCapacityDemand().fitsInto(room)) {
            room -= spec.getCapacityDemand();
            ++held;
        }
        const bool isWholeRegion =
                unit.m_indexes.size() == 1 || spec.m_allowsRemote || !spec.m_dataRack.empty();
        heldBy[isWholeRegion ? ANY_PART : getPart(unit, slot)] += held;
    }
    return std::any_of(heldBy.begin(), heldBy.end(),
                       [&](const auto& entry) { return entry.second >= unit.m_indexes.size(); });
}

/** Failure domains under evacuation with workers of the unit's service, by commas. */
std::string PlanningPass::listEvacuated(const WorkUnit& unit) const {
    std::set<std::string_view> domains;
    for (const Room& room : m_rooms) {
        if (room.m_view->m_isEvacuated &&
            room.m_view->m_service == unit.getRecord().m_policy.m_service) {
            domains.insert(room.m_view->m_failureDomain);
        }
    }
    std::string text;
    for (const std::string_view domain : domains) {
        text.append(text.empty() ? "" : ", ").append(domain);
    }
    return text;
}

void PlanningPass::noteWait(const WorkUnit& unit) {
    if (!m_input.m_withExplanations) {
        return;
    }
    if (canEverHold(unit)) {
        note(unit, explainWait(unit));
        return;
    }
    note(unit, PlanExplanation::Kind::CANNOT_RUN, explainWait(unit));
}

std::string PlanningPass::explainWait(const WorkUnit& unit) const {
    const StepSpec& spec = unit.getSpec();
    const std::string& service = unit.getRecord().m_policy.m_service;
    std::size_t ofService = 0;
    std::size_t labelled = 0;
    std::size_t allowed = 0;
    std::size_t holding = 0;
    std::size_t holdingNow = 0;
    std::uint64_t free = 0;
    std::uint32_t mostFree = 0;
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        const WorkerSnapshot& worker = *m_rooms[slot].m_view;
        const bool isOfService = worker.m_service == service;
        const bool hasLabel =
                spec.m_requiredLabel.empty() || worker.m_labels.count(spec.m_requiredLabel) != 0;
        const bool holds = spec.getCapacityDemand().fitsInto(getWhole(worker));
        const bool holdsNow = spec.getCapacityDemand().fitsInto(worker.m_capacity);
        ofService += isOfService ? 1 : 0;
        labelled += isOfService && hasLabel ? 1 : 0;
        holding += isOfService && hasLabel && holds ? 1 : 0;
        holdingNow += isOfService && hasLabel && holdsNow ? 1 : 0;
        if (isAllowed(unit, slot)) {
            ++allowed;
            free += m_rooms[slot].m_free.m_accelerators;
            mostFree = std::max(mostFree, m_rooms[slot].m_free.m_accelerators);
        }
    }
    if (ofService == 0) {
        return "waits: no worker of service " + service + " is known; add workers to it";
    }
    if (labelled == 0) {
        return "waits: no worker has the label " + spec.m_requiredLabel + "; add one that has it";
    }
    if (holding == 0) {
        return "can't run: no worker that it may use has room for " + describeNeed(unit) +
               " even when idle; ask for less a task, or add larger workers";
    }
    if (!canEverHold(unit)) {
        return "can't run: no part of the topology holds " + describeNeed(unit) + " within " +
               std::string(toText(spec.m_adjacency)) + "; ask for a smaller shape or a wider part";
    }
    if (!canEverHold(unit, false)) {
        return "waits: without the failure domains under evacuation (" + listEvacuated(unit) +
               ") the workers that are left can't hold " + describeNeed(unit) +
               "; it begins when an evacuation is withdrawn";
    }
    if (holdingNow == 0) {
        return "waits: the rooms of the " + std::to_string(holding) + " workers that could hold " +
               describeNeed(unit) + " have shrunk; they may grow again";
    }
    if (unit.m_of->m_needsAdvice && allowed == 0) {
        return "waits: no worker has been advised for it so far";
    }
    if (allowed == 0) {
        return "waits: the workers that it may use are draining, avoided or not linked";
    }
    return "waits: no worker that it may use has room; it needs " + describeNeed(unit) + "; " +
           std::to_string(free) + " accelerators are free on " + std::to_string(allowed) +
           " workers, at most " + std::to_string(mostFree) + " on one; work of " +
           (unit.isUrgent() ? "guarantees" : "its own or a higher priority") +
           " has to end, or be withdrawn, before it";
}

}  // namespace pierbank
