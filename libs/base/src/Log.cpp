// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/Log.h"

#include <unistd.h>

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include "pierbank/base/LineWriter.h"

namespace pierbank {

namespace {

namespace logging = boost::log;

constexpr std::array<std::string_view, 4> SEVERITY_NAMES = {"debug", "info", "warning", "error"};

std::string_view getName(Severity severity) {
    return SEVERITY_NAMES.at(static_cast<std::size_t>(severity));
}

/** Sink for standard output that never blocks, unlike the stream sinks of Boost.Log. */
class StandardOutputSink : public logging::sinks::basic_formatted_sink_backend<char> {
public:
    void consume(const logging::record_view& /*record*/, const std::string& line) {
        m_writer.write(line);
    }

private:
    LineWriter m_writer{STDOUT_FILENO};
};

void setUpSink() {
    namespace expr = logging::expressions;
    logging::add_common_attributes();
    const auto sink = boost::make_shared<logging::sinks::synchronous_sink<StandardOutputSink>>();
    sink->set_formatter(expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                                                "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                     << " " << expr::smessage);
    logging::core::get()->add_sink(sink);
}

logging::sources::severity_logger<Severity>& getLogger() {
    static const bool IS_SINK_READY = (setUpSink(), true);
    static logging::sources::severity_logger<Severity> logger;
    static_cast<void>(IS_SINK_READY);
    return logger;
}

Severity& getMinSeverity() {
    static Severity level = Severity::INFO;
    return level;
}

/** Quotes a value that is empty or contains a delimiter. Line breaks become blanks. */
std::string quote(std::string_view value) {
    const bool isPlain = value.find_first_of(" \"\n\r\t=") == std::string_view::npos;
    if (isPlain && !value.empty()) {
        return std::string(value);
    }
    std::string quoted = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            quoted += '\\';
        }
        quoted += (c == '\n' || c == '\r') ? ' ' : c;
    }
    return quoted + "\"";
}

}  // namespace

void logEvent(Severity severity, std::string_view component, std::string_view event,
              std::initializer_list<LogField> fields) {
    if (severity < getMinSeverity()) {
        return;
    }
    std::string line;
    line.append(getName(severity)).append(" ").append(component).append(" ").append(event);
    for (const LogField& field : fields) {
        line.append(" ").append(field.m_key).append("=").append(quote(field.m_value));
    }
    BOOST_LOG_SEV(getLogger(), severity) << line;
}

void setLogLevel(Severity level) {
    getMinSeverity() = level;
}

std::optional<Severity> parseSeverity(std::string_view text) {
    for (std::size_t i = 0; i < SEVERITY_NAMES.size(); ++i) {
        if (SEVERITY_NAMES.at(i) == text) {
            return static_cast<Severity>(i);
        }
    }
    return std::nullopt;
}

}  // namespace pierbank
