// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BENCH_REPLAY_REPLAY_H
#define PIERBANK_BENCH_REPLAY_REPLAY_H

#include <cstdint>

#include "Policies.h"
#include "Workload.h"

namespace pierbank::replay {

/** What a replay measured. Times in hours unless the name says otherwise. */
struct Measures {
    double m_meanCompletion = 0;
    double m_95thCompletion = 0;
    double m_meanSlowdown = 0;
    double m_95thSlowdown = 0;
    double m_longestLargeWait = 0;
    /**
     * Share of the idle accelerators that could not serve gangs of the guaranteed size, over the
     * time at which at least as many as one needs were idle.
     */
    double m_fragmentation = 0;
    /** Longest time from the arrival of an urgent job to its first start, in seconds. */
    double m_longestUrgentSeconds = 0;
    /** Accelerator hours run again because of preemption, as a part of all work. */
    double m_lostWork = 0;
    /** Jain's index over the organisations' mean speeds (one over slowdown). */
    double m_jain = 0;
    std::uint32_t m_finished = 0;
    std::uint32_t m_unfinished = 0;
    std::uint32_t m_preemptions = 0;
    /** Mean completion with accelerators without end. */
    double m_lowerBound = 0;
};

/** Runs a workload under a policy in virtual time; no hosts, network or store are in it. */
Measures replay(const Workload& workload, ReplayPolicy& policy);

}  // namespace pierbank::replay

#endif  // PIERBANK_BENCH_REPLAY_REPLAY_H
