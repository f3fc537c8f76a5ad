// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_QUEUECONFIGURATION_H
#define PIERBANK_CONTROL_QUEUECONFIGURATION_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/job/JobSpec.h"

namespace pierbank {

/** A queue that callers hand jobs in to, chosen by host name and path. */
struct QueueRoute {
    /** Host name without a port. */
    std::string m_host;
    /** Begins with a slash. */
    std::string m_pathPrefix;
    QueuePolicy m_policy;
    /** Callers need no key. */
    bool m_isOpen = false;
};

/** The operators' configuration as one version of it says. */
struct QueueConfiguration {
    std::uint64_t m_version = 0;
    std::vector<QueueRoute> m_routes;
    /** Callers' keys, each with its organisation. */
    std::map<std::string, std::string, std::less<>> m_organisationsByKey;
    /** Accelerators that belong to an organisation for work of priority 0. */
    std::map<std::string, std::uint32_t> m_guarantees;
    std::size_t m_maxBodyBytes = 262144;

    /** The route with this host and the longest prefix of the path; null for none. */
    const QueueRoute* findRoute(std::string_view host, std::string_view path) const;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_QUEUECONFIGURATION_H
