// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TRACE_WASTETRACE_H
#define PIERBANK_TRACE_WASTETRACE_H

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "pierbank/trace/JobTrace.h"
#include "pierbank/trace/LogLine.h"
#include "pierbank/trace/WasteReport.h"

namespace pierbank {

/**
 * Builds the account of work thrown away and of late urgent jobs from the log lines of all
 * gateways of a fleet, given in any order. Two leaders may log the same end; it counts once.
 */
class WasteTrace {
public:
    /** Adds a log line. */
    void take(const LogLine& line);
    /** Returns the account. @param timelines the jobs of the same log, which tell who was late. */
    WasteReport tell(std::span<const JobTimeline> timelines) const;

private:
    /** A task's run, or a whole gang's that is done, by `TASK/RUN` or `STEP/RUN`. */
    struct Run {
        std::string m_task;
        std::string m_host;
        std::string m_outcome;
        double m_coreSeconds = 0;
        Millis m_runTime{0};
        bool m_isSaved = false;
        /** First run of a single task, which no checkpoint shortens. */
        bool m_isComparable = false;

        bool isDone() const;
        /** Returns whether the work counts, now or in the run that resumes from it. */
        bool isKept() const { return m_isSaved || isDone(); }
    };
    struct PreemptionStop {
        std::string m_task;
        std::string m_priority;
        std::string m_preemptor;
    };
    /** Placement of a task's latest run. */
    struct Placement {
        Millis m_at{0};
        std::string m_host;
    };
    struct Job {
        std::optional<Millis> m_firstWait;
        std::map<std::string, Placement> m_placements;
    };

    void handleEnd(const LogLine& line);
    void handleStopped(const LogLine& line);
    void handlePlaced(const LogLine& line);
    using Results = std::map<std::string_view, JobResult>;
    void addWork(WasteReport& report, const Results& results) const;
    void addPreemptions(WasteReport& report, const Results& results) const;
    void addUrgentJobs(WasteReport& report, std::span<const JobTimeline> timelines) const;

    std::map<std::string, Run> m_runs;
    std::map<std::string, PreemptionStop> m_preemptions;
    std::map<std::string, Job, std::less<>> m_jobs;
};

/** Judges a job by its objective. */
JobResult getResult(const JobTimeline& timeline);

}  // namespace pierbank

#endif  // PIERBANK_TRACE_WASTETRACE_H
