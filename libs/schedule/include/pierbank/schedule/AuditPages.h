// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SCHEDULE_AUDITPAGES_H
#define PIERBANK_SCHEDULE_AUDITPAGES_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pierbank/platform/KeyValueService.h"
#include "pierbank/schedule/ScheduleRecord.h"

namespace pierbank {

/**
 * The audit trail's older entries, in pages `audit/REGION/N` of the platform's service. New
 * entries are written with the decision itself, in the tail of the schedule record. When the tail
 * is long, its oldest part becomes a page; it leaves the record only after the page is there, so
 * that a crash at any point loses nothing and doubles nothing.
 */
class AuditPages {
public:
    using MovedCallback = std::function<void(bool isMoved)>;
    using ReadCallback = std::function<void(std::vector<AuditEntry>)>;

    AuditPages(KeyValueService& service, std::string region);
    ~AuditPages();
    AuditPages(const AuditPages&) = delete;
    AuditPages& operator=(const AuditPages&) = delete;

    /** Entries of a page, and pages kept; older ones are deleted. */
    static constexpr std::size_t PAGE_ENTRIES = 100;
    static constexpr std::uint64_t KEPT_PAGES = 50;

    /** Whether a committed record has a page's worth of entries to move. */
    static bool isDue(const ScheduleRecord& record);

    /**
     * Writes the oldest entries of a committed record as a page. After `isMoved` the caller
     * removes them from the next record by dropMoved().
     */
    void move(const ScheduleRecord& record, MovedCallback done);

    /** Removes the entries that the page `page` holds, if the record still has them. */
    static void dropMoved(ScheduleRecord& record, std::uint64_t page);

    /** Reads the last pages and the tail of the record, oldest entry first. */
    void read(const ScheduleRecord& record, ReadCallback done);

    bool isBusy() const noexcept { return m_isBusy; }

private:
    std::string getKey(std::uint64_t page) const;
    void deleteOld(std::uint64_t page);

    KeyValueService& m_service;
    const std::string m_region;
    bool m_isBusy = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_SCHEDULE_AUDITPAGES_H
