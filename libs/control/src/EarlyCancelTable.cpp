// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/EarlyCancelTable.h"

namespace pierbank {

void EarlyCancelTable::add(const std::string& id, const EarlyCancels& requests) {
    m_requests[id].merge(requests);
}

bool EarlyCancelTable::contains(const std::string& id, std::string_view organisation) const {
    const auto found = m_requests.find(id);
    return found != m_requests.end() && found->second.find(organisation) != nullptr;
}

std::vector<std::string> EarlyCancelTable::listBefore(Millis wallTime, std::size_t limit) const {
    std::vector<std::string> ids;
    for (const auto& [id, requests] : m_requests) {
        if (ids.size() < limit && requests.getLastRequestedAt() < wallTime) {
            ids.push_back(id);
        }
    }
    return ids;
}

}  // namespace pierbank
