// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/WorkOutcome.h"

#include <array>

namespace pierbank {

std::string_view toText(WorkOutcome outcome) {
    constexpr std::array<std::string_view, WORK_OUTCOME_COUNT> NAMES = {
            "done",    "preempted", "migrated",  "job-failed", "gang-broken", "lost",
            "stalled", "revoked",   "cancelled", "run-failed", "copy",        "unknown"};
    return NAMES.at(static_cast<std::size_t>(outcome));
}

}  // namespace pierbank
