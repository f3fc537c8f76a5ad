// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_JOBRUN_H
#define PIERBANK_JOB_JOBRUN_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/job/JobSpec.h"
#include "pierbank/job/RunLosses.h"
#include "pierbank/job/TaskKey.h"
#include "pierbank/job/WorkerId.h"

namespace pierbank {

/**
 * The hosts on which a task's runs failed, the last ones first. Kept as one text, names apart by
 * blanks, so that records with just one name are read as well.
 */
class FailedHosts {
public:
    static constexpr std::size_t MOST = 4;

    void add(std::string_view host);
    bool contains(std::string_view host) const;
    bool isEmpty() const noexcept { return m_text.empty(); }
    std::size_t count() const;
    std::vector<std::string_view> list() const;
    /** What the record holds. */
    std::string m_text;
};

/** Where a task stands. */
enum class TaskState : std::uint8_t {
    WAITING,
    /** A run is committed to a worker; it may have begun. */
    PLACED,
    /** Its run is being stopped; what it takes is not free before the end is known. */
    STOPPING,
    DONE,
};

constexpr TaskState lastOf(TaskState) {
    return TaskState::DONE;
}

/** One task. */
struct TaskRun {
    TaskState m_state = TaskState::WAITING;
    /** Number of the task's run, or of its last one; zero before the first. */
    std::uint32_t m_run = 0;
    /** The highest number that a run or copy of the task was given. */
    std::uint32_t m_lastRun = 0;
    WorkerId m_worker;
    /** Wall time at which the run was placed. */
    Millis m_placedAt{0};
    /** From which the next run goes on; empty for none. */
    std::string m_checkpoint;
    /** Runs that failed; for gangs only the first member's is counted. */
    std::uint32_t m_failures = 0;
    /** The last of them, so that a gang's run counts once however many members report it. */
    std::uint32_t m_failedRun = 0;
    /** The next run goes elsewhere if it can. */
    FailedHosts m_failedHosts;
    /** Runs that were lost with their workers. */
    RunLosses m_losses;

    bool occupiesWorker() const noexcept {
        return m_state == TaskState::PLACED || m_state == TaskState::STOPPING;
    }
};

/** A second run of a task, beside its own; or one that is stopped after the task was done. */
struct TaskCopy {
    std::uint32_t m_index = 0;
    std::uint32_t m_run = 0;
    WorkerId m_worker;
    Millis m_placedAt{0};
    bool m_isStopping = false;
};

/** All tasks of one step. */
struct StepRun {
    std::vector<TaskRun> m_tasks;
    std::vector<TaskCopy> m_copies;
    bool isDone() const noexcept;
    /** No task and no copy has a worker. */
    bool isIdle() const noexcept;
    bool hasCopy(std::uint32_t index) const noexcept;
};

/** One time that the steps run; jobs without times have one. */
struct OccurrenceRun {
    std::uint32_t m_number = 0;
    std::vector<StepRun> m_steps;
    bool isDone() const noexcept;
    bool isIdle() const noexcept;
};

/** One run that holds a worker: a task's own, or a copy. */
struct ActiveRun {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    WorkerId m_worker;
    Millis m_placedAt{0};
    bool m_isStopping = false;
    bool m_isCopy = false;
};

/** Where a job stands, as its caller sees it. */
enum class JobPhase : std::uint8_t { PENDING, RUNNING, SUCCEEDED, FAILED, CANCELLED };

constexpr JobPhase lastOf(JobPhase) {
    return JobPhase::CANCELLED;
}

std::string_view toText(JobPhase phase);

/** How a run ended, as its worker says. */
enum class RunEnd : std::uint8_t {
    DONE,
    FAILED,
    STOPPED,
    LAPSED,
    /** Another member of the gang ended. */
    GANG_BROKEN,
    /** The other members did not come in time. */
    GANG_INCOMPLETE,
};

constexpr RunEnd lastOf(RunEnd) {
    return RunEnd::GANG_INCOMPLETE;
}

std::string_view toText(RunEnd end);

/** One decision about a job, or what it met. */
struct JobEvent {
    /** Wall time. */
    Millis m_at{0};
    std::string m_text;
};

/** What a leader decided about a job and learnt of it. Rewritten with each decision. */
struct JobRun {
    JobPhase m_phase = JobPhase::PENDING;
    std::string m_organisation;
    std::string m_queue;
    /** Jobs with times are not counted as pending. */
    bool m_isTimed = false;
    /** A task has been placed at some time. */
    bool m_hasStarted = false;
    /** Wall time at which the phase became final; zero before. */
    Millis m_endedAt{0};
    /** Occurrences that are due and not done; those done are dropped but counted. */
    std::vector<OccurrenceRun> m_occurrences;
    std::uint32_t m_startedOccurrences = 0;
    /** Why it stands where it stands; what `why job` prints. */
    std::string m_explanation;
    /** The last decisions, the newest at the end; at most MAX_EVENTS. */
    std::vector<JobEvent> m_history;
    static constexpr std::size_t MAX_EVENTS = 6;

    /** Sets the reason, and remembers it. */
    void explain(std::string text, Millis wallNow);

    bool isFinished() const noexcept { return m_phase > JobPhase::RUNNING; }
    /** Nothing of it holds a worker. */
    bool isIdle() const noexcept;
    TaskRun* findTask(const TaskKey& key);
    const TaskRun* findTask(const TaskKey& key) const;
    OccurrenceRun* findOccurrence(std::uint32_t number);
    const OccurrenceRun* findOccurrence(std::uint32_t number) const;
    /** The run with this number, if it holds a worker. */
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

/** All runs of a job that hold workers, copies included. */
std::vector<ActiveRun> listActiveRuns(const std::string& id, const JobRun& run);

/** Those of them on one host, whatever the worker's life. */
std::vector<ActiveRun> listActiveRunsOn(std::string_view host, const std::string& id,
                                        const JobRun& run);

/** Hosts on which a task stood still, of steps in which none failed; they name what `run` holds. */
std::vector<std::string_view> listStalledHosts(const JobRun& run);

/** The number of the next run of a task; members of a gang share one. */
std::uint32_t getNextRun(const JobRecord& record, const JobRun& run, const TaskKey& key);

/** Gives a waiting task its run. */
void applyPlacement(JobRun& run, const TaskKey& key, std::uint32_t number, const WorkerId& worker,
                    Millis wallNow);

/** Begins a copy beside a task's run. @return its number. */
std::uint32_t applyCopy(JobRun& run, const TaskKey& key, const WorkerId& worker, Millis wallNow);

/** A run turns out to be on another life of its worker. */
void rebindRun(JobRun& run, const ActiveRun& held, const WorkerId& worker);

/**
 * A run that nothing was held for any more turns out to go on: a start was carried out late, by the
 * next process of a worker. From now on it is held and being stopped, so that the task is not
 * started again before its end is known. Not for gangs, whose runs are held whole or not at all.
 * @return whether it is held now.
 */
bool trackOrphanedRun(const JobRecord& record, JobRun& run, const ActiveRun& stray);

/** A run is being stopped from now on. */
void markStopping(JobRun& run, const ActiveRun& held);

/** Makes the run of a job that was just accepted. */
JobRun makeJobRun(const JobRecord& record);

/** Adds the occurrences that have become due. @return whether there were any. */
bool addDueOccurrences(const JobRecord& record, JobRun& run, Millis wallNow);

/** When the next occurrence is due; empty when none is to come. */
std::optional<Millis> getNextDue(const JobRecord& record, const JobRun& run);

/** Whether the steps that a step comes after are done. */
bool isStepReady(const JobRecord& record, const OccurrenceRun& occurrence, std::uint32_t step);

/** What applyEnd() changed. */
struct EndEffect {
    /** The end belonged to the task's last run. */
    bool m_isCurrent = false;
    /** The job was not over before. */
    bool m_endsJob = false;
    /** Runs that have to be stopped: a gang's other members, copies, all of a failed job. */
    std::vector<ActiveRun> m_toStop;
};

/** Takes the end of a run into account, and moves the job on when that was its last. */
EndEffect applyEnd(const JobRecord& record, JobRun& run, const TaskKey& key, std::uint32_t number,
                   RunEnd end, std::string_view checkpoint, Millis wallNow);

/** A run that was given up, and ended all the same. */
struct LateEnd {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    WorkerId m_worker;
};

/**
 * Takes the end of a run into account that no worker is held for any more, since its lease lapsed
 * while nothing was heard of it. One that failed counts like any other; the task is not free of it
 * because nobody heard it in time. Nothing else follows from it: the task may run elsewhere.
 */
EndEffect applyLateEnd(const JobRecord& record, JobRun& run, const LateEnd& late, RunEnd end,
                       Millis wallNow);

/** A run is known not to have begun and never to begin, or its worker is surely lost. */
EndEffect applyNotRunning(const JobRecord& record, JobRun& run, const TaskKey& key,
                          std::uint32_t number, Millis wallNow);

/** Ends a job one of whose tasks is known to crash workers; the reason names them. */
EndEffect failIfProvenFaulty(JobRun& run, const TaskKey& key, Millis wallNow);

/** Withdraws a job. @return the runs that have to be stopped. */
std::vector<ActiveRun> applyCancel(const std::string& id, JobRun& run, Millis wallNow);

}  // namespace pierbank

#endif  // PIERBANK_JOB_JOBRUN_H
