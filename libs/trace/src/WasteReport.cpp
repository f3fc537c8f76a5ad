// SPDX-License-Identifier: Apache-2.0
#include "pierbank/trace/WasteReport.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <tuple>

namespace pierbank {

namespace {

constexpr int NAME_WIDTH = 14;
constexpr int NUMBER_WIDTH = 12;

/** Number and work of preempted runs in one row of the table. */
struct PreemptionTotals {
    std::size_t m_runs = 0;
    double m_coreSeconds = 0;
    std::set<std::string> m_preemptors;
};

template <typename Condition>
std::size_t countJobs(const std::vector<UrgentJob>& jobs, Condition condition) {
    return static_cast<std::size_t>(std::count_if(jobs.begin(), jobs.end(), condition));
}

void printLateJob(std::ostream& out, const UrgentJob& job) {
    out << job.m_id << " first_wait_ms=" << job.m_firstWait.count();
    if (job.m_slowness > 0) {
        out << " slowest_host=" << job.m_slowestHost << " slowness=" << std::setprecision(2)
            << job.m_slowness;
    }
    for (const std::string& cause : job.m_wasteCauses) {
        out << " thrown_away=" << cause;
    }
    out << "\n";
}

}  // namespace

std::string_view toText(JobResult result) {
    constexpr std::array<std::string_view, static_cast<std::size_t>(JobResult::UNKNOWN) + 1> NAMES =
            {"in-time", "late", "failed", "cancelled", "open", "no-objective", "unknown"};
    return NAMES.at(static_cast<std::size_t>(result));
}

void WasteReport::add(const WasteReport& other) {
    m_kept += other.m_kept;
    m_keptInVain += other.m_keptInVain;
    for (const auto& [cause, coreSeconds] : other.m_wasted) {
        m_wasted[cause] += coreSeconds;
    }
    m_preemptions.insert(m_preemptions.end(), other.m_preemptions.begin(),
                         other.m_preemptions.end());
    m_urgentJobs.insert(m_urgentJobs.end(), other.m_urgentJobs.begin(), other.m_urgentJobs.end());
}

void WasteReport::print(std::ostream& out, bool withJobs) const {
    out << std::fixed << std::setprecision(0) << std::left;
    printWork(out);
    printPreemptions(out);
    printUrgentJobs(out, withJobs);
}

void WasteReport::printWork(std::ostream& out) const {
    double total = 0;
    out << std::setw(NAME_WIDTH) << "thrown away"
        << " " << std::right << std::setw(NUMBER_WIDTH) << "core_s"
        << "\n";
    for (const auto& [cause, coreSeconds] : m_wasted) {
        total += coreSeconds;
        out << std::left << std::setw(NAME_WIDTH) << cause << " " << std::right
            << std::setw(NUMBER_WIDTH) << coreSeconds << "\n";
    }
    out << "work thrown away " << total << " core-seconds beside " << m_kept
        << " done or saved, of which " << m_keptInVain
        << " in jobs that failed or were cancelled\n";
}

void WasteReport::printPreemptions(std::ostream& out) const {
    std::map<std::tuple<std::string, JobResult, bool>, PreemptionTotals> rows;
    for (const PreemptedRun& run : m_preemptions) {
        PreemptionTotals& row = rows[{run.m_priority, run.m_preemptorResult, run.m_isKept}];
        ++row.m_runs;
        row.m_coreSeconds += run.m_coreSeconds;
        row.m_preemptors.insert(run.m_preemptor);
    }
    out << std::left << std::setw(NAME_WIDTH) << "victim_prio"
        << " " << std::setw(NAME_WIDTH) << "for_job"
        << " " << std::setw(NAME_WIDTH) << "saved" << std::right << std::setw(NUMBER_WIDTH)
        << "runs" << std::setw(NUMBER_WIDTH) << "for_jobs" << std::setw(NUMBER_WIDTH) << "core_s"
        << "\n";
    for (const auto& [key, row] : rows) {
        const auto& [priority, result, isKept] = key;
        out << std::left << std::setw(NAME_WIDTH) << priority << " " << std::setw(NAME_WIDTH)
            << toText(result) << " " << std::setw(NAME_WIDTH) << (isKept ? "yes" : "no")
            << std::right << std::setw(NUMBER_WIDTH) << row.m_runs << std::setw(NUMBER_WIDTH)
            << row.m_preemptors.size() << std::setw(NUMBER_WIDTH) << row.m_coreSeconds << "\n";
    }
}

void WasteReport::printUrgentJobs(std::ostream& out, bool withJobs) const {
    std::map<JobResult, std::size_t> results;
    std::vector<UrgentJob> late;
    for (const UrgentJob& job : m_urgentJobs) {
        ++results[job.m_result];
        if (job.m_result == JobResult::LATE) {
            late.push_back(job);
        }
    }
    out << "urgent jobs " << m_urgentJobs.size();
    for (const auto& [result, count] : results) {
        out << ", " << toText(result) << " " << count;
    }
    std::map<std::string, std::size_t> causes;
    for (const UrgentJob& job : late) {
        for (const std::string& cause : job.m_wasteCauses) {
            ++causes[cause];
        }
    }
    out << "\nlate urgent jobs " << late.size() << ": with a slow host "
        << countJobs(late, [](const UrgentJob& job) { return job.hasSlowMember(); })
        << " (speed of their hosts unknown "
        << countJobs(late, [](const UrgentJob& job) { return job.m_slowness == 0; })
        << "), waited over " << UrgentJob::MAX_SHORT_WAIT.count() << " ms for the first start "
        << countJobs(late, [](const UrgentJob& job) { return job.hasWaitedLong(); })
        << ", had a run thrown away "
        << countJobs(late, [](const UrgentJob& job) { return !job.m_wasteCauses.empty(); });
    for (const auto& [cause, count] : causes) {
        out << ", " << cause << " " << count;
    }
    out << ", none of these "
        << countJobs(late, [](const UrgentJob& job) { return job.isUnexplained(); }) << "\n";
    for (const UrgentJob& job : withJobs ? late : std::vector<UrgentJob>()) {
        printLateJob(out, job);
    }
}

}  // namespace pierbank
