// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_WORKERADMINSTATE_H
#define PIERBANK_CONTROL_WORKERADMINSTATE_H

#include <string_view>

namespace pierbank {

/** An operator's decision about a worker. */
enum class WorkerAdminState {
    /** Normal operation. */
    RELEASE,
    /** The worker gets no new work; its runs continue. */
    QUARANTINE,
    /** The worker gets no new work, and runs that can migrate move to other workers. */
    DRAIN,
};

/** Returns the text of a state in statements and in the store. */
std::string_view toText(WorkerAdminState state);

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_WORKERADMINSTATE_H
