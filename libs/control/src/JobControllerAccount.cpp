// SPDX-License-Identifier: Apache-2.0
// Accounts for the work of runs that ended, and for the stops that follow from an end.
#include <algorithm>
#include <cmath>

#include "pierbank/base/Log.h"
#include "pierbank/control/JobController.h"

namespace pierbank {

namespace {

constexpr double MILLIS_PER_SECOND = 1000.0;

/**
 * Maximum number of runs that are stopped at once and logged with a line each; of more, one line
 * has the sums. A job has hundreds of tasks, and many jobs may be cancelled at once.
 */
constexpr std::size_t MAX_STOP_LINES = 8;

double toCoreSeconds(const StepSpec& step, Millis runTime) {
    const auto millis = static_cast<double>(std::max(runTime, Millis(0)).count());
    return getCoreEquivalent(step.m_need) * millis / MILLIS_PER_SECOND;
}

/** Returns the cause of stops that follow from the end of a job, a gang's member or a copy. */
WorkOutcome getStopCause(const JobEntry& entry, const ActiveRun& stopped) {
    switch (entry.m_run.m_phase) {
        case JobPhase::FAILED:
            return WorkOutcome::JOB_FAILED;
        case JobPhase::CANCELLED:
            return WorkOutcome::CANCELLED;
        default:
            break;
    }
    const bool isGang = entry.m_record.m_spec.m_steps[stopped.m_task.m_step].m_isGang;
    return isGang ? WorkOutcome::GANG_BROKEN : WorkOutcome::COPY;
}

std::string explainStop(const JobEntry& entry, WorkOutcome cause) {
    if (cause == WorkOutcome::GANG_BROKEN) {
        return "another member of the gang ended";
    }
    if (cause == WorkOutcome::COPY) {
        return "another run of the task is done";
    }
    return "the job is over: " + entry.m_run.m_explanation;
}

/** Returns whether two runs belong to the same run of a gang. */
bool isSameGang(const ActiveRun& run, const ActiveRun& other) {
    return other.m_run == run.m_run && other.m_task.m_step == run.m_task.m_step &&
           other.m_task.m_occurrence == run.m_task.m_occurrence;
}

}  // namespace

/**
 * Determines what the work of a run counts as whose end is about to be applied. Once a member of a
 * gang is done, the other members' ends are no longer of active runs, so their work is counted with
 * the first.
 */
RunWork JobController::accountForRun(JobEntry& entry, const ActiveRun& run, RunEnd end,
                                     std::string_view checkpoint) {
    const StepSpec& step = entry.m_record.m_spec.m_steps[run.m_task.m_step];
    const TaskRun& task = *entry.m_run.findTask(run.m_task);
    RunWork work;
    work.m_outcome = getOutcome(entry, run, end);
    work.m_runTime = m_loop.wallNow() - run.m_placedAt;
    work.m_isSaved = step.m_savesProgress && !checkpoint.empty() && checkpoint != task.m_checkpoint;
    const bool endsGang = step.m_isGang && end == RunEnd::DONE;
    for (const ActiveRun& member :
         endsGang ? listActiveRuns(run.m_task.m_job, entry.m_run) : std::vector<ActiveRun>{run}) {
        if (isSameGang(run, member)) {
            work.m_coreSeconds += toCoreSeconds(step, m_loop.wallNow() - member.m_placedAt);
            entry.m_stopCauses.erase({member.m_task, member.m_run});
        }
    }
    m_statistics.m_work.add(work);
    return work;
}

/** Logs a reported end; `work` is empty for a run that is not active any more. */
void JobController::logRunEnd(const WorkerId& worker, const EndedEntry& end, const JobEntry& entry,
                              const std::optional<RunWork>& work, const EndEffect& effect) {
    const JobRecord& record = entry.m_record;
    const auto key = TaskKey::parse(end.m_task);
    const auto& steps = record.m_spec.m_steps;
    const bool isGang = key->m_step < steps.size() && steps[key->m_step].m_isGang;
    const auto kind =
            static_cast<RunEnd>(std::min(end.m_end, static_cast<std::uint32_t>(lastOf(RunEnd()))));
    logEvent(Severity::INFO, "jobs", "run-ended",
             {{"task", end.m_task},
              {"run", std::to_string(end.m_run)},
              {"host", worker.m_host},
              {"number", std::to_string(end.m_number)},
              {"how", std::string(toText(kind))},
              {"ran_ms", work.has_value() ? std::to_string(work->m_runTime.count()) : "-"},
              {"cores", std::to_string(getRoundedCores(record, *key))},
              {"gang", isGang ? "yes" : "no"},
              {"outcome", work.has_value() ? std::string(toText(work->m_outcome)) : "-"},
              {"saved", work.has_value() && work->m_isSaved ? "yes" : "no"},
              {"core_s", work.has_value() ? std::to_string(std::lround(work->m_coreSeconds)) : "-"},
              {"current", effect.m_isApplied ? "yes" : "no"},
              {"counted", effect.m_isCounted ? "yes" : "no"},
              {"failures", std::to_string(countFailedRuns(record, entry.m_run, *key))}});
}

WorkOutcome JobController::getOutcome(const JobEntry& entry, const ActiveRun& run, RunEnd end) {
    const bool isLongRunning = entry.m_record.m_spec.m_steps[run.m_task.m_step].m_isLongRunning;
    const bool isTaskDone = entry.m_run.findTask(run.m_task)->m_state == TaskState::DONE;
    const bool isUseful = !isTaskDone && !entry.m_run.isFinished();
    if (isLongRunning || (end == RunEnd::DONE && isUseful)) {
        return WorkOutcome::DONE;
    }
    const auto cause = entry.m_stopCauses.find({run.m_task, run.m_run});
    if (cause != entry.m_stopCauses.end()) {
        return cause->second;
    }
    if (isTaskDone || entry.m_run.isFinished()) {
        return isTaskDone ? WorkOutcome::COPY : getStopCause(entry, run);
    }
    switch (end) {
        case RunEnd::FAILED:
            return WorkOutcome::RUN_FAILED;
        case RunEnd::LAPSED:
            return WorkOutcome::LOST;
        case RunEnd::GANG_BROKEN:
        case RunEnd::GANG_INCOMPLETE:
            return WorkOutcome::GANG_BROKEN;
        default:
            return WorkOutcome::UNKNOWN;
    }
}

/** Logs a stop and remembers its cause for the account, until the run's end is reported. */
void JobController::recordStop(JobEntry& entry, const ActiveRun& run, WorkOutcome cause,
                               std::string_view why) {
    entry.m_stopCauses.insert_or_assign({run.m_task, run.m_run}, cause);
    const StepSpec& step = entry.m_record.m_spec.m_steps[run.m_task.m_step];
    logEvent(Severity::INFO, "jobs", "stopped",
             {{"task", run.m_task.toText()},
              {"run", std::to_string(run.m_run)},
              {"host", run.m_worker.m_host},
              {"ran_ms", std::to_string((m_loop.wallNow() - run.m_placedAt).count())},
              {"cores", std::to_string(getRoundedCores(entry.m_record, run.m_task))},
              {"priority", std::to_string(entry.m_record.m_policy.m_priority)},
              {"saves", step.m_savesProgress ? "yes" : "no"},
              {"cause", std::string(toText(cause))},
              {"why", std::string(why)}});
}

/** Records the stops that follow from the end of a job, of a gang's member or of a copy. */
void JobController::recordConsequentStops(JobEntry& entry, const std::vector<ActiveRun>& runs) {
    double coreSeconds = 0;
    for (const ActiveRun& run : runs) {
        const WorkOutcome cause = getStopCause(entry, run);
        if (runs.size() <= MAX_STOP_LINES) {
            recordStop(entry, run, cause, explainStop(entry, cause));
            continue;
        }
        entry.m_stopCauses.insert_or_assign({run.m_task, run.m_run}, cause);
        coreSeconds += toCoreSeconds(entry.m_record.m_spec.m_steps[run.m_task.m_step],
                                     m_loop.wallNow() - run.m_placedAt);
    }
    if (runs.size() > MAX_STOP_LINES) {
        const WorkOutcome cause = getStopCause(entry, runs.front());
        logEvent(Severity::INFO, "jobs", "stopped-many",
                 {{"job", entry.m_record.m_id},
                  {"runs", std::to_string(runs.size())},
                  {"core_s", std::to_string(std::lround(coreSeconds))},
                  {"priority", std::to_string(entry.m_record.m_policy.m_priority)},
                  {"cause", std::string(toText(cause))},
                  {"why", explainStop(entry, cause)}});
    }
}

}  // namespace pierbank
