// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_WORKOUTCOME_H
#define PIERBANK_JOB_WORKOUTCOME_H

#include <cstdint>
#include <string_view>

namespace pierbank {

/** What became of the work of a run that ended: it counts, or the cause why it was thrown away. */
enum class WorkOutcome : std::uint8_t {
    /** The work counts: the task is done, or the run was of a lasting step. */
    DONE,
    /** The run gave way to urgent work. */
    PREEMPTED,
    /** The run had to leave a worker that leaves, or a failure domain under evacuation. */
    MIGRATED,
    /** The run was stopped because its job had failed. */
    JOB_FAILED,
    /** The run was stopped because another member of its gang had ended. */
    GANG_BROKEN,
    /** The run was lost with its worker, or its lease lapsed. */
    LOST,
    /** The run was stopped because nothing advanced on its host. */
    STALLED,
    /** The run was taken back because its failure domain is under evacuation. */
    REVOKED,
    /** The run was stopped because its job was cancelled. */
    CANCELLED,
    /** The run itself failed. */
    RUN_FAILED,
    /** Another run of the same task was done first. */
    COPY,
    /** The run was stopped by an earlier leader, or belonged to no task's present run. */
    UNKNOWN,
};

constexpr std::size_t WORK_OUTCOME_COUNT = static_cast<std::size_t>(WorkOutcome::UNKNOWN) + 1;

/** Returns the outcome's name in logs and metrics. */
std::string_view toText(WorkOutcome outcome);

}  // namespace pierbank

#endif  // PIERBANK_JOB_WORKOUTCOME_H
