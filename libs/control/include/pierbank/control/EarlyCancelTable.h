// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_EARLYCANCELTABLE_H
#define PIERBANK_CONTROL_EARLYCANCELTABLE_H

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/job/EarlyCancels.h"

namespace pierbank {

/** The leader's copy of the stored requests to cancel jobs in advance, by the job's id. */
class EarlyCancelTable {
public:
    /** Adds requests as read from the store or as told by a gateway, in any order. */
    void add(const std::string& id, const EarlyCancels& requests);
    void remove(const std::string& id) { m_requests.erase(id); }
    void clear() { m_requests.clear(); }
    /** Returns whether an organisation has cancelled a job in advance. */
    bool contains(const std::string& id, std::string_view organisation) const;
    std::size_t size() const noexcept { return m_requests.size(); }
    /** Returns ids, at most `limit`, whose last request was made before a wall time. */
    std::vector<std::string> listBefore(Millis wallTime, std::size_t limit) const;

private:
    std::map<std::string, EarlyCancels> m_requests;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_EARLYCANCELTABLE_H
