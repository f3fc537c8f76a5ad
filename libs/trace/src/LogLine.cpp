// SPDX-License-Identifier: Apache-2.0
#include "pierbank/trace/LogLine.h"

#include <charconv>
#include <chrono>
#include <cstdio>
#include <vector>

namespace pierbank {

namespace {

/** Removes the next word from a text and returns it; a quoted part may contain blanks. */
std::string extractWord(std::string_view& text) {
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    std::string word;
    bool isQuoted = false;
    std::size_t i = 0;
    for (; i < text.size() && (isQuoted || text[i] != ' '); ++i) {
        if (text[i] == '"') {
            isQuoted = !isQuoted;
        } else if (text[i] == '\\' && isQuoted && i + 1 < text.size()) {
            word += text[++i];
        } else {
            word += text[i];
        }
    }
    text.remove_prefix(i);
    return word;
}

std::optional<Millis> readTime(const std::string& word) {
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    double second = 0;
    constexpr int FIELDS = 6;
    if (std::sscanf(word.c_str(), "%4d-%2u-%2uT%2d:%2d:%lf", &year, &month, &day, &hour, &minute,
                    &second) != FIELDS) {
        return std::nullopt;
    }
    using namespace std::chrono;
    const sys_days date =
            std::chrono::year(year) / std::chrono::month(month) / std::chrono::day(day);
    const auto millisInMinute = static_cast<std::int64_t>(second * 1000);
    return duration_cast<Millis>(date.time_since_epoch()) + hours(hour) + minutes(minute) +
           Millis(millisInMinute);
}

bool isSeverity(const std::string& word) {
    return word == "debug" || word == "info" || word == "warning" || word == "error";
}

}  // namespace

std::optional<LogLine> LogLine::parse(std::string_view text) {
    LogLine line;
    std::optional<Millis> time;
    // Bounds the words that a log collector adds, with the time and the severity.
    constexpr int MAX_WORDS = 6;
    for (int i = 0; i < MAX_WORDS && !text.empty(); ++i) {
        std::string word = extractWord(text);
        if (time.has_value() && isSeverity(word)) {
            line.m_at = *time;
            line.m_component = extractWord(text);
            line.m_event = extractWord(text);
            break;
        }
        if (!time.has_value()) {
            time = readTime(word);
        }
        if (!time.has_value()) {
            line.m_node = std::move(word);
        }
    }
    if (line.m_event.empty()) {
        return std::nullopt;
    }
    while (!text.empty()) {
        const std::string word = extractWord(text);
        const std::size_t equals = word.find('=');
        if (equals != std::string::npos) {
            line.m_fields[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    return line;
}

std::string_view LogLine::get(std::string_view key) const {
    const auto found = m_fields.find(key);
    return found == m_fields.end() ? std::string_view() : std::string_view(found->second);
}

Millis LogLine::getMillis(std::string_view key) const {
    const std::string_view text = get(key);
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return Millis(value);
}

}  // namespace pierbank
