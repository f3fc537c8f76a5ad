// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_RUNEVIDENCE_H
#define PIERBANK_CONTROL_RUNEVIDENCE_H

#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/job/JobRun.h"

namespace pierbank {

/** End of a run, as evidence for or against its host. */
struct RunEvidence {
    std::string m_host;
    std::string m_job;
    RunEnd m_end = RunEnd::DONE;
    /** Time from the placement to the end. */
    Millis m_ran{0};
    /** Incarnation of the worker that reported the end. */
    std::string m_incarnation{};
    /** Name of the step if it is wide, see StepSpec::isWide(); empty otherwise. */
    std::string m_wideStep{};
    /**
     * For a failure in a wide step: the other hosts on which a run of the step has already lasted
     * clearly longer than the failed run. The views must only live as long as the call.
     */
    std::vector<std::string_view> m_outlastingHosts{};
};

/**
 * Time by which a run must be older than a failed one to be evidence that the step does not fail at
 * that age: as long as the failed run, but at most this. Covers the delay of reports.
 */
constexpr Millis MAX_OUTLASTING_MARGIN{500};

/**
 * Makes the evidence from the end of an active run. To be called before the end is applied.
 * @return the evidence; it refers to host names in `run`.
 */
RunEvidence makeRunEvidence(const JobRecord& record, const JobRun& run, const ActiveRun& ended,
                            RunEnd end, Millis wallNow);

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_RUNEVIDENCE_H
