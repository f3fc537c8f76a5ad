// SPDX-License-Identifier: Apache-2.0
#include <algorithm>

#include "pierbank/base/Archive.h"
#include "pierbank/schedule/Configuration.h"
#include "pierbank/schedule/ScheduleRecord.h"

namespace pierbank {

// Found by argument-dependent lookup, so outside an unnamed namespace.

template <typename Archive>
void describe(Archive& archive, Shape& shape) {
    archive(shape.m_members, shape.m_accelerators, shape.m_adjacency);
}

template <typename Archive>
void describe(Archive& archive, Guarantee& guarantee) {
    archive(guarantee.m_shape, guarantee.m_count);
}

template <typename Archive>
void describe(Archive& archive, Explanation& why) {
    archive(why.m_verdict, why.m_constraint, why.m_remedy, why.m_subject, why.m_candidates,
            why.m_free, why.m_needed, why.m_preempted, why.m_decidedAt);
}

template <typename Archive>
void describe(Archive& archive, Worker& worker) {
    archive(worker.m_name, worker.m_failureDomain, worker.m_rack, worker.m_accelerators,
            worker.m_state, worker.m_failedJobs, worker.m_quarantines, worker.m_quarantinedUntil);
}

template <typename Archive>
void describe(Archive& archive, Organisation& organisation) {
    archive(organisation.m_name, organisation.m_guarantees, organisation.m_runTimeRatio);
}

template <typename Archive>
void describe(Archive& archive, UnitCell& cell) {
    archive(cell.m_worker, cell.m_accelerators);
}

template <typename Archive>
void describe(Archive& archive, GuaranteeUnit& unit) {
    archive(unit.m_id, unit.m_organisation, unit.m_shape, unit.m_cells);
}

template <typename Archive>
void describe(Archive& archive, Member& member) {
    archive(member.m_worker, member.m_accelerators);
}

template <typename Archive>
void describe(Archive& archive, Job& job) {
    archive(job.m_name, job.m_organisation, job.m_shape, job.m_isUrgent, job.m_declaredRunTime,
            job.m_submittedAt, job.m_queuedAt, job.m_claimedAt, job.m_startedAt, job.m_endedAt,
            job.m_progress, job.m_state, job.m_afterStop, job.m_attempt, job.m_members, job.m_unit,
            job.m_failedOn, job.m_preemptions, job.m_why);
}

template <typename Archive>
void describe(Archive& archive, ClusterState& state) {
    archive(state.m_workers, state.m_organisations, state.m_units, state.m_nextUnit,
            state.m_nextAttempt, state.m_jobs);
}

template <typename Archive>
void describe(Archive& archive, AuditEntry& entry) {
    archive(entry.m_at, entry.m_who, entry.m_subject, entry.m_statement, entry.m_outcome,
            entry.m_detail);
}

template <typename Archive>
void describe(Archive& archive, WriteMark& mark) {
    archive(mark.m_epoch, mark.m_id);
}

template <typename Archive>
void describe(Archive& archive, ScheduleRecord& record) {
    archive(record.m_epoch, record.m_writes, record.m_longestLease, record.m_state,
            record.m_configurationVersion, record.m_auditTail, record.m_nextAuditPage);
}

template <typename Archive>
void describe(Archive& archive, ConfiguredOrganisation& organisation) {
    archive(organisation.m_name, organisation.m_guarantees);
}

template <typename Archive>
void describe(Archive& archive, ConfigurationChange& change) {
    archive(change.m_id, change.m_version, change.m_at, change.m_operator, change.m_statement,
            change.m_subject, change.m_from, change.m_to);
}

template <typename Archive>
void describe(Archive& archive, Configuration& configuration) {
    archive(configuration.m_version, configuration.m_organisations,
            configuration.m_fragmentationWeight, configuration.m_workers,
            configuration.m_drainedEndpoints, configuration.m_changes);
}

namespace {

/** A worker index that points nowhere would be read out of bounds later. */
bool hasValidIndices(const ClusterState& state) {
    const auto isWorker = [&state](WorkerIndex index) {
        return index < state.m_workers.size();
    };
    for (const GuaranteeUnit& unit : state.m_units) {
        const auto hasWorker = [&](const UnitCell& c) {
            return isWorker(c.m_worker);
        };
        if (!std::all_of(unit.m_cells.begin(), unit.m_cells.end(), hasWorker)) {
            return false;
        }
    }
    for (const auto& [name, job] : state.m_jobs) {
        const auto hasWorker = [&](const Member& m) {
            return isWorker(m.m_worker);
        };
        const bool isGood = std::all_of(job.m_members.begin(), job.m_members.end(), hasWorker) &&
                            std::all_of(job.m_failedOn.begin(), job.m_failedOn.end(), isWorker) &&
                            job.m_shape.m_accelerators > 0;
        if (!isGood) {
            return false;
        }
    }
    return true;
}

}  // namespace

void ScheduleRecord::mark(std::string_view id) {
    if (m_writes.empty() || m_writes.back().m_epoch != m_epoch) {
        m_writes.push_back({m_epoch, {}});
    }
    m_writes.back().m_id = id;
    if (m_writes.size() > MAX_WRITE_MARKS) {
        m_writes.erase(m_writes.begin());
    }
}

bool ScheduleRecord::hasMark(std::string_view id) const {
    const auto hasId = [id](const WriteMark& mark) {
        return mark.m_id == id;
    };
    return std::any_of(m_writes.begin(), m_writes.end(), hasId);
}

std::string encodeRecord(const ScheduleRecord& record) {
    return toCbor(record);
}

std::optional<ScheduleRecord> decodeRecord(std::string_view bytes) {
    auto record = fromCbor<ScheduleRecord>(bytes);
    if (record.has_value() && !hasValidIndices(record->m_state)) {
        return std::nullopt;
    }
    return record;
}

std::string encodeAuditPage(const std::vector<AuditEntry>& entries) {
    return toCbor(entries);
}

std::optional<std::vector<AuditEntry>> decodeAuditPage(std::string_view bytes) {
    return fromCbor<std::vector<AuditEntry>>(bytes);
}

std::string encodeConfiguration(const Configuration& configuration) {
    return toCbor(configuration);
}

std::optional<Configuration> decodeConfiguration(std::string_view bytes) {
    return fromCbor<Configuration>(bytes);
}

ConfiguredOrganisation* Configuration::findOrganisation(std::string_view name) {
    const auto hasName = [name](const ConfiguredOrganisation& o) {
        return o.m_name == name;
    };
    const auto found = std::find_if(m_organisations.begin(), m_organisations.end(), hasName);
    return found == m_organisations.end() ? nullptr : &*found;
}

const ConfigurationChange* Configuration::findConflict(std::string_view subject,
                                                       std::uint64_t afterVersion,
                                                       std::string_view operatorName) const {
    for (auto change = m_changes.rbegin(); change != m_changes.rend(); ++change) {
        const bool isLater = change->m_version > afterVersion;
        if (isLater && change->m_subject == subject && change->m_operator != operatorName) {
            return &*change;
        }
    }
    return nullptr;
}

}  // namespace pierbank
