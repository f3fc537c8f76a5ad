// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_WIRE_HTTPHEADERS_H
#define PIERBANK_WIRE_HTTPHEADERS_H

#include <span>
#include <string_view>

#include "pierbank/wire/Frame.h"

namespace pierbank {

/** Whether two header names are the same: their case does not count. */
bool isSameHeader(std::string_view a, std::string_view b);

/** Value of the first header of this name; empty when there is none. */
std::string_view findHeader(std::span<const HttpHeader> headers, std::string_view name);

}  // namespace pierbank

#endif  // PIERBANK_WIRE_HTTPHEADERS_H
