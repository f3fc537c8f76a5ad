// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/JobCodec.h"

#include <map>

#include "pierbank/base/Archive.h"

namespace pierbank {

namespace {

/** Version number of the encoding of a step's tasks, stored in each step. */
constexpr std::uint32_t COLUMNS_FORMAT = 2;

}  // namespace

// The describe() functions are found by argument-dependent lookup and therefore have to be outside
// the unnamed namespace.

template <typename Archive>
void describe(Archive& archive, Resources& value) {
    archive(value.m_cpuMillis, value.m_memoryMb, value.m_accelerators);
}

template <typename Archive>
void describe(Archive& archive, StepSpec& value) {
    archive(value.m_tasks, value.m_need, value.m_estimate, value.m_after, value.m_savesProgress,
            value.m_isGang, value.m_adjacency, value.m_allowsRemote, value.m_requiredLabel,
            value.m_dataRack, value.m_maxPerWorker, value.m_isLongRunning, value.m_isSpeculative,
            value.m_image, value.m_latencyTarget, value.m_isFilling, value.m_maxUnavailable);
}

template <typename Archive>
void describe(Archive& archive, JobSpec& value) {
    archive(value.m_payload, value.m_steps, value.m_occurrences, value.m_firstDue,
            value.m_interval);
}

template <typename Archive>
void describe(Archive& archive, AdvicePolicy& value) {
    archive(value.m_decisionTime, value.m_decisionTimePerWorker, value.m_ticketLifetime);
}

template <typename Archive>
void describe(Archive& archive, QueuePolicy& value) {
    archive(value.m_queue, value.m_service, value.m_priority, value.m_attempts, value.m_stretch,
            value.m_slack, value.m_advice);
}

template <typename Archive>
void describe(Archive& archive, JobRecord& value) {
    archive(value.m_id, value.m_name, value.m_organisation, value.m_policy, value.m_acceptedAt,
            value.m_spec);
}

template <typename Archive>
void describe(Archive& archive, EarlyCancel& value) {
    archive(value.m_organisation, value.m_requestedAt);
}

/**
 * The requests of several organisations: the first one's fields, as earlier versions write the only
 * one, and a list of the others.
 */
struct EarlyCancelFields {
    EarlyCancel m_first;
    std::vector<EarlyCancel> m_others;
};

void describe(ArchiveWriter& archive, EarlyCancelFields& value) {
    describe(archive, value.m_first);
    if (!value.m_others.empty()) {
        archive(value.m_others);
    }
}

void describe(ArchiveReader& archive, EarlyCancelFields& value) {
    constexpr std::size_t FIELDS_OF_ONE = 2;
    describe(archive, value.m_first);
    if (archive.getSize() > FIELDS_OF_ONE) {
        archive(value.m_others);
    }
}

template <typename Archive>
void describe(Archive& archive, WorkerId& value) {
    archive(value.m_host, value.m_incarnation);
}

namespace {

/**
 * Returns the counted runs according to a record that names only the last of them. If there are
 * several, all runs up to that number are taken for counted: an attempt too many is better for the
 * caller than a job that is failed too early.
 */
CountedRuns restoreCountedRuns(std::uint32_t failures, std::uint32_t lastRun) {
    CountedRuns runs;
    if (failures == 1) {
        runs.add(lastRun);
    } else if (failures > 1) {
        runs.addAllUpTo(lastRun);
    }
    return runs;
}

}  // namespace

/** Row encoding of one task, as written by leaders of earlier versions. */
void describe(ArchiveReader& archive, TaskRun& value) {
    std::uint32_t lastFailedRun = 0;
    archive(value.m_state, value.m_run, value.m_lastRun, value.m_worker, value.m_placedAt,
            value.m_checkpoint, value.m_failures, lastFailedRun, value.m_failedHosts.m_text);
    value.m_countedRuns = restoreCountedRuns(value.m_failures, lastFailedRun);
}

template <typename Archive>
void describe(Archive& archive, RunLoss& value) {
    archive(value.m_worker, value.m_run, value.m_category, value.m_ran);
}

template <typename Archive>
void describe(Archive& archive, TaskCopy& value) {
    archive(value.m_index, value.m_run, value.m_worker, value.m_placedAt, value.m_isStopping);
}

/**
 * Fields that are empty for most tasks of a step; stored only for the tasks that have any such
 * field.
 *
 * If `m_failures` and `m_lastFailedRun` don't tell which runs were counted, a row before that of
 * the task holds them, see makeCountedRunsRow(). Earlier versions accept no further field, and use
 * the last row of a task only.
 */
struct RareTaskFields {
    std::uint32_t m_index = 0;
    std::string m_checkpoint;
    std::uint32_t m_failures = 0;
    /** Highest number of the counted runs; in records of earlier versions, the last one counted. */
    std::uint32_t m_lastFailedRun = 0;
    std::string m_failedHosts;
    std::vector<RunLoss> m_losses;
    std::vector<std::uint32_t> m_neverStarted;
};

/** Leaves out empty lists at the end; an empty list before another one is written. */
void describe(ArchiveWriter& archive, RareTaskFields& value) {
    archive(value.m_index, value.m_checkpoint, value.m_failures, value.m_lastFailedRun,
            value.m_failedHosts);
    if (!value.m_losses.empty() || !value.m_neverStarted.empty()) {
        archive(value.m_losses);
    }
    if (!value.m_neverStarted.empty()) {
        archive(value.m_neverStarted);
    }
}

void describe(ArchiveReader& archive, RareTaskFields& value) {
    constexpr std::size_t FIELDS_WITHOUT_LOSSES = 5;
    const std::size_t fields = archive.getSize();
    archive(value.m_index, value.m_checkpoint, value.m_failures, value.m_lastFailedRun,
            value.m_failedHosts);
    if (fields > FIELDS_WITHOUT_LOSSES) {
        archive(value.m_losses);
    }
    if (fields > FIELDS_WITHOUT_LOSSES + 1) {
        archive(value.m_neverStarted);
    }
}

/**
 * Column encoding of the tasks of a step, in which each worker is named once. The leader writes the
 * scheduling state of a job with each decision about the job; for jobs with hundreds of tasks, this
 * encoding takes about a quarter of the time and size of one row per task.
 */
struct TaskColumns {
    std::vector<WorkerId> m_workers;
    /** One digit per task, the value of its TaskState. */
    std::string m_states;
    std::vector<std::uint32_t> m_runs;
    std::vector<std::uint32_t> m_lastRuns;
    /** One-based index into `m_workers` for each task; 0 for none. */
    std::vector<std::uint32_t> m_workerIndexes;
    /** Time at which the first task of the step was placed, the base of `m_placedAtOffsets`. */
    Millis m_firstPlacedAt{0};
    std::vector<Millis> m_placedAtOffsets;
    std::vector<RareTaskFields> m_rare;
};

template <typename Archive>
void describe(Archive& archive, TaskColumns& value) {
    archive(value.m_workers, value.m_states, value.m_runs, value.m_lastRuns, value.m_workerIndexes,
            value.m_firstPlacedAt, value.m_placedAtOffsets, value.m_rare);
}

namespace {

/** Returns a row whose list of numbers is the bound and the listed numbers of the counted runs. */
RareTaskFields makeCountedRunsRow(std::uint32_t index, const CountedRuns& runs) {
    RareTaskFields row;
    row.m_index = index;
    row.m_neverStarted.push_back(runs.m_bound);
    row.m_neverStarted.insert(row.m_neverStarted.end(), runs.m_listed.begin(), runs.m_listed.end());
    return row;
}

/** Reads what makeCountedRunsRow() returns. */
CountedRuns readCountedRunsRow(const RareTaskFields& row) {
    CountedRuns runs;
    if (row.m_neverStarted.empty()) {
        return runs;
    }
    runs.addAllUpTo(row.m_neverStarted.front());
    for (auto listed = row.m_neverStarted.begin() + 1; listed != row.m_neverStarted.end();
         ++listed) {
        runs.add(*listed);
    }
    return runs;
}

/** Appends the rows of a task that has any rare field. */
void appendRareFields(std::uint32_t index, const TaskRun& task, std::vector<RareTaskFields>& rows) {
    const bool hasRareFields = !task.m_checkpoint.empty() || task.m_failures != 0 ||
                               !task.m_failedHosts.isEmpty() || !task.m_losses.isEmpty() ||
                               !task.m_losses.m_neverStarted.empty();
    if (!hasRareFields) {
        return;
    }
    const std::uint32_t highest = task.m_countedRuns.getHighest();
    if (restoreCountedRuns(task.m_failures, highest) != task.m_countedRuns) {
        rows.push_back(makeCountedRunsRow(index, task.m_countedRuns));
    }
    rows.push_back({index, task.m_checkpoint, task.m_failures, highest, task.m_failedHosts.m_text,
                    task.m_losses.m_list, task.m_losses.m_neverStarted});
}

/** Restores the rare fields of all tasks. @return false if the rows are inconsistent. */
bool restoreRareFields(const std::vector<RareTaskFields>& rows, std::vector<TaskRun>& tasks) {
    const RareTaskFields* previous = nullptr;
    for (const RareTaskFields& row : rows) {
        if (row.m_index >= tasks.size()) {
            return false;
        }
        const bool hasCountedRunsRow = previous != nullptr && previous->m_index == row.m_index;
        TaskRun& task = tasks[row.m_index];
        task.m_checkpoint = row.m_checkpoint;
        task.m_failures = row.m_failures;
        task.m_countedRuns = hasCountedRunsRow
                                     ? readCountedRunsRow(*previous)
                                     : restoreCountedRuns(row.m_failures, row.m_lastFailedRun);
        task.m_failedHosts.m_text = row.m_failedHosts;
        task.m_losses.m_list = row.m_losses;
        task.m_losses.m_neverStarted = row.m_neverStarted;
        previous = &row;
    }
    return true;
}

TaskColumns toColumns(const std::vector<TaskRun>& tasks) {
    TaskColumns columns;
    std::map<WorkerId, std::uint32_t> workerIndexes;
    columns.m_firstPlacedAt = tasks.empty() ? Millis(0) : tasks.front().m_placedAt;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const TaskRun& task = tasks[i];
        columns.m_states.push_back(static_cast<char>('0' + static_cast<int>(task.m_state)));
        columns.m_runs.push_back(task.m_run);
        columns.m_lastRuns.push_back(task.m_lastRun);
        std::uint32_t workerIndex = 0;
        if (task.m_worker != WorkerId()) {
            const auto next = static_cast<std::uint32_t>(columns.m_workers.size() + 1);
            const auto [known, isNew] = workerIndexes.try_emplace(task.m_worker, next);
            workerIndex = known->second;
            if (isNew) {
                columns.m_workers.push_back(task.m_worker);
            }
        }
        columns.m_workerIndexes.push_back(workerIndex);
        columns.m_placedAtOffsets.push_back(task.m_placedAt - columns.m_firstPlacedAt);
        appendRareFields(i, task, columns.m_rare);
    }
    return columns;
}

/** Restores the tasks from columns. @return false if the columns are inconsistent. */
bool fromColumns(const TaskColumns& columns, std::vector<TaskRun>& tasks) {
    const std::size_t count = columns.m_states.size();
    if (columns.m_runs.size() != count || columns.m_lastRuns.size() != count ||
        columns.m_workerIndexes.size() != count || columns.m_placedAtOffsets.size() != count) {
        return false;
    }
    tasks.assign(count, TaskRun());
    for (std::size_t i = 0; i < count; ++i) {
        TaskRun& task = tasks[i];
        const int state = columns.m_states[i] - '0';
        const std::uint32_t workerIndex = columns.m_workerIndexes[i];
        if (state < 0 || state > static_cast<int>(lastOf(TaskState())) ||
            workerIndex > columns.m_workers.size()) {
            return false;
        }
        task.m_state = static_cast<TaskState>(state);
        task.m_run = columns.m_runs[i];
        task.m_lastRun = columns.m_lastRuns[i];
        task.m_worker = workerIndex == 0 ? WorkerId() : columns.m_workers[workerIndex - 1];
        task.m_placedAt = columns.m_firstPlacedAt + columns.m_placedAtOffsets[i];
    }
    return restoreRareFields(columns.m_rare, tasks);
}

}  // namespace

void describe(ArchiveWriter& archive, StepRun& value) {
    archive(toColumns(value.m_tasks), value.m_copies, COLUMNS_FORMAT);
}

/** Also reads the row encoding, since records of earlier versions may still be in the store. */
void describe(ArchiveReader& archive, StepRun& value) {
    constexpr std::size_t ROW_FORMAT_FIELDS = 2;
    if (archive.getSize() == ROW_FORMAT_FIELDS) {
        archive(value.m_tasks, value.m_copies);
        return;
    }
    TaskColumns columns;
    std::uint32_t format = 0;
    archive(columns, value.m_copies, format);
    if (format != COLUMNS_FORMAT || !fromColumns(columns, value.m_tasks)) {
        archive.fail();
    }
}

template <typename Archive>
void describe(Archive& archive, OccurrenceRun& value) {
    archive(value.m_number, value.m_steps);
}

template <typename Archive>
void describe(Archive& archive, JobEvent& value) {
    archive(value.m_at, value.m_text);
}

template <typename Archive>
void describe(Archive& archive, JobRun& value) {
    archive(value.m_phase, value.m_organisation, value.m_queue, value.m_isTimed, value.m_hasStarted,
            value.m_endedAt, value.m_occurrences, value.m_startedOccurrences, value.m_explanation,
            value.m_history);
}

std::string encodeJobRecord(const JobRecord& record) {
    return toCbor(record);
}

std::optional<JobRecord> decodeJobRecord(std::string_view bytes) {
    return fromCbor<JobRecord>(bytes);
}

std::string encodeEarlyCancels(const EarlyCancels& cancels) {
    const std::span<const EarlyCancel> requests = cancels.list();
    if (requests.empty()) {
        return {};
    }
    return toCbor(EarlyCancelFields{requests.front(), {requests.begin() + 1, requests.end()}});
}

std::optional<EarlyCancels> decodeEarlyCancels(std::string_view bytes) {
    const auto fields = fromCbor<EarlyCancelFields>(bytes);
    if (!fields.has_value()) {
        return std::nullopt;
    }
    EarlyCancels cancels;
    cancels.add(fields->m_first);
    for (const EarlyCancel& request : fields->m_others) {
        cancels.add(request);
    }
    return cancels;
}

std::string encodeJobRun(const JobRun& run) {
    return toCbor(run);
}

std::optional<JobRun> decodeJobRun(std::string_view bytes) {
    return fromCbor<JobRun>(bytes);
}

}  // namespace pierbank
