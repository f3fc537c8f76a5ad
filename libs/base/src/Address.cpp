// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/Address.h"

#include <gio/gio.h>

#include <charconv>

namespace pierbank {

namespace {

bool isIpNumber(const std::string& host) {
    GInetAddress* parsed = g_inet_address_new_from_string(host.c_str());
    if (parsed == nullptr) {
        return false;
    }
    g_object_unref(parsed);
    return true;
}

}  // namespace

std::optional<Address> Address::parse(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed) {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const auto end = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (end.ec != std::errc() || end.ptr != digits.data() + digits.size() || port == 0) {
        return std::nullopt;
    }
    const std::string hostText(host);
    const bool isVersion6 = hostText.find(':') != std::string::npos;
    if (isVersion6 != isBracketed || !isIpNumber(hostText)) {
        return std::nullopt;
    }
    return Address{hostText, port};
}

std::string Address::toText() const {
    const bool isVersion6 = m_host.find(':') != std::string::npos;
    const std::string host = isVersion6 ? "[" + m_host + "]" : m_host;
    return host + ":" + std::to_string(m_port);
}

}  // namespace pierbank
