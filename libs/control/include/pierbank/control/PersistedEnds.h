// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_PERSISTEDENDS_H
#define PIERBANK_CONTROL_PERSISTEDENDS_H

#include <cstdint>
#include <map>
#include <set>

#include "pierbank/job/JobRun.h"

namespace pierbank {

/**
 * Which listed ends of runs are kept in the store. A worker forgets all ends up to a number, so
 * a number may be named only when every end up to it is kept.
 */
class PersistedEnds {
public:
    /** @return whether this end is seen for the first time. */
    bool recordReported(const WorkerId& worker, std::uint64_t number);
    /** The end is kept, or needs no keeping. */
    void markPersisted(const WorkerId& worker, std::uint64_t number);
    /** The highest number up to which all ends are kept; zero for none. */
    std::uint64_t getPersisted(const WorkerId& worker) const;
    void forget(const WorkerId& worker) { m_incarnations.erase(worker); }
    void clear() { m_incarnations.clear(); }

private:
    struct Life {
        std::uint64_t m_highest = 0;
        std::set<std::uint64_t> m_open;
    };
    std::map<WorkerId, Life> m_incarnations;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_PERSISTEDENDS_H
