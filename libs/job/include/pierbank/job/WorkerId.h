// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_WORKERID_H
#define PIERBANK_JOB_WORKERID_H

#include <compare>
#include <string>

namespace pierbank {

/** Identifies one process of a worker. After a restart, none of the earlier runs goes on. */
struct WorkerId {
    /** Address of the host's sidecar; the same for all incarnations of the worker. */
    std::string m_host;
    /** Text from WorkerIncarnation::toText(). Records of earlier versions hold only the worker's
     * id. */
    std::string m_incarnation;
    auto operator<=>(const WorkerId&) const = default;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_WORKERID_H
