// SPDX-License-Identifier: Apache-2.0
// Where a unit fits.
#include <algorithm>
#include <limits>

#include "PlanningPass.h"

namespace pierbank {

std::vector<Resources> PlanningPass::getRooms(const WorkUnit& unit, bool withLeaving) const {
    std::vector<Resources> rooms(m_rooms.size());
    for (const WorkerSlot slot : unit.m_of->m_eligible->m_slots) {
        rooms[slot] = getRoom(unit, slot, withLeaving);
    }
    return rooms;
}

/** Nothing where the unit may not go. */
Resources PlanningPass::getRoom(const WorkUnit& unit, WorkerSlot slot, bool withLeaving) const {
    Resources free;
    if (isOpenTo(unit, slot) && !isBarred(unit, slot)) {
        free = m_rooms[slot].m_free;
        if (withLeaving) {
            free += m_rooms[slot].m_leaving;
        }
    }
    return free;
}

bool PlanningPass::isBarred(const WorkUnit& unit, WorkerSlot slot) const {
    return (unit.m_keepsOffRisks && m_rooms[slot].m_isAtRisk) ||
           std::find(unit.m_barred.begin(), unit.m_barred.end(), slot) != unit.m_barred.end();
}

bool PlanningPass::isAllowed(const WorkUnit& unit, WorkerSlot slot) const {
    return unit.m_of->m_eligible->m_has[slot] && !isBarred(unit, slot);
}

/** A worker that a starved unit claims takes only what is gone before; reserved ones, urgent work.
 */
bool PlanningPass::isOpenTo(const WorkUnit& unit, WorkerSlot slot) const {
    const Room& room = m_rooms[slot];
    const StepSpec& spec = unit.getSpec();
    if (room.m_isReserved && !mayUseReserved(unit)) {
        return false;
    }
    return !room.m_claimedIn.has_value() ||
           (!spec.m_isLasting && spec.m_estimate < *room.m_claimedIn);
}

/** Far work pays only once waiting for a near worker has cost more than the longer run. */
bool PlanningPass::allowsRemote(const WorkUnit& unit) const {
    const auto estimate = static_cast<double>(unit.getSpec().m_estimate.count());
    const auto waited = static_cast<double>((m_wallNow - unit.m_of->m_since).count());
    return waited > (m_settings.m_farFactor - 1.0) * estimate;
}

PartNumber PlanningPass::getPart(const WorkUnit& unit, WorkerSlot slot) const {
    const Room& room = m_rooms[slot];
    if (!unit.getSpec().m_dataRack.empty()) {
        return room.m_rack;
    }
    switch (unit.getSpec().m_adjacency) {
        case Adjacency::WORKER:
            return room.m_host;
        case Adjacency::RACK:
            return room.m_rack;
        case Adjacency::FAILURE_DOMAIN:
            return room.m_failureDomain;
        case Adjacency::REGION:
            break;
    }
    return ANY_PART;
}

/** One of several parts has to hold all of the unit. */
bool PlanningPass::needsPart(const WorkUnit& unit) const {
    return unit.getSpec().m_adjacency != Adjacency::REGION && unit.m_indexes.size() > 1;
}

/** The parts that could each hold the whole unit, ascending; ANY_PART when any worker will do. */
std::vector<PartNumber> PlanningPass::listParts(const WorkUnit& unit) const {
    const StepSpec& spec = unit.getSpec();
    if (!spec.m_dataRack.empty()) {
        const auto rack = m_racks.find(spec.m_dataRack);
        return {rack == m_racks.end() ? UNKNOWN_PART : rack->second};
    }
    if (!needsPart(unit)) {
        return {ANY_PART};
    }
    std::vector<PartNumber> parts;
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        parts.push_back(getPart(unit, slot));
    }
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

std::optional<PlanningPass::Assignment> PlanningPass::findPlace(const WorkUnit& unit,
                                                                bool withLeaving) {
    const bool isSimple = unit.m_indexes.size() == 1 && unit.getSpec().m_dataRack.empty();
    if (!isSimple) {
        return assign(unit, getRooms(unit, withLeaving));
    }
    const auto slot =
            chooseSlot(unit, unit.m_indexes.front(), ANY_PART, countOfStep(unit),
                       [&](WorkerSlot candidate) { return getRoom(unit, candidate, withLeaving); });
    return slot.has_value() ? std::optional(Assignment{*slot}) : std::nullopt;
}

std::optional<PlanningPass::Assignment> PlanningPass::assign(const WorkUnit& unit,
                                                             const std::vector<Resources>& rooms) {
    if (auto near = assignNear(unit, rooms)) {
        return near;
    }
    const StepSpec& spec = unit.getSpec();
    const bool isBound = !spec.m_dataRack.empty() || (spec.m_allowsRemote && needsPart(unit));
    return isBound && allowsRemote(unit) ? assignWithin(unit, rooms, ANY_PART) : std::nullopt;
}

/** In the part with the least room that holds the unit. */
std::optional<PlanningPass::Assignment> PlanningPass::assignNear(
        const WorkUnit& unit, const std::vector<Resources>& rooms) {
    const std::vector<PartNumber> parts = listParts(unit);
    if (parts.size() == 1) {
        return assignWithin(unit, rooms, parts.front());
    }
    std::map<PartNumber, std::uint64_t> roomOf;
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
        const WorkUnit& unit, const std::vector<Resources>& rooms, PartNumber part) {
    std::vector<Resources> left = rooms;
    StepCounts used = countOfStep(unit);
    Assignment assignment;
    for (const std::uint32_t index : unit.m_indexes) {
        const auto slot = chooseSlot(unit, index, part, used,
                                     [&](WorkerSlot candidate) { return left[candidate]; });
        if (!slot.has_value()) {
            return std::nullopt;
        }
        left[*slot] -= unit.getSpec().getCapacityDemand();
        if (!used.empty()) {
            ++used[*slot];
        }
        assignment.push_back(*slot);
    }
    return assignment;
}

template <typename GetRoom>
std::optional<WorkerSlot> PlanningPass::chooseSlot(const WorkUnit& unit, std::uint32_t index,
                                                   PartNumber part, const StepCounts& used,
                                                   GetRoom getRoom) const {
    const StepSpec& spec = unit.getSpec();
    const Resources need = spec.getCapacityDemand();
    std::optional<WorkerSlot> best;
    double bestRate = std::numeric_limits<double>::max();
    for (const WorkerSlot slot : unit.m_of->m_eligible->m_slots) {
        const Resources room = getRoom(slot);
        const bool isOutside = part != ANY_PART && getPart(unit, slot) != part;
        const bool isFull = !used.empty() && used[slot] >= spec.m_maxPerWorker;
        if (!need.fitsInto(room) || isOutside || isFull || isBarred(unit, slot)) {
            continue;
        }
        const double rating = rate(unit, index, slot, room);
        if (rating < bestRate) {
            best = slot;
            bestRate = rating;
        }
    }
    return best;
}

/**
 * Workers may go in turn, as in a rolling restart, in the order in which hosts are tried here: each
 * new start of a task that was lost would be on the next one to go, and be taken for the cause.
 * After one crash a good host counts for more.
 */
double PlanningPass::rateAfterLoss(const WorkUnit& unit, std::uint32_t index,
                                   std::string_view host) {
    constexpr double SPREAD = 20.0;
    constexpr std::size_t STEPS = 1024;
    const TaskRun& task = unit.getStep().m_tasks[index];
    if (!task.m_losses.hasRepeatedCrashes()) {
        return 0.0;
    }
    std::string text = unit.getRecord().m_id;
    text.append("/").append(std::to_string(index));
    text.append("/").append(std::to_string(task.m_lastRun)).append("/").append(host);
    const std::size_t step = std::hash<std::string>()(text) % STEPS;
    return SPREAD * static_cast<double>(step) / static_cast<double>(STEPS);
}

/** Lower is better: workers that are not kept for others first, then those of the right speed with
 * the least room left. */
double PlanningPass::rate(const WorkUnit& unit, std::uint32_t index, WorkerSlot slot,
                          const Resources& room) const {
    constexpr double FAILED_HERE = 1000.0;
    constexpr double RESERVED = 100.0;
    Resources left = room;
    left -= unit.getSpec().getCapacityDemand();
    const WorkerSnapshot& worker = *m_rooms[slot].m_view;
    const TaskRun& task = unit.getStep().m_tasks[index];
    const bool hasFailedHere = task.m_failedHosts.contains(worker.m_id.m_host) ||
                               task.m_losses.hasCrashedOn(worker.m_id.m_host);
    const double cpuShare =
            static_cast<double>(left.m_cpuMillis) / std::max(1U, worker.m_capacity.m_cpuMillis);
    // One that runs beside a suspect goes with it.
    constexpr double AT_RISK = 500.0;
    constexpr double NEIGHBOUR_OF_SUSPECT = 50.0;
    const double risk = (m_rooms[slot].m_isAtRisk ? AT_RISK : 0.0) +
                        (unit.m_isSuspect ? NEIGHBOUR_OF_SUSPECT : 0.0) *
                                static_cast<double>(m_rooms[slot].m_runs);
    const bool isKept = m_rooms[slot].m_isReserved && !unit.isUrgent();
    const double speedWeight =
            unit.isUrgent() ? m_settings.m_urgentSpeedWeight : m_settings.m_otherSpeedWeight;
    return (hasFailedHere ? FAILED_HERE : 0.0) + risk + (isKept ? RESERVED : 0.0) +
           rateAfterLoss(unit, index, worker.m_id.m_host) +
           speedWeight * (worker.m_slowness - 1.0) + left.m_accelerators + cpuShare;
}

/** The step's tasks by slot, with those that this pass has placed. */
const PlanningPass::StepCounts& PlanningPass::countOfStep(const WorkUnit& unit) {
    if (unit.getSpec().m_maxPerWorker == 0) {
        return m_noCounts;
    }
    const auto [place, isNew] = m_stepCounts.try_emplace(&unit.getStep());
    StepCounts& counts = place->second;
    if (!isNew) {
        return counts;
    }
    counts.resize(m_rooms.size());
    const auto count = [&](const WorkerId& worker) {
        if (const auto slot = findSlot(worker)) {
            ++counts[*slot];
        }
    };
    for (const TaskRun& task : unit.getStep().m_tasks) {
        if (task.occupiesWorker()) {
            count(task.m_worker);
        }
    }
    for (const TaskCopy& copy : unit.getStep().m_copies) {
        count(copy.m_worker);
    }
    return counts;
}

}  // namespace pierbank
