// SPDX-License-Identifier: Apache-2.0
#include "pierbank/store/RecordStore.h"

#include <array>

namespace pierbank {

std::string_view toText(StoreStatus status) {
    constexpr std::array<std::string_view, 6> NAMES = {"ok",      "conflict", "not-found",
                                                       "refused", "unknown",  "history-gone"};
    return NAMES.at(static_cast<std::size_t>(status));
}

}  // namespace pierbank
