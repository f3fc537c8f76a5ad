// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/EarlyCancelTable.h"

#include <algorithm>

namespace pierbank {

void EarlyCancelTable::add(const std::string& id, const EarlyCancels& requests,
                           StoreRevision revision) {
    Entry& entry = m_entries[id];
    entry.m_id = id;
    entry.m_requests.merge(requests);
    entry.m_revision = std::max(entry.m_revision, revision);
}

bool EarlyCancelTable::contains(const std::string& id, std::string_view organisation) const {
    const auto found = m_entries.find(id);
    return found != m_entries.end() && found->second.m_requests.find(organisation) != nullptr;
}

std::vector<EarlyCancelTable::Entry> EarlyCancelTable::listBefore(Millis wallTime,
                                                                  std::size_t limit) const {
    std::vector<Entry> entries;
    for (const auto& [id, entry] : m_entries) {
        if (entries.size() < limit && entry.m_revision != 0 &&
            entry.m_requests.getLastRequestedAt() < wallTime) {
            entries.push_back(entry);
        }
    }
    return entries;
}

}  // namespace pierbank
