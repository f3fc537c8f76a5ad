// SPDX-License-Identifier: Apache-2.0
// State transitions of a job: placements, ends, stops and cancellations.
#include <algorithm>
#include <utility>

#include "ActiveRuns.h"
#include "pierbank/job/JobRun.h"

namespace pierbank {

namespace {

void releaseWorker(TaskRun& task) {
    task.m_state = TaskState::WAITING;
    task.m_worker = WorkerId();
}

/**
 * Returns the active runs of a step that are not being stopped and fulfil the condition.
 * @param anyTask key of any task of the step.
 */
template <typename Condition>
std::vector<ActiveRun> listPlacedRuns(const StepRun& step, const TaskKey& anyTask,
                                      Condition condition) {
    std::vector<ActiveRun> placed;
    TaskKey key = anyTask;
    for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
        key.m_index = i;
        if (step.m_tasks[i].m_state == TaskState::PLACED) {
            placed.push_back(makeActiveRun(key, step.m_tasks[i]));
        }
    }
    for (const TaskCopy& copy : step.m_copies) {
        key.m_index = copy.m_index;
        if (!copy.m_isStopping) {
            placed.push_back(makeActiveRun(key, copy));
        }
    }
    std::erase_if(placed, [&](const ActiveRun& active) { return !condition(active); });
    return placed;
}

void markAllStopping(JobRun& run, const std::vector<ActiveRun>& activeRuns) {
    for (const ActiveRun& activeRun : activeRuns) {
        markStopping(run, activeRun);
    }
}

void finish(JobRun& run, JobPhase phase, std::string_view reason, Millis wallNow) {
    run.m_phase = phase;
    run.m_endedAt = wallNow;
    run.explain(std::string(reason), wallNow);
}

/** Removes occurrences that are done and have no active runs, and finishes the job after its last
 * occurrence. */
void finishIfDone(const JobRecord& record, JobRun& run, Millis wallNow) {
    const bool isAllStarted =
            run.m_startedOccurrences >= std::max<std::uint32_t>(1, record.m_spec.m_occurrences);
    const bool isAllDone = std::all_of(run.m_occurrences.begin(), run.m_occurrences.end(),
                                       [](const OccurrenceRun& o) { return o.isDone(); });
    std::erase_if(run.m_occurrences,
                  [](const OccurrenceRun& o) { return o.isDone() && o.isIdle(); });
    if (isAllDone && isAllStarted && !run.isFinished()) {
        finish(run, JobPhase::SUCCEEDED, "every task has ended", wallNow);
    }
}

/** Marks all active runs of a finished job as being stopped, and returns them. */
std::vector<ActiveRun> stopAll(const std::string& id, JobRun& run) {
    std::vector<ActiveRun> toStop = listActiveRuns(id, run);
    std::erase_if(toStop, [](const ActiveRun& active) { return active.m_isStopping; });
    markAllStopping(run, toStop);
    return toStop;
}

/** Marks a task as done. If its current run is still active, the run becomes a copy, so that its
 * worker stays occupied until the run has stopped. */
void markDone(StepRun& step, std::uint32_t index) {
    TaskRun& task = step.m_tasks[index];
    if (task.occupiesWorker()) {
        step.m_copies.push_back({index, task.m_run, task.m_worker, task.m_placedAt,
                                 task.m_state == TaskState::STOPPING});
        task.m_worker = WorkerId();
    }
    task.m_state = TaskState::DONE;
}

std::vector<ActiveRun> applyDone(const JobRecord& record, JobRun& run, const TaskKey& key,
                                 Millis wallNow) {
    const StepSpec& spec = record.m_spec.m_steps[key.m_step];
    StepRun& step = run.findOccurrence(key.m_occurrence)->m_steps[key.m_step];
    std::vector<ActiveRun> toStop;
    if (spec.m_isGang) {
        // The other members of the gang are done as well; the reports of their ends may arrive
        // later.
        for (TaskRun& member : step.m_tasks) {
            member.m_state = TaskState::DONE;
        }
    } else {
        markDone(step, key.m_index);
        toStop = listPlacedRuns(step, key, [&](const ActiveRun& candidate) {
            return candidate.m_task.m_index == key.m_index;
        });
        markAllStopping(run, toStop);
    }
    finishIfDone(record, run, wallNow);
    return toStop;
}

/** Releases the worker of a run that ended. If that was the task's current run and a copy remains,
 * the copy becomes the current run. */
void releaseRun(StepRun& step, std::uint32_t index, std::uint32_t number) {
    TaskRun& task = step.m_tasks[index];
    const auto isEnded = [&](const TaskCopy& copy) {
        return copy.m_index == index && copy.m_run == number;
    };
    if (std::erase_if(step.m_copies, isEnded) != 0) {
        return;
    }
    releaseWorker(task);
    const auto next = std::find_if(step.m_copies.begin(), step.m_copies.end(),
                                   [&](const TaskCopy& copy) { return copy.m_index == index; });
    if (next == step.m_copies.end()) {
        return;
    }
    task.m_state = next->m_isStopping ? TaskState::STOPPING : TaskState::PLACED;
    task.m_run = next->m_run;
    task.m_worker = next->m_worker;
    task.m_placedAt = next->m_placedAt;
    step.m_copies.erase(next);
}

void saveCheckpoint(const StepSpec& spec, StepRun& step, const TaskKey& key,
                    std::string_view checkpoint) {
    if (checkpoint.empty()) {
        return;
    }
    for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
        if (spec.m_isGang || i == key.m_index) {
            step.m_tasks[i].m_checkpoint = checkpoint;
        }
    }
}

}  // namespace

std::uint32_t getNextRunNumber(const JobRecord& record, const JobRun& run, const TaskKey& key) {
    std::uint32_t last = run.findTask(key)->m_lastRun;
    if (record.m_spec.m_steps[key.m_step].m_isGang) {
        const auto& members = run.findOccurrence(key.m_occurrence)->m_steps[key.m_step].m_tasks;
        for (const TaskRun& member : members) {
            last = std::max(last, member.m_lastRun);
        }
    }
    return last + 1;
}

namespace {

/** Returns whether the condition holds for any task of any occurrence. */
template <typename Condition>
bool hasTaskThat(const JobRun& run, Condition condition) {
    return std::any_of(
            run.m_occurrences.begin(), run.m_occurrences.end(), [&](const OccurrenceRun& o) {
                return std::any_of(o.m_steps.begin(), o.m_steps.end(), [&](const StepRun& step) {
                    return std::any_of(step.m_tasks.begin(), step.m_tasks.end(), condition);
                });
            });
}

}  // namespace

bool isNeverPlaced(const JobRun& run) {
    return !hasTaskThat(run, [](const TaskRun& task) { return task.m_lastRun != 0; });
}

bool hasProvenStart(const JobRun& run) {
    const bool hasFinishedOccurrence = run.m_startedOccurrences > run.m_occurrences.size();
    return hasFinishedOccurrence || hasTaskThat(run, [](const TaskRun& task) {
               return task.m_state == TaskState::DONE || task.m_failures != 0 ||
                      !task.m_checkpoint.empty();
           });
}

bool confirmStart(JobRun& run) {
    if (run.m_hasStarted || run.isFinished()) {
        return false;
    }
    run.m_hasStarted = true;
    run.m_phase = JobPhase::RUNNING;
    return true;
}

bool retractStart(JobRun& run) {
    if (!run.m_hasStarted || run.isFinished() || hasProvenStart(run)) {
        return false;
    }
    run.m_hasStarted = false;
    run.m_phase = JobPhase::PENDING;
    return true;
}

void applyPlacement(JobRun& run, const TaskKey& key, std::uint32_t number, const WorkerId& worker,
                    Millis wallNow) {
    if (!run.m_hasStarted && isNeverPlaced(run)) {
        confirmStart(run);
    }
    TaskRun& task = *run.findTask(key);
    task.m_state = TaskState::PLACED;
    task.m_run = number;
    task.m_lastRun = number;
    task.m_worker = worker;
    task.m_placedAt = wallNow;
    run.explain("running: placed on " + worker.m_host, wallNow);
}

std::uint32_t applyCopy(JobRun& run, const TaskKey& key, const WorkerId& worker, Millis wallNow) {
    TaskRun& task = *run.findTask(key);
    ++task.m_lastRun;
    run.findOccurrence(key.m_occurrence)
            ->m_steps[key.m_step]
            .m_copies.push_back({key.m_index, task.m_lastRun, worker, wallNow, false});
    return task.m_lastRun;
}

void markStopping(JobRun& run, const ActiveRun& active) {
    if (!active.m_isCopy) {
        run.findTask(active.m_task)->m_state = TaskState::STOPPING;
        return;
    }
    StepRun& step = run.findOccurrence(active.m_task.m_occurrence)->m_steps[active.m_task.m_step];
    for (TaskCopy& copy : step.m_copies) {
        if (copy.m_index == active.m_task.m_index && copy.m_run == active.m_run) {
            copy.m_isStopping = true;
        }
    }
}

namespace {

/** Returns the key of the task at which failed runs are counted; for a gang, its first member. */
TaskKey getFailureCounter(const JobRecord& record, const TaskKey& key) {
    TaskKey counter = key;
    const auto& steps = record.m_spec.m_steps;
    if (key.m_step < steps.size() && steps[key.m_step].m_isGang) {
        counter.m_index = 0;
    }
    return counter;
}

/**
 * Counts a failed run, and sets `m_isCounted` of the effect.
 * @return whether the job failed because of it; `m_toStop` then contains all its runs.
 */
bool countFailure(const JobRecord& record, JobRun& run, const ActiveRun& failed, EndEffect& effect,
                  Millis wallNow) {
    const TaskKey& key = failed.m_task;
    TaskRun& counted = *run.findTask(getFailureCounter(record, key));
    run.findTask(key)->m_failedHosts.add(failed.m_worker.m_host);
    if (counted.m_countedRuns.add(failed.m_run)) {
        ++counted.m_failures;
        effect.m_isCounted = true;
    }
    if (counted.m_failures < record.m_policy.m_attempts || run.isFinished()) {
        return false;
    }
    finish(run, JobPhase::FAILED,
           "task " + key.toText() + " failed " + std::to_string(counted.m_failures) +
                   " times, at last on " + failed.m_worker.m_host,
           wallNow);
    effect.m_toStop = stopAll(key.m_job, run);
    return true;
}

/** Applies an end as applyEnd() does, without setting `m_endsJob`. */
EndEffect applyActiveRunEnd(const JobRecord& record, JobRun& run, const TaskKey& key,
                            std::uint32_t number, RunEnd end, std::string_view checkpoint,
                            Millis wallNow) {
    EndEffect effect;
    const auto active = run.findActiveRun(key, number);
    if (!active.has_value()) {
        return effect;
    }
    effect.m_isApplied = true;
    const StepSpec& spec = record.m_spec.m_steps[key.m_step];
    StepRun& step = run.findOccurrence(key.m_occurrence)->m_steps[key.m_step];
    const bool isDoneAlready = step.m_tasks[key.m_index].m_state == TaskState::DONE;
    releaseRun(step, key.m_index, number);
    if (isDoneAlready) {
        // The task was done already; the run that ended was a copy or was being stopped.
        finishIfDone(record, run, wallNow);
        return effect;
    }
    saveCheckpoint(spec, step, key, checkpoint);
    if (end == RunEnd::DONE && !spec.m_isLongRunning) {
        effect.m_toStop = applyDone(record, run, key, wallNow);
        return effect;
    }
    if (end == RunEnd::FAILED && !spec.m_isLongRunning &&
        countFailure(record, run, *active, effect, wallNow)) {
        return effect;
    }
    if (spec.m_isGang) {
        effect.m_toStop = listPlacedRuns(step, key, [number](const ActiveRun& candidate) {
            return candidate.m_run == number;
        });
        markAllStopping(run, effect.m_toStop);
    }
    return effect;
}

}  // namespace

EndEffect applyEnd(const JobRecord& record, JobRun& run, const TaskKey& key, std::uint32_t number,
                   RunEnd end, std::string_view checkpoint, Millis wallNow) {
    const bool wasFinished = run.isFinished();
    EndEffect effect = applyActiveRunEnd(record, run, key, number, end, checkpoint, wallNow);
    effect.m_endsJob = !wasFinished && run.isFinished();
    return effect;
}

EndEffect applyLateEnd(const JobRecord& record, JobRun& run, const LateEnd& late, RunEnd end,
                       Millis wallNow) {
    EndEffect effect;
    const TaskKey& key = late.m_task;
    const TaskRun* const task = run.findTask(key);
    const auto& steps = record.m_spec.m_steps;
    const bool isCounted = end == RunEnd::FAILED && task != nullptr && !run.isFinished() &&
                           key.m_step < steps.size() && !steps[key.m_step].m_isLongRunning &&
                           task->m_state != TaskState::DONE && late.m_run <= task->m_lastRun;
    if (!isCounted) {
        return effect;
    }
    if (run.findTask(getFailureCounter(record, key))->m_countedRuns.contains(late.m_run)) {
        return effect;
    }
    const ActiveRun failed{key, late.m_run, late.m_worker, Millis(0), false, false};
    effect.m_isApplied = true;
    effect.m_endsJob = countFailure(record, run, failed, effect, wallNow);
    return effect;
}

std::uint32_t countFailedRuns(const JobRecord& record, const JobRun& run, const TaskKey& key) {
    const TaskRun* const counter = run.findTask(getFailureCounter(record, key));
    return counter == nullptr ? 0 : counter->m_failures;
}

EndEffect applyNotRunning(const JobRecord& record, JobRun& run, const TaskKey& key,
                          std::uint32_t number, Millis wallNow) {
    return applyEnd(record, run, key, number, RunEnd::LAPSED, "", wallNow);
}

EndEffect failIfProvenFaulty(JobRun& run, const TaskKey& key, Millis wallNow) {
    EndEffect effect;
    const TaskRun* const task = run.findTask(key);
    if (task == nullptr || run.isFinished()) {
        return effect;
    }
    // The starts only count as used up while no run is active, since an active run may still refute
    // the suspicion.
    const bool isExhausted = task->m_state == TaskState::WAITING &&
                             task->m_losses.isExhausted(task->m_lastRun, false);
    if (!isExhausted && !task->m_losses.provesTaskFault()) {
        return effect;
    }
    finish(run, JobPhase::FAILED,
           "task " + key.toText() +
                   " crashes the workers that start it: " + task->m_losses.describe(),
           wallNow);
    effect.m_isApplied = true;
    effect.m_endsJob = true;
    effect.m_toStop = stopAll(key.m_job, run);
    return effect;
}

std::vector<ActiveRun> applyCancel(const std::string& id, JobRun& run, Millis wallNow) {
    if (run.isFinished()) {
        return {};
    }
    finish(run, JobPhase::CANCELLED, "withdrawn by its caller", wallNow);
    return stopAll(id, run);
}

}  // namespace pierbank
