// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_LOSSCAUSE_H
#define PIERBANK_CONTROL_LOSSCAUSE_H

#include <string_view>

namespace pierbank {

/** How the leader found out that the runs of a worker no longer run. */
enum class LossCause {
    /** The worker's lease lapsed. */
    LEASE_LAPSED,
    /** The host reports another incarnation of the worker. */
    OTHER_INCARNATION,
    /** The worker reported that it has exited. */
    WORKER_LEFT,
};

/** Returns the description of a cause for the log. */
std::string_view toText(LossCause cause);

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LOSSCAUSE_H
