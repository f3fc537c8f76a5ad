// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/WorkerHealth.h"

#include <algorithm>

#include "pierbank/base/Log.h"

namespace pierbank {

void WorkerHealth::noteEnd(const std::string& host, const std::string& job, RunEnd end,
                           Millis now) {
    Host& entry = m_hosts[host];
    if (end == RunEnd::DONE) {
        entry.m_failedJobs.clear();
        entry.m_times = 0;
        return;
    }
    if (end != RunEnd::FAILED) {
        return;
    }
    entry.m_failedJobs.insert(job);
    if (entry.m_failedJobs.size() < m_settings.m_failedJobs) {
        return;
    }
    constexpr unsigned MAX_DOUBLINGS = 8;
    const Millis pause = m_settings.m_pause * (1U << std::min(entry.m_times, MAX_DOUBLINGS));
    entry.m_avoidedUntil = now + std::min(pause, m_settings.m_maxPause);
    ++entry.m_times;
    entry.m_failedJobs.clear();
    logEvent(Severity::WARNING, "health", "host-avoided",
             {{"host", host},
              {"for_ms", std::to_string((entry.m_avoidedUntil - now).count())},
              {"last_job", job}});
}

bool WorkerHealth::isAvoided(const std::string& host, Millis now) const {
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && now < found->second.m_avoidedUntil;
}

}  // namespace pierbank
