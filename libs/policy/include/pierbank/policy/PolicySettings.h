// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_POLICY_POLICYSETTINGS_H
#define PIERBANK_POLICY_POLICYSETTINGS_H

#include <cstdint>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** What operators can tune of the decisions. Each deployment has its own. */
struct PolicySettings {
    /**
     * 0 to 100: how much fragmentation weighs against completion time when the queue is ordered.
     * High values start large jobs first, low ones short jobs.
     */
    std::uint32_t m_fragmentationWeight = 50;

    /**
     * A job that has waited as long as it is expected to run gets workers set aside for it; but
     * not before this time...
     */
    Millis m_starvationBound{30 * 60'000};
    /** ...and at the latest after this one, whatever run time was declared. */
    Millis m_maxStarvationBound{12 * 3'600'000};

    /** How long workers set aside drain before younger borrowed work on them is preempted. */
    Millis m_claimPatience{10 * 60'000};

    /** How many starved jobs may have workers set aside at a time. */
    std::uint32_t m_maxStarvedClaims = 2;

    /** A job that has waited this long may have smaller borrowed work moved out of its way. */
    Millis m_moveAfter{5 * 60'000};
    /** Work that was started less than this ago is not moved. */
    Millis m_moveRest{30 * 60'000};

    /** How long a preempted task may take for its checkpoint before it is stopped. */
    Millis m_checkpointGrace{3000};

    /** A worker is quarantined after this many failures since its last success... */
    std::uint32_t m_workerFailures = 3;
    /** ...which came from at least this many different jobs. */
    std::uint32_t m_workerFailureJobs = 2;
    /** First pause of a failing worker; each further one is twice as long. */
    Millis m_quarantinePause{60'000};
    /** Longest pause. */
    Millis m_maxQuarantinePause{4 * 3'600'000};

    /** A job that failed on this many different workers is at fault itself. */
    std::uint32_t m_jobFailures = 3;
    /** So is one that failed this often anywhere, workers in quarantine not counted. */
    std::uint32_t m_jobFailuresInAll = 6;

    /** Waiting jobs that one pass explains in full. */
    std::uint32_t m_maxExplained = 16;
};

}  // namespace pierbank

#endif  // PIERBANK_POLICY_POLICYSETTINGS_H
