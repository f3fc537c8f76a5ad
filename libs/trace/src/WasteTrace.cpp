// SPDX-License-Identifier: Apache-2.0
#include "pierbank/trace/WasteTrace.h"

#include <algorithm>
#include <utility>

#include "pierbank/job/WorkOutcome.h"
#include "pierbank/trace/HostRunTimes.h"

namespace pierbank {

namespace {

constexpr std::string_view URGENT_PRIORITY = "0";
constexpr std::string_view PREEMPTION_PREFIX = "gave way to job ";

std::string_view getJob(std::string_view task) {
    return task.substr(0, task.find('.'));
}

/** Returns `JOB.OCCURRENCE.STEP` of a task's name. */
std::string_view getStep(std::string_view task) {
    return task.substr(0, task.rfind('.'));
}

std::string makeRunKey(std::string_view name, std::string_view run) {
    return std::string(name) + "/" + std::string(run);
}

}  // namespace

JobResult getResult(const JobTimeline& timeline) {
    if (!timeline.m_acceptedAt.has_value()) {
        return JobResult::UNKNOWN;
    }
    if (timeline.m_phase.empty()) {
        return JobResult::OPEN;
    }
    if (timeline.m_phase != "succeeded") {
        return timeline.m_phase == "failed" ? JobResult::FAILED : JobResult::CANCELLED;
    }
    if (timeline.m_objective <= Millis(0)) {
        return JobResult::NO_OBJECTIVE;
    }
    return timeline.isLate() ? JobResult::LATE : JobResult::IN_TIME;
}

void WasteTrace::take(const LogLine& line) {
    if (line.is("jobs", "run-ended") || line.is("jobs", "run-lost")) {
        handleEnd(line);
    } else if (line.is("jobs", "stopped")) {
        handleStopped(line);
    } else if (line.is("jobs", "placed")) {
        handlePlaced(line);
    }
}

void WasteTrace::handleEnd(const LogLine& line) {
    const std::string_view outcome = line.get("outcome");
    if (outcome.empty() || outcome == "-") {
        return;
    }
    const std::string_view task = line.get("task");
    const bool isGangDone = line.get("gang") == "yes" && outcome == toText(WorkOutcome::DONE);
    Run& run = m_runs[makeRunKey(isGangDone ? getStep(task) : task, line.get("run"))];
    run.m_task = task;
    run.m_host = line.get("host");
    run.m_outcome = outcome;
    run.m_coreSeconds = static_cast<double>(line.getMillis("core_s").count());
    run.m_runTime = line.getMillis("ran_ms");
    run.m_isSaved = line.get("saved") == "yes";
    run.m_isComparable = line.get("gang") == "no" && line.get("run") == "1";
}

void WasteTrace::handleStopped(const LogLine& line) {
    const std::string_view why = line.get("why");
    if (why.starts_with(PREEMPTION_PREFIX)) {
        m_preemptions[makeRunKey(line.get("task"), line.get("run"))] = {
                std::string(line.get("task")), std::string(line.get("priority")),
                std::string(why.substr(PREEMPTION_PREFIX.size()))};
    }
}

void WasteTrace::handlePlaced(const LogLine& line) {
    Job& job = m_jobs[std::string(getJob(line.get("task")))];
    const Millis waited = line.getMillis("waited_ms");
    job.m_firstWait = std::min(job.m_firstWait.value_or(waited), waited);
    Placement& placement = job.m_placements[std::string(line.get("task"))];
    if (line.m_at >= placement.m_at) {
        placement = {line.m_at, std::string(line.get("host"))};
    }
}

WasteReport WasteTrace::tell(std::span<const JobTimeline> timelines) const {
    Results results;
    for (const JobTimeline& timeline : timelines) {
        results[timeline.m_id] = getResult(timeline);
    }
    WasteReport report;
    addWork(report, results);
    addPreemptions(report, results);
    addUrgentJobs(report, timelines);
    return report;
}

bool WasteTrace::Run::isDone() const {
    return m_outcome == toText(WorkOutcome::DONE);
}

void WasteTrace::addWork(WasteReport& report, const Results& results) const {
    for (const auto& [key, run] : m_runs) {
        (run.isKept() ? report.m_kept : report.m_wasted[run.m_outcome]) += run.m_coreSeconds;
        const auto result = results.find(getJob(run.m_task));
        const bool isInVain = result != results.end() && (result->second == JobResult::FAILED ||
                                                          result->second == JobResult::CANCELLED);
        report.m_keptInVain += run.isKept() && isInVain ? run.m_coreSeconds : 0;
    }
}

void WasteTrace::addPreemptions(WasteReport& report, const Results& results) const {
    for (const auto& [key, stop] : m_preemptions) {
        PreemptedRun preempted;
        preempted.m_task = stop.m_task;
        preempted.m_priority = stop.m_priority;
        preempted.m_preemptor = stop.m_preemptor;
        const auto result = results.find(stop.m_preemptor);
        if (result != results.end()) {
            preempted.m_preemptorResult = result->second;
        }
        const auto run = m_runs.find(key);
        if (run != m_runs.end()) {
            preempted.m_isKept = run->second.isKept();
            preempted.m_coreSeconds = run->second.m_coreSeconds;
        }
        report.m_preemptions.push_back(std::move(preempted));
    }
}

void WasteTrace::addUrgentJobs(WasteReport& report, std::span<const JobTimeline> timelines) const {
    HostRunTimes runTimes;
    std::map<std::string_view, std::set<std::string>> causes;
    for (const auto& [key, run] : m_runs) {
        if (!run.isKept()) {
            causes[getJob(run.m_task)].insert(run.m_outcome);
        } else if (run.isDone() && run.m_isComparable) {
            runTimes.add(run.m_host, getStep(run.m_task), run.m_runTime);
        }
    }
    const auto slowness = runTimes.getSlowness();
    for (const JobTimeline& timeline : timelines) {
        if (timeline.m_priority != URGENT_PRIORITY || !timeline.m_acceptedAt.has_value()) {
            continue;
        }
        UrgentJob job;
        job.m_id = timeline.m_id;
        job.m_result = getResult(timeline);
        job.m_wasteCauses = causes[timeline.m_id];
        const auto found = m_jobs.find(timeline.m_id);
        if (found != m_jobs.end()) {
            job.m_firstWait = found->second.m_firstWait.value_or(Millis(0));
            for (const auto& [task, placement] : found->second.m_placements) {
                const auto host = slowness.find(placement.m_host);
                if (host != slowness.end() && host->second > job.m_slowness) {
                    job.m_slowestHost = host->first;
                    job.m_slowness = host->second;
                }
            }
        }
        report.m_urgentJobs.push_back(std::move(job));
    }
}

}  // namespace pierbank
