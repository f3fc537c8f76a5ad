// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TOOLS_COMMON_DAEMONMAIN_H
#define PIERBANK_TOOLS_COMMON_DAEMONMAIN_H

#include <boost/program_options.hpp>
#include <iostream>
#include <optional>
#include <string>

#include "pierbank/base/Log.h"
#include "pierbank/base/SettingsFile.h"
#include "pierbank/base/Version.h"

namespace pierbank {

/** Exit status of a daemon. */
inline constexpr int EXIT_DONE = 0;
inline constexpr int EXIT_FAILED = 1;
inline constexpr int EXIT_USAGE = 2;

/** Command line options of a daemon. */
struct DaemonOptions {
    std::string m_settingsPath;
    bool m_checksOnly = false;
};

/**
 * Parses the command line. Returns an empty value and sets `exitStatus` when the program has to
 * exit immediately.
 */
inline std::optional<DaemonOptions> readDaemonOptions(int argc, char** argv,
                                                      const std::string& name, int& exitStatus) {
    namespace po = boost::program_options;
    DaemonOptions options;
    po::options_description description(name + " --settings FILE");
    description.add_options()("settings", po::value(&options.m_settingsPath),
                              "INI file with the settings")(
            "check", po::bool_switch(&options.m_checksOnly), "only check the settings")(
            "help", "this text")("version", "the version");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << name << ": " << error.what() << "\n";
        exitStatus = EXIT_USAGE;
        return std::nullopt;
    }
    exitStatus = EXIT_DONE;
    if (values.count("help") != 0) {
        std::cout << description;
        return std::nullopt;
    }
    if (values.count("version") != 0) {
        std::cout << name << " " << VERSION << "\n";
        return std::nullopt;
    }
    if (options.m_settingsPath.empty()) {
        std::cerr << name << ": --settings FILE is required; see --help\n";
        exitStatus = EXIT_USAGE;
        return std::nullopt;
    }
    return options;
}

/**
 * Reloads the settings file. Only a new log level takes effect without a restart. If the file has
 * any error, the error is logged and the previous log level remains in force.
 */
template <typename Settings>
void reloadSettings(const DaemonOptions& options, Settings (*readSettings)(SettingsFile&)) {
    Findings findings;
    auto file = SettingsFile::load(options.m_settingsPath, findings);
    Settings settings;
    if (file.has_value()) {
        settings = readSettings(*file);
    }
    if (!findings.isEmpty()) {
        logEvent(Severity::ERROR, "settings", "reload-refused", {{"findings", findings.toText()}});
        return;
    }
    setLogLevel(*parseSeverity(settings.m_logLevel));
    logEvent(Severity::INFO, "settings", "reloaded", {{"log_level", settings.m_logLevel}});
}

/**
 * Implements main() of a daemon: parses the command line, reads the settings and reports all their
 * errors, sets the log level, and calls `run`.
 * @param readSettings reads a `Settings`, which must have a member `m_logLevel`, from a file.
 * @return the exit status.
 */
template <typename Settings>
int runDaemon(int argc, char** argv, const std::string& name,
              Settings (*readSettings)(SettingsFile&),
              int (*run)(const Settings&, const DaemonOptions&)) {
    int exitStatus = EXIT_DONE;
    const auto options = readDaemonOptions(argc, argv, name, exitStatus);
    if (!options.has_value()) {
        return exitStatus;
    }
    Findings findings;
    auto file = SettingsFile::load(options->m_settingsPath, findings);
    Settings settings;
    if (file.has_value()) {
        settings = readSettings(*file);
    }
    if (!findings.isEmpty()) {
        std::cerr << findings.toText();
        return EXIT_USAGE;
    }
    if (options->m_checksOnly) {
        std::cout << options->m_settingsPath << ": good\n";
        return EXIT_DONE;
    }
    file->reportAddressesInUse();
    if (!findings.isEmpty()) {
        std::cerr << findings.toText();
        return EXIT_USAGE;
    }
    setLogLevel(*parseSeverity(settings.m_logLevel));
    return run(settings, *options);
}

}  // namespace pierbank

#endif  // PIERBANK_TOOLS_COMMON_DAEMONMAIN_H
