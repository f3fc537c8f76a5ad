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
    /**
     * It may stand still for a reason of its own: a member of a gang of which not all members are
     * known to be there, or a run that stood still on several hosts.
     */
    bool m_mayWait = false;
    /** Declared time; zero for none. */
    Millis m_estimate{0};
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
    /**
     * Before it was seen to advance, a run stands still when it shows nothing in this share of its
     * declared time: it is fifteen times too slow then. Hosts were seen to be slow by up to seven
     * times, declared times to be off by half. One time for all took runs of an hour, of which a
     * percent takes 36 s, for standing still and began an urgent one 27 times a minute (test).
     */
    static constexpr double STALLED_SHARE = 0.15;
    /**
     * The least time, a little less than what lies between two reports: with 1400 ms it took three
     * of them, and urgent runs stood still for 3.2 s (median of 175) before they were moved.
     */
    static constexpr Millis LEAST_STALL{950};
    /** Without a declared time. */
    static constexpr Millis UNDECLARED_STALL{8000};
    /** A run that was seen to advance stands still after so many times what a percent took. */
    static constexpr std::int64_t STALLED_PERCENTS = 8;
    /** Advance over less than this tells nothing. */
    static constexpr Millis LEAST_SPAN{500};

    /** Percent over which a run has to be seen to advance before it tells how fast the host is:
     * reports say whole percents, so that this is off by a twentieth at most. */
    static constexpr std::uint32_t TELLING_ADVANCE = 20;

    /**
     * Takes a host's whole report; runs that it does not list are forgotten.
     * @return for each run, once, how fast it advances.
     */
    std::vector<ProgressRate> recordReport(const std::string& host,
                                           const std::vector<ProgressReport>& runs, Millis now);
    /** The host said nothing for a while: what was seen before is no base to judge by. */
    void forgetHost(const std::string& host) { m_hosts.erase(host); }
    void clear() { m_hosts.clear(); }

    /** Runs stand still on the host, and none advances. */
    bool isStalled(const std::string& host) const;
    /** This run stands still. */
    bool isStalled(std::string_view host, const TaskRef& task) const;
    /** A run that was first reported after a time has advanced since. */
    bool hasAdvancedSince(std::string_view host, Millis since) const;
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
        Millis m_estimate{0};
        /** The first report at which it had begun. */
        std::uint32_t m_begunPercent = 0;
        Millis m_begunAt{0};
        bool m_hasTold = false;

        Millis getStalledTime() const { return m_seenAt - m_changedAt; }
        /** Time without advance that is not yet standing still. */
        Millis getPatience() const;
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
