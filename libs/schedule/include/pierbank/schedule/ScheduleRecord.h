// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SCHEDULE_SCHEDULERECORD_H
#define PIERBANK_SCHEDULE_SCHEDULERECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/policy/ClusterState.h"

namespace pierbank {

/** One line of the audit trail. */
struct AuditEntry {
    Millis m_at{0};
    /** The operator, or `scheduler` for decisions about jobs. */
    std::string m_who;
    /** The job, organisation, worker or endpoint concerned. */
    std::string m_subject;
    /** The statement as it was given; empty for decisions of the scheduler. */
    std::string m_statement;
    /** `accepted`, `refused`, or the verdict of a decision. */
    std::string m_outcome;
    /** From which value to which, or why. */
    std::string m_detail;
};

/** The last write of one epoch, by its random id. */
struct WriteMark {
    std::uint64_t m_epoch = 0;
    std::string m_id;
};

/**
 * All that the scheduler of a region must not forget: one value in the platform's service, written
 * by compare-and-swap only. Its epoch is raised by each leader's first write; from then on no
 * earlier leader can write.
 */
struct ScheduleRecord {
    std::uint64_t m_epoch = 0;
    /**
     * One mark an epoch, newest last: a writer finds its own after a lost answer. One is enough,
     * because a leader has one write in flight.
     */
    std::vector<WriteMark> m_writes;
    /** The longest lease that any leader granted; a new leader waits that long for the silent. */
    Millis m_longestLease{0};
    ClusterState m_state;
    /** Configuration that the state follows. */
    std::uint64_t m_configurationVersion = 0;
    /** Audit entries that are not yet in a page of their own. */
    std::vector<AuditEntry> m_auditTail;
    /** Number of the next audit page. */
    std::uint64_t m_nextAuditPage = 1;

    /** Notes the write that is about to be made in this record's epoch. */
    void mark(std::string_view id);
    bool hasMark(std::string_view id) const;
};

/** Epochs whose last write is kept; a lost answer is resolved long before as many have passed. */
inline constexpr std::size_t MAX_WRITE_MARKS = 16;

std::string encodeRecord(const ScheduleRecord& record);

/** Empty for bytes that encodeRecord() does not write. */
std::optional<ScheduleRecord> decodeRecord(std::string_view bytes);

std::string encodeAuditPage(const std::vector<AuditEntry>& entries);
std::optional<std::vector<AuditEntry>> decodeAuditPage(std::string_view bytes);

}  // namespace pierbank

#endif  // PIERBANK_SCHEDULE_SCHEDULERECORD_H
