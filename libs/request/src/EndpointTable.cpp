// SPDX-License-Identifier: Apache-2.0
#include "pierbank/request/EndpointTable.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pierbank {

EndpointTable::EndpointTable(RoutingSettings settings, Random& random)
        : m_settings(std::move(settings)), m_random(random) {}

Endpoint& EndpointTable::get(std::string_view name) {
    const auto found = m_endpoints.find(name);
    if (found != m_endpoints.end()) {
        return found->second;
    }
    Endpoint& endpoint = m_endpoints[std::string(name)];
    endpoint.m_name = name;
    return endpoint;
}

Endpoint* EndpointTable::find(std::string_view name) {
    const auto found = m_endpoints.find(name);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

void EndpointTable::remove(std::string_view name) {
    const auto found = m_endpoints.find(name);
    if (found != m_endpoints.end()) {
        m_endpoints.erase(found);
    }
}

void EndpointTable::setLinked(std::string_view name, std::string_view instance, Millis now) {
    Endpoint& endpoint = get(name);
    endpoint.m_isLinked = true;
    endpoint.m_instance = instance;
    endpoint.m_returnedAt = now;
    endpoint.m_load = LoadReport();
}

void EndpointTable::setUnlinked(std::string_view name) {
    Endpoint* const endpoint = find(name);
    if (endpoint != nullptr) {
        endpoint->m_isLinked = false;
    }
}

void EndpointTable::noteSuccess(std::string_view name) {
    Endpoint* const endpoint = find(name);
    if (endpoint != nullptr) {
        endpoint->m_failures = 0;
        endpoint->m_ejections = 0;
    }
}

void EndpointTable::noteFailure(std::string_view name, Millis now) {
    Endpoint* const endpoint = find(name);
    if (endpoint == nullptr || ++endpoint->m_failures < m_settings.m_ejectAfter) {
        return;
    }
    constexpr std::uint32_t MAX_DOUBLINGS = 10;
    const std::uint32_t doublings = std::min(endpoint->m_ejections, MAX_DOUBLINGS);
    const Millis pause = std::min<Millis>(m_settings.m_ejectTime * (1LL << doublings),
                                          m_settings.m_maxEjectTime);
    endpoint->m_ejectedUntil = now + pause;
    endpoint->m_returnedAt = endpoint->m_ejectedUntil;
    endpoint->m_failures = 0;
    ++endpoint->m_ejections;
}

bool EndpointTable::isUsable(const Endpoint& endpoint) const {
    return endpoint.m_isLinked && !endpoint.isLeaving() && endpoint.m_load.m_slots > 0;
}

std::uint32_t EndpointTable::getRoom(const Endpoint& endpoint, Millis now) const {
    if (!isUsable(endpoint) || now < endpoint.m_ejectedUntil) {
        return 0;
    }
    std::uint32_t limit = endpoint.m_load.m_slots + m_settings.m_extraInFlight;
    const Millis since = now - endpoint.m_returnedAt;
    const bool isReturning = since < m_settings.m_slowStart && endpoint.m_ejections > 0;
    if (isReturning) {
        const auto share =
                static_cast<std::uint32_t>(limit * since.count() / m_settings.m_slowStart.count());
        limit = std::max(share, 1U);
    }
    const std::uint32_t used =
            std::max(endpoint.m_inFlight, endpoint.m_load.m_running + endpoint.m_load.m_waiting);
    return limit > used ? limit - used : 0;
}

double EndpointTable::getPressure(const Endpoint& endpoint) const {
    const std::uint32_t used =
            std::max(endpoint.m_inFlight, endpoint.m_load.m_running + endpoint.m_load.m_waiting);
    return static_cast<double>(used) / endpoint.m_load.m_slots;
}

std::optional<std::string> EndpointTable::choose(std::string_view service,
                                                 const std::set<std::string>& avoid, Millis now) {
    std::vector<const Endpoint*> near;
    std::vector<const Endpoint*> far;
    for (const auto& [name, endpoint] : m_endpoints) {
        const bool isCandidate = endpoint.m_service == service && avoid.count(name) == 0 &&
                                 getRoom(endpoint, now) > 0;
        if (!isCandidate) {
            continue;
        }
        const bool isNear = endpoint.m_failureDomain == m_settings.m_failureDomain;
        const bool hasFreeSlot = getPressure(endpoint) < 1.0;
        (isNear && hasFreeSlot ? near : far).push_back(&endpoint);
    }
    const std::vector<const Endpoint*>& candidates = near.empty() ? far : near;
    if (candidates.empty()) {
        return std::nullopt;
    }
    const Endpoint* const first = candidates[m_random.below(candidates.size())];
    const Endpoint* const second = candidates[m_random.below(candidates.size())];
    return getPressure(*first) <= getPressure(*second) ? first->m_name : second->m_name;
}

bool EndpointTable::hasUsable(std::string_view service, const std::set<std::string>& avoid) const {
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& e) {
        return e.second.m_service == service && isUsable(e.second) && avoid.count(e.first) == 0;
    });
}

bool EndpointTable::hasService(std::string_view service) const {
    return std::any_of(m_endpoints.begin(), m_endpoints.end(),
                       [&](const auto& e) { return e.second.m_service == service; });
}

std::uint32_t EndpointTable::countSlots(std::string_view service) const {
    std::uint32_t slots = 0;
    for (const auto& [name, endpoint] : m_endpoints) {
        const bool counts = endpoint.m_service == service && isUsable(endpoint);
        slots += counts ? endpoint.m_load.m_slots : 0;
    }
    return slots;
}

}  // namespace pierbank
