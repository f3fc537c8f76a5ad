// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_VERSION_H
#define PIERBANK_BASE_VERSION_H

#include <string_view>

namespace pierbank {

/** Version of the project; must match CMakeLists.txt. */
inline constexpr std::string_view VERSION = "0.1.0";

}  // namespace pierbank

#endif  // PIERBANK_BASE_VERSION_H
