// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_OPERATORS_AUDITTRAIL_H
#define PIERBANK_OPERATORS_AUDITTRAIL_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/base/Random.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

/** Record of one change that an operator made by a statement. */
struct AuditEntry {
    /** Wall time in milliseconds since 1970. */
    Millis m_at{0};
    std::string m_operator;
    std::string m_statement;
    std::string m_outcome;
    /** Random value that makes the entry unique. Set by commit(). */
    std::string m_token;
};

/**
 * Log of who changed what and when. An entry is written to the store in the same transaction as the
 * change itself, so that no change lacks its entry. The newest MAX_ENTRIES entries are retained.
 */
class AuditTrail {
public:
    static constexpr std::size_t MAX_ENTRIES = 200;
    /** Time after which a change without a known outcome is reported as unknown. */
    static constexpr Millis COMMIT_TIMEOUT{3000};

    /** The references must outlive the trail. */
    AuditTrail(RecordStore& store, EventLoop& loop) : m_store(store), m_loop(loop) {}
    AuditTrail(const AuditTrail&) = delete;
    AuditTrail& operator=(const AuditTrail&) = delete;

    /**
     * Commits a change together with its entry. The change is refused if the existing entries can't
     * be read; `done` is not called after the trail's destruction.
     */
    void commit(StoreTransaction change, AuditEntry entry,
                std::function<void(const StoreCommit&)> done);
    /** Passes the entries to `done`, the newest first; a null pointer if they can't be read. */
    void read(std::function<void(const std::vector<AuditEntry>*)> done);

private:
    RecordStore& m_store;
    EventLoop& m_loop;
    Random m_random = Random::fromSystem();
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_OPERATORS_AUDITTRAIL_H
