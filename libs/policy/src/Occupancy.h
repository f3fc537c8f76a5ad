// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_POLICY_SRC_OCCUPANCY_H
#define PIERBANK_POLICY_SRC_OCCUPANCY_H

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

#include "pierbank/policy/ClusterState.h"

namespace pierbank {

/** Calls `visit(worker, accelerators)` for every worker that the members of a job sit on. */
using WorkerVisitor = std::function<void(WorkerIndex worker, std::uint32_t accelerators)>;
void forEachWorker(const Job& job, const WorkerVisitor& visit);

/**
 * Counts of accelerators a worker, made from a state at the start of a pass and kept up to date
 * by the planner as it assigns, claims and preempts.
 */
struct Occupancy {
    explicit Occupancy(const ClusterState& state);

    /** Accelerators that may get new work: all of a LIVE worker, none of another. */
    std::vector<std::uint32_t> m_capacity;
    /** Accelerators that jobs hold. */
    std::vector<AcceleratorMask> m_held;
    /** Of those held, what STOPPING jobs will give back. */
    std::vector<std::uint32_t> m_stopping;
    /** Accelerators that CLAIMING jobs wait for: inside guarantees, which come first... */
    std::vector<std::uint32_t> m_guaranteedClaims;
    /** ...of urgent work beyond them... */
    std::vector<std::uint32_t> m_urgentClaims;
    /** ...and of starved jobs. */
    std::vector<std::uint32_t> m_starvedClaims;
    /** Units with at least one job. */
    std::set<std::uint64_t> m_busyUnits;

    /** Not held by any job. */
    std::uint32_t getFree(WorkerIndex worker) const;
    /** Free and not claimed. */
    std::uint32_t getOpen(WorkerIndex worker) const;
    /** Free and not claimed inside guarantees. */
    std::uint32_t getFreeOfGuarantees(WorkerIndex worker) const;
    /** Free and not claimed by guarantees or urgent work. */
    std::uint32_t getFreeOfFirmClaims(WorkerIndex worker) const;
    /** Claims that go before those of a job of this kind. */
    std::uint32_t getClaimsBefore(WorkerIndex worker, bool isGuaranteed) const;

    void addClaim(const Job& job);
    void removeClaim(const Job& job);
    void addHeld(const Job& job);

private:
    std::vector<std::uint32_t>& getClaims(const Job& job);
};

/** Whether a claim may preempt at once, in contrast to one of a starved job, which drains. */
bool isFirmClaim(const Job& job);

}  // namespace pierbank

#endif  // PIERBANK_POLICY_SRC_OCCUPANCY_H
