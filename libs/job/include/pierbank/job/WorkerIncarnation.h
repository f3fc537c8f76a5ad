// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_WORKERINCARNATION_H
#define PIERBANK_JOB_WORKERINCARNATION_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace pierbank {

/**
 * One process of a worker. A worker may start again under the id that it had: the id and the moment
 * of the start together name a process, and each of the two alone does not.
 */
struct WorkerIncarnation {
    std::string m_id;
    /** Wall time of its start as the worker tells it, in milliseconds since 1970; zero: it tells
     * none. Compared for equality only: the clocks of workers may be set back. */
    std::uint64_t m_processStartedAt = 0;

    bool isEmpty() const noexcept { return m_id.empty(); }
    /** How messages, records and logs name it: `ID@BORN`, or the id alone without a moment. */
    std::string toText() const;

    auto operator<=>(const WorkerIncarnation&) const = default;
};

/** The id in the text of a life. */
std::string_view getWorkerIdOf(std::string_view incarnation);

}  // namespace pierbank

#endif  // PIERBANK_JOB_WORKERINCARNATION_H
