// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_WORKERSTATE_H
#define PIERBANK_JOB_WORKERSTATE_H

#include <cstddef>
#include <cstdint>
#include <optional>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

/** Index of a worker in PlanInput::m_workers and PlanningPass::m_workerStates. */
using WorkerSlot = std::size_t;

/**
 * Number of a topology domain (host, rack or failure domain): its position among the domains of the
 * same level, in the order of their names.
 */
using DomainId = std::int32_t;
/** Stands for the whole region: any worker may be used. */
constexpr DomainId ANY_DOMAIN = -1;
/** Stands for a topology domain without workers. */
constexpr DomainId UNKNOWN_DOMAIN = -2;

/** Free capacity and other state of a worker during the pass. */
struct WorkerState {
    const WorkerSnapshot* m_snapshot = nullptr;
    /** Capacity that no run occupies and this pass has not allocated yet. */
    Resources m_free;
    /** Capacity that runs which are being stopped, or are awaited, will free. */
    Resources m_releasing;
    /**
     * Demand of active runs beyond the capacity of a worker that has shrunk. Runs that end
     * reduce this demand first and free only what exceeds it.
     */
    Resources m_overcommitted;
    /** Time until a starved unit is expected to start; only shorter work may be placed. */
    std::optional<Millis> m_reservationStartsIn;
    /** Whether the worker is kept free for urgent work that is expected. */
    bool m_isHeadroom = false;
    /** Whether a run of a suspect task is active there, which may crash the worker. */
    bool m_hasSuspectRun = false;
    /** Number of active runs, including those placed by this pass. */
    std::size_t m_runCount = 0;
    /** Topology domains that contain the worker. */
    DomainId m_host = ANY_DOMAIN;
    DomainId m_rack = ANY_DOMAIN;
    DomainId m_failureDomain = ANY_DOMAIN;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_WORKERSTATE_H
