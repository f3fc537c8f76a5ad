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

/** Progress of one run as reported by its worker. */
struct ProgressReport {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    std::uint32_t m_percent = 0;
    /**
     * The run may lack progress for a reason of its own and never counts as stalled: it is a member
     * of a gang of which not all members are known to run, or it stalled on several hosts before.
     */
    bool m_mayWait = false;
    /** Declared run time; zero for none. */
    Millis m_estimate{0};
};

/** Observed progress rate of a run. */
struct ProgressRate {
    TaskKey m_task;
    /** Percent per second. */
    double m_rate = 0;
};

/**
 * Tracks the progress of runs as reported by their workers, and detects stalled runs and hosts. A
 * worker may renew its lease and appear healthy while its runs make no or little progress; the
 * progress reports are the only sign of that.
 */
class ProgressTracker {
public:
    /**
     * Share of the declared run time after which a run that has not made any progress yet is
     * stalled: it is fifteen times too slow by then. Slow hosts are up to seven times too slow, and
     * declared times are off by half. The bound is relative, because with a fixed bound runs of an
     * hour, which need 36 s for one percent, counted as stalled, and an urgent run was started
     * again many times a minute.
     */
    static constexpr double STALL_ESTIMATE_SHARE = 0.15;
    /**
     * Minimum time without progress of a stalled run; slightly less than the interval between two
     * reports. With 1400 ms, detection took three reports, and urgent runs were stalled for more
     * than three seconds before they were moved.
     */
    static constexpr Millis MIN_STALL_TIMEOUT{950};
    /** Time without progress after which a run without a declared run time is stalled. */
    static constexpr Millis DEFAULT_STALL_TIMEOUT{8000};
    /** A run that has made progress is stalled after this many times the time that it needed for
     * one percent. */
    static constexpr std::int64_t STALL_PERCENT_FACTOR = 8;
    /** Minimum time over which a rate is computed; rates over shorter times are meaningless. */
    static constexpr Millis MIN_RATE_SPAN{500};

    /** Progress in percent over which the rate of a run is sampled for the speed of its host.
     * Reports contain whole percents, so that the error is at most one twentieth. */
    static constexpr std::uint32_t MIN_SAMPLE_ADVANCE = 20;

    /**
     * Updates the runs of a host from its complete report; runs that are not listed are removed.
     * @return the rates of the runs that have made enough progress for a sample; once for each run.
     */
    std::vector<ProgressRate> recordReport(const std::string& host,
                                           const std::vector<ProgressReport>& runs, Millis now);
    /** Removes the runs of a host that did not report for a time, since a stall cannot be inferred
     * from the earlier reports. */
    void forgetHost(const std::string& host) { m_hosts.erase(host); }
    void clear() { m_hosts.clear(); }

    /** Returns whether runs on the host are stalled and none makes progress. */
    bool isStalled(const std::string& host) const;
    /** Returns whether the task's run on the host is stalled. */
    bool isStalled(std::string_view host, const TaskRef& task) const;
    /** Returns whether a run that was first reported after `since` has made progress. */
    bool hasAdvancedSince(std::string_view host, Millis since) const;
    /** Returns whether any host is stalled. */
    bool hasStalled() const;
    /** Returns the time from the last progress of a run to the last report; zero for unknown and
     * complete runs. */
    Millis getStalledTime(std::string_view host, const TaskRef& task) const;
    /** Returns the estimated time until the run ends, at its mean rate so far; empty if the rate is
     * unknown or the run is stalled. */
    std::optional<Millis> getRemaining(std::string_view host, const TaskRef& task,
                                       Millis now) const;
    /** Returns the mean rate of a run in percent per second; empty if it is unknown. */
    std::optional<double> getRate(std::string_view host, const TaskRef& task) const;

private:
    /** Observed progress of one run. */
    struct Track {
        TaskKey m_task;
        std::uint32_t m_run = 0;
        bool m_mayWait = false;
        /** Progress in the first report. */
        std::uint32_t m_firstPercent = 0;
        /** Time of the first report, or of the end of a permitted wait. */
        Millis m_firstAt{0};
        std::uint32_t m_percent = 0;
        /** Time of the first report with `m_percent`. */
        Millis m_changedAt{0};
        Millis m_reportedAt{0};
        Millis m_estimate{0};
        /** Progress in the first report that was not zero, from which the rate is sampled; zero
         * before that report. */
        std::uint32_t m_startPercent = 0;
        Millis m_startAt{0};
        /** The rate of the run was returned by sampleRate(). */
        bool m_isSampled = false;

        /** Returns the time without progress until the last report. */
        Millis getStalledTime() const { return m_reportedAt - m_changedAt; }
        /** Returns the time without progress after which the run is stalled. */
        Millis getStallTimeout() const;
        bool isStalled() const;
        std::optional<double> getRate() const;
        /** Returns the rate of the run once, as soon as there is enough progress for a sample. */
        std::optional<double> sampleRate(Millis now);
    };
    /** The runs of one host. A worker runs only a few tasks, for which a linear search is faster
     * than a map. */
    using Host = std::vector<Track>;

    static bool isStalled(const Host& host);
    const Track* find(std::string_view host, const TaskRef& task) const;

    std::map<std::string, Host, std::less<>> m_hosts;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_PROGRESSTRACKER_H
