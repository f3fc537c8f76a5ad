// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_POLICY_CELLFINDER_H
#define PIERBANK_POLICY_CELLFINDER_H

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "pierbank/policy/ClusterState.h"
#include "pierbank/policy/Shape.h"

namespace pierbank {

/** What a search may use on each worker; all spans have one element a worker. */
struct CellSupply {
    /** Accelerators that may be taken. */
    std::span<const std::uint32_t> m_available;
    /** Accelerators that are free without disturbing anyone; at most the available ones. */
    std::span<const std::uint32_t> m_free;
    /** Cost of taking one accelerator that is available but not free; empty: no cost. */
    std::span<const double> m_disturbance;
};

/** Where the members of a shape would sit: a worker for each member. */
struct CellChoice {
    std::vector<WorkerIndex> m_workers;
    /** Parts of the topology that could hold the shape. */
    std::uint32_t m_candidates = 0;
};

/**
 * Finds workers for a shape. The topology is a tree of region, failure domain, rack and worker.
 * A choice disturbs as little as possible; among equals it breaks the fewest whole workers and
 * racks and leaves the least over (best fit up the tree).
 *
 * Made anew when the workers change; the workers must outlive it.
 */
class CellFinder {
public:
    explicit CellFinder(std::span<const Worker> workers);

    /** Empty when no allowed part of the topology holds the shape. */
    std::optional<CellChoice> find(const Shape& shape, const CellSupply& supply) const;

    /** Whether the shape fits when nothing runs and every worker that is not GONE is in service. */
    bool couldEverFit(const Shape& shape) const;

    /** Workers that belong together. */
    using Group = std::vector<WorkerIndex>;

    /** The parts of the topology that may hold a shape of this adjacency. */
    const std::vector<Group>& getGroups(Adjacency adjacency) const;

private:
    struct Score;

    std::optional<CellChoice> findAt(Adjacency adjacency, const Shape& shape,
                                     const CellSupply& supply) const;
    std::uint64_t countSlots(const Group& group, const Shape& shape,
                             std::span<const std::uint32_t> available) const;
    Group order(const Group& group, const Shape& shape, const CellSupply& supply) const;
    std::vector<WorkerIndex> choose(const Group& group, const Shape& shape,
                                    const CellSupply& supply) const;
    Score rate(std::span<const WorkerIndex> chosen, std::uint64_t slots, const Shape& shape,
               const CellSupply& supply) const;

    std::span<const Worker> m_workers;
    std::vector<Group> m_single;
    std::vector<Group> m_racks;
    std::vector<Group> m_domains;
    std::vector<Group> m_region;
    std::vector<std::size_t> m_rackOf;
};

}  // namespace pierbank

#endif  // PIERBANK_POLICY_CELLFINDER_H
