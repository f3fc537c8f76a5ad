// SPDX-License-Identifier: Apache-2.0
#include "pierbank/schedule/AuditPages.h"

#include <algorithm>
#include <utility>

namespace pierbank {

namespace {

/** Pages that one query reads, newest first; each is a call of the platform's service. */
constexpr std::uint64_t READ_PAGES = 4;

}  // namespace

AuditPages::AuditPages(KeyValueService& service, std::string region)
        : m_service(service), m_region(std::move(region)) {}

AuditPages::~AuditPages() {
    *m_isAlive = false;
}

std::string AuditPages::getKey(std::uint64_t page) const {
    return "audit/" + m_region + "/" + std::to_string(page);
}

bool AuditPages::isDue(const ScheduleRecord& record) {
    return record.m_auditTail.size() >= 2 * PAGE_ENTRIES;
}

void AuditPages::move(const ScheduleRecord& record, MovedCallback done) {
    m_isBusy = true;
    const std::uint64_t page = record.m_nextAuditPage;
    const std::vector<AuditEntry> entries(record.m_auditTail.begin(),
                                          record.m_auditTail.begin() + PAGE_ENTRIES);
    // The page's content follows from the record, so whoever wrote it first wrote the same.
    const auto onWritten = [this, alive = m_isAlive, page,
                            done = std::move(done)](const KeyValueReply& reply) {
        if (!*alive) {
            return;
        }
        m_isBusy = false;
        const bool isThere =
                reply.m_status == KeyValueStatus::OK || reply.m_status == KeyValueStatus::CONFLICT;
        if (isThere && page > KEPT_PAGES) {
            deleteOld(page - KEPT_PAGES);
        }
        done(isThere);
    };
    m_service.compareAndSwap(getKey(page), 0, encodeAuditPage(entries), KeyValueLease::NONE,
                             onWritten);
}

void AuditPages::dropMoved(ScheduleRecord& record, std::uint64_t page) {
    const bool isStillThere =
            record.m_nextAuditPage == page && record.m_auditTail.size() >= PAGE_ENTRIES;
    if (!isStillThere) {
        return;
    }
    record.m_auditTail.erase(record.m_auditTail.begin(), record.m_auditTail.begin() + PAGE_ENTRIES);
    ++record.m_nextAuditPage;
}

void AuditPages::deleteOld(std::uint64_t page) {
    m_service.get(getKey(page), [this, alive = m_isAlive, page](const KeyValueReply& reply) {
        if (*alive && reply.m_status == KeyValueStatus::OK) {
            m_service.erase(getKey(page), reply.m_revision, [](const KeyValueReply&) {});
        }
    });
}

void AuditPages::read(const ScheduleRecord& record, ReadCallback done) {
    struct Reading {
        std::vector<std::vector<AuditEntry>> m_pages;
        std::size_t m_missing = 0;
        ReadCallback m_done;
    };
    const auto reading = std::make_shared<Reading>();
    const std::uint64_t last = record.m_nextAuditPage;
    const std::uint64_t first = last > READ_PAGES ? last - READ_PAGES : 1;
    reading->m_missing = last - first;
    reading->m_pages.resize(reading->m_missing + 1);
    reading->m_pages.back() = record.m_auditTail;
    reading->m_done = std::move(done);
    const auto finish = [](const Reading& r) {
        std::vector<AuditEntry> all;
        for (const auto& page : r.m_pages) {
            all.insert(all.end(), page.begin(), page.end());
        }
        r.m_done(std::move(all));
    };
    if (reading->m_missing == 0) {
        finish(*reading);
        return;
    }
    for (std::uint64_t page = first; page < last; ++page) {
        const auto onPage = [reading, finish, index = page - first](const KeyValueReply& reply) {
            if (reply.m_status == KeyValueStatus::OK) {
                reading->m_pages[index] =
                        decodeAuditPage(reply.m_value).value_or(std::vector<AuditEntry>());
            }
            if (--reading->m_missing == 0) {
                finish(*reading);
            }
        };
        m_service.get(getKey(page), onPage);
    }
}

}  // namespace pierbank
