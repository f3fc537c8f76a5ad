// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_LOG_H
#define PIERBANK_BASE_LOG_H

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace pierbank {

/** How important a log line is. */
enum class Severity { DEBUG, INFO, WARNING, ERROR };

/** One `key=value` of a log line. */
struct LogField {
    std::string_view m_key;
    std::string m_value;
};

/**
 * Structured logs on standard output, by Boost.Log and LineWriter: one line an event, with time,
 * severity, component, event and fields. Payloads and tokens are never logged.
 *
 *     logEvent(Severity::INFO, "leader", "took-over", {{"epoch", std::to_string(epoch)}});
 */
void logEvent(Severity severity, std::string_view component, std::string_view event,
              std::initializer_list<LogField> fields = {});

/** Lines below this severity are dropped. The level is INFO until this is called. */
void setLogLevel(Severity level);

/** Reads `debug`, `info`, `warning` or `error`; empty for any other text. */
std::optional<Severity> parseSeverity(std::string_view text);

}  // namespace pierbank

#endif  // PIERBANK_BASE_LOG_H
