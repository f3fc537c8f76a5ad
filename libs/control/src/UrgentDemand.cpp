// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/UrgentDemand.h"

#include <algorithm>
#include <cmath>

namespace pierbank {

double UrgentDemand::getDecay(Millis passed) const {
    const auto age = static_cast<double>(std::max(passed, Millis(0)).count());
    return std::exp2(-age / static_cast<double>(m_settings.m_halfLife.count()));
}

void UrgentDemand::recordArrival(const JobRecord& record) {
    if (record.m_policy.m_priority != 0) {
        return;
    }
    double maxAccelerators = 0;
    double work = 0;
    for (const StepSpec& step : record.m_spec.m_steps) {
        const double accelerators = step.m_tasks * step.m_need.m_accelerators;
        maxAccelerators = std::max(maxAccelerators, accelerators);
        work += accelerators * static_cast<double>(step.m_estimate.count());
    }
    Arrivals& arrivals = m_services[record.m_policy.m_service];
    const double decay = getDecay(record.m_acceptedAt - arrivals.m_updatedAt);
    const double lateDecay = getDecay(arrivals.m_updatedAt - record.m_acceptedAt);
    arrivals.m_count = arrivals.m_count * decay + lateDecay;
    arrivals.m_accelerators = arrivals.m_accelerators * decay + maxAccelerators * lateDecay;
    arrivals.m_work = arrivals.m_work * decay + work * lateDecay;
    arrivals.m_updatedAt = std::max(arrivals.m_updatedAt, record.m_acceptedAt);
}

std::vector<std::string> UrgentDemand::listServices() const {
    std::vector<std::string> services;
    for (const auto& [service, arrivals] : m_services) {
        services.push_back(service);
    }
    return services;
}

std::optional<ArrivalsRecord> UrgentDemand::getRecord(const std::string& service,
                                                      Millis wallNow) const {
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return std::nullopt;
    }
    const Arrivals& arrivals = found->second;
    const double decay = getDecay(wallNow - arrivals.m_updatedAt);
    if (arrivals.m_count * decay < MIN_COUNT) {
        return std::nullopt;
    }
    return ArrivalsRecord{service, arrivals.m_count * decay, arrivals.m_accelerators * decay,
                          arrivals.m_work * decay};
}

bool UrgentDemand::restore(const ArrivalsRecord& record, Millis wallAt) {
    if (record.m_jobs < MIN_COUNT) {
        return false;
    }
    const auto found = m_services.find(record.m_service);
    if (found != m_services.end()) {
        const Arrivals& own = found->second;
        const double ownCount = own.m_count * getDecay(wallAt - own.m_updatedAt);
        if (ownCount >= record.m_jobs * getDecay(own.m_updatedAt - wallAt)) {
            return false;
        }
    }
    m_services[record.m_service] = {wallAt, record.m_jobs, record.m_accelerators, record.m_work};
    return true;
}

/** Returns the mean number of accelerators in use, plus those of one more job. */
std::uint32_t UrgentDemand::getHeadroom(const std::string& service, Millis wallNow) const {
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return 0;
    }
    const Arrivals& arrivals = found->second;
    const double decay = getDecay(wallNow - arrivals.m_updatedAt);
    if (arrivals.m_count * decay < m_settings.m_minArrivals) {
        return 0;
    }
    // For a steady stream of arrivals, the decayed sum is the rate times half-life / ln 2.
    const double timeConstant = static_cast<double>(m_settings.m_halfLife.count()) / std::log(2.0);
    const double running = arrivals.m_work * decay / timeConstant;
    const double acceleratorsPerJob = arrivals.m_accelerators / arrivals.m_count;
    return static_cast<std::uint32_t>(std::lround(running + acceleratorsPerJob));
}

}  // namespace pierbank
