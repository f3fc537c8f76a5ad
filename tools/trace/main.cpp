// SPDX-License-Identifier: Apache-2.0
// pierbank-trace: reports the outcome and the delays of each job from the logs of gateways.
#include <boost/program_options.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <numeric>

#include "pierbank/base/Version.h"
#include "pierbank/trace/JobTrace.h"
#include "pierbank/trace/WasteTrace.h"

namespace {

using namespace pierbank;
namespace po = boost::program_options;

constexpr int EXIT_USAGE = 2;

struct TraceOptions {
    std::vector<std::string> m_files;
    std::string m_job;
    bool m_onlyBad = false;
    bool m_onlyTotals = false;
    bool m_showsWaste = false;
    std::int64_t m_callerTimeoutMs = 3000;
};

/** Row of the table of causes: numbers of jobs and the time that they lost. */
struct CauseTotals {
    std::uint32_t m_late = 0;
    std::uint32_t m_failed = 0;
    std::uint32_t m_notAccepted = 0;
    Millis m_lost{0};
};

/** Returns whether the job was late, failed or not accepted. */
bool isBad(const JobTimeline& timeline) {
    const bool isNotAccepted = !timeline.m_acceptedAt.has_value() && timeline.m_isTurnedAway;
    return isNotAccepted || timeline.m_phase == "failed" || timeline.isLate();
}

void printTimeline(const JobTimeline& timeline) {
    const Millis took =
            timeline.m_endedAt.value_or(*timeline.m_firstRequestAt) - *timeline.m_firstRequestAt;
    std::printf(
            "%s queue=%s organisation=%s priority=%s %s took_ms=%lld objective_ms=%lld%s cause=%s",
            timeline.m_id.c_str(), timeline.m_queue.c_str(), timeline.m_organisation.c_str(),
            timeline.m_priority.c_str(),
            !timeline.m_acceptedAt.has_value() ? "not-taken"
            : timeline.m_phase.empty()         ? "open"
                                               : timeline.m_phase.c_str(),
            static_cast<long long>(took.count()),
            static_cast<long long>(timeline.m_objective.count()), timeline.isLate() ? " LATE" : "",
            std::string(toText(timeline.getCause())).c_str());
    for (std::size_t i = 0; i < CAUSE_COUNT; ++i) {
        if (timeline.m_lost.at(i) > Millis(0)) {
            std::printf(" %s_ms=%lld", std::string(toText(static_cast<Cause>(i))).c_str(),
                        static_cast<long long>(timeline.m_lost.at(i).count()));
        }
    }
    if (timeline.m_preemptionCount > 0) {
        std::printf(" evictions=%u work_lost_core_s=%.1f", timeline.m_preemptionCount,
                    timeline.m_wastedCoreSeconds);
    }
    for (const std::string& awaited : timeline.m_waitReasons) {
        std::printf(" waited_for=%s", awaited.c_str());
    }
    for (const std::string& host : timeline.m_failedOn) {
        std::printf(" failed_on=%s", host.c_str());
    }
    for (const auto& [reason, count] : timeline.m_refusals) {
        std::printf(" refused=%ux\"%s\"", count, reason.c_str());
    }
    if (timeline.m_wasOutOfReach) {
        std::printf(" no_gateway_reached_the_store");
    }
    if (timeline.m_avoidableRefusals > 0) {
        std::printf(" refused_while_another_took=%u", timeline.m_avoidableRefusals);
    }
    std::printf("\n");
}

void printTotals(const std::vector<JobTimeline>& timelines) {
    std::map<Cause, CauseTotals> causes;
    std::uint32_t evictions = 0;
    double lostWork = 0;
    std::uint32_t refusedWhileAccepted = 0;
    std::uint32_t storeUnreachable = 0;
    for (const JobTimeline& timeline : timelines) {
        evictions += timeline.m_preemptionCount;
        lostWork += timeline.m_wastedCoreSeconds;
        refusedWhileAccepted += timeline.m_avoidableRefusals;
        storeUnreachable += timeline.m_wasOutOfReach ? 1 : 0;
        if (!isBad(timeline)) {
            continue;
        }
        CauseTotals& line = causes[timeline.getCause()];
        line.m_lost += timeline.m_lost.at(static_cast<std::size_t>(timeline.getCause()));
        if (!timeline.m_acceptedAt.has_value()) {
            ++line.m_notAccepted;
        } else if (timeline.m_phase == "failed") {
            ++line.m_failed;
        } else {
            ++line.m_late;
        }
    }
    std::printf("%-12s %9s %7s %7s %9s\n", "cause", "not-taken", "failed", "late", "lost_s");
    for (const auto& [cause, line] : causes) {
        std::printf("%-12s %9u %7u %7u %9.1f\n", std::string(toText(cause)).c_str(),
                    line.m_notAccepted, line.m_failed, line.m_late,
                    static_cast<double>(line.m_lost.count()) / 1000.0);
    }
    std::printf(
            "jobs %zu; evictions %u, work thrown away by them %.0f core-seconds; submissions "
            "refused "
            "while another gateway took one: %u; jobs not taken since no gateway reached the store "
            "in "
            "their callers' whole time: %u\n",
            timelines.size(), evictions, lostWork, refusedWhileAccepted, storeUnreachable);
}

std::optional<TraceOptions> readOptions(int argc, char** argv, int& exit) {
    TraceOptions options;
    po::options_description visible(
            "pierbank-trace [OPTIONS] [LOG...]  (- or nothing: standard input)");
    visible.add_options()("job", po::value(&options.m_job), "only the job with this id")(
            "bad", po::bool_switch(&options.m_onlyBad),
            "only jobs that were late, failed or not taken")(
            "patience-ms", po::value(&options.m_callerTimeoutMs),
            "how long callers go on asking (3000)")("sum", po::bool_switch(&options.m_onlyTotals),
                                                    "only the table of causes")(
            "waste", po::bool_switch(&options.m_showsWaste),
            "work thrown away by cause, and why urgent jobs were late, instead of the jobs; with "
            "--sum only of all logs together")("help", "this text")("version", "the version");
    po::options_description all;
    all.add(visible).add_options()("logs", po::value(&options.m_files));
    po::positional_options_description positional;
    positional.add("logs", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(),
                  values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << "pierbank-trace: " << error.what() << "\n" << visible;
        exit = EXIT_USAGE;
        return std::nullopt;
    }
    exit = EXIT_SUCCESS;
    if (values.count("help") != 0) {
        std::cout << visible;
        return std::nullopt;
    }
    if (values.count("version") != 0) {
        std::cout << "pierbank-trace " << VERSION << "\n";
        return std::nullopt;
    }
    if (options.m_files.empty()) {
        options.m_files = {"-"};
    }
    return options;
}

std::size_t readLog(std::istream& in, JobTrace& trace, WasteTrace& waste) {
    std::size_t lines = 0;
    for (std::string text; std::getline(in, text);) {
        if (auto line = LogLine::parse(text)) {
            waste.take(*line);
            trace.take(std::move(*line));
            ++lines;
        }
    }
    return lines;
}

/** What was read from the logs: the jobs of all, and the account of each. */
struct TracedLogs {
    std::vector<JobTimeline> m_timelines;
    std::vector<WasteReport> m_wasteReports;
};

/**
 * Reads the logs; fails with the name of the first that can't be read. Each log is traced
 * separately, because the same job id in two logs means different jobs.
 */
std::optional<TracedLogs> readLogs(const TraceOptions& options) {
    TracedLogs logs;
    for (const std::string& name : options.m_files) {
        std::ifstream file;
        if (name != "-") {
            file.open(name);
        }
        JobTrace trace{Millis(options.m_callerTimeoutMs)};
        WasteTrace waste;
        if ((name != "-" && !file) || readLog(name == "-" ? std::cin : file, trace, waste) == 0) {
            std::cerr << "pierbank-trace: " << name << ": no log of a gateway\n";
            return std::nullopt;
        }
        std::vector<JobTimeline> timelines = trace.tell();
        logs.m_wasteReports.push_back(waste.tell(timelines));
        std::move(timelines.begin(), timelines.end(), std::back_inserter(logs.m_timelines));
    }
    return logs;
}

void printWaste(const TraceOptions& options, const std::vector<WasteReport>& reports) {
    WasteReport sum;
    for (std::size_t i = 0; i < reports.size(); ++i) {
        sum.add(reports[i]);
        if (!options.m_onlyTotals) {
            std::cout << "== " << options.m_files[i] << "\n";
            reports[i].print(std::cout, true);
        }
    }
    if (options.m_onlyTotals || reports.size() > 1) {
        std::cout << "== " << reports.size() << " logs\n";
        sum.print(std::cout, false);
    }
}

void printJobs(const TraceOptions& options, const std::vector<JobTimeline>& timelines) {
    for (const JobTimeline& timeline : timelines) {
        const bool isSelected = options.m_job.empty() || timeline.m_id == options.m_job;
        if (!options.m_onlyTotals && isSelected && (!options.m_onlyBad || isBad(timeline))) {
            printTimeline(timeline);
        }
    }
    if (options.m_job.empty()) {
        printTotals(timelines);
    }
}

}  // namespace

int main(int argc, char** argv) {
    int exit = EXIT_SUCCESS;
    const auto options = readOptions(argc, argv, exit);
    if (!options.has_value()) {
        return exit;
    }
    const auto logs = readLogs(*options);
    if (!logs.has_value()) {
        return EXIT_USAGE;
    }
    if (options->m_showsWaste) {
        printWaste(*options, logs->m_wasteReports);
    } else {
        printJobs(*options, logs->m_timelines);
    }
    return EXIT_SUCCESS;
}
