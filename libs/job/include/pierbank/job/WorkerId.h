// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_WORKERID_H
#define PIERBANK_JOB_WORKERID_H

#include <compare>
#include <string>

namespace pierbank {

/** One process of a worker: a restarted worker runs nothing of what it ran before. */
struct WorkerId {
    /** Address of the host's sidecar; it outlives the worker's lives. */
    std::string m_host;
    /** WorkerIncarnation::toText(). Records of earlier versions have the id alone. */
    std::string m_incarnation;
    auto operator<=>(const WorkerId&) const = default;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_WORKERID_H
