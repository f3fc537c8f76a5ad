// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/WorkerHealth.h"

#include <algorithm>
#include <cmath>

#include "pierbank/base/Log.h"

namespace pierbank {

void WorkerHealth::clear() {
    m_hosts.clear();
    m_jobs.clear();
    m_typicalRun = Millis(0);
}

Millis WorkerHealth::scale(Millis least, double factor) const {
    const auto scaled = static_cast<double>(m_typicalRun.count()) * factor;
    return std::max(least, Millis(static_cast<std::int64_t>(scaled)));
}

double WorkerHealth::getBlame(const Host& host, Millis now) const {
    const auto age = static_cast<double>((now - host.m_blamedAt).count());
    const Millis halfLife = scale(m_settings.m_halfLife, m_settings.m_halfLifeFactor);
    return host.m_blame * std::exp2(-age / static_cast<double>(halfLife.count()));
}

void WorkerHealth::recordRunEnd(const RunEvidence& evidence, Millis now) {
    forgetJobs(now);
    if (evidence.m_end == RunEnd::DONE) {
        constexpr int MEMORY = 10;
        m_typicalRun = m_typicalRun == Millis(0)
                               ? evidence.m_ran
                               : (m_typicalRun * (MEMORY - 1) + evidence.m_ran) / MEMORY;
        const auto found = m_hosts.find(evidence.m_host);
        if (found != m_hosts.end()) {
            noteDone(found->second, now - evidence.m_ran, now);
        }
    } else if (evidence.m_end == RunEnd::FAILED) {
        noteFailed(evidence, now);
    }
}

void WorkerHealth::recordStalled(const std::string& name, Millis now) {
    Host& host = m_hosts[name];
    host.m_failedAt = now;
    const double blame = getBlame(host, now);
    const bool isCounted = host.m_stalledAt.has_value();
    host.m_blame =
            isCounted ? std::max(blame, m_settings.m_quickBlame) : blame + m_settings.m_quickBlame;
    host.m_blamedAt = now;
    host.m_stalledAt = now;
}

std::optional<Millis> WorkerHealth::getStalledAt(const std::string& name) const {
    const auto found = m_hosts.find(name);
    return found == m_hosts.end() ? std::nullopt : found->second.m_stalledAt;
}

void WorkerHealth::recordAdvanced(const std::string& name, Millis now) {
    const auto found = m_hosts.find(name);
    if (found == m_hosts.end() || !found->second.m_stalledAt.has_value()) {
        return;
    }
    Host& host = found->second;
    host.m_blame = std::max(0.0, getBlame(host, now) - m_settings.m_quickBlame);
    host.m_blamedAt = now;
    host.m_stalledAt.reset();
}

/** A run from before the last failure says nothing of how the host is since. */
void WorkerHealth::noteDone(Host& host, Millis startedAt, Millis now) {
    if (startedAt < host.m_failedAt) {
        return;
    }
    host.m_blame = getBlame(host, now) * m_settings.m_forgiveness;
    host.m_blamedAt = now;
    if (host.m_blame < m_settings.m_suspectAt) {
        host.m_jobs.clear();
        host.m_times = 0;
        host.m_stalledAt.reset();
    }
}

void WorkerHealth::noteFailed(const RunEvidence& evidence, Millis now) {
    Job& job = m_jobs[evidence.m_job];
    job.m_failedAt = now;
    job.m_hosts.insert(evidence.m_host);
    if (failedOnSoundHost(evidence, job, now)) {
        acquit(evidence.m_job, job, now);
        return;
    }
    Host& host = m_hosts[evidence.m_host];
    host.m_failedAt = now;
    const bool isQuick = evidence.m_ran <= scale(m_settings.m_quickEnd, m_settings.m_quickFactor);
    const double blame = isQuick ? m_settings.m_quickBlame : m_settings.m_slowBlame;
    if (!host.m_jobs.emplace(evidence.m_job, blame).second) {
        return;
    }
    host.m_blame = getBlame(host, now) + blame;
    host.m_blamedAt = now;
    if (host.m_blame < m_settings.m_avoidAt) {
        return;
    }
    constexpr unsigned MAX_DOUBLINGS = 8;
    const Millis least = scale(m_settings.m_pause, m_settings.m_pauseFactor);
    const Millis pause = least * (1U << std::min(host.m_times, MAX_DOUBLINGS));
    const Millis most = scale(m_settings.m_maxPause, m_settings.m_halfLifeFactor);
    host.m_avoidedUntil = now + std::min(pause, most);
    ++host.m_times;
    logEvent(Severity::WARNING, "health", "host-avoided",
             {{"host", evidence.m_host},
              {"for_ms", std::to_string((host.m_avoidedUntil - now).count())},
              {"blame", std::to_string(host.m_blame)},
              {"last_job", evidence.m_job},
              {"ran_ms", std::to_string(evidence.m_ran.count())}});
}

bool WorkerHealth::failedOnSoundHost(const RunEvidence& evidence, const Job& job,
                                     Millis now) const {
    return std::any_of(job.m_hosts.begin(), job.m_hosts.end(), [&](const std::string& name) {
        const auto found = m_hosts.find(name);
        if (name == evidence.m_host || found == m_hosts.end()) {
            return false;
        }
        const auto own = found->second.m_jobs.find(evidence.m_job);
        const double ofOthers = getBlame(found->second, now) -
                                (own == found->second.m_jobs.end() ? 0.0 : own->second);
        return ofOthers < m_settings.m_suspectAt;
    });
}

void WorkerHealth::acquit(const std::string& job, const Job& known, Millis now) {
    for (const std::string& name : known.m_hosts) {
        const auto found = m_hosts.find(name);
        if (found == m_hosts.end()) {
            continue;
        }
        Host& host = found->second;
        const auto own = host.m_jobs.find(job);
        if (own != host.m_jobs.end()) {
            host.m_blame = std::max(0.0, getBlame(host, now) - own->second);
            host.m_blamedAt = now;
            host.m_jobs.erase(own);
        }
    }
}

void WorkerHealth::forgetJobs(Millis now) {
    const Millis halfLife = scale(m_settings.m_halfLife, m_settings.m_halfLifeFactor);
    std::erase_if(m_jobs, [&](const auto& entry) {
        const auto age = static_cast<double>((now - entry.second.m_failedAt).count());
        return age > m_settings.m_jobMemoryFactor * static_cast<double>(halfLife.count());
    });
}

bool WorkerHealth::isAvoided(const std::string& host, Millis now) const {
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && now < found->second.m_avoidedUntil;
}

bool WorkerHealth::isSuspect(const std::string& host, Millis now) const {
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && getBlame(found->second, now) >= m_settings.m_suspectAt;
}

}  // namespace pierbank
