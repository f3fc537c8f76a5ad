// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_WORKACCOUNT_H
#define PIERBANK_CONTROL_WORKACCOUNT_H

#include <array>

#include "pierbank/base/Clock.h"
#include "pierbank/job/WorkOutcome.h"

namespace pierbank {

/** Work of one run that ended. */
struct RunWork {
    WorkOutcome m_outcome = WorkOutcome::UNKNOWN;
    /** Time since the placement. */
    Millis m_runTime{0};
    /** Core equivalent of the task's demand times the run time; of a gang that is done, the sum. */
    double m_coreSeconds = 0;
    /**
     * The end brought a checkpoint that the run did not start from, so that the next run resumes
     * there. How old the checkpoint is, is not known.
     */
    bool m_isSaved = false;

    /** Returns whether the work counts, now or in the run that resumes from its checkpoint. */
    bool isKept() const { return m_isSaved || m_outcome == WorkOutcome::DONE; }
};

/** Sums the work of ended runs: what was kept, and what was thrown away by cause. */
class WorkAccount {
public:
    /** Adds the work of a run. Saved progress counts as kept, whatever the outcome. */
    void add(const RunWork& work) {
        (work.isKept() ? m_kept : m_wasted.at(static_cast<std::size_t>(work.m_outcome))) +=
                work.m_coreSeconds;
    }
    /** Returns the core-seconds of work that was done or saved. */
    double getKept() const { return m_kept; }
    /** Returns the core-seconds that were thrown away by this cause; zero for DONE. */
    double getWasted(WorkOutcome cause) const {
        return m_wasted.at(static_cast<std::size_t>(cause));
    }

private:
    double m_kept = 0;
    std::array<double, WORK_OUTCOME_COUNT> m_wasted{};
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_WORKACCOUNT_H
