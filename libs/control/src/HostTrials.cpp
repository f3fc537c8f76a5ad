// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/HostTrials.h"

#include <algorithm>
#include <cmath>

#include "pierbank/base/Log.h"

namespace pierbank {

void HostTrials::clear() {
    m_steps.clear();
    m_hosts.clear();
}

double HostTrials::getEvidence(const Host& host, const TrialScale& scale, Millis now) const {
    const auto age = static_cast<double>((now - host.m_updatedAt).count());
    return host.m_evidence * std::exp2(-age / static_cast<double>(scale.m_halfLife.count()));
}

void HostTrials::setEvidence(Host& host, double evidence, Millis now) const {
    host.m_evidence = std::max(evidence, 0.0);
    host.m_updatedAt = now;
}

/** Returns whether the worker has restarted since the last end that is known of the host. */
bool HostTrials::isNewIncarnation(const Host& host, const WorkerId& worker) const {
    return !host.m_incarnation.empty() && host.m_incarnation != worker.m_incarnation;
}

bool HostTrials::recordRunEnd(const RunEvidence& evidence, const TrialScale& scale, Millis now) {
    removeOld(scale, now);
    const bool isQuick = evidence.m_ran <= scale.m_quickFailureTime;
    m_steps.recordRunEnd(evidence, isQuick, now);
    if (evidence.m_end == RunEnd::DONE) {
        recordSuccess(evidence, scale, now);
        return true;
    }
    return evidence.m_end == RunEnd::FAILED && recordFailure(evidence, scale, now);
}

/** The log of how much likelier a failure is on a bad host than on a sound one. */
double HostTrials::getFailureEvidence(const ShareElsewhere& share, bool isQuick) const {
    const double own = isQuick ? m_settings.m_quickTaskFaultShare : m_settings.m_taskFaultShare;
    const double seen = isQuick ? share.m_failedQuickly : share.m_failed;
    const double expected = std::max(own, seen);
    const double onBadHost =
            m_settings.m_badHostShare + (1.0 - m_settings.m_badHostShare) * expected;
    return std::log(onBadHost / expected);
}

/**
 * A failed probe pauses the host again, whatever step it belongs to, unless the step is known to be
 * faulty itself.
 */
bool HostTrials::recordFailure(const RunEvidence& evidence, const TrialScale& scale, Millis now) {
    const bool isWide = !evidence.m_wideStep.empty();
    const auto share = m_steps.getShareElsewhere(evidence);
    if (!isWide && m_hosts.count(evidence.m_host) == 0) {
        return false;
    }
    Host& host = m_hosts[evidence.m_host];
    const bool isProbe = host.m_needsProbe && now - evidence.m_ran >= host.m_pausedUntil;
    if (isWide || isProbe) {
        // Holds before anything can be compared, too: the host's next failures may come at once.
        host.m_failedAt = now;
        host.m_isLimited = true;
        host.m_provenAt.reset();
        host.m_incarnation = evidence.m_incarnation;
    }
    if (share.has_value() && share->m_failed >= m_settings.m_faultyStepShare) {
        withdrawEvidence(evidence.m_wideStep, scale, now);
        return true;
    }
    if (share.has_value()) {
        const double added = getFailureEvidence(*share, evidence.m_ran <= scale.m_quickFailureTime);
        m_steps.addContribution(evidence.m_wideStep, evidence.m_host, added);
        setEvidence(host, getEvidence(host, scale, now) + added, now);
        host.m_longestFailed = std::max(host.m_longestFailed, evidence.m_ran);
    }
    if (isProbe || (!host.m_needsProbe && host.m_evidence >= m_settings.m_pauseEvidence)) {
        pause(host, evidence, now);
    }
    return share.has_value();
}

void HostTrials::pause(Host& host, const RunEvidence& failure, Millis now) {
    constexpr std::uint32_t MAX_DOUBLINGS = 8;
    const Millis pause = m_settings.m_minPause * (1U << std::min(host.m_pauseCount, MAX_DOUBLINGS));
    host.m_pausedUntil = now + std::min(pause, m_settings.m_maxPause);
    host.m_needsProbe = true;
    ++host.m_pauseCount;
    logEvent(Severity::WARNING, "health", "host-paused",
             {{"host", failure.m_host},
              {"for_ms", std::to_string((host.m_pausedUntil - now).count())},
              {"evidence", std::to_string(host.m_evidence)},
              {"pauses", std::to_string(host.m_pauseCount)},
              {"last_step", failure.m_wideStep},
              {"ran_ms", std::to_string(failure.m_ran.count())}});
}

void HostTrials::withdrawEvidence(const std::string& step, const TrialScale& scale, Millis now) {
    for (const auto& [name, evidence] : m_steps.takeContributions(step)) {
        const auto found = m_hosts.find(name);
        if (found == m_hosts.end()) {
            continue;
        }
        Host& host = found->second;
        setEvidence(host, getEvidence(host, scale, now) - evidence, now);
        if (host.m_needsProbe && host.m_evidence < m_settings.m_suspectEvidence) {
            host.m_needsProbe = false;
            host.m_pausedUntil = now;
            host.m_pauseCount = 0;
            logEvent(Severity::INFO, "health", "host-cleared",
                     {{"host", std::string(name)}, {"why", "faulty step"}, {"step", step}});
        }
    }
}

/**
 * On a paused host only runs that began after the last failure count: the older ones end well
 * while each new one fails.
 */
void HostTrials::recordSuccess(const RunEvidence& evidence, const TrialScale& scale, Millis now) {
    Host& host = m_hosts[evidence.m_host];
    const bool isAfterFailure =
            !host.m_failedAt.has_value() || now - evidence.m_ran >= *host.m_failedAt;
    host.m_incarnation = evidence.m_incarnation;
    if (isAfterFailure) {
        host.m_provenAt = now;
    }
    if (host.m_needsProbe) {
        if (isAfterFailure && now >= host.m_pausedUntil) {
            acceptProbe(evidence.m_host, host, "ended well", now);
        }
        return;
    }
    host.m_isLimited = false;
    // The limit applies here and not to failures, so that withdrawEvidence() leaves what other
    // steps added.
    const double before = std::min(getEvidence(host, scale, now), m_settings.m_maxEvidence);
    setEvidence(host, before + std::log(1.0 - m_settings.m_badHostShare), now);
    if (host.m_evidence <= 0.0) {
        host.m_pauseCount = 0;
        host.m_longestFailed = Millis(0);
    }
}

/** Keeps so much evidence that the next quick failure pauses the host again. */
void HostTrials::acceptProbe(const std::string& name, Host& host, std::string_view proof,
                             Millis now) {
    host.m_needsProbe = false;
    host.m_isLimited = false;
    setEvidence(host, std::min(host.m_evidence, m_settings.m_pauseEvidence / 2), now);
    logEvent(Severity::INFO, "health", "host-cleared",
             {{"host", name},
              {"why", std::string(proof)},
              {"evidence", std::to_string(host.m_evidence)},
              {"pauses", std::to_string(host.m_pauseCount)}});
}

void HostTrials::recordPlacement(const std::string& name, const std::string& task, Millis now) {
    const auto found = m_hosts.find(name);
    if (found == m_hosts.end() || !found->second.m_needsProbe) {
        return;
    }
    ++m_probes;
    logEvent(Severity::INFO, "health", "host-probed",
             {{"host", name},
              {"task", task},
              {"evidence", std::to_string(found->second.m_evidence)},
              {"paused_ms_ago", std::to_string((now - found->second.m_pausedUntil).count())}});
}

bool HostTrials::awaitsProof(const WorkerId& worker, Millis now) const {
    const auto found = m_hosts.find(worker.m_host);
    return found != m_hosts.end() && now >= found->second.m_pausedUntil &&
           (found->second.m_needsProbe || found->second.m_isLimited ||
            isNewIncarnation(found->second, worker));
}

void HostTrials::recordActive(const WorkerId& worker, Millis startedAt, const TrialScale& scale,
                              Millis now) {
    if (!awaitsProof(worker, now)) {
        return;
    }
    Host& host = m_hosts.find(worker.m_host)->second;
    const Millis proof =
            std::max(scale.m_quickFailureTime, host.m_longestFailed * m_settings.m_probeFactor);
    const bool isAfterFailure = !host.m_failedAt.has_value() || startedAt >= *host.m_failedAt;
    if (!isAfterFailure || now - startedAt < proof) {
        return;
    }
    host.m_incarnation = worker.m_incarnation;
    host.m_isLimited = false;
    if (host.m_needsProbe) {
        acceptProbe(worker.m_host, host, "outlasted the failed runs", now);
    }
}

bool HostTrials::isPaused(const std::string& name, Millis now) const {
    const auto found = m_hosts.find(name);
    return found != m_hosts.end() && now < found->second.m_pausedUntil;
}

bool HostTrials::isSuspect(const std::string& name, const TrialScale& scale, Millis now) const {
    const auto found = m_hosts.find(name);
    return found != m_hosts.end() &&
           (found->second.m_needsProbe ||
            getEvidence(found->second, scale, now) >= m_settings.m_suspectEvidence);
}

bool HostTrials::isProven(const WorkerId& worker, const TrialScale& scale, Millis now) const {
    const auto found = m_hosts.find(worker.m_host);
    return found != m_hosts.end() && !found->second.m_needsProbe &&
           !isNewIncarnation(found->second, worker) && found->second.m_provenAt.has_value() &&
           now - *found->second.m_provenAt <= scale.m_halfLife;
}

std::uint32_t HostTrials::getMaxTasksPerJob(const WorkerId& worker, const TrialScale& scale,
                                            Millis now) const {
    const auto found = m_hosts.find(worker.m_host);
    if (found == m_hosts.end()) {
        return 0;
    }
    if (isSuspect(worker.m_host, scale, now)) {
        return 1;
    }
    const bool isLimited = found->second.m_isLimited || isNewIncarnation(found->second, worker);
    return isLimited ? m_settings.m_maxTasksPerJob : 0;
}

std::size_t HostTrials::countPaused(Millis now) const {
    return static_cast<std::size_t>(
            std::count_if(m_hosts.begin(), m_hosts.end(),
                          [now](const auto& entry) { return now < entry.second.m_pausedUntil; }));
}

void HostTrials::fillRecord(const std::string& name, const TrialScale& scale, HealthRecord& record,
                            Millis now) const {
    const auto found = m_hosts.find(name);
    if (found == m_hosts.end()) {
        return;
    }
    record.m_evidence = getEvidence(found->second, scale, now);
    record.m_needsProbe = found->second.m_needsProbe;
    record.m_pauseFor = std::max(found->second.m_pausedUntil - now, Millis(0));
    record.m_pauseCount = found->second.m_pauseCount;
}

bool HostTrials::restore(const std::string& name, const HealthRecord& record, Millis at) {
    const bool hasEvidence = record.m_evidence > 0.0 || record.m_needsProbe;
    if (!hasEvidence || m_hosts.count(name) != 0) {
        return false;
    }
    Host& host = m_hosts[name];
    setEvidence(host, std::min(record.m_evidence, m_settings.m_maxEvidence), at);
    host.m_failedAt = at;
    host.m_isLimited = true;
    host.m_needsProbe = record.m_needsProbe;
    host.m_pausedUntil = at + std::min(record.m_pauseFor, m_settings.m_maxPause);
    host.m_pauseCount = record.m_pauseCount;
    return true;
}

/** Runs at most once in a half-life, since it looks at all hosts. */
void HostTrials::removeOld(const TrialScale& scale, Millis now) {
    if (now - m_removedOldAt < scale.m_halfLife) {
        return;
    }
    m_removedOldAt = now;
    constexpr int RETAINED_HALF_LIVES = 4;
    m_steps.removeOlderThan(now - RETAINED_HALF_LIVES * scale.m_halfLife);
    std::erase_if(m_hosts, [&](const auto& entry) {
        const Host& host = entry.second;
        return now - host.m_updatedAt > m_settings.m_retention && now >= host.m_pausedUntil;
    });
}

}  // namespace pierbank
