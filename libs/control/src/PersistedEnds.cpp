// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/PersistedEnds.h"

#include <string>

namespace pierbank {

bool PersistedEnds::recordReported(const WorkerId& worker, std::uint64_t number) {
    IncarnationEnds& incarnation = m_incarnations[worker];
    if (number <= incarnation.m_highestReported) {
        return false;
    }
    incarnation.m_highestReported = number;
    incarnation.m_pending.insert(number);
    return true;
}

void PersistedEnds::markPersisted(const WorkerId& worker, std::uint64_t number) {
    const auto found = m_incarnations.find(worker);
    if (found != m_incarnations.end()) {
        found->second.m_pending.erase(number);
    }
}

bool PersistedEnds::hasPending(std::string_view host) const {
    auto entry = m_incarnations.lower_bound({std::string(host), ""});
    while (entry != m_incarnations.end() && entry->first.m_host == host) {
        if (!entry->second.m_pending.empty()) {
            return true;
        }
        ++entry;
    }
    return false;
}

std::uint64_t PersistedEnds::getPersisted(const WorkerId& worker) const {
    const auto found = m_incarnations.find(worker);
    if (found == m_incarnations.end()) {
        return 0;
    }
    const IncarnationEnds& incarnation = found->second;
    return incarnation.m_pending.empty() ? incarnation.m_highestReported
                                         : *incarnation.m_pending.begin() - 1;
}

}  // namespace pierbank
