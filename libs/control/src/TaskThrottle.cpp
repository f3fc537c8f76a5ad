// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/TaskThrottle.h"

#include <algorithm>

namespace pierbank {

namespace {

constexpr std::uint32_t WHOLE = 100;

}  // namespace

void TaskThrottle::learn(const RunKey& run, const RunKind& kind) {
    if (kind.matters()) {
        m_kinds[run] = kind;
    }
}

void TaskThrottle::clear() {
    m_kinds.clear();
    m_paces.clear();
    m_percent = WHOLE;
    m_isNeeded = false;
}

double TaskThrottle::getPressure(const std::vector<ListedRun>& running) const {
    double pressure = 0;
    for (const ListedRun& run : running) {
        const auto kind = m_kinds.find({run.m_task, run.m_run});
        if (kind != m_kinds.end() && kind->second.m_latencyTarget > Millis(0)) {
            const auto target = static_cast<double>(kind->second.m_latencyTarget.count());
            pressure = std::max(pressure, run.m_figure / target);
        }
    }
    return pressure;
}

void TaskThrottle::adjust(double pressure, Millis now) {
    const bool isHarm = pressure > 1.0;
    if (!isHarm && now - m_changedAt < m_settings.m_settle) {
        return;
    }
    if (pressure > m_settings.m_slowDownAt && m_percent > 0) {
        const double slower = m_settings.m_slowDown * m_percent;
        constexpr double NOTHING = 5.0;
        m_percent = slower < NOTHING ? 0 : static_cast<std::uint32_t>(slower);
        m_changedAt = now;
    } else if (pressure < m_settings.m_speedUpAt && m_percent < WHOLE) {
        m_percent = std::min(WHOLE, m_percent + m_settings.m_speedUp);
        m_changedAt = now;
    }
}

std::vector<ThrottleCall> TaskThrottle::look(const std::vector<ListedRun>& running, Millis now) {
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
        adjust(getPressure(running), now);
    } else {
        m_percent = WHOLE;
    }
    std::vector<ThrottleCall> calls;
    for (const RunKey& key : filling) {
        const auto set = m_paces.try_emplace(key, WHOLE).first;
        if (set->second != m_percent) {
            set->second = m_percent;
            calls.push_back({key.first, key.second, m_percent});
        }
    }
    return calls;
}

}  // namespace pierbank
