// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_PROGRESSTRACKER_H
#define PIERBANK_CONTROL_PROGRESSTRACKER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/job/JobRun.h"
#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

/** What a worker reported of one run. */
struct ProgressReport {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    std::uint32_t m_percent = 0;
    /** A member of a gang of which not all members are known to be there: it stands at zero. */
    bool m_mayWait = false;
};

/** How fast a run was seen to advance. */
struct ProgressRate {
    TaskKey m_task;
    /** Percent a second. */
    double m_rate = 0;
};

/**
 * What runs advance, as their workers report it. A worker may hold its leases and look well while
 * its runs stand still or crawl; how runs advance is the only sign of that.
 */
class ProgressTracker {
public:
    /** A run that did not advance between reports this far apart stands still. */
    static constexpr Millis STALLED_AFTER{1400};
    /** Advance over less than this tells nothing. */
    static constexpr Millis LEAST_SPAN{500};

    /** Percent over which a run has to be seen to advance before it tells how fast the host is:
     * reports say whole percents, so that this is off by a twentieth at most. */
    static constexpr std::uint32_t TELLING_ADVANCE = 20;

    /**
     * Takes a host's whole report; runs that it does not list are forgotten.
     * @return for each run, once, how fast it advances.
     */
    std::vector<ProgressRate> note(const std::string& host, const std::vector<ProgressReport>& runs,
                                   Millis now);
    /** The host said nothing for a while: what was seen before is no base to judge by. */
    void forgetHost(const std::string& host) { m_hosts.erase(host); }
    void clear() { m_hosts.clear(); }

    /** Runs stand still on the host, and none advances. */
    bool isStalled(const std::string& host) const;
    /** Some host is stalled. */
    bool hasStalled() const;
    /** How long a run has stood still; zero when it advances or nothing is known. */
    Millis getStalledTime(std::string_view host, const TaskRef& task) const;
    /** Time until the run ends, if it goes on as it did; empty when nothing tells. */
    std::optional<Millis> getRemaining(std::string_view host, const TaskRef& task,
                                       Millis now) const;
    /** Percent a second at which a run advanced; empty when nothing tells. */
    std::optional<double> getRate(std::string_view host, const TaskRef& task) const;

private:
    struct Track {
        TaskKey m_task;
        std::uint32_t m_run = 0;
        bool m_mayWait = false;
        std::uint32_t m_firstPercent = 0;
        Millis m_firstAt{0};
        std::uint32_t m_percent = 0;
        Millis m_changedAt{0};
        Millis m_seenAt{0};
        /** The first report at which it had begun. */
        std::uint32_t m_begunPercent = 0;
        Millis m_begunAt{0};
        bool m_hasTold = false;

        Millis getStalledTime() const { return m_seenAt - m_changedAt; }
        bool isStalled() const;
        std::optional<double> getRate() const;
        /** Takes a report's percent; a rate when enough was seen for the first time. */
        std::optional<double> takeRate(Millis now);
    };
    /** A worker runs a few tasks: a look through them is quicker than a map of names. */
    using Host = std::vector<Track>;

    static bool isStalled(const Host& host);
    const Track* find(std::string_view host, const TaskRef& task) const;

    std::map<std::string, Host, std::less<>> m_hosts;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_PROGRESSTRACKER_H
