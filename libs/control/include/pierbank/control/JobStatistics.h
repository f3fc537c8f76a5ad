// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_JOBSTATISTICS_H
#define PIERBANK_CONTROL_JOBSTATISTICS_H

#include <cstdint>

#include "pierbank/base/Metrics.h"
#include "pierbank/control/WorkAccount.h"

namespace pierbank {

/** Counters and latencies of the work that a JobController did as the leader. */
struct JobStatistics {
    /** Placed runs, without speculative copies. */
    std::uint64_t m_placed = 0;
    /** Speculative copies. */
    std::uint64_t m_copied = 0;
    /** Runs stopped by a plan, by a stall or by a revocation. */
    std::uint64_t m_stopped = 0;
    /** Runs lost with their workers. */
    std::uint64_t m_lost = 0;
    /** Failed runs that were counted as attempts. */
    std::uint64_t m_failedRuns = 0;
    /**
     * Reported ends that changed nothing. An end is reported again to the next leader if its worker
     * was not told that the end is persisted.
     */
    std::uint64_t m_endsWithoutEffect = 0;
    /** Answers to requests that other gateways relayed: sent, and dropped with their link. */
    std::uint64_t m_relaysAnswered = 0;
    std::uint64_t m_relayAnswersDropped = 0;
    /** Jobs that counted as started until a start of theirs turned out not to have happened. */
    std::uint64_t m_retractedStarts = 0;
    /** Starts that workers refused although they had the capacity, or did not answer. */
    std::uint64_t m_refusedStarts = 0;
    /** Runs revoked because their failure domain is under evacuation. */
    std::uint64_t m_revoked = 0;
    /** Transactions with decisions that were sent to the store. */
    std::uint64_t m_commits = 0;
    /** Plans that were made and applied. */
    std::uint64_t m_plans = 0;
    /** Work of the runs that ended: kept, and thrown away by cause. */
    WorkAccount m_work;
    /** Duration of planning. */
    LatencySummary m_planTime;
    /** TaskPlan::m_fragmentation of the last plan. */
    double m_fragmentation = 0;
    /** Time from acceptance to the first placement, of jobs that are not timed. */
    LatencySummary m_timeToFirstPlacement;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBSTATISTICS_H
