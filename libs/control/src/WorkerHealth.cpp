// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/WorkerHealth.h"

#include <algorithm>
#include <cmath>

#include "pierbank/base/Log.h"

namespace pierbank {

void WorkerHealth::clear() {
    m_hosts.clear();
    m_jobs.clear();
    m_meanRunTime = Millis(0);
    m_trials.clear();
}

Millis WorkerHealth::scale(Millis minTime, double factor) const {
    const auto scaled = static_cast<double>(m_meanRunTime.count()) * factor;
    return std::max(minTime, Millis(static_cast<std::int64_t>(scaled)));
}

TrialScale WorkerHealth::getTrialScale() const {
    return {scale(m_settings.m_quickFailureTime, m_settings.m_quickFailureTimeFactor),
            scale(m_settings.m_halfLife, m_settings.m_halfLifeFactor)};
}

double WorkerHealth::getFailureScore(const Host& host, Millis now) const {
    const auto age = static_cast<double>((now - host.m_scoreUpdatedAt).count());
    const Millis halfLife = scale(m_settings.m_halfLife, m_settings.m_halfLifeFactor);
    return host.m_failureScore * std::exp2(-age / static_cast<double>(halfLife.count()));
}

void WorkerHealth::recordRunEnd(const RunEvidence& evidence, Millis now) {
    removeOldJobs(now);
    const bool isCompared =
            m_settings.m_probesHosts && m_trials.recordRunEnd(evidence, getTrialScale(), now);
    if (evidence.m_end == RunEnd::DONE) {
        constexpr int MEAN_WEIGHT = 10;
        m_meanRunTime =
                m_meanRunTime == Millis(0)
                        ? evidence.m_ran
                        : (m_meanRunTime * (MEAN_WEIGHT - 1) + evidence.m_ran) / MEAN_WEIGHT;
        const auto found = m_hosts.find(evidence.m_host);
        if (found != m_hosts.end()) {
            recordSuccess(found->second, now - evidence.m_ran, now);
        }
    } else if (evidence.m_end == RunEnd::FAILED && !isCompared) {
        recordFailure(evidence, now);
    }
}

void WorkerHealth::recordStalled(const std::string& name, Millis now) {
    Host& host = m_hosts[name];
    host.m_failedAt = now;
    const double score = getFailureScore(host, now);
    const bool isCounted = host.m_stalledAt.has_value();
    host.m_failureScore = isCounted ? std::max(score, m_settings.m_quickFailureScore)
                                    : score + m_settings.m_quickFailureScore;
    host.m_scoreUpdatedAt = now;
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
    host.m_failureScore =
            std::max(0.0, getFailureScore(host, now) - m_settings.m_quickFailureScore);
    host.m_scoreUpdatedAt = now;
    host.m_stalledAt.reset();
}

/**
 * Ignores runs that started before the last failure, since they are no evidence of the host's state
 * after the failure.
 */
void WorkerHealth::recordSuccess(Host& host, Millis startedAt, Millis now) {
    if (startedAt < host.m_failedAt) {
        return;
    }
    host.m_failureScore = getFailureScore(host, now) * m_settings.m_successFactor;
    host.m_scoreUpdatedAt = now;
    if (host.m_failureScore < m_settings.m_suspectThreshold) {
        host.m_jobs.clear();
        host.m_avoidCount = 0;
        host.m_stalledAt.reset();
    }
}

void WorkerHealth::recordFailure(const RunEvidence& evidence, Millis now) {
    Job& job = m_jobs[evidence.m_job];
    job.m_failedAt = now;
    job.m_hosts.insert(evidence.m_host);
    if (failedOnHealthyHost(evidence, job, now)) {
        clearJobScores(evidence.m_job, job, now);
        return;
    }
    Host& host = m_hosts[evidence.m_host];
    host.m_failedAt = now;
    const bool isQuick = evidence.m_ran <=
                         scale(m_settings.m_quickFailureTime, m_settings.m_quickFailureTimeFactor);
    const double score = isQuick ? m_settings.m_quickFailureScore : m_settings.m_slowFailureScore;
    if (!host.m_jobs.emplace(evidence.m_job, score).second) {
        return;
    }
    host.m_failureScore = getFailureScore(host, now) + score;
    host.m_scoreUpdatedAt = now;
    if (host.m_failureScore < m_settings.m_avoidThreshold) {
        return;
    }
    constexpr unsigned MAX_DOUBLINGS = 8;
    const Millis minTime = scale(m_settings.m_minAvoidTime, m_settings.m_avoidTimeFactor);
    const Millis avoidTime = minTime * (1U << std::min(host.m_avoidCount, MAX_DOUBLINGS));
    const Millis maxTime = scale(m_settings.m_maxAvoidTime, m_settings.m_halfLifeFactor);
    host.m_avoidedUntil = now + std::min(avoidTime, maxTime);
    ++host.m_avoidCount;
    logEvent(Severity::WARNING, "health", "host-avoided",
             {{"host", evidence.m_host},
              {"for_ms", std::to_string((host.m_avoidedUntil - now).count())},
              {"blame", std::to_string(host.m_failureScore)},
              {"last_job", evidence.m_job},
              {"ran_ms", std::to_string(evidence.m_ran.count())}});
}

bool WorkerHealth::failedOnHealthyHost(const RunEvidence& evidence, const Job& job,
                                       Millis now) const {
    return std::any_of(job.m_hosts.begin(), job.m_hosts.end(), [&](const std::string& name) {
        const auto found = m_hosts.find(name);
        if (name == evidence.m_host || found == m_hosts.end()) {
            return false;
        }
        const auto own = found->second.m_jobs.find(evidence.m_job);
        const double scoreOfOthers = getFailureScore(found->second, now) -
                                     (own == found->second.m_jobs.end() ? 0.0 : own->second);
        return scoreOfOthers < m_settings.m_suspectThreshold;
    });
}

void WorkerHealth::clearJobScores(const std::string& id, const Job& failures, Millis now) {
    for (const std::string& name : failures.m_hosts) {
        const auto found = m_hosts.find(name);
        if (found == m_hosts.end()) {
            continue;
        }
        Host& host = found->second;
        const auto own = host.m_jobs.find(id);
        if (own != host.m_jobs.end()) {
            host.m_failureScore = std::max(0.0, getFailureScore(host, now) - own->second);
            host.m_scoreUpdatedAt = now;
            host.m_jobs.erase(own);
        }
    }
}

void WorkerHealth::removeOldJobs(Millis now) {
    const Millis halfLife = scale(m_settings.m_halfLife, m_settings.m_halfLifeFactor);
    std::erase_if(m_jobs, [&](const auto& entry) {
        const auto age = static_cast<double>((now - entry.second.m_failedAt).count());
        return age > m_settings.m_jobRetentionFactor * static_cast<double>(halfLife.count());
    });
}

bool WorkerHealth::isAvoided(const std::string& host, Millis now) const {
    const auto found = m_hosts.find(host);
    return (found != m_hosts.end() && now < found->second.m_avoidedUntil) ||
           m_trials.isPaused(host, now);
}

bool WorkerHealth::isSuspect(const std::string& host, Millis now) const {
    const auto found = m_hosts.find(host);
    return (found != m_hosts.end() &&
            getFailureScore(found->second, now) >= m_settings.m_suspectThreshold) ||
           m_trials.isSuspect(host, getTrialScale(), now);
}

void WorkerHealth::recordPlacement(const std::string& host, const std::string& task, Millis now) {
    m_trials.recordPlacement(host, task, now);
}

bool WorkerHealth::awaitsProof(const WorkerId& worker, Millis now) const {
    return m_trials.awaitsProof(worker, now);
}

void WorkerHealth::recordActive(const WorkerId& worker, Millis startedAt, Millis now) {
    m_trials.recordActive(worker, startedAt, getTrialScale(), now);
}

bool WorkerHealth::isProven(const WorkerId& worker, Millis now) const {
    return m_trials.isProven(worker, getTrialScale(), now) && !isSuspect(worker.m_host, now);
}

std::uint32_t WorkerHealth::getMaxTasksPerJob(const WorkerId& worker, Millis now) const {
    return m_trials.getMaxTasksPerJob(worker, getTrialScale(), now);
}

HealthRecord WorkerHealth::getRecord(const std::string& name, Millis now) const {
    HealthRecord record;
    const auto found = m_hosts.find(name);
    if (found != m_hosts.end()) {
        record.m_failureScore = getFailureScore(found->second, now);
        record.m_avoidFor = std::max(found->second.m_avoidedUntil - now, Millis(0));
        record.m_avoidCount = found->second.m_avoidCount;
    }
    m_trials.fillRecord(name, getTrialScale(), record, now);
    return record;
}

bool WorkerHealth::restore(const std::string& name, const HealthRecord& record, Millis at,
                           Millis now) {
    const bool hasScore = restoreScore(name, record, at, now);
    const bool hasTrials = m_settings.m_probesHosts && m_trials.restore(name, record, at);
    return hasScore || hasTrials;
}

/** Scores are compared as of now, since that of the record has decayed since `at`. */
bool WorkerHealth::restoreScore(const std::string& name, const HealthRecord& record, Millis at,
                                Millis now) {
    if (record.m_failureScore <= 0.0 && record.m_avoidFor <= Millis(0) &&
        record.m_avoidCount == 0) {
        return false;
    }
    Host recorded;
    recorded.m_failureScore = record.m_failureScore;
    recorded.m_scoreUpdatedAt = at;
    recorded.m_failedAt = at;
    const auto [position, isNew] = m_hosts.try_emplace(name, recorded);
    Host& host = position->second;
    const bool isStronger = getFailureScore(recorded, now) > getFailureScore(host, now);
    if (isStronger) {
        host.m_failureScore = recorded.m_failureScore;
        host.m_scoreUpdatedAt = at;
        host.m_failedAt = std::max(host.m_failedAt, at);
    }
    const Millis maxTime = scale(m_settings.m_maxAvoidTime, m_settings.m_halfLifeFactor);
    const Millis avoidedUntil = at + std::min(record.m_avoidFor, maxTime);
    const bool isAvoidedLonger = avoidedUntil > std::max(host.m_avoidedUntil, now);
    host.m_avoidedUntil = std::max(host.m_avoidedUntil, avoidedUntil);
    host.m_avoidCount = std::max(host.m_avoidCount, record.m_avoidCount);
    return isNew || isStronger || isAvoidedLonger;
}

}  // namespace pierbank
