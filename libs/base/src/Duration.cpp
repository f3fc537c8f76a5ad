// SPDX-License-Identifier: Apache-2.0
#include <array>
#include <charconv>

#include "pierbank/base/SettingsFile.h"

namespace pierbank {

namespace {

struct Unit {
    std::string_view m_suffix;
    std::int64_t m_millis;
};

constexpr std::array<Unit, 5> UNITS = {
        {{"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}, {"d", 86'400'000}}};

/**
 * Ten years. Longer durations are assumed to be errors, and sums of accepted durations must not
 * overflow.
 */
constexpr std::int64_t MAX_DURATION_MILLIS = 10LL * 365 * 86'400'000;

}  // namespace

std::optional<Millis> parseDuration(std::string_view text) {
    std::int64_t count = 0;
    const char* const end = text.data() + text.size();
    const auto number = std::from_chars(text.data(), end, count);
    if (number.ec != std::errc() || count < 0) {
        return std::nullopt;
    }
    const std::string_view suffix(number.ptr, static_cast<std::size_t>(end - number.ptr));
    for (const Unit& unit : UNITS) {
        if (unit.m_suffix != suffix) {
            continue;
        }
        if (count > MAX_DURATION_MILLIS / unit.m_millis) {
            return std::nullopt;
        }
        return Millis(count * unit.m_millis);
    }
    return std::nullopt;
}

std::string formatDuration(Millis duration) {
    const std::int64_t count = duration.count();
    for (auto unit = UNITS.rbegin(); unit != UNITS.rend(); ++unit) {
        if (count != 0 && count % unit->m_millis == 0) {
            return std::to_string(count / unit->m_millis) + std::string(unit->m_suffix);
        }
    }
    return std::to_string(count) + "ms";
}

}  // namespace pierbank
