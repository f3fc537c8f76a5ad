// SPDX-License-Identifier: Apache-2.0
// Where a unit fits.
#include <algorithm>
#include <limits>

#include "PlanningPass.h"

namespace pierbank {

std::vector<Resources> PlanningPass::getRooms(const WorkUnit& unit, bool withLeaving) const {
    std::vector<Resources> rooms;
    rooms.reserve(m_rooms.size());
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        const Room& room = m_rooms[slot];
        Resources free;
        if (isOpenTo(unit, slot) && isAllowed(unit, slot)) {
            free = room.m_free;
            if (withLeaving) {
                free += room.m_leaving;
            }
        }
        rooms.push_back(free);
    }
    return rooms;
}

bool PlanningPass::isAllowed(const WorkUnit& unit, WorkerSlot slot) const {
    const WorkerView& worker = *m_rooms[slot].m_view;
    const std::string& label = unit.getSpec().m_requiredLabel;
    const bool isAdvised = !unit.m_needsAdvice || (unit.m_advised != nullptr &&
                                                   unit.m_advised->count(worker.m_id.m_life) != 0);
    return worker.m_acceptsWork && unit.m_barred.count(slot) == 0 &&
           worker.m_service == unit.m_record->m_policy.m_service &&
           (label.empty() || worker.m_labels.count(label) != 0) && isAdvised;
}

/** A worker that a starved unit claims takes only what is gone before; reserved ones, urgent work.
 */
bool PlanningPass::isOpenTo(const WorkUnit& unit, WorkerSlot slot) const {
    const auto& claimedIn = m_rooms[slot].m_claimedIn;
    const StepSpec& spec = unit.getSpec();
    if (m_rooms[slot].m_isReserved && !mayUseReserved(unit)) {
        return false;
    }
    return !claimedIn.has_value() || (!spec.m_isLasting && spec.m_estimate < *claimedIn);
}

/** Far work pays only once waiting for a near worker has cost more than the longer run. */
bool PlanningPass::mayGoFar(const WorkUnit& unit) const {
    const auto estimate = static_cast<double>(unit.getSpec().m_estimate.count());
    const auto waited = static_cast<double>((m_wallNow - unit.m_since).count());
    return waited > (m_settings.m_farFactor - 1.0) * estimate;
}

std::string PlanningPass::getPart(const WorkUnit& unit, WorkerSlot slot) const {
    const WorkerView& worker = *m_rooms[slot].m_view;
    if (!unit.getSpec().m_dataRack.empty()) {
        return worker.m_rack;
    }
    switch (unit.getSpec().m_adjacency) {
        case Adjacency::WORKER:
            return worker.m_id.m_host;
        case Adjacency::RACK:
            return worker.m_rack;
        case Adjacency::FAILURE_DOMAIN:
            return worker.m_failureDomain;
        case Adjacency::REGION:
            break;
    }
    return {};
}

/** The parts that could each hold the whole unit; one empty name when any worker will do. */
std::set<std::string> PlanningPass::listParts(const WorkUnit& unit) const {
    const StepSpec& spec = unit.getSpec();
    if (!spec.m_dataRack.empty()) {
        return {spec.m_dataRack};
    }
    if (spec.m_adjacency == Adjacency::REGION || unit.m_indexes.size() == 1) {
        return {std::string()};
    }
    std::set<std::string> parts;
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        parts.insert(getPart(unit, slot));
    }
    return parts;
}

std::optional<PlanningPass::Assignment> PlanningPass::assign(
        const WorkUnit& unit, const std::vector<Resources>& rooms) const {
    if (auto near = assignNear(unit, rooms)) {
        return near;
    }
    const StepSpec& spec = unit.getSpec();
    const bool isBound =
            !spec.m_dataRack.empty() ||
            (spec.m_mayGoFar && spec.m_adjacency != Adjacency::REGION && unit.m_indexes.size() > 1);
    return isBound && mayGoFar(unit) ? assignWithin(unit, rooms, "") : std::nullopt;
}

/** In the part with the least room that holds the unit. */
std::optional<PlanningPass::Assignment> PlanningPass::assignNear(
        const WorkUnit& unit, const std::vector<Resources>& rooms) const {
    const std::set<std::string> parts = listParts(unit);
    if (parts.size() == 1) {
        return assignWithin(unit, rooms, *parts.begin());
    }
    std::map<std::string, std::uint64_t> roomOf;
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        roomOf[getPart(unit, slot)] += rooms[slot].m_accelerators;
    }
    std::optional<Assignment> best;
    std::uint64_t bestRoom = std::numeric_limits<std::uint64_t>::max();
    for (const auto& [part, room] : roomOf) {
        if (room >= bestRoom || room < unit.countAccelerators()) {
            continue;
        }
        if (auto assignment = assignWithin(unit, rooms, part)) {
            best = std::move(assignment);
            bestRoom = room;
        }
    }
    return best;
}

std::optional<PlanningPass::Assignment> PlanningPass::assignWithin(
        const WorkUnit& unit, const std::vector<Resources>& rooms, const std::string& part) const {
    std::vector<Resources> left = rooms;
    std::map<WorkerSlot, std::uint32_t> used = countOfStep(unit);
    Assignment assignment;
    for (const std::uint32_t index : unit.m_indexes) {
        const auto slot = chooseSlot(unit, index, left, part, used);
        if (!slot.has_value()) {
            return std::nullopt;
        }
        left[*slot] -= unit.getSpec().getRoomNeed();
        ++used[*slot];
        assignment.push_back(*slot);
    }
    return assignment;
}

std::optional<WorkerSlot> PlanningPass::chooseSlot(
        const WorkUnit& unit, std::uint32_t index, const std::vector<Resources>& rooms,
        const std::string& part, const std::map<WorkerSlot, std::uint32_t>& used) const {
    const StepSpec& spec = unit.getSpec();
    const Resources need = spec.getRoomNeed();
    std::optional<WorkerSlot> best;
    double bestRate = std::numeric_limits<double>::max();
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        const bool isOutside = !part.empty() && getPart(unit, slot) != part;
        if (!need.fitsInto(rooms[slot]) || isOutside || !isAllowed(unit, slot)) {
            continue;
        }
        const auto others = used.find(slot);
        const bool isFull = spec.m_maxPerWorker > 0 && others != used.end() &&
                            others->second >= spec.m_maxPerWorker;
        const double rating = isFull ? bestRate : rate(unit, index, slot, rooms[slot]);
        if (rating < bestRate) {
            best = slot;
            bestRate = rating;
        }
    }
    return best;
}

/** Lower is better: fast workers that are not kept for others first, then the one with the least
 * room left. */
double PlanningPass::rate(const WorkUnit& unit, std::uint32_t index, WorkerSlot slot,
                          const Resources& room) const {
    constexpr double FAILED_HERE = 1000.0;
    constexpr double SLOWNESS = 20.0;
    constexpr double RESERVED = 100.0;
    Resources left = room;
    left -= unit.getSpec().getRoomNeed();
    const WorkerView& worker = *m_rooms[slot].m_view;
    const bool hasFailedHere =
            unit.getStep().m_tasks[index].m_failedHosts.contains(worker.m_id.m_host);
    const double cpuShare =
            static_cast<double>(left.m_cpuMillis) / std::max(1U, worker.m_capacity.m_cpuMillis);
    const bool isKept = m_rooms[slot].m_isReserved && !unit.isUrgent();
    return (hasFailedHere ? FAILED_HERE : 0.0) + (isKept ? RESERVED : 0.0) +
           SLOWNESS * (worker.m_slowness - 1.0) + left.m_accelerators + cpuShare;
}

std::map<WorkerSlot, std::uint32_t> PlanningPass::countOfStep(const WorkUnit& unit) const {
    std::map<WorkerSlot, std::uint32_t> used;
    if (unit.getSpec().m_maxPerWorker == 0) {
        return used;
    }
    const auto count = [&](const WorkerId& worker) {
        const auto found = m_slots.find(worker);
        if (found != m_slots.end()) {
            ++used[found->second];
        }
    };
    for (const TaskRun& task : unit.getStep().m_tasks) {
        if (task.holdsWorker()) {
            count(task.m_worker);
        }
    }
    for (const TaskCopy& copy : unit.getStep().m_copies) {
        count(copy.m_worker);
    }
    for (const Placement& placement : m_plan.m_placements) {
        const TaskKey& key = placement.m_task;
        if (key.m_job == unit.m_record->m_id && key.m_occurrence == unit.m_occurrence &&
            key.m_step == unit.m_step) {
            count(placement.m_worker);
        }
    }
    return used;
}

}  // namespace pierbank
