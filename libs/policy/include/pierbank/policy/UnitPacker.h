// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_POLICY_UNITPACKER_H
#define PIERBANK_POLICY_UNITPACKER_H

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "pierbank/policy/CellFinder.h"
#include "pierbank/policy/ClusterState.h"

namespace pierbank {

/**
 * Keeps the cells of all guarantee units apart (see GuaranteeUnit). This is the packing invariant
 * of the project: on every LIVE worker, the cells of all units together are at most its
 * accelerators.
 */
class UnitPacker {
public:
    /** The state must outlive the packer; so must the finder, which is of the same workers. */
    UnitPacker(ClusterState& state, const CellFinder& finder);

    /**
     * Gives cells to every unit without jobs whose cells are missing, on a worker out of service,
     * or in another unit's way. Moves units without jobs when that is needed.
     * @param busyUnits units with jobs; their cells stay.
     * @return ids of the units for which there is no room. Those of the organisation with the
     *         largest part of its units met go without first.
     */
    std::vector<std::uint64_t> repack(const std::set<std::uint64_t>& busyUnits);

    /**
     * Moves a unit without jobs to given cells, if all others still pack.
     * @return false, with nothing changed, when they do not.
     */
    bool rebind(std::uint64_t unit, std::vector<UnitCell> cells,
                const std::set<std::uint64_t>& busyUnits);

private:
    std::vector<std::uint32_t> countRoom(const std::set<std::uint64_t>& busyUnits) const;
    std::vector<GuaranteeUnit*> getIdle(const std::set<std::uint64_t>& busyUnits);
    bool placeAll(std::span<GuaranteeUnit* const> units, std::vector<std::uint32_t>& room);
    bool packKeepingCells(const std::set<std::uint64_t>& busyUnits);
    bool packAnew(const std::set<std::uint64_t>& busyUnits);
    bool packBySearch(const std::set<std::uint64_t>& busyUnits);
    std::vector<std::uint64_t> packWhatFits(const std::set<std::uint64_t>& busyUnits);

    ClusterState& m_state;
    const CellFinder& m_finder;
};

}  // namespace pierbank

#endif  // PIERBANK_POLICY_UNITPACKER_H
