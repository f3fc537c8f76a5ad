// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_REQUEST_ENDPOINTTABLE_H
#define PIERBANK_REQUEST_ENDPOINTTABLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "pierbank/base/Clock.h"
#include "pierbank/base/Random.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/** How endpoints are chosen. */
struct RoutingSettings {
    /** Endpoints here are preferred while they have room. */
    std::string m_failureDomain;
    /** Requests sent to an endpoint beyond its slots, to wait in its sidecar. */
    std::uint32_t m_extraInFlight = 8;
    /** Failures in a row after which an endpoint is left out... */
    std::uint32_t m_ejectAfter = 3;
    /** ...for this time first, then twice as long each time, up to the longest. */
    Millis m_ejectTime{2000};
    Millis m_maxEjectTime{30'000};
    /** An endpoint that returns gets its full share only after this time. */
    Millis m_slowStart{5000};
};

/** What a gateway knows of an endpoint. */
struct Endpoint {
    std::string m_name;
    std::string m_service;
    std::string m_failureDomain;
    bool m_isLinked = false;
    /** Instance of its sidecar; a new one means that what the old one knew is lost. */
    std::string m_instance;
    LoadReport m_load;
    /** Requests of this gateway that it has. */
    std::uint32_t m_inFlight = 0;
    bool m_isListedLeaving = false;
    bool m_isDrained = false;
    std::uint32_t m_failures = 0;
    std::uint32_t m_ejections = 0;
    Millis m_ejectedUntil{0};
    Millis m_returnedAt{0};

    bool isLeaving() const noexcept {
        return m_isListedLeaving || m_isDrained || m_load.m_isLeaving;
    }
};

/** The endpoints of all services, and the choice among them. */
class EndpointTable {
public:
    EndpointTable(RoutingSettings settings, Random& random);

    /** Adds or finds an endpoint. */
    Endpoint& get(std::string_view name);
    Endpoint* find(std::string_view name);
    void remove(std::string_view name);
    const std::map<std::string, Endpoint, std::less<>>& getAll() const { return m_endpoints; }

    void setLinked(std::string_view name, std::string_view instance, Millis now);
    void setUnlinked(std::string_view name);

    /** Notes how a request at the endpoint ended. */
    void noteSuccess(std::string_view name);
    void noteFailure(std::string_view name, Millis now);

    /**
     * The better of two random endpoints that have room, near ones first.
     * @param avoid endpoints that this request has tried already.
     * @return empty when none has room now.
     */
    std::optional<std::string> choose(std::string_view service, const std::set<std::string>& avoid,
                                      Millis now);

    /** Whether any endpoint of the service could take work, now or when a slot comes free. */
    bool hasUsable(std::string_view service, const std::set<std::string>& avoid) const;
    bool hasService(std::string_view service) const;
    /** Slots of all endpoints of the service that could take work. */
    std::uint32_t countSlots(std::string_view service) const;

private:
    bool isUsable(const Endpoint& endpoint) const;
    std::uint32_t getRoom(const Endpoint& endpoint, Millis now) const;
    double getPressure(const Endpoint& endpoint) const;

    const RoutingSettings m_settings;
    Random& m_random;
    std::map<std::string, Endpoint, std::less<>> m_endpoints;
};

}  // namespace pierbank

#endif  // PIERBANK_REQUEST_ENDPOINTTABLE_H
