// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_ADDRESS_H
#define PIERBANK_BASE_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pierbank {

/** IP address and port. Host names are not supported. */
struct Address {
    std::string m_host;
    std::uint16_t m_port = 0;

    /**
     * Parses `127.0.0.1:80` or `[::1]:80`. Returns an empty value for any other text, including
     * host names and port 0.
     */
    static std::optional<Address> parse(std::string_view text);

    /** Returns the text form that parse() accepts. */
    std::string toText() const;

    auto operator<=>(const Address&) const = default;
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_ADDRESS_H
