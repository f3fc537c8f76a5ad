// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BENCH_REPLAY_REPLAY_H
#define PIERBANK_BENCH_REPLAY_REPLAY_H

#include <cstdint>

#include "Policies.h"
#include "Workload.h"

namespace pierbank::replay {

/** Results of a replay. Times are in hours unless the name has another unit. */
struct Measures {
    double m_meanCompletion = 0;
    double m_95thCompletion = 0;
    double m_meanSlowdown = 0;
    double m_95thSlowdown = 0;
    double m_longestLargeWait = 0;
    /**
     * Mean share of the idle accelerators that gangs of the guaranteed size could not use, over the
     * time in which at least as many accelerators were idle as one such gang needs.
     */
    double m_fragmentation = 0;
    /** Longest time from the arrival of an urgent job to its first start, in seconds. */
    double m_longestUrgentSeconds = 0;
    /** Accelerator hours repeated because of preemption, as a share of all work. */
    double m_lostWork = 0;
    /** Jain's fairness index of the organisations' mean speeds (the reciprocal of slowdown). */
    double m_jain = 0;
    std::uint32_t m_finished = 0;
    std::uint32_t m_unfinished = 0;
    std::uint32_t m_preemptions = 0;
    /** Mean completion time with unlimited accelerators. */
    double m_lowerBound = 0;
};

/** Simulates a workload under a policy in virtual time, without hosts, network or store. */
Measures replay(const Workload& workload, ReplayPolicy& policy);

}  // namespace pierbank::replay

#endif  // PIERBANK_BENCH_REPLAY_REPLAY_H
