// SPDX-License-Identifier: Apache-2.0
#include "UnitSearch.h"

#include <utility>

namespace pierbank {

UnitSearch::UnitSearch(const CellFinder& finder, std::vector<GuaranteeUnit*> units,
                       std::vector<std::uint32_t> room)
        : m_finder(finder), m_units(std::move(units)), m_room(std::move(room)) {}

bool UnitSearch::placeFrom(std::size_t unit) {
    if (unit == m_units.size()) {
        return true;
    }
    m_units[unit]->m_cells.clear();
    const Shape& shape = m_units[unit]->m_shape;
    for (const CellFinder::Group& group : m_finder.getGroups(shape.m_adjacency)) {
        if (placeMembers(unit, group, 0, shape.m_members)) {
            return true;
        }
    }
    return false;
}

bool UnitSearch::placeMembers(std::size_t unit, const CellFinder::Group& group, std::size_t from,
                              std::uint32_t missing) {
    if (missing == 0) {
        return placeFrom(unit + 1);
    }
    const std::uint32_t accelerators = m_units[unit]->m_shape.m_accelerators;
    // Members are alike: only choices in the order of the workers are tried.
    for (std::size_t i = from; i < group.size(); ++i) {
        const WorkerIndex worker = group[i];
        if (++m_steps > MAX_STEPS) {
            return false;
        }
        if (m_room[worker] < accelerators) {
            continue;
        }
        m_room[worker] -= accelerators;
        m_units[unit]->m_cells.push_back({worker, accelerators});
        if (placeMembers(unit, group, i, missing - 1)) {
            return true;
        }
        m_units[unit]->m_cells.pop_back();
        m_room[worker] += accelerators;
    }
    return false;
}

}  // namespace pierbank
