// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/UnreadableInputs.h"

#include <bit>
#include <map>
#include <string>

namespace pierbank {

namespace {

/** Number of entries of a kind that are all logged. */
constexpr std::uint64_t FULLY_LOGGED_COUNT = 10;

std::map<std::string, std::uint64_t, std::less<>>& getCounts() {
    static std::map<std::string, std::uint64_t, std::less<>> counts;
    return counts;
}

}  // namespace

void reportUnreadable(std::string_view component, std::string_view event,
                      std::initializer_list<LogField> fields) {
    const std::uint64_t count = ++getCounts()[std::string(component) + " " + std::string(event)];
    if (count > FULLY_LOGGED_COUNT && !std::has_single_bit(count)) {
        return;
    }
    std::string entry;
    for (const LogField& field : fields) {
        entry.append(entry.empty() ? "" : " ")
                .append(field.m_key)
                .append("=")
                .append(field.m_value);
    }
    constexpr std::size_t MAX_ENTRY_BYTES = 400;
    logEvent(Severity::ERROR, component, event,
             {{"count", std::to_string(count)}, {"entry", entry.substr(0, MAX_ENTRY_BYTES)}});
}

std::uint64_t countUnreadable() {
    std::uint64_t sum = 0;
    for (const auto& [kind, count] : getCounts()) {
        sum += count;
    }
    return sum;
}

}  // namespace pierbank
