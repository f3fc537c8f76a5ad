// SPDX-License-Identifier: Apache-2.0
#include "pierbank/policy/UnitPacker.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "pierbank/base/Random.h"
#include "UnitSearch.h"

namespace pierbank {

namespace {

/** Orders in which packAnew() tries units beside the sorted one; more find rarer packings. */
constexpr int SHUFFLED_TRIES = 24;

using Cells = std::vector<std::vector<UnitCell>>;

bool takeRoom(std::span<const UnitCell> cells, std::vector<std::uint32_t>& room) {
    std::map<WorkerIndex, std::uint32_t> counts;
    for (const UnitCell& cell : cells) {
        counts[cell.m_worker] += cell.m_accelerators;
    }
    for (const auto& [worker, count] : counts) {
        if (room[worker] < count) {
            return false;
        }
    }
    for (const auto& [worker, count] : counts) {
        room[worker] -= count;
    }
    return true;
}

/** Large and tight shapes first: they have the fewest places. */
bool isHarder(const GuaranteeUnit* a, const GuaranteeUnit* b) {
    const auto key = [](const GuaranteeUnit* unit) {
        const Shape& shape = unit->m_shape;
        return std::make_tuple(shape.m_accelerators, shape.getTotal(),
                               -static_cast<int>(shape.m_adjacency));
    };
    return key(a) > key(b);
}

Cells saveCells(const ClusterState& state) {
    Cells saved;
    for (const GuaranteeUnit& unit : state.m_units) {
        saved.push_back(unit.m_cells);
    }
    return saved;
}

void restoreCells(ClusterState& state, const Cells& saved) {
    for (std::size_t i = 0; i < saved.size(); ++i) {
        state.m_units[i].m_cells = saved[i];
    }
}

}  // namespace

UnitPacker::UnitPacker(ClusterState& state, const CellFinder& finder)
        : m_state(state), m_finder(finder) {}

std::vector<std::uint32_t> UnitPacker::countRoom(const std::set<std::uint64_t>& busyUnits) const {
    std::vector<std::uint32_t> room(m_state.m_workers.size(), 0);
    for (WorkerIndex i = 0; i < room.size(); ++i) {
        const Worker& worker = m_state.m_workers[i];
        // A silent worker mostly comes back in a moment, and its units with it.
        const bool isThere =
                worker.m_state == WorkerState::LIVE || worker.m_state == WorkerState::SILENT;
        room[i] = isThere ? worker.m_accelerators : 0;
    }
    for (const GuaranteeUnit& unit : m_state.m_units) {
        if (busyUnits.count(unit.m_id) == 0) {
            continue;
        }
        for (const UnitCell& cell : unit.m_cells) {
            room[cell.m_worker] -= std::min(room[cell.m_worker], cell.m_accelerators);
        }
    }
    return room;
}

std::vector<GuaranteeUnit*> UnitPacker::getIdle(const std::set<std::uint64_t>& busyUnits) {
    std::vector<GuaranteeUnit*> idle;
    for (GuaranteeUnit& unit : m_state.m_units) {
        if (busyUnits.count(unit.m_id) == 0) {
            idle.push_back(&unit);
        }
    }
    return idle;
}

bool UnitPacker::placeAll(std::span<GuaranteeUnit* const> units, std::vector<std::uint32_t>& room) {
    for (GuaranteeUnit* unit : units) {
        const auto choice = m_finder.find(unit->m_shape, {room, room, {}});
        if (!choice.has_value()) {
            return false;
        }
        unit->m_cells.clear();
        for (const WorkerIndex worker : choice->m_workers) {
            unit->m_cells.push_back({worker, unit->m_shape.m_accelerators});
            room[worker] -= unit->m_shape.m_accelerators;
        }
    }
    return true;
}

bool UnitPacker::packKeepingCells(const std::set<std::uint64_t>& busyUnits) {
    std::vector<std::uint32_t> room = countRoom(busyUnits);
    std::vector<GuaranteeUnit*> displaced;
    for (GuaranteeUnit* unit : getIdle(busyUnits)) {
        if (unit->m_cells.empty() || !takeRoom(unit->m_cells, room)) {
            displaced.push_back(unit);
        }
    }
    std::stable_sort(displaced.begin(), displaced.end(), &isHarder);
    return placeAll(displaced, room);
}

bool UnitPacker::packAnew(const std::set<std::uint64_t>& busyUnits) {
    std::vector<GuaranteeUnit*> idle = getIdle(busyUnits);
    std::stable_sort(idle.begin(), idle.end(), &isHarder);
    Random random(idle.size());
    for (int attempt = 0; attempt <= SHUFFLED_TRIES; ++attempt) {
        std::vector<std::uint32_t> room = countRoom(busyUnits);
        if (placeAll(idle, room)) {
            return true;
        }
        for (std::size_t i = idle.size(); i > 1; --i) {
            std::swap(idle[i - 1], idle[random.below(i)]);
        }
    }
    return false;
}

bool UnitPacker::packBySearch(const std::set<std::uint64_t>& busyUnits) {
    std::vector<GuaranteeUnit*> idle = getIdle(busyUnits);
    std::stable_sort(idle.begin(), idle.end(), &isHarder);
    return UnitSearch(m_finder, std::move(idle), countRoom(busyUnits)).run();
}

std::vector<std::uint64_t> UnitPacker::packWhatFits(const std::set<std::uint64_t>& busyUnits) {
    std::vector<std::uint32_t> room = countRoom(busyUnits);
    std::map<std::string, double> total;
    std::map<std::string, double> met;
    for (const GuaranteeUnit& unit : m_state.m_units) {
        total[unit.m_organisation] += unit.m_shape.getTotal();
        if (busyUnits.count(unit.m_id) != 0) {
            met[unit.m_organisation] += unit.m_shape.getTotal();
        }
    }
    std::vector<GuaranteeUnit*> open = getIdle(busyUnits);
    std::stable_sort(open.begin(), open.end(), &isHarder);
    std::vector<std::uint64_t> unmet;
    const auto hasLessMet = [&](const GuaranteeUnit* a, const GuaranteeUnit* b) {
        return met[a->m_organisation] / total[a->m_organisation] <
               met[b->m_organisation] / total[b->m_organisation];
    };
    while (!open.empty()) {
        const auto next = std::min_element(open.begin(), open.end(), hasLessMet);
        GuaranteeUnit* const unit = *next;
        open.erase(next);
        if (placeAll({&unit, 1}, room)) {
            met[unit->m_organisation] += unit->m_shape.getTotal();
        } else {
            unit->m_cells.clear();
            unmet.push_back(unit->m_id);
        }
    }
    return unmet;
}

std::vector<std::uint64_t> UnitPacker::repack(const std::set<std::uint64_t>& busyUnits) {
    const Cells saved = saveCells(m_state);
    if (packKeepingCells(busyUnits)) {
        return {};
    }
    restoreCells(m_state, saved);
    if (packAnew(busyUnits)) {
        return {};
    }
    restoreCells(m_state, saved);
    if (packBySearch(busyUnits)) {
        return {};
    }
    restoreCells(m_state, saved);
    return packWhatFits(busyUnits);
}

bool UnitPacker::rebind(std::uint64_t unit, std::vector<UnitCell> cells,
                        const std::set<std::uint64_t>& busyUnits) {
    GuaranteeUnit* const moved = m_state.findUnit(unit);
    if (moved == nullptr) {
        return false;
    }
    const Cells saved = saveCells(m_state);
    std::vector<std::uint32_t> room = countRoom(busyUnits);
    if (!takeRoom(cells, room)) {
        return false;
    }
    moved->m_cells = std::move(cells);
    std::set<std::uint64_t> fixed = busyUnits;
    fixed.insert(unit);
    if (packKeepingCells(fixed)) {
        return true;
    }
    restoreCells(m_state, saved);
    return false;
}

}  // namespace pierbank
