// SPDX-License-Identifier: Apache-2.0
// Occurrences of a job, and the order of its steps.
#include <algorithm>
#include <utility>

#include "pierbank/job/JobRun.h"

namespace pierbank {

namespace {

OccurrenceRun makeOccurrence(const JobSpec& spec, std::uint32_t number) {
    OccurrenceRun occurrence;
    occurrence.m_number = number;
    for (const StepSpec& step : spec.m_steps) {
        StepRun run;
        run.m_tasks.resize(step.m_tasks);
        occurrence.m_steps.push_back(std::move(run));
    }
    return occurrence;
}

/**
 * Number of a job's tasks in unfinished occurrences from which on no further occurrence is added.
 * The run of a job is one record of the store, which holds 1 MB; 30,000 tasks take 0.66 MB.
 */
constexpr std::size_t MAX_OPEN_TASKS = 10'000;

std::size_t countOpenTasks(const JobRun& run) {
    std::size_t tasks = 0;
    for (const OccurrenceRun& occurrence : run.m_occurrences) {
        for (const StepRun& step : occurrence.m_steps) {
            tasks += step.m_tasks.size();
        }
    }
    return tasks;
}

}  // namespace

JobRun makeJobRun(const JobRecord& record) {
    JobRun run;
    run.m_organisation = record.m_organisation;
    run.m_queue = record.m_policy.m_queue;
    run.m_isTimed = record.m_spec.isTimed();
    run.m_explanation = "accepted; no decision yet";
    if (!run.m_isTimed) {
        run.m_occurrences.push_back(makeOccurrence(record.m_spec, 0));
        run.m_startedOccurrences = 1;
    }
    return run;
}

std::optional<Millis> getNextDue(const JobRecord& record, const JobRun& run) {
    const JobSpec& spec = record.m_spec;
    if (!spec.isTimed() || run.isFinished() || run.m_startedOccurrences >= spec.m_occurrences) {
        return std::nullopt;
    }
    return spec.m_firstDue + spec.m_interval * run.m_startedOccurrences;
}

bool addDueOccurrences(const JobRecord& record, JobRun& run, Millis wallNow) {
    std::size_t openTasks = countOpenTasks(run);
    bool isAdded = false;
    for (auto due = getNextDue(record, run);
         due.has_value() && *due <= wallNow && openTasks < MAX_OPEN_TASKS;
         due = getNextDue(record, run)) {
        run.m_occurrences.push_back(makeOccurrence(record.m_spec, run.m_startedOccurrences));
        ++run.m_startedOccurrences;
        for (const StepSpec& step : record.m_spec.m_steps) {
            openTasks += step.m_tasks;
        }
        isAdded = true;
    }
    return isAdded;
}

bool isStepReady(const JobRecord& record, const OccurrenceRun& occurrence, std::uint32_t step) {
    const auto& after = record.m_spec.m_steps[step].m_after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
        return earlier < occurrence.m_steps.size() && occurrence.m_steps[earlier].isDone();
    });
}

}  // namespace pierbank
