// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_JOBRUN_H
#define PIERBANK_JOB_JOBRUN_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/job/CountedRuns.h"
#include "pierbank/job/JobSpec.h"
#include "pierbank/job/RunLosses.h"
#include "pierbank/job/TaskKey.h"
#include "pierbank/job/WorkerId.h"

namespace pierbank {

/**
 * The last hosts on which runs of a task failed or stalled, the most recent first. Stored as one
 * text of names separated by blanks, so that older records, which hold a single name, can be read.
 */
class FailedHosts {
public:
    /** Maximum number of hosts; the oldest is dropped. */
    static constexpr std::size_t MAX_HOSTS = 4;

    /** Adds a host, or moves a known one to the front. */
    void add(std::string_view host);
    bool contains(std::string_view host) const;
    bool isEmpty() const noexcept { return m_text.empty(); }
    std::size_t count() const;
    /** Returns the hosts as views into `m_text`. */
    std::vector<std::string_view> list() const;
    /** Stored form. */
    std::string m_text;
};

/** State of a task. */
enum class TaskState : std::uint8_t {
    /** No run occupies a worker. */
    WAITING,
    /** A run is committed to a worker and may have started. */
    PLACED,
    /** The run is being stopped; its capacity is not free until its end is known. */
    STOPPING,
    DONE,
};

/** Returns the last enumerator, which bounds decoded values. */
constexpr TaskState lastOf(TaskState) {
    return TaskState::DONE;
}

/** State of one task. */
struct TaskRun {
    TaskState m_state = TaskState::WAITING;
    /** Number of the current run, or of the last one if none is active; zero for none. */
    std::uint32_t m_run = 0;
    /** Highest number given to a run or copy of the task. */
    std::uint32_t m_lastRun = 0;
    /** Worker of the current run; valid only if occupiesWorker(). */
    WorkerId m_worker;
    /** Wall time at which the run was placed. */
    Millis m_placedAt{0};
    /** Checkpoint from which the next run resumes; empty for none. */
    std::string m_checkpoint;
    /** Number of failed runs; for a gang, counted only at its first member. */
    std::uint32_t m_failures = 0;
    /** The runs behind `m_failures`. A failed run of a gang counts once, however many members
     * report it. */
    CountedRuns m_countedRuns;
    /** Hosts that the next run avoids if possible. */
    FailedHosts m_failedHosts;
    /** Runs that were lost with their workers. */
    RunLosses m_losses;

    /** Returns whether a run is active: placed or stopping. */
    bool occupiesWorker() const noexcept {
        return m_state == TaskState::PLACED || m_state == TaskState::STOPPING;
    }
};

/** Additional run of a task: a speculative copy, an orphaned run that is being stopped, or a run
 * that is still being stopped after the task was done. */
struct TaskCopy {
    /** Index of the task in its step. */
    std::uint32_t m_index = 0;
    std::uint32_t m_run = 0;
    WorkerId m_worker;
    /** Wall time. */
    Millis m_placedAt{0};
    bool m_isStopping = false;
};

/** State of all tasks of one step. */
struct StepRun {
    std::vector<TaskRun> m_tasks;
    std::vector<TaskCopy> m_copies;
    /** Returns whether all tasks are done. */
    bool isDone() const noexcept;
    /** Returns whether no task and no copy occupies a worker. */
    bool isIdle() const noexcept;
    /** Returns whether the task with this index has a copy. */
    bool hasCopy(std::uint32_t index) const noexcept;
};

/** One execution of all steps; a job that is not timed has exactly one. */
struct OccurrenceRun {
    std::uint32_t m_number = 0;
    std::vector<StepRun> m_steps;
    /** Returns whether all steps are done. */
    bool isDone() const noexcept;
    /** Returns whether no step occupies a worker. */
    bool isIdle() const noexcept;
};

/** Run that occupies a worker: the current run of a task, or a copy. */
struct ActiveRun {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    WorkerId m_worker;
    /** Wall time. */
    Millis m_placedAt{0};
    bool m_isStopping = false;
    bool m_isCopy = false;
};

/** State of a job as its caller sees it. The last three are final. */
enum class JobPhase : std::uint8_t { PENDING, RUNNING, SUCCEEDED, FAILED, CANCELLED };

/** Returns the last enumerator, which bounds decoded values. */
constexpr JobPhase lastOf(JobPhase) {
    return JobPhase::CANCELLED;
}

/** Returns the name of the phase in messages to callers. */
std::string_view toText(JobPhase phase);

/** How a run ended, as reported by its worker. */
enum class RunEnd : std::uint8_t {
    DONE,
    FAILED,
    STOPPED,
    /** The worker's lease lapsed, or the run never started. */
    LAPSED,
    /** Another member of the gang ended. */
    GANG_BROKEN,
    /** The other members of the gang did not start in time. */
    GANG_INCOMPLETE,
};

/** Returns the last enumerator, which bounds decoded values. */
constexpr RunEnd lastOf(RunEnd) {
    return RunEnd::GANG_INCOMPLETE;
}

/** Returns the name of the end in logs and in messages of workers. */
std::string_view toText(RunEnd end);

/** One entry of a job's history: a decision about the job, or an event. */
struct JobEvent {
    /** Wall time. */
    Millis m_at{0};
    std::string m_text;
};

/** Scheduling state of a job: the leader's decisions and what workers reported. The stored record
 * is rewritten with each decision. */
struct JobRun {
    JobPhase m_phase = JobPhase::PENDING;
    std::string m_organisation;
    std::string m_queue;
    /** The job runs several times at an interval; timed jobs are not counted as pending. */
    bool m_isTimed = false;
    /**
     * A task has begun on a worker, as far as is known: the first placement counts as a begin until
     * retractStart(). The phase is RUNNING exactly as long as this holds and the job is unfinished.
     */
    bool m_hasStarted = false;
    /** Wall time at which the phase became final; zero before. */
    Millis m_endedAt{0};
    /** Occurrences that have become due and are not finished; finished ones are removed. */
    std::vector<OccurrenceRun> m_occurrences;
    /** Number of occurrences that have become due so far, finished ones included. */
    std::uint32_t m_startedOccurrences = 0;
    /** Reason for the job's present state, printed by `why job`. */
    std::string m_explanation;
    /** Latest events, the newest at the end; at most MAX_EVENTS. */
    std::vector<JobEvent> m_history;
    static constexpr std::size_t MAX_EVENTS = 6;

    /** Sets the explanation, and appends it to the history unless it repeats the last entry. */
    void explain(std::string text, Millis wallNow);

    /** Returns whether the phase is final. */
    bool isFinished() const noexcept { return m_phase > JobPhase::RUNNING; }
    /** Returns whether no run of the job is active. */
    bool isIdle() const noexcept;
    /** Returns the task, or null if the job has no such task at present. */
    TaskRun* findTask(const TaskKey& key);
    const TaskRun* findTask(const TaskKey& key) const;
    /** Returns the occurrence, or null if it is not due yet or finished. */
    OccurrenceRun* findOccurrence(std::uint32_t number);
    const OccurrenceRun* findOccurrence(std::uint32_t number) const;
    /** Returns the run of the task with the number `run` if it is active. */
    std::optional<ActiveRun> findActiveRun(const TaskKey& key, std::uint32_t run) const;
};

/** Calls `function(key, task)` for each task; `Run` is JobRun or const JobRun. */
template <typename Run, typename Function>
void forEachTask(const std::string& id, Run& run, Function function) {
    for (auto& occurrence : run.m_occurrences) {
        for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
            auto& tasks = occurrence.m_steps[step].m_tasks;
            for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                function(TaskKey{id, occurrence.m_number, step, i}, tasks[i]);
            }
        }
    }
}

/** Returns all active runs of a job, copies included. */
std::vector<ActiveRun> listActiveRuns(const std::string& id, const JobRun& run);

/** Returns the active runs of a job on one host, on any incarnation of its worker. */
std::vector<ActiveRun> listActiveRunsOn(std::string_view host, const std::string& id,
                                        const JobRun& run);

/**
 * Returns the hosts on which tasks stalled, as views into `run`. Steps with a failed task are left
 * out, since the record does not distinguish hosts of stalled runs from hosts of failed runs.
 */
std::vector<std::string_view> listStalledHosts(const JobRun& run);

/** Returns the number of the next run of a task; the members of a gang share the number. */
std::uint32_t getNextRunNumber(const JobRecord& record, const JobRun& run, const TaskKey& key);

/** Returns whether no task of the job has ever been placed. */
bool isNeverPlaced(const JobRun& run);

/** Returns whether the record shows that a task has begun: one has ended or saved progress. */
bool hasProvenStart(const JobRun& run);

/**
 * Applies the knowledge that a task has begun on a worker.
 * @return whether the job was not known to have started.
 */
bool confirmStart(JobRun& run);

/**
 * Applies the knowledge that a placed run never began. If nothing in the record shows that a task
 * has begun, the job counts as not started until confirmStart(); further placements don't change
 * that.
 * @return whether the job counted as started.
 */
bool retractStart(JobRun& run);

/**
 * Places run `number` of a waiting task on a worker. At the first placement of the job, the job
 * counts as started without waiting for the worker's answer, which saves a write to the store.
 */
void applyPlacement(JobRun& run, const TaskKey& key, std::uint32_t number, const WorkerId& worker,
                    Millis wallNow);

/** Places a speculative copy of a running task. @return the run number of the copy. */
std::uint32_t applyCopy(JobRun& run, const TaskKey& key, const WorkerId& worker, Millis wallNow);

/** Assigns an active run to another incarnation of its worker, which was found to execute it. */
void rebindRun(JobRun& run, const ActiveRun& active, const WorkerId& worker);

/**
 * Records an orphaned run as active and being stopped, so that the task is not started again before
 * the end of that run is known. A run becomes orphaned when its start is carried out late, by the
 * next incarnation of the worker. Runs of gangs are never tracked, since all members of a gang's
 * run are active together or not at all.
 * @return whether the run is active now.
 */
bool trackOrphanedRun(const JobRecord& record, JobRun& run, const ActiveRun& orphan);

/** Marks an active run as being stopped. */
void markStopping(JobRun& run, const ActiveRun& active);

/** Creates the scheduling state of a newly accepted job. */
JobRun makeJobRun(const JobRecord& record);

/** Adds the occurrences that have become due. @return whether any was added. */
bool addDueOccurrences(const JobRecord& record, JobRun& run, Millis wallNow);

/** Returns the wall time at which the next occurrence is due; empty if there is none. */
std::optional<Millis> getNextDue(const JobRecord& record, const JobRun& run);

/** Returns whether all steps on which `step` depends are done. */
bool isStepReady(const JobRecord& record, const OccurrenceRun& occurrence, std::uint32_t step);

/** Changes made by the functions that apply the end of a run. */
struct EndEffect {
    /** The job's state was changed; false for a duplicate end or an unknown run. */
    bool m_isApplied = false;
    /** The end was counted as a failed run. */
    bool m_isCounted = false;
    /** The job finished by this end. */
    bool m_endsJob = false;
    /** Runs to stop: other members of the gang, copies, or all runs of a failed job. */
    std::vector<ActiveRun> m_toStop;
};

/**
 * Applies the end of an active run: releases its worker, counts a failure, and finishes the task or
 * the job if this was its last run. Does nothing if the run is not active.
 */
EndEffect applyEnd(const JobRecord& record, JobRun& run, const TaskKey& key, std::uint32_t number,
                   RunEnd end, std::string_view checkpoint, Millis wallNow);

/** Lost run whose end was reported after all. */
struct LateEnd {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    WorkerId m_worker;
};

/**
 * Applies the end of a run that is no longer active, because the worker's lease lapsed before the
 * end was reported. A failure counts like any other, since otherwise a late report would give the
 * task an additional attempt. No other end has an effect: the task may already run elsewhere.
 */
EndEffect applyLateEnd(const JobRecord& record, JobRun& run, const LateEnd& late, RunEnd end,
                       Millis wallNow);

/** Returns how many failed runs of a task were counted; for a gang, how many runs of the gang. */
std::uint32_t countFailedRuns(const JobRecord& record, const JobRun& run, const TaskKey& key);

/** Releases an active run that can no longer run: it never started and never will, or its worker is
 * known to be lost. */
EndEffect applyNotRunning(const JobRecord& record, JobRun& run, const TaskKey& key,
                          std::uint32_t number, Millis wallNow);

/** Fails the job if its losses prove that the task crashes workers, or use up its starts; the
 * explanation lists the losses. */
EndEffect failIfProvenFaulty(JobRun& run, const TaskKey& key, Millis wallNow);

/** Cancels a job. @return the runs that must be stopped. */
std::vector<ActiveRun> applyCancel(const std::string& id, JobRun& run, Millis wallNow);

}  // namespace pierbank

#endif  // PIERBANK_JOB_JOBRUN_H
