// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_TASKTHROTTLE_H
#define PIERBANK_CONTROL_TASKTHROTTLE_H

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "pierbank/control/TaskWorker.h"

namespace pierbank {

/** How throttling applies to a run. */
struct RunKind {
    /** Upper bound of the tail latency for a task that serves users; zero for other tasks. */
    Millis m_latencyTarget{0};
    /** Whether the task fills idle capacity and may be slowed down in favour of others. */
    bool m_isFilling = false;

    /** Returns whether the run is throttled itself or has a latency target. */
    bool isRelevant() const noexcept { return m_isFilling || m_latencyTarget > Millis(0); }
};

/** Settings of the throttle. Latencies are expressed relative to their target. */
struct TaskThrottleSettings {
    /** Tail latency relative to its target above which filling tasks are slowed down. */
    double m_slowDownThreshold = 0.8;
    /** Factor that is applied to the share of filling tasks at each step down. */
    double m_slowDownFactor = 0.5;
    /** Tail latency relative to its target below which filling tasks are sped up. */
    double m_speedUpThreshold = 0.6;
    /** Percentage points that are added to the share at each step up. */
    std::uint32_t m_speedUpStep = 10;
    /**
     * Minimum time between two changes. Latencies are measured over half a second, and a new share
     * takes effect after 0.1 s.
     */
    Millis m_settleTime{600};
};

/**
 * Throttles the tasks that fill idle capacity beside tasks that serve users, on one worker. The
 * share is decreased multiplicatively and increased additively, as in congestion control. All
 * filling tasks get the same share, because the measurements do not show which of them causes the
 * interference.
 */
class TaskThrottle {
public:
    using RunKey = std::pair<TaskKey, std::uint32_t>;

    explicit TaskThrottle(TaskThrottleSettings settings = {}) : m_settings(settings) {}

    /** Adds a run. Runs that throttling does not concern are ignored. */
    void addRun(const RunKey& run, const RunKind& kind);
    /** Returns whether the run was added. */
    bool hasRun(const RunKey& run) const { return m_kinds.count(run) != 0; }
    /**
     * Returns whether serving and filling tasks run on the worker together, so that frequent polls
     * are worthwhile.
     */
    bool isNeeded() const noexcept { return m_isNeeded; }
    /**
     * Updates the share from the runs that a poll listed.
     *
     * @return the throttle calls to send.
     */
    std::vector<ThrottleCall> update(const std::vector<ListedRun>& running, Millis now);
    /**
     * Discards the share that was sent to a run, because the call failed. The run then counts as
     * unthrottled, so that update() sends any share below 100 again.
     */
    void discardPercent(const RunKey& run) { m_sentPercents.erase(run); }
    /** Removes all runs, because the worker has a new incarnation. */
    void clear();

private:
    /**
     * Returns the highest tail latency of the serving tasks relative to its target; zero if no
     * serving task runs.
     */
    double getLatencyRatio(const std::vector<ListedRun>& running) const;
    /**
     * Adjusts the share of filling tasks. The share can decrease before the settle time is over if
     * a target is missed, which means a ratio above 1.
     */
    void adjust(double latencyRatio, Millis now);

    const TaskThrottleSettings m_settings;
    std::map<RunKey, RunKind> m_kinds;
    /** Share that was last sent for each filling run, in percent; runs start at 100. */
    std::map<RunKey, std::uint32_t> m_sentPercents;
    /** Present share of filling tasks in percent. */
    std::uint32_t m_percent = 100;
    Millis m_changedAt{0};
    bool m_isNeeded = false;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_TASKTHROTTLE_H
