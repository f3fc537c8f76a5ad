// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_WORKERINCARNATION_H
#define PIERBANK_JOB_WORKERINCARNATION_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace pierbank {

/**
 * Identifies one process of a worker. A worker may restart under the same id, so neither the id nor
 * the start time alone identifies a process; both together do.
 */
struct WorkerIncarnation {
    std::string m_id;
    /**
     * Wall time in milliseconds since 1970 at which the process started, as reported by the worker;
     * zero if the worker reports none. Only compared for equality, since the clock of a worker may
     * be set back.
     */
    std::uint64_t m_processStartedAt = 0;

    /** Returns whether no worker is named. */
    bool isEmpty() const noexcept { return m_id.empty(); }
    /**
     * Returns the name used in messages, records and logs: `ID@START_TIME`, or just the id if the
     * start time is unknown.
     */
    std::string toText() const;

    auto operator<=>(const WorkerIncarnation&) const = default;
};

/** Returns the worker's id from the text of an incarnation, which may lack the start time. */
std::string_view parseWorkerId(std::string_view incarnation);

}  // namespace pierbank

#endif  // PIERBANK_JOB_WORKERINCARNATION_H
