// SPDX-License-Identifier: Apache-2.0
#include "PolicyInvariants.h"

#include <bit>
#include <map>
#include <set>

namespace pierbank::testing {

namespace {

using Counts = std::vector<std::uint32_t>;

bool isThere(const Worker& worker) {
    return worker.m_state == WorkerState::LIVE || worker.m_state == WorkerState::SILENT;
}

bool isSamePart(const ClusterState& state, WorkerIndex a, WorkerIndex b, Adjacency adjacency) {
    const Worker& left = state.m_workers[a];
    const Worker& right = state.m_workers[b];
    switch (adjacency) {
        case Adjacency::WORKER:
            return a == b;
        case Adjacency::RACK:
            return left.m_rack == right.m_rack && left.m_failureDomain == right.m_failureDomain;
        case Adjacency::FAILURE_DOMAIN:
            return left.m_failureDomain == right.m_failureDomain;
        case Adjacency::REGION:
            break;
    }
    return true;
}

template <typename Parts>
bool keepsAdjacency(const ClusterState& state, const Parts& parts, const Shape& shape) {
    for (const auto& part : parts) {
        if (!isSamePart(state, parts.front().m_worker, part.m_worker, shape.m_adjacency)) {
            return false;
        }
    }
    return true;
}

std::set<std::uint64_t> getBusyUnits(const ClusterState& state) {
    std::set<std::uint64_t> busy;
    for (const auto& [name, job] : state.m_jobs) {
        if (job.isPlaced() && job.m_unit.has_value()) {
            busy.insert(*job.m_unit);
        }
    }
    return busy;
}

std::string checkGang(const ClusterState& state, const Job& job) {
    if (job.m_members.size() != job.m_shape.m_members) {
        return job.m_name + " is not whole";
    }
    for (const Member& member : job.m_members) {
        const auto count = static_cast<std::uint32_t>(std::popcount(member.m_accelerators));
        const std::uint32_t wanted =
                job.m_state == JobState::CLAIMING ? 0 : job.m_shape.m_accelerators;
        if (count != wanted) {
            return job.m_name + " has a member with " + std::to_string(count) + " accelerators";
        }
    }
    if (!keepsAdjacency(state, job.m_members, job.m_shape)) {
        return job.m_name + " is spread further than its shape allows";
    }
    return {};
}

std::string checkHeldOnce(const ClusterState& state) {
    std::vector<AcceleratorMask> held(state.m_workers.size(), 0);
    for (const auto& [name, job] : state.m_jobs) {
        for (const Member& member : job.m_members) {
            if ((held[member.m_worker] & member.m_accelerators) != 0) {
                return name + " shares an accelerator of " +
                       state.m_workers[member.m_worker].m_name;
            }
            held[member.m_worker] |= member.m_accelerators;
            const std::uint32_t limit = state.m_workers[member.m_worker].m_accelerators;
            if (std::bit_width(member.m_accelerators) > limit) {
                return name + " has an accelerator that is not there";
            }
        }
    }
    return {};
}

std::string checkUnits(const ClusterState& state) {
    const std::set<std::uint64_t> busy = getBusyUnits(state);
    Counts set(state.m_workers.size(), 0);
    for (const GuaranteeUnit& unit : state.m_units) {
        for (const UnitCell& cell : unit.m_cells) {
            set[cell.m_worker] += cell.m_accelerators;
            const bool isIdle = busy.count(unit.m_id) == 0;
            if (isIdle && !isThere(state.m_workers[cell.m_worker])) {
                return "an idle unit of " + unit.m_organisation + " is on a worker out of service";
            }
        }
        const bool isPlacedWhole =
                unit.m_cells.empty() || unit.m_cells.size() == unit.m_shape.m_members;
        if (!isPlacedWhole ||
            (!unit.m_cells.empty() && !keepsAdjacency(state, unit.m_cells, unit.m_shape))) {
            return "a unit of " + unit.m_organisation + " breaks its own shape";
        }
    }
    for (WorkerIndex i = 0; i < set.size(); ++i) {
        if (set[i] > state.m_workers[i].m_accelerators) {
            return "units overlap on " + state.m_workers[i].m_name;
        }
    }
    return {};
}

std::string checkInsideUnit(const ClusterState& state) {
    std::map<std::uint64_t, std::map<WorkerIndex, std::int64_t>> room;
    for (const GuaranteeUnit& unit : state.m_units) {
        for (const UnitCell& cell : unit.m_cells) {
            room[unit.m_id][cell.m_worker] += cell.m_accelerators;
        }
    }
    for (const auto& [name, job] : state.m_jobs) {
        // What is being evicted from a unit still counts there until it has stopped.
        if (!job.m_unit.has_value() || job.m_state == JobState::STOPPING) {
            continue;
        }
        for (const Member& member : job.m_members) {
            room[*job.m_unit][member.m_worker] -= job.m_shape.m_accelerators;
            if (room[*job.m_unit][member.m_worker] < 0) {
                return name + " is outside of its guarantee's cells";
            }
        }
    }
    return {};
}

bool packFrom(const ClusterState& state, const std::vector<const GuaranteeUnit*>& units,
              std::size_t index, Counts& room);

/** Puts members `member..` of one unit on workers from `from` on, then goes on with the next. */
bool packMembers(const ClusterState& state, const std::vector<const GuaranteeUnit*>& units,
                 std::size_t index, Counts& room, std::uint32_t member, WorkerIndex from,
                 WorkerIndex anchor) {
    const Shape& shape = units[index]->m_shape;
    if (member == shape.m_members) {
        return packFrom(state, units, index + 1, room);
    }
    for (WorkerIndex i = from; i < room.size(); ++i) {
        const bool fits = room[i] >= shape.m_accelerators &&
                          (member == 0 || isSamePart(state, anchor, i, shape.m_adjacency));
        if (!fits) {
            continue;
        }
        room[i] -= shape.m_accelerators;
        const WorkerIndex first = member == 0 ? i : anchor;
        const bool isPacked = packMembers(state, units, index, room, member + 1, i, first);
        room[i] += shape.m_accelerators;
        if (isPacked) {
            return true;
        }
    }
    return false;
}

bool packFrom(const ClusterState& state, const std::vector<const GuaranteeUnit*>& units,
              std::size_t index, Counts& room) {
    return index == units.size() || packMembers(state, units, index, room, 0, 0, 0);
}

}  // namespace

std::string findViolation(const ClusterState& state) {
    for (const auto& [name, job] : state.m_jobs) {
        const std::string problem = job.isPlaced() ? checkGang(state, job) : "";
        if (!problem.empty()) {
            return problem;
        }
        if (!job.isPlaced() && !job.m_members.empty()) {
            return name + " keeps workers though it is " + std::string(toText(job.m_state));
        }
        if (job.m_state == JobState::QUEUED && job.m_why.m_verdict == Verdict::NONE) {
            return name + " waits without a reason";
        }
    }
    for (const auto& check : {&checkHeldOnce, &checkUnits, &checkInsideUnit}) {
        const std::string problem = check(state);
        if (!problem.empty()) {
            return problem;
        }
    }
    return {};
}

bool canPackExactly(const ClusterState& state) {
    const std::set<std::uint64_t> busy = getBusyUnits(state);
    Counts room(state.m_workers.size(), 0);
    for (WorkerIndex i = 0; i < room.size(); ++i) {
        room[i] = isThere(state.m_workers[i]) ? state.m_workers[i].m_accelerators : 0;
    }
    std::vector<const GuaranteeUnit*> idle;
    for (const GuaranteeUnit& unit : state.m_units) {
        if (busy.count(unit.m_id) == 0) {
            idle.push_back(&unit);
            continue;
        }
        for (const UnitCell& cell : unit.m_cells) {
            room[cell.m_worker] -= std::min(room[cell.m_worker], cell.m_accelerators);
        }
    }
    return packFrom(state, idle, 0, room);
}

}  // namespace pierbank::testing
