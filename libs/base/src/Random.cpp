// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/Random.h"

#include <array>
#include <charconv>

namespace pierbank {

Random Random::fromSystem() {
    std::random_device device;
    const std::uint64_t high = device();
    return Random((high << 32U) | device());
}

std::uint64_t Random::below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
}

std::string Random::token() {
    constexpr std::size_t DIGITS = 16;
    constexpr int HEXADECIMAL = 16;
    std::array<char, DIGITS> text{};
    const auto end = std::to_chars(text.data(), text.data() + DIGITS, m_engine(), HEXADECIMAL);
    const auto length = static_cast<std::size_t>(end.ptr - text.data());
    return std::string(DIGITS - length, '0') + std::string(text.data(), length);
}

}  // namespace pierbank
