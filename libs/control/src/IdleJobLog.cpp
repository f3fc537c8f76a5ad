// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/IdleJobLog.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

std::string toPercent(double share) {
    constexpr double WHOLE = 100.0;
    return std::to_string(std::lround(share * WHOLE));
}

}  // namespace

void IdleJobLog::update(const TaskPlan& plan, Millis now) {
    m_counts.fill(0);
    m_lines = 0;
    for (const IdleWait& wait : plan.m_idleWaits) {
        updateJob(wait, now);
    }
    removeStarted(plan, now);
}

void IdleJobLog::updateJob(const IdleWait& wait, Millis now) {
    auto found = m_idle.find(wait.m_job);
    if (found == m_idle.end()) {
        found = m_idle.emplace(wait.m_job, Idle{now, now, {}, wait.m_reason, wait.m_reason}).first;
    }
    Idle& idle = found->second;
    const Millis idleFor = now - idle.m_since;
    if (idleFor >= MIN_IDLE_TIME) {
        ++m_counts.at(static_cast<std::size_t>(wait.m_reason));
        m_times.at(static_cast<std::size_t>(idle.m_reason)) += now - idle.m_lastSeen;
    }
    idle.m_lastSeen = now;
    idle.m_reason = wait.m_reason;
    if (!mustLog(idle, now)) {
        return;
    }
    ++m_lines;
    idle.m_loggedAt = now;
    idle.m_loggedReason = wait.m_reason;
    logEvent(Severity::INFO, "jobs", "idle",
             {{"job", std::string(wait.m_job)},
              {"reason", std::string(toText(wait.m_reason))},
              {"idle_ms", std::to_string(idleFor.count())},
              {"age_ms", std::to_string(wait.m_waited.count())},
              {"members", std::to_string(wait.m_members)},
              {"fitting", std::to_string(wait.m_fitting)},
              {"accelerator_use_percent", toPercent(wait.m_acceleratorUse)},
              {"cpu_use_percent", toPercent(wait.m_cpuUse)}});
}

bool IdleJobLog::mustLog(const Idle& idle, Millis now) const {
    if (m_lines == MAX_LINES || now - idle.m_since < MIN_IDLE_TIME) {
        return false;
    }
    return !idle.m_loggedAt.has_value() ||
           (idle.m_reason != idle.m_loggedReason && now - *idle.m_loggedAt >= MIN_LINE_INTERVAL);
}

/** Ends the idle time of the jobs that the plan starts or does not name any more. */
void IdleJobLog::removeStarted(const TaskPlan& plan, Millis now) {
    std::set<std::string_view> started;
    for (const Placement& placement : plan.m_placements) {
        started.insert(placement.m_task.m_job);
    }
    std::erase_if(m_idle, [&](const auto& entry) {
        const auto& [job, idle] = entry;
        if (idle.m_lastSeen == now) {
            return false;
        }
        if (idle.m_loggedAt.has_value()) {
            logEvent(Severity::INFO, "jobs", "idle-ended",
                     {{"job", job},
                      {"outcome", started.count(job) != 0 ? "started" : "other"},
                      {"last_reason", std::string(toText(idle.m_reason))},
                      {"idle_ms", std::to_string((now - idle.m_since).count())}});
        }
        return true;
    });
}

}  // namespace pierbank
