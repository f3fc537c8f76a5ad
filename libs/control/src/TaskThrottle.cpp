// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/TaskThrottle.h"

#include <algorithm>

namespace pierbank {

namespace {

/** Share, in percent, at which a task runs that is not throttled. */
constexpr std::uint32_t FULL_PERCENT = 100;

}  // namespace

void TaskThrottle::addRun(const RunKey& run, const RunKind& kind) {
    if (kind.isRelevant()) {
        m_kinds[run] = kind;
    }
}

void TaskThrottle::clear() {
    m_kinds.clear();
    m_sentPercents.clear();
    m_percent = FULL_PERCENT;
    m_isNeeded = false;
}

double TaskThrottle::getLatencyRatio(const std::vector<ListedRun>& running) const {
    double latencyRatio = 0;
    for (const ListedRun& run : running) {
        const auto kind = m_kinds.find({run.m_task, run.m_run});
        if (kind != m_kinds.end() && kind->second.m_latencyTarget > Millis(0)) {
            const auto target = static_cast<double>(kind->second.m_latencyTarget.count());
            latencyRatio = std::max(latencyRatio, run.m_tailMsOrCpuMillis / target);
        }
    }
    return latencyRatio;
}

void TaskThrottle::adjust(double latencyRatio, Millis now) {
    const bool isTargetMissed = latencyRatio > 1.0;
    if (!isTargetMissed && now - m_changedAt < m_settings.m_settleTime) {
        return;
    }
    if (latencyRatio > m_settings.m_slowDownThreshold && m_percent > 0) {
        const double slower = m_settings.m_slowDownFactor * m_percent;
        constexpr double MIN_PERCENT = 5.0;
        m_percent = slower < MIN_PERCENT ? 0 : static_cast<std::uint32_t>(slower);
        m_changedAt = now;
    } else if (latencyRatio < m_settings.m_speedUpThreshold && m_percent < FULL_PERCENT) {
        m_percent = std::min(FULL_PERCENT, m_percent + m_settings.m_speedUpStep);
        m_changedAt = now;
    }
}

std::vector<ThrottleCall> TaskThrottle::update(const std::vector<ListedRun>& running, Millis now) {
    bool hasServing = false;
    std::vector<RunKey> filling;
    for (const ListedRun& run : running) {
        const RunKey key(run.m_task, run.m_run);
        const auto kind = m_kinds.find(key);
        if (kind == m_kinds.end()) {
            continue;
        }
        hasServing = hasServing || kind->second.m_latencyTarget > Millis(0);
        if (kind->second.m_isFilling) {
            filling.push_back(key);
        }
    }
    m_isNeeded = hasServing && !filling.empty();
    if (m_isNeeded) {
        adjust(getLatencyRatio(running), now);
    } else {
        m_percent = FULL_PERCENT;
    }
    std::vector<ThrottleCall> calls;
    for (const RunKey& key : filling) {
        const auto sent = m_sentPercents.try_emplace(key, FULL_PERCENT).first;
        if (sent->second != m_percent) {
            sent->second = m_percent;
            calls.push_back({key.first, key.second, m_percent});
        }
    }
    return calls;
}

}  // namespace pierbank
