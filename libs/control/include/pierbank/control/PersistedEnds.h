// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_PERSISTEDENDS_H
#define PIERBANK_CONTROL_PERSISTEDENDS_H

#include <cstdint>
#include <map>
#include <set>
#include <string_view>

#include "pierbank/job/JobRun.h"

namespace pierbank {

/**
 * Tracks which of the ends reported by workers are persisted. Workers number the ends of their runs
 * and discard all ends up to an acknowledged number, so a number may only be acknowledged when all
 * ends up to that number are persisted.
 */
class PersistedEnds {
public:
    /** Records a reported end. @return whether the end is reported for the first time. */
    bool recordReported(const WorkerId& worker, std::uint64_t number);
    /** Marks an end as persisted, or as one that need not be persisted. */
    void markPersisted(const WorkerId& worker, std::uint64_t number);
    /** Returns whether any end that a host's worker reported is not persisted yet. */
    bool hasPending(std::string_view host) const;
    /** Returns the highest number up to which all ends are persisted; zero for none. */
    std::uint64_t getPersisted(const WorkerId& worker) const;
    /** Removes the ends of one incarnation of a worker. */
    void forget(const WorkerId& worker) { m_incarnations.erase(worker); }
    void clear() { m_incarnations.clear(); }

private:
    struct IncarnationEnds {
        std::uint64_t m_highestReported = 0;
        /** Reported ends that are not persisted yet. */
        std::set<std::uint64_t> m_pending;
    };
    std::map<WorkerId, IncarnationEnds> m_incarnations;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_PERSISTEDENDS_H
