// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_HTTP_HTTPHEADERS_H
#define PIERBANK_HTTP_HTTPHEADERS_H

#include <span>
#include <string>
#include <string_view>

namespace pierbank {

/** Name and value of an HTTP header. */
struct HttpHeader {
    std::string m_name;
    std::string m_value;
    bool operator==(const HttpHeader&) const = default;
};

/** Returns whether two header names are equal, ignoring case. */
bool isSameHeader(std::string_view a, std::string_view b);

/** Returns the value of the first header with this name, or an empty text. */
std::string_view findHeader(std::span<const HttpHeader> headers, std::string_view name);

}  // namespace pierbank

#endif  // PIERBANK_HTTP_HTTPHEADERS_H
