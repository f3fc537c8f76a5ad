// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/HostSpeeds.h"

#include <algorithm>
#include <cmath>

namespace pierbank {

void HostSpeeds::recordSample(const SpeedSample& sample, Millis now) {
    if (sample.m_rate <= 0) {
        return;
    }
    removeExpired(now);
    Mean& step = m_steps[sample.m_step];
    const double logRate = std::log(sample.m_rate);
    const double hostLogSpeed = getLogSpeed(sample.m_host);
    if (step.m_count >= MIN_STEP_RUNS) {
        const double deviation = logRate - step.m_sum / step.m_count;
        const auto found = m_hosts.find(sample.m_host);
        Mean& host = found == m_hosts.end() ? m_hosts[std::string(sample.m_host)] : found->second;
        host.m_sum = host.m_sum * SAMPLE_DECAY +
                     std::clamp(deviation, -MAX_LOG_DEVIATION, MAX_LOG_DEVIATION);
        host.m_count = host.m_count * SAMPLE_DECAY + 1;
        host.m_updatedAt = now;
    }
    step.m_sum += logRate - hostLogSpeed;
    step.m_count += 1;
    step.m_updatedAt = now;
}

double HostSpeeds::getLogSpeed(std::string_view host) const {
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? 0.0
                                  : found->second.m_sum / (found->second.m_count + PRIOR_RUNS);
}

double HostSpeeds::getSlowness(std::string_view host) const {
    return std::exp(-getLogSpeed(host));
}

double HostSpeeds::getEvidence(std::string_view host) const {
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? 0.0 : found->second.m_count;
}

SpeedRecord HostSpeeds::getRecord(std::string_view host) const {
    return {getLogSpeed(host), getEvidence(host)};
}

bool HostSpeeds::restore(std::string_view host, const SpeedRecord& record, Millis at, Millis now) {
    if (record.m_samples <= 0 || now - at > HOST_RETENTION || m_hosts.count(host) != 0) {
        return false;
    }
    constexpr double MAX_COUNT = 1.0 / (1.0 - SAMPLE_DECAY);
    const double count = std::min(record.m_samples, MAX_COUNT);
    const double logSpeed = std::clamp(record.m_logSpeed, -MAX_LOG_DEVIATION, MAX_LOG_DEVIATION);
    m_hosts[std::string(host)] = {logSpeed * (count + PRIOR_RUNS), count, at};
    return true;
}

void HostSpeeds::clear() {
    m_hosts.clear();
    m_steps.clear();
}

void HostSpeeds::removeExpired(Millis now) {
    if (now - m_lastCleanupAt < STEP_RETENTION) {
        return;
    }
    m_lastCleanupAt = now;
    std::erase_if(m_steps, [&](const auto& entry) {
        return now - entry.second.m_updatedAt > STEP_RETENTION;
    });
    std::erase_if(m_hosts, [&](const auto& entry) {
        return now - entry.second.m_updatedAt > HOST_RETENTION;
    });
}

}  // namespace pierbank
