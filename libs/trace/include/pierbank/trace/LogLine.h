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
 * One line of a daemon's log: `[...] [NODE] TIME SEVERITY COMPONENT EVENT KEY=VALUE...`. What a log
 * collector puts before the time is passed over, but for the last word, which names the node.
 */
struct LogLine {
    /** Since 1970. */
    Millis m_at{0};
    std::string m_node;
    std::string m_component;
    std::string m_event;
    std::map<std::string, std::string, std::less<>> m_fields;

    /** Empty for a line of anything else. */
    static std::optional<LogLine> parse(std::string_view text);

    /** Empty when there is no such field. */
    std::string_view get(std::string_view key) const;
    /** Zero when there is no such field, or no number in it. */
    Millis getMillis(std::string_view key) const;
    bool is(std::string_view component, std::string_view event) const {
        return m_component == component && m_event == event;
    }
};

}  // namespace pierbank

#endif  // PIERBANK_TRACE_LOGLINE_H
