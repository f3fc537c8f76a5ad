// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_POLICY_SRC_UNITSEARCH_H
#define PIERBANK_POLICY_SRC_UNITSEARCH_H

#include <cstdint>
#include <vector>

#include "pierbank/policy/CellFinder.h"
#include "pierbank/policy/ClusterState.h"

namespace pierbank {

/**
 * The last resort of UnitPacker: tries all ways to give units their cells, up to a number of
 * steps. Small topologies are searched to the end; in large ones the orders that UnitPacker tried
 * before nearly always find a packing that exists.
 */
class UnitSearch {
public:
    /** @param room accelerators that the units may have, by worker. */
    UnitSearch(const CellFinder& finder, std::vector<GuaranteeUnit*> units,
               std::vector<std::uint32_t> room);

    /** @return true when all units have got cells. */
    bool run() { return placeFrom(0); }

private:
    bool placeFrom(std::size_t unit);
    bool placeMembers(std::size_t unit, const CellFinder::Group& group, std::size_t from,
                      std::uint32_t missing);

    /** About 5 ms of work. */
    static constexpr int MAX_STEPS = 50'000;

    const CellFinder& m_finder;
    std::vector<GuaranteeUnit*> m_units;
    std::vector<std::uint32_t> m_room;
    int m_steps = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_POLICY_SRC_UNITSEARCH_H
