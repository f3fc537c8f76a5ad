// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/HostSpeeds.h"

#include <algorithm>
#include <cmath>

namespace pierbank {

void HostSpeeds::recordSample(const SpeedSample& sample, Millis now) {
    if (sample.m_rate <= 0) {
        return;
    }
    forgetOld(now);
    Mean& step = m_steps[sample.m_step];
    const double value = std::log(sample.m_rate);
    const double known = getLogSpeed(sample.m_host);
    if (step.m_count >= LEAST_FELLOWS) {
        const double left = value - step.m_sum / step.m_count;
        const auto found = m_hosts.find(sample.m_host);
        Mean& host = found == m_hosts.end() ? m_hosts[std::string(sample.m_host)] : found->second;
        host.m_sum = host.m_sum * MEMORY + std::clamp(left, -MOST_LOG, MOST_LOG);
        host.m_count = host.m_count * MEMORY + 1;
        host.m_at = now;
    }
    step.m_sum += value - known;
    step.m_count += 1;
    step.m_at = now;
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

void HostSpeeds::clear() {
    m_hosts.clear();
    m_steps.clear();
}

void HostSpeeds::forgetOld(Millis now) {
    if (now - m_sweptAt < STEP_MEMORY) {
        return;
    }
    m_sweptAt = now;
    std::erase_if(m_steps,
                  [&](const auto& entry) { return now - entry.second.m_at > STEP_MEMORY; });
    std::erase_if(m_hosts,
                  [&](const auto& entry) { return now - entry.second.m_at > HOST_MEMORY; });
}

}  // namespace pierbank
