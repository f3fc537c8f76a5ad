// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/IdleWait.h"

#include <array>

namespace pierbank {

std::string_view toText(IdleReason reason) {
    constexpr std::array<std::string_view, IDLE_REASON_COUNT> NAMES = {
            "capacity",  "shape",  "rack",   "headroom", "reserved", "avoided-hosts",
            "releasing", "advice", "losses", "hosts",    "other"};
    return NAMES.at(static_cast<std::size_t>(reason));
}

}  // namespace pierbank
