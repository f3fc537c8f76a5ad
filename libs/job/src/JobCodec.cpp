// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/JobCodec.h"

#include "pierbank/base/Archive.h"

namespace pierbank {

// Found by argument-dependent lookup, so outside the unnamed namespace.

template <typename Archive>
void describe(Archive& archive, Resources& value) {
    archive(value.m_cpuMillis, value.m_memoryMb, value.m_accelerators);
}

template <typename Archive>
void describe(Archive& archive, StepSpec& value) {
    archive(value.m_tasks, value.m_need, value.m_estimate, value.m_after, value.m_savesProgress,
            value.m_isGang, value.m_adjacency, value.m_mayGoFar, value.m_requiredLabel,
            value.m_dataRack, value.m_maxPerWorker, value.m_isLasting, value.m_mayCopy,
            value.m_image, value.m_targetTail, value.m_isFilling, value.m_mayMiss);
}

template <typename Archive>
void describe(Archive& archive, JobSpec& value) {
    archive(value.m_payload, value.m_steps, value.m_occurrences, value.m_firstDue,
            value.m_interval);
}

template <typename Archive>
void describe(Archive& archive, AdvicePolicy& value) {
    archive(value.m_decide, value.m_each, value.m_valid);
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
void describe(Archive& archive, WorkerId& value) {
    archive(value.m_host, value.m_life);
}

template <typename Archive>
void describe(Archive& archive, TaskRun& value) {
    archive(value.m_state, value.m_run, value.m_lastRun, value.m_worker, value.m_placedAt,
            value.m_checkpoint, value.m_failures, value.m_failedRun, value.m_failedHosts.m_text);
}

template <typename Archive>
void describe(Archive& archive, TaskCopy& value) {
    archive(value.m_index, value.m_run, value.m_worker, value.m_placedAt, value.m_isStopping);
}

template <typename Archive>
void describe(Archive& archive, StepRun& value) {
    archive(value.m_tasks, value.m_copies);
}

template <typename Archive>
void describe(Archive& archive, OccurrenceRun& value) {
    archive(value.m_number, value.m_steps);
}

template <typename Archive>
void describe(Archive& archive, JobNote& value) {
    archive(value.m_at, value.m_text);
}

template <typename Archive>
void describe(Archive& archive, JobRun& value) {
    archive(value.m_phase, value.m_organisation, value.m_queue, value.m_isTimed, value.m_hasBegun,
            value.m_endedAt, value.m_occurrences, value.m_startedOccurrences, value.m_why,
            value.m_history);
}

std::string encodeJobRecord(const JobRecord& record) {
    return toCbor(record);
}

std::optional<JobRecord> decodeJobRecord(std::string_view bytes) {
    return fromCbor<JobRecord>(bytes);
}

std::string encodeJobRun(const JobRun& run) {
    return toCbor(run);
}

std::optional<JobRun> decodeJobRun(std::string_view bytes) {
    return fromCbor<JobRun>(bytes);
}

}  // namespace pierbank
