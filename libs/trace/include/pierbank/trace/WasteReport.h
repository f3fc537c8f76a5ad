// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TRACE_WASTEREPORT_H
#define PIERBANK_TRACE_WASTEREPORT_H

#include <cstdint>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** How a job ended, judged by its objective. */
enum class JobResult : std::uint8_t {
    IN_TIME,
    LATE,
    FAILED,
    CANCELLED,
    /** The logs don't show an end. */
    OPEN,
    /** The job is over and has no objective. */
    NO_OBJECTIVE,
    /** The logs don't show the job's acceptance. */
    UNKNOWN,
};

/** Returns the name of the result as the trace tool prints it. */
std::string_view toText(JobResult result);

/** A run that gave way to urgent work. */
struct PreemptedRun {
    std::string m_task;
    std::string m_priority;
    /** Job that the run gave way to. */
    std::string m_preemptor;
    JobResult m_preemptorResult = JobResult::UNKNOWN;
    /** The next run resumes from saved progress, or the run was done before it could be stopped. */
    bool m_isKept = false;
    /** Work of the run, which is thrown away unless it is kept; zero without a logged end. */
    double m_coreSeconds = 0;
};

/** An accepted urgent job. */
struct UrgentJob {
    /** Wait for the first start above which it counts as long. */
    static constexpr Millis MAX_SHORT_WAIT{300};
    /** Slowness above which a host counts as slow; 1 is the usual speed. */
    static constexpr double MAX_USUAL_SLOWNESS = 1.3;

    std::string m_id;
    JobResult m_result = JobResult::OPEN;
    /** Time from the acceptance to the first placement. */
    Millis m_firstWait{0};
    /** Slowest host among the last placements of its tasks, and its slowness; zero if unknown. */
    std::string m_slowestHost;
    double m_slowness = 0;
    /** Causes by which runs of the job were thrown away. */
    std::set<std::string> m_wasteCauses;

    bool hasSlowMember() const { return m_slowness > MAX_USUAL_SLOWNESS; }
    bool hasWaitedLong() const { return m_firstWait > MAX_SHORT_WAIT; }
    /** Returns whether none of the known reasons for being late applies. */
    bool isUnexplained() const {
        return !hasSlowMember() && !hasWaitedLong() && m_wasteCauses.empty();
    }
};

/** Account of the work of ended runs, and of urgent jobs, in one or several logs. */
struct WasteReport {
    /** Core-seconds of work that was done or saved. */
    double m_kept = 0;
    /** Part of m_kept that belongs to jobs that failed or were cancelled in the end. */
    double m_keptInVain = 0;
    /** Core-seconds thrown away by cause. */
    std::map<std::string, double> m_wasted;
    std::vector<PreemptedRun> m_preemptions;
    std::vector<UrgentJob> m_urgentJobs;

    /** Adds the account of another log. */
    void add(const WasteReport& other);
    /** Prints the tables, and the late urgent jobs one by one if `withJobs`. */
    void print(std::ostream& out, bool withJobs) const;

private:
    void printWork(std::ostream& out) const;
    void printPreemptions(std::ostream& out) const;
    void printUrgentJobs(std::ostream& out, bool withJobs) const;
};

}  // namespace pierbank

#endif  // PIERBANK_TRACE_WASTEREPORT_H
