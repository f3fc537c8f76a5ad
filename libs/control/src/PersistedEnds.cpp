// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/PersistedEnds.h"

namespace pierbank {

bool PersistedEnds::recordReported(const WorkerId& worker, std::uint64_t number) {
    Life& incarnation = m_incarnations[worker];
    if (number <= incarnation.m_highest) {
        return false;
    }
    incarnation.m_highest = number;
    incarnation.m_open.insert(number);
    return true;
}

void PersistedEnds::markPersisted(const WorkerId& worker, std::uint64_t number) {
    const auto found = m_incarnations.find(worker);
    if (found != m_incarnations.end()) {
        found->second.m_open.erase(number);
    }
}

std::uint64_t PersistedEnds::getPersisted(const WorkerId& worker) const {
    const auto found = m_incarnations.find(worker);
    if (found == m_incarnations.end()) {
        return 0;
    }
    const Life& incarnation = found->second;
    return incarnation.m_open.empty() ? incarnation.m_highest : *incarnation.m_open.begin() - 1;
}

}  // namespace pierbank
