// SPDX-License-Identifier: Apache-2.0
// pierbank-soak: runs real processes, injects random faults from a seed and checks the promises
// that docs/SOAK.md lists. Exits with 0 if all promises hold, 1 if a promise was broken and 2 for
// wrong usage.
#include <boost/program_options.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "pierbank/base/Log.h"
#include "pierbank/base/SettingsFile.h"
#include "Soak.h"

namespace {

using namespace pierbank;
using namespace pierbank::testing;
namespace po = boost::program_options;

constexpr int EXIT_PROMISE_BROKEN = 1;
constexpr int EXIT_USAGE = 2;

/** Splits a list that is separated by commas; an empty text gives an empty list. */
std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    for (std::size_t from = 0; from < text.size();) {
        const std::size_t comma = std::min(text.find(',', from), text.size());
        parts.push_back(text.substr(from, comma - from));
        from = comma + 1;
    }
    return parts;
}

/** Prints the names of all kinds of faults. */
void listFaults() {
    for (std::size_t i = 0; i < FAULT_KINDS; ++i) {
        std::cout << toText(static_cast<FaultKind>(i)) << "\n";
    }
}

/**
 * Prints the violations, each with the log lines that contain its subject. Returns the exit status.
 */
int report(const Soak& soak, const std::vector<Breach>& breaches) {
    for (const Breach& breach : breaches) {
        std::cout << "BROKEN: " << breach.m_promise << ": " << breach.m_subject << ": "
                  << breach.m_detail << "\n";
        for (const std::string& line : soak.findLogLines(breach.m_subject)) {
            std::cout << "    " << line << "\n";
        }
    }
    return breaches.empty() ? EXIT_SUCCESS : EXIT_PROMISE_BROKEN;
}

}  // namespace

int main(int argc, char** argv) {
    SoakOptions options;
    std::string length = "20s";
    std::string faults;
    bool isListRequested = false;
    po::options_description description("pierbank-soak");
    description.add_options()("seed", po::value(&options.m_seed),
                              "seed of the faults and the jobs")(
            "for", po::value(&length), "duration of the fault injection, such as 20s or 5min")(
            "gateways", po::value(&options.m_gateways), "number of gateways")(
            "workers", po::value(&options.m_workers), "number of workers")(
            "faults", po::value(&faults),
            "kinds of faults to inject, separated by commas; default: all")(
            "evacuate", po::bool_switch(&options.m_evacuates),
            "request and withdraw evacuations of failure domains")(
            "keep-ids", po::bool_switch(&options.m_keepsIds),
            "every second restart of a worker keeps its id, and some calls arrive late")(
            "listed-ends", po::value(&options.m_maxListedEnds),
            "number of finished runs that workers list at once")(
            "list-faults", po::bool_switch(&isListRequested), "list the kinds of faults")(
            "tools", po::value(&options.m_tools),
            "folder of pierbank-gateway and pierbank-sidecar")("logs", po::value(&options.m_folder),
                                                               "folder for logs and settings")(
            "base-port", po::value(&options.m_basePort), "first of 1,100 ports on loopback")(
            "quiet", po::bool_switch(&options.m_isQuiet), "print only the result")(
            "help", "print this text");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << "\n" << description;
        return EXIT_USAGE;
    }
    const auto parsed = parseDuration(length);
    if (isListRequested) {
        listFaults();
        return EXIT_SUCCESS;
    }
    if (values.count("help") != 0 || !parsed.has_value() || options.m_tools.empty() ||
        options.m_folder.empty() || options.m_gateways == 0 || options.m_workers == 0 ||
        options.m_maxListedEnds == 0) {
        std::cerr << description << "--tools and --logs are required\n";
        return EXIT_USAGE;
    }
    options.m_length = *parsed;
    options.m_faults = split(faults);
    std::filesystem::create_directories(options.m_folder);
    setLogLevel(Severity::ERROR);
    Soak soak(options);
    const std::vector<Breach> breaches = soak.run();
    const int status = report(soak, breaches);
    std::cout << "seed " << options.m_seed << ": " << soak.countJobs() << " jobs, "
              << breaches.size() << " promises broken\n";
    return status;
}
