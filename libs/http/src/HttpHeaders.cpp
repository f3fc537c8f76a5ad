// SPDX-License-Identifier: Apache-2.0
#include "pierbank/http/HttpHeaders.h"

#include <glib.h>

#include <algorithm>

namespace pierbank {

bool isSameHeader(std::string_view a, std::string_view b) {
    return a.size() == b.size() && g_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view findHeader(std::span<const HttpHeader> headers, std::string_view name) {
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const HttpHeader& h) {
        return isSameHeader(h.m_name, name);
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->m_value);
}

}  // namespace pierbank
