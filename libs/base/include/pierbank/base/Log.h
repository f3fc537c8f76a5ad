// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_LOG_H
#define PIERBANK_BASE_LOG_H

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace pierbank {

/** Severity of a log line. */
enum class Severity { DEBUG, INFO, WARNING, ERROR };

/** A `key=value` pair of a log line. */
struct LogField {
    std::string_view m_key;
    std::string m_value;
};

/**
 * Logs an event to standard output, through Boost.Log and LineWriter. Each event is one line with
 * the time, severity, component, event and fields. Payloads and tokens must not be logged.
 *
 *     logEvent(Severity::INFO, "leader", "took-over", {{"epoch", std::to_string(epoch)}});
 */
void logEvent(Severity severity, std::string_view component, std::string_view event,
              std::initializer_list<LogField> fields = {});

/** Sets the minimum severity of the lines that are logged. The default is INFO. */
void setLogLevel(Severity level);

/** Parses `debug`, `info`, `warning` or `error`. Returns an empty value for any other text. */
std::optional<Severity> parseSeverity(std::string_view text);

}  // namespace pierbank

#endif  // PIERBANK_BASE_LOG_H
