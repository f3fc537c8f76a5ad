// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_STEPCOMPARISON_H
#define PIERBANK_CONTROL_STEPCOMPARISON_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/control/RunEvidence.h"

namespace pierbank {

/** How a step does on the hosts other than the one where a run of it failed. */
struct ShareElsewhere {
    /** Share of the failed runs, averaged over the other hosts, so that a host which fails many
     * runs in a short time counts no more than the others. */
    double m_failed = 0;
    /** The same for the runs that failed quickly. */
    double m_failedQuickly = 0;
};

/** Counts the ends of wide steps by host, to compare hosts on the same work. */
class StepComparison {
public:
    /**
     * Minimum number of other hosts for a comparison: a step that fails in half of its runs has
     * then failed elsewhere with a probability of 98 %.
     */
    static constexpr std::size_t MIN_HOSTS = 6;
    /** Maximum number of steps; the step whose last end is the oldest is dropped. */
    static constexpr std::size_t MAX_STEPS = 32;

    /** Part of a host's evidence that came from one step. */
    struct Contribution {
        std::string_view m_host;
        double m_evidence = 0;
    };

    /** Counts an end of a wide step; only DONE and FAILED ends count. */
    void recordRunEnd(const RunEvidence& evidence, bool isQuick, Millis now);
    /**
     * Returns how the step does elsewhere.
     * @return empty if the step has ended, or outlasted this failure, on too few other hosts.
     */
    std::optional<ShareElsewhere> getShareElsewhere(const RunEvidence& failure) const;
    /** Remembers that a failure of the step added to the evidence against a host. */
    void addContribution(const std::string& step, const std::string& host, double evidence);
    /** Returns and forgets what the step added to hosts; the views live until the next change. */
    std::vector<Contribution> takeContributions(const std::string& step);
    void removeOlderThan(Millis earliestEnd);
    void clear() { m_steps.clear(); }
    std::size_t countSteps() const noexcept { return m_steps.size(); }

private:
    struct Ends {
        std::uint32_t m_done = 0;
        std::uint32_t m_failed = 0;
        std::uint32_t m_failedQuickly = 0;
        /** Evidence against the host that came from this step. */
        double m_evidence = 0;
    };
    struct Step {
        std::map<std::string, Ends, std::less<>> m_hosts;
        /** Time of the last end. */
        Millis m_endedAt{0};
    };

    std::map<std::string, Step> m_steps;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_STEPCOMPARISON_H
