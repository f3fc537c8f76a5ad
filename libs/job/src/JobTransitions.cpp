// SPDX-License-Identifier: Apache-2.0
// How a job's run moves on: placements, ends, stops and withdrawals.
#include <algorithm>
#include <utility>

#include "pierbank/job/JobRun.h"

namespace pierbank {

namespace {

void release(TaskRun& task) {
    task.m_state = TaskState::WAITING;
    task.m_worker = WorkerId();
}

/** A task's own run as it holds its worker. */
ActiveRun makeHeld(const TaskKey& key, const TaskRun& task) {
    return {key,  task.m_run, task.m_worker, task.m_placedAt, task.m_state == TaskState::STOPPING,
            false};
}

ActiveRun makeHeld(const TaskKey& key, const TaskCopy& copy) {
    return {key, copy.m_run, copy.m_worker, copy.m_placedAt, copy.m_isStopping, true};
}

/** Runs of a step that hold workers and are not being stopped, by a condition. */
template <typename Condition>
std::vector<ActiveRun> listGoing(const StepRun& step, const TaskKey& any, Condition condition) {
    std::vector<ActiveRun> going;
    TaskKey key = any;
    for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
        key.m_index = i;
        if (step.m_tasks[i].m_state == TaskState::PLACED) {
            going.push_back(makeHeld(key, step.m_tasks[i]));
        }
    }
    for (const TaskCopy& copy : step.m_copies) {
        key.m_index = copy.m_index;
        if (!copy.m_isStopping) {
            going.push_back(makeHeld(key, copy));
        }
    }
    std::erase_if(going, [&](const ActiveRun& held) { return !condition(held); });
    return going;
}

void markAllStopping(JobRun& run, const std::vector<ActiveRun>& held) {
    for (const ActiveRun& one : held) {
        markStopping(run, one);
    }
}

void finish(JobRun& run, JobPhase phase, std::string_view why, Millis wallNow) {
    run.m_phase = phase;
    run.m_endedAt = wallNow;
    run.explain(std::string(why), wallNow);
}

/** Occurrences that are done go once nothing of them holds a worker any more. */
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

/** The job is over: what still has workers is stopped. */
std::vector<ActiveRun> stopAll(const std::string& id, JobRun& run) {
    std::vector<ActiveRun> toStop = listActiveRuns(id, run);
    std::erase_if(toStop, [](const ActiveRun& held) { return held.m_isStopping; });
    markAllStopping(run, toStop);
    return toStop;
}

/** The task is done. What still runs of it is kept as copies that are being stopped. */
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
        // The other members end with it; their own ends may come later.
        for (TaskRun& member : step.m_tasks) {
            member.m_state = TaskState::DONE;
        }
    } else {
        markDone(step, key.m_index);
        toStop = listGoing(step, key,
                           [&](const ActiveRun& h) { return h.m_task.m_index == key.m_index; });
        markAllStopping(run, toStop);
    }
    finishIfDone(record, run, wallNow);
    return toStop;
}

/** Takes a run that ended off its worker. A copy that goes on becomes the task's run. */
void releaseRun(StepRun& step, std::uint32_t index, std::uint32_t number) {
    TaskRun& task = step.m_tasks[index];
    const auto isEnded = [&](const TaskCopy& copy) {
        return copy.m_index == index && copy.m_run == number;
    };
    if (std::erase_if(step.m_copies, isEnded) != 0) {
        return;
    }
    release(task);
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

std::optional<ActiveRun> JobRun::findActiveRun(const TaskKey& key, std::uint32_t number) const {
    const TaskRun* const task = findTask(key);
    if (task == nullptr) {
        return std::nullopt;
    }
    if (task->occupiesWorker() && task->m_run == number) {
        return makeHeld(key, *task);
    }
    for (const TaskCopy& copy : findOccurrence(key.m_occurrence)->m_steps[key.m_step].m_copies) {
        if (copy.m_index == key.m_index && copy.m_run == number) {
            return makeHeld(key, copy);
        }
    }
    return std::nullopt;
}

namespace {

/** @param isWanted tells by the worker, before anything of the run is copied. */
template <typename Condition>
std::vector<ActiveRun> listHeldBy(const std::string& id, const JobRun& run, Condition isWanted) {
    std::vector<ActiveRun> held;
    for (const OccurrenceRun& occurrence : run.m_occurrences) {
        for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
            const StepRun& stepRun = occurrence.m_steps[step];
            for (std::uint32_t i = 0; i < stepRun.m_tasks.size(); ++i) {
                const TaskRun& task = stepRun.m_tasks[i];
                if (task.occupiesWorker() && isWanted(task.m_worker)) {
                    held.push_back(makeHeld({id, occurrence.m_number, step, i}, task));
                }
            }
            for (const TaskCopy& copy : stepRun.m_copies) {
                if (isWanted(copy.m_worker)) {
                    held.push_back(makeHeld({id, occurrence.m_number, step, copy.m_index}, copy));
                }
            }
        }
    }
    return held;
}

}  // namespace

std::vector<ActiveRun> listActiveRuns(const std::string& id, const JobRun& run) {
    return listHeldBy(id, run, [](const WorkerId&) { return true; });
}

std::vector<ActiveRun> listActiveRunsOn(std::string_view host, const std::string& id,
                                        const JobRun& run) {
    return listHeldBy(id, run, [host](const WorkerId& worker) { return worker.m_host == host; });
}

std::uint32_t getNextRun(const JobRecord& record, const JobRun& run, const TaskKey& key) {
    std::uint32_t last = run.findTask(key)->m_lastRun;
    if (record.m_spec.m_steps[key.m_step].m_isGang) {
        const auto& members = run.findOccurrence(key.m_occurrence)->m_steps[key.m_step].m_tasks;
        for (const TaskRun& member : members) {
            last = std::max(last, member.m_lastRun);
        }
    }
    return last + 1;
}

void applyPlacement(JobRun& run, const TaskKey& key, std::uint32_t number, const WorkerId& worker,
                    Millis wallNow) {
    TaskRun& task = *run.findTask(key);
    task.m_state = TaskState::PLACED;
    task.m_run = number;
    task.m_lastRun = number;
    task.m_worker = worker;
    task.m_placedAt = wallNow;
    run.m_hasStarted = true;
    run.m_phase = JobPhase::RUNNING;
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

void markStopping(JobRun& run, const ActiveRun& held) {
    if (!held.m_isCopy) {
        run.findTask(held.m_task)->m_state = TaskState::STOPPING;
        return;
    }
    StepRun& step = run.findOccurrence(held.m_task.m_occurrence)->m_steps[held.m_task.m_step];
    for (TaskCopy& copy : step.m_copies) {
        if (copy.m_index == held.m_task.m_index && copy.m_run == held.m_run) {
            copy.m_isStopping = true;
        }
    }
}

namespace {

/** Where a task's failed runs are counted: of a gang at its first member. */
TaskRun& getCounter(const JobRecord& record, JobRun& run, const TaskKey& key) {
    StepRun& step = run.findOccurrence(key.m_occurrence)->m_steps[key.m_step];
    const bool isGang = record.m_spec.m_steps[key.m_step].m_isGang;
    return isGang ? step.m_tasks.front() : step.m_tasks[key.m_index];
}

/** Counts a failed run. @return whether the job has failed by it. */
bool countFailure(const JobRecord& record, JobRun& run, const ActiveRun& failed, Millis wallNow) {
    const TaskKey& key = failed.m_task;
    TaskRun& counted = getCounter(record, run, key);
    run.findTask(key)->m_failedHosts.add(failed.m_worker.m_host);
    if (counted.m_failedRun != failed.m_run) {
        counted.m_failedRun = failed.m_run;
        ++counted.m_failures;
    }
    if (counted.m_failures < record.m_policy.m_attempts || run.isFinished()) {
        return false;
    }
    finish(run, JobPhase::FAILED,
           "task " + key.toText() + " failed " + std::to_string(counted.m_failures) +
                   " times, at last on " + failed.m_worker.m_host,
           wallNow);
    return true;
}

EndEffect takeEnd(const JobRecord& record, JobRun& run, const TaskKey& key, std::uint32_t number,
                  RunEnd end, std::string_view checkpoint, Millis wallNow) {
    EndEffect effect;
    const auto held = run.findActiveRun(key, number);
    if (!held.has_value()) {
        return effect;
    }
    effect.m_isCurrent = true;
    const StepSpec& spec = record.m_spec.m_steps[key.m_step];
    StepRun& step = run.findOccurrence(key.m_occurrence)->m_steps[key.m_step];
    const bool isDoneAlready = step.m_tasks[key.m_index].m_state == TaskState::DONE;
    releaseRun(step, key.m_index, number);
    if (isDoneAlready) {
        // What was left of a task that is done.
        finishIfDone(record, run, wallNow);
        return effect;
    }
    saveCheckpoint(spec, step, key, checkpoint);
    if (end == RunEnd::DONE && !spec.m_isLasting) {
        effect.m_toStop = applyDone(record, run, key, wallNow);
        return effect;
    }
    if (end == RunEnd::FAILED && !spec.m_isLasting && countFailure(record, run, *held, wallNow)) {
        effect.m_toStop = stopAll(key.m_job, run);
        return effect;
    }
    if (spec.m_isGang) {
        effect.m_toStop =
                listGoing(step, key, [number](const ActiveRun& h) { return h.m_run == number; });
        markAllStopping(run, effect.m_toStop);
    }
    return effect;
}

}  // namespace

EndEffect applyEnd(const JobRecord& record, JobRun& run, const TaskKey& key, std::uint32_t number,
                   RunEnd end, std::string_view checkpoint, Millis wallNow) {
    const bool wasOver = run.isFinished();
    EndEffect effect = takeEnd(record, run, key, number, end, checkpoint, wallNow);
    effect.m_endsJob = !wasOver && run.isFinished();
    return effect;
}

EndEffect applyLateEnd(const JobRecord& record, JobRun& run, const LateEnd& late, RunEnd end,
                       Millis wallNow) {
    EndEffect effect;
    const TaskKey& key = late.m_task;
    const TaskRun* const task = run.findTask(key);
    const auto& steps = record.m_spec.m_steps;
    const bool isCounted = end == RunEnd::FAILED && task != nullptr && !run.isFinished() &&
                           key.m_step < steps.size() && !steps[key.m_step].m_isLasting &&
                           task->m_state != TaskState::DONE && late.m_run <= task->m_lastRun;
    if (!isCounted) {
        return effect;
    }
    const TaskRun& counter = getCounter(record, run, key);
    if (late.m_run <= counter.m_failedRun) {
        // Counted before, or another one was since: which ones were is not kept.
        return effect;
    }
    const ActiveRun failed{key, late.m_run, late.m_worker, Millis(0), false, false};
    effect.m_isCurrent = true;
    effect.m_endsJob = countFailure(record, run, failed, wallNow);
    if (effect.m_endsJob) {
        effect.m_toStop = stopAll(key.m_job, run);
    }
    return effect;
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
    // A run that goes on may still refute what is known; the next start may not.
    const bool isExhausted = task->m_state == TaskState::WAITING &&
                             task->m_losses.isExhausted(task->m_lastRun, false);
    if (!isExhausted && !task->m_losses.provesTaskFault()) {
        return effect;
    }
    finish(run, JobPhase::FAILED,
           "task " + key.toText() +
                   " crashes the workers that start it: " + task->m_losses.describe(),
           wallNow);
    effect.m_isCurrent = true;
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
