// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TRACE_LOGLINE_H
#define PIERBANK_TRACE_LOGLINE_H

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "pierbank/base/Clock.h"

namespace pierbank {

/**
 * One line of a daemon's log: `[...] [NODE] TIME SEVERITY COMPONENT EVENT KEY=VALUE...`. Words that
 * a log collector adds before the time are ignored, except for the last one, which names the node.
 */
struct LogLine {
    /** Wall time since 1970. */
    Millis m_at{0};
    std::string m_node;
    std::string m_component;
    std::string m_event;
    std::map<std::string, std::string, std::less<>> m_fields;

    /** Parses a line; returns nothing for text in another format. */
    static std::optional<LogLine> parse(std::string_view text);

    /** Returns a field's value; empty if the line has no such field. */
    std::string_view get(std::string_view key) const;
    /** Returns a field as a number of milliseconds; zero if the field is missing or no number. */
    Millis getMillis(std::string_view key) const;
    /** Returns whether the line logs this event of this component. */
    bool is(std::string_view component, std::string_view event) const {
        return m_component == component && m_event == event;
    }
};

}  // namespace pierbank

#endif  // PIERBANK_TRACE_LOGLINE_H
