// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_ADDRESS_H
#define PIERBANK_BASE_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pierbank {

/** An IP number and a port. Host names are not accepted anywhere in the project. */
struct Address {
    std::string m_host;
    std::uint16_t m_port = 0;

    /** Reads `127.0.0.1:80` or `[::1]:80`; empty for anything else, host names included. */
    static std::optional<Address> parse(std::string_view text);

    /** The text that parse() reads. */
    std::string toText() const;

    auto operator<=>(const Address&) const = default;
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_ADDRESS_H
