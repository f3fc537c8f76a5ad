// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_IDLEJOBLOG_H
#define PIERBANK_CONTROL_IDLEJOBLOG_H

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

/**
 * Logs which jobs stay without an active run and why, by comparing each plan with the one before.
 * Holds the jobs that are idle; the planner limits how many it tells of.
 */
class IdleJobLog {
public:
    /** Time for which a job has to be idle until a line says so. */
    static constexpr Millis MIN_IDLE_TIME{500};
    /** Minimum time between two lines about one job whose reason changes. */
    static constexpr Millis MIN_LINE_INTERVAL{1000};
    /** Maximum number of lines of one plan; further jobs get theirs with the next plans. */
    static constexpr std::size_t MAX_LINES = 8;

    /** Takes over the idle jobs of a plan. @param now steady time. */
    void update(const TaskPlan& plan, Millis now);
    /** Forgets all jobs without a line, when another gateway leads. */
    void clear() { m_idle.clear(); }

    /** Returns how many jobs were idle for MIN_IDLE_TIME and more in the last plan, by reason. */
    const std::array<std::uint32_t, IDLE_REASON_COUNT>& getCounts() const noexcept {
        return m_counts;
    }
    /** Returns the time that jobs were idle beyond MIN_IDLE_TIME so far, by reason. */
    const std::array<Millis, IDLE_REASON_COUNT>& getTimes() const noexcept { return m_times; }

private:
    struct Idle {
        Millis m_since{0};
        Millis m_lastSeen{0};
        /** Time of the last line; empty before the first. */
        std::optional<Millis> m_loggedAt;
        IdleReason m_reason = IdleReason::OTHER;
        IdleReason m_loggedReason = IdleReason::OTHER;
    };

    void updateJob(const IdleWait& wait, Millis now);
    bool mustLog(const Idle& idle, Millis now) const;
    void removeStarted(const TaskPlan& plan, Millis now);

    /** By job id. */
    std::map<std::string, Idle, std::less<>> m_idle;
    std::array<std::uint32_t, IDLE_REASON_COUNT> m_counts{};
    std::array<Millis, IDLE_REASON_COUNT> m_times{};
    /** Lines of the present plan. */
    std::size_t m_lines = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_IDLEJOBLOG_H
