// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/QueueConfiguration.h"

namespace pierbank {

const QueueRoute* QueueConfiguration::findRoute(std::string_view host,
                                                std::string_view path) const {
    const QueueRoute* best = nullptr;
    for (const QueueRoute& route : m_routes) {
        const bool isMatch = route.m_host == host && path.starts_with(route.m_pathPrefix);
        if (isMatch && (best == nullptr || route.m_pathPrefix.size() > best->m_pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

}  // namespace pierbank
