// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BENCH_REPLAY_REPLAY_H
#define PIERBANK_BENCH_REPLAY_REPLAY_H

#include <map>
#include <string>

#include "pierbank/policy/PolicySettings.h"
#include "Workload.h"

namespace pierbank::replay {

/** A policy that a replay asks after each event. */
class ReplayPolicy {
public:
    virtual ~ReplayPolicy() = default;

    virtual void plan(ClusterState& state, Millis now) = 0;
};

/** What a replay measured. Times in hours unless the name says otherwise. */
struct Measures {
    double m_meanCompletion = 0;
    double m_95thCompletion = 0;
    double m_meanSlowdown = 0;
    double m_95thSlowdown = 0;
    double m_longestLargeWait = 0;
    /**
     * Share of the idle accelerators that could not serve the largest waiting or guaranteed shape,
     * over the time at which at least as many as that shape has were idle.
     */
    double m_fragmentation = 0;
    /** Longest time from the arrival of an urgent job to its first start, in seconds. */
    double m_longestUrgentSeconds = 0;
    /** Accelerator hours run again because of preemption, as a part of all work. */
    double m_lostWork = 0;
    double m_jain = 0;
    std::uint32_t m_finished = 0;
    std::uint32_t m_unfinished = 0;
    std::uint32_t m_preemptions = 0;
    /** Mean completion with accelerators without end. */
    double m_lowerBound = 0;
};

/** Runs a workload under a policy in virtual time; no hosts, network or store are in it. */
Measures replay(const Workload& workload, ReplayPolicy& policy, const PolicySettings& settings);

}  // namespace pierbank::replay

#endif  // PIERBANK_BENCH_REPLAY_REPLAY_H
