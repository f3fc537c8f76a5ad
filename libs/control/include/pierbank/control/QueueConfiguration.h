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

/** Maps requests with a host name and a path prefix to the queue that callers submit jobs to. */
struct QueueRoute {
    /** Host name without a port. */
    std::string m_host;
    /** Begins with a slash. */
    std::string m_pathPrefix;
    QueuePolicy m_policy;
    /** Whether callers need no key. */
    bool m_isOpen = false;
};

/** One version of the operators' configuration. */
struct QueueConfiguration {
    std::uint64_t m_version = 0;
    std::vector<QueueRoute> m_routes;
    /** Organisations by the API key of their callers. */
    std::map<std::string, std::string, std::less<>> m_organisationsByKey;
    /** Accelerators guaranteed to an organisation for work of priority 0. */
    std::map<std::string, std::uint32_t> m_guarantees;
    /** Maximum size of a submitted job. */
    std::size_t m_maxBodyBytes = 262144;

    /** Returns the route with this host and the longest matching path prefix, or null. */
    const QueueRoute* findRoute(std::string_view host, std::string_view path) const;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_QUEUECONFIGURATION_H
