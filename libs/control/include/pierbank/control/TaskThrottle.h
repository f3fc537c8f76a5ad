// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_TASKTHROTTLE_H
#define PIERBANK_CONTROL_TASKTHROTTLE_H

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "pierbank/control/TaskWorker.h"

namespace pierbank {

/** What kind of run it is, as far as pacing goes. */
struct RunKind {
    /** It serves users: the tail of their answer times stays below this; zero: it does not. */
    Millis m_latencyTarget{0};
    /** It takes what others leave, and may be slowed down for them. */
    bool m_isFilling = false;

    bool matters() const noexcept { return m_isFilling || m_latencyTarget > Millis(0); }
};

struct TaskThrottleSettings {
    /** A tail above this share of its target slows filling tasks down... */
    double m_slowDownAt = 0.8;
    /** ...to this share of what they were set to; each look that still finds it so, again. */
    double m_slowDown = 0.5;
    /** A tail below this share of its target lets them speed up, by so much a look. */
    double m_speedUpAt = 0.6;
    std::uint32_t m_speedUp = 10;
    /** Time between two changes: a figure is over half a second, and a pace counts after 0.1 s. */
    Millis m_settle{600};
};

/**
 * Paces the filling tasks beside tasks that serve users, on one worker: fast down, slowly up, as
 * congestion control does. What fills is slowed all alike, since nobody tells which one disturbs.
 */
class TaskThrottle {
public:
    using RunKey = std::pair<TaskKey, std::uint32_t>;

    explicit TaskThrottle(TaskThrottleSettings settings = {}) : m_settings(settings) {}

    void learn(const RunKey& run, const RunKind& kind);
    bool knows(const RunKey& run) const { return m_kinds.count(run) != 0; }
    /** Both kinds are there, so that looking often pays. */
    bool isNeeded() const noexcept { return m_isNeeded; }
    /** Takes a look at what runs. @return what has to be paced now. */
    std::vector<ThrottleCall> look(const std::vector<ListedRun>& running, Millis now);
    /** A pace did not arrive: it is given again at the next look. */
    void forgetPace(const RunKey& run) { m_paces.erase(run); }
    /** Another life of the worker: nothing of before runs. */
    void clear();

private:
    /** The largest share of its target that a serving task's tail has; empty without one. */
    double getPressure(const std::vector<ListedRun>& running) const;
    void adjust(double pressure, Millis now);

    const TaskThrottleSettings m_settings;
    std::map<RunKey, RunKind> m_kinds;
    /** What each filling run was last set to; a run begins at 100. */
    std::map<RunKey, std::uint32_t> m_paces;
    std::uint32_t m_percent = 100;
    Millis m_changedAt{0};
    bool m_isNeeded = false;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_TASKTHROTTLE_H
