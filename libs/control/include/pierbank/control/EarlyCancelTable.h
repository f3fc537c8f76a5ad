// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_EARLYCANCELTABLE_H
#define PIERBANK_CONTROL_EARLYCANCELTABLE_H

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/job/EarlyCancels.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

/** The leader's copy of the stored requests to cancel jobs in advance, by the job's id. */
class EarlyCancelTable {
public:
    /** The stored requests to cancel one job. */
    struct Entry {
        std::string m_id;
        EarlyCancels m_requests;
        /** Revision of the key; zero while only a gateway's notice tells of it. */
        StoreRevision m_revision = 0;
    };

    /**
     * Adds requests as read from the store or as told by a gateway, in any order.
     * @param revision revision of the key; zero in a gateway's notice.
     */
    void add(const std::string& id, const EarlyCancels& requests, StoreRevision revision);
    void remove(const std::string& id) { m_entries.erase(id); }
    void clear() { m_entries.clear(); }
    /** Returns whether an organisation has cancelled a job in advance. */
    bool contains(const std::string& id, std::string_view organisation) const;
    std::size_t size() const noexcept { return m_entries.size(); }
    /**
     * Returns the entries, at most `limit`, that may be removed: their last request was made before
     * a wall time, and their revision is known.
     */
    std::vector<Entry> listBefore(Millis wallTime, std::size_t limit) const;

private:
    std::map<std::string, Entry> m_entries;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_EARLYCANCELTABLE_H
