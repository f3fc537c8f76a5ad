// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_PLATFORM_HOSTLIST_H
#define PIERBANK_PLATFORM_HOSTLIST_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pierbank/base/Address.h"

namespace pierbank {

/** What a host is there for. */
enum class HostRole { GATEWAY, ENDPOINT, WORKER };

/** One line of the platform's host list. */
struct Host {
    std::string m_name;
    HostRole m_role = HostRole::WORKER;
    /** Where the host's gateway or sidecar is reached by other processes of the system. */
    Address m_address;
    std::string m_region;
    std::string m_failureDomain;
    std::string m_rack;
    /** The service that an endpoint belongs to; empty for other roles. */
    std::string m_service;
    std::uint32_t m_accelerators = 0;
    bool m_isLeaving = false;

    bool operator==(const Host&) const = default;
};

/** The platform's list of live and leaving hosts. It lags. */
class HostList {
public:
    /** An empty optional means that the list could not be had; keep the last one. */
    using Callback = std::function<void(const std::optional<std::vector<Host>>&)>;

    virtual ~HostList() = default;

    virtual void fetch(Callback done) = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_PLATFORM_HOSTLIST_H
