// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/JobRun.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace pierbank {

namespace {

constexpr std::array<std::string_view, 5> PHASE_NAMES = {"pending", "running", "succeeded",
                                                         "failed", "cancelled"};
constexpr std::array<std::string_view, 6> END_NAMES = {"done",   "failed", "stopped",
                                                       "lapsed", "broken", "alone"};

bool parseNumber(std::string_view text, std::uint32_t& into) {
    const auto* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, into);
    return result.ec == std::errc() && result.ptr == end;
}

/** Cuts the last `.NUMBER` off a text. */
bool cutNumber(std::string_view& text, std::uint32_t& into) {
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos || !parseNumber(text.substr(dot + 1), into)) {
        return false;
    }
    text = text.substr(0, dot);
    return true;
}

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

void release(TaskRun& task) {
    task.m_state = TaskState::WAITING;
    task.m_worker = WorkerId();
}

/** Members of a gang's run that still have workers, which the end of one has broken. */
std::vector<TaskKey> breakGang(const StepRun& step, const TaskKey& ended, std::uint32_t number) {
    std::vector<TaskKey> toStop;
    for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
        const TaskRun& member = step.m_tasks[i];
        if (i != ended.m_index && member.m_state == TaskState::PLACED && member.m_run == number) {
            TaskKey key = ended;
            key.m_index = i;
            toStop.push_back(std::move(key));
        }
    }
    return toStop;
}

void markStopping(JobRun& run, const std::vector<TaskKey>& tasks) {
    for (const TaskKey& key : tasks) {
        run.findTask(key)->m_state = TaskState::STOPPING;
    }
}

void finish(JobRun& run, JobPhase phase, std::string_view why, Millis wallNow) {
    run.m_phase = phase;
    run.m_why = why;
    run.m_endedAt = wallNow;
}

void finishIfDone(const JobRecord& record, JobRun& run, Millis wallNow) {
    std::erase_if(run.m_occurrences, [](const OccurrenceRun& o) { return o.isDone(); });
    const bool isAllStarted =
            run.m_startedOccurrences >= std::max<std::uint32_t>(1, record.m_spec.m_occurrences);
    if (run.m_occurrences.empty() && isAllStarted && !run.isOver()) {
        finish(run, JobPhase::SUCCEEDED, "every task has ended", wallNow);
    }
}

/** The job failed: what still has workers is stopped. */
std::vector<TaskKey> stopAll(const std::string& id, JobRun& run) {
    std::vector<TaskKey> toStop;
    for (OccurrenceRun& occurrence : run.m_occurrences) {
        for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
            auto& tasks = occurrence.m_steps[step].m_tasks;
            for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                if (tasks[i].m_state == TaskState::PLACED) {
                    toStop.push_back({id, occurrence.m_number, step, i});
                }
            }
        }
    }
    markStopping(run, toStop);
    return toStop;
}

void applyDone(const JobRecord& record, JobRun& run, const TaskKey& key, Millis wallNow) {
    const StepSpec& spec = record.m_spec.m_steps[key.m_step];
    StepRun& step = run.findOccurrence(key.m_occurrence)->m_steps[key.m_step];
    for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
        if (spec.m_isGang || i == key.m_index) {
            step.m_tasks[i].m_state = TaskState::DONE;
        }
    }
    finishIfDone(record, run, wallNow);
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

bool Resources::fitsInto(const Resources& room) const noexcept {
    return m_cpuMillis <= room.m_cpuMillis && m_memoryMb <= room.m_memoryMb &&
           m_accelerators <= room.m_accelerators;
}

Resources& Resources::operator+=(const Resources& other) noexcept {
    m_cpuMillis += other.m_cpuMillis;
    m_memoryMb += other.m_memoryMb;
    m_accelerators += other.m_accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& other) noexcept {
    m_cpuMillis -= std::min(m_cpuMillis, other.m_cpuMillis);
    m_memoryMb -= std::min(m_memoryMb, other.m_memoryMb);
    m_accelerators -= std::min(m_accelerators, other.m_accelerators);
    return *this;
}

bool JobSpec::isLasting() const noexcept {
    return std::any_of(m_steps.begin(), m_steps.end(),
                       [](const StepSpec& step) { return step.m_isLasting; });
}

std::string TaskKey::toText() const {
    return m_job + "." + std::to_string(m_occurrence) + "." + std::to_string(m_step) + "." +
           std::to_string(m_index);
}

std::optional<TaskKey> TaskKey::parse(std::string_view text) {
    TaskKey key;
    if (!cutNumber(text, key.m_index) || !cutNumber(text, key.m_step) ||
        !cutNumber(text, key.m_occurrence)) {
        return std::nullopt;
    }
    key.m_job = text;
    return key;
}

bool StepRun::isDone() const noexcept {
    return std::all_of(m_tasks.begin(), m_tasks.end(),
                       [](const TaskRun& task) { return task.m_state == TaskState::DONE; });
}

bool StepRun::isIdle() const noexcept {
    return std::none_of(m_tasks.begin(), m_tasks.end(),
                        [](const TaskRun& task) { return task.holdsWorker(); });
}

bool OccurrenceRun::isDone() const noexcept {
    return std::all_of(m_steps.begin(), m_steps.end(),
                       [](const StepRun& step) { return step.isDone(); });
}

std::string_view toText(JobPhase phase) {
    return PHASE_NAMES.at(static_cast<std::size_t>(phase));
}

std::string_view toText(RunEnd end) {
    return END_NAMES.at(static_cast<std::size_t>(end));
}

OccurrenceRun* JobRun::findOccurrence(std::uint32_t number) {
    for (OccurrenceRun& occurrence : m_occurrences) {
        if (occurrence.m_number == number) {
            return &occurrence;
        }
    }
    return nullptr;
}

TaskRun* JobRun::findTask(const TaskKey& key) {
    OccurrenceRun* const occurrence = findOccurrence(key.m_occurrence);
    if (occurrence == nullptr || key.m_step >= occurrence->m_steps.size() ||
        key.m_index >= occurrence->m_steps[key.m_step].m_tasks.size()) {
        return nullptr;
    }
    return &occurrence->m_steps[key.m_step].m_tasks[key.m_index];
}

JobRun makeJobRun(const JobRecord& record) {
    JobRun run;
    run.m_organisation = record.m_organisation;
    run.m_queue = record.m_policy.m_queue;
    run.m_isTimed = record.m_spec.isTimed();
    run.m_why = "accepted; no decision yet";
    if (!run.m_isTimed) {
        run.m_occurrences.push_back(makeOccurrence(record.m_spec, 0));
        run.m_startedOccurrences = 1;
    }
    return run;
}

std::optional<Millis> getNextDue(const JobRecord& record, const JobRun& run) {
    const JobSpec& spec = record.m_spec;
    if (!spec.isTimed() || run.isOver() || run.m_startedOccurrences >= spec.m_occurrences) {
        return std::nullopt;
    }
    return spec.m_firstDue + spec.m_interval * run.m_startedOccurrences;
}

bool addDueOccurrences(const JobRecord& record, JobRun& run, Millis wallNow) {
    bool isAdded = false;
    for (auto due = getNextDue(record, run); due.has_value() && *due <= wallNow;
         due = getNextDue(record, run)) {
        run.m_occurrences.push_back(makeOccurrence(record.m_spec, run.m_startedOccurrences));
        ++run.m_startedOccurrences;
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

EndEffect applyEnd(const JobRecord& record, JobRun& run, const TaskKey& key, std::uint32_t number,
                   RunEnd end, std::string_view checkpoint, Millis wallNow) {
    EndEffect effect;
    TaskRun* const task = run.findTask(key);
    if (task == nullptr || task->m_run != number || !task->holdsWorker()) {
        return effect;
    }
    effect.m_isCurrent = true;
    const StepSpec& spec = record.m_spec.m_steps[key.m_step];
    StepRun& step = run.findOccurrence(key.m_occurrence)->m_steps[key.m_step];
    const std::string host = task->m_worker.m_host;
    release(*task);
    saveCheckpoint(spec, step, key, checkpoint);
    if (end == RunEnd::DONE && !spec.m_isLasting) {
        applyDone(record, run, key, wallNow);
        return effect;
    }
    if (end == RunEnd::FAILED && !spec.m_isLasting) {
        TaskRun& counted = spec.m_isGang ? step.m_tasks.front() : *task;
        task->m_failedHost = host;
        if (counted.m_failedRun != number) {
            counted.m_failedRun = number;
            ++counted.m_failures;
        }
        if (counted.m_failures >= record.m_policy.m_attempts && !run.isOver()) {
            finish(run, JobPhase::FAILED,
                   "task " + key.toText() + " failed " + std::to_string(counted.m_failures) +
                           " times, at last on " + host,
                   wallNow);
            effect.m_toStop = stopAll(key.m_job, run);
            return effect;
        }
    }
    if (spec.m_isGang) {
        effect.m_toStop = breakGang(step, key, number);
        markStopping(run, effect.m_toStop);
    }
    return effect;
}

EndEffect applyNotRunning(const JobRecord& record, JobRun& run, const TaskKey& key,
                          std::uint32_t number) {
    return applyEnd(record, run, key, number, RunEnd::LAPSED, "", Millis(0));
}

std::vector<TaskKey> applyCancel(const std::string& id, JobRun& run, Millis wallNow) {
    if (run.isOver()) {
        return {};
    }
    finish(run, JobPhase::CANCELLED, "withdrawn by its caller", wallNow);
    return stopAll(id, run);
}

}  // namespace pierbank
