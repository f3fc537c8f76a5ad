// SPDX-License-Identifier: Apache-2.0
#include "pierbank/operators/AuditTrail.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

#include "pierbank/base/Archive.h"
#include "pierbank/control/CommitResolver.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank {

template <typename Archive>
void describe(Archive& archive, AuditEntry& entry) {
    archive(entry.m_at, entry.m_operator, entry.m_statement, entry.m_outcome, entry.m_token);
}

namespace {

/** Pads the number with zeros: the store sorts keys as texts, so that entries stay in order. */
std::string makeKey(std::uint64_t number) {
    constexpr std::size_t DIGITS = 12;
    const std::string digits = std::to_string(number);
    return std::string(AUDIT_PREFIX) + std::string(DIGITS - std::min(DIGITS, digits.size()), '0') +
           digits;
}

std::uint64_t readNumber(std::string_view key) {
    std::uint64_t number = 0;
    const std::string_view digits = key.substr(AUDIT_PREFIX.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number;
}

}  // namespace

void AuditTrail::commit(StoreTransaction change, AuditEntry entry,
                        std::function<void(const StoreCommit&)> done) {
    entry.m_at = m_loop.wallNow();
    entry.m_token = m_random.token();
    m_store.list(AUDIT_PREFIX, [this, change = std::move(change), entry = std::move(entry),
                                done = std::move(done),
                                alive = std::weak_ptr(m_isAlive)](const StoreList& list) mutable {
        if (alive.expired()) {
            return;
        }
        if (list.m_status != StoreStatus::OK) {
            StoreCommit refused;
            refused.m_status = StoreStatus::REFUSED;
            refused.m_reason = list.m_reason;
            done(refused);
            return;
        }
        const std::string key =
                makeKey(list.m_items.empty() ? 1 : readNumber(list.m_items.back().m_key) + 1);
        const std::string value = toCbor(entry);
        change.m_conditions.push_back({key, 0});
        change.m_puts.push_back({key, value, 0});
        if (list.m_items.size() >= MAX_ENTRIES) {
            change.m_removals.push_back(list.m_items.front().m_key);
        }
        CommitRetryPolicy retryPolicy;
        retryPolicy.m_timeLimit = COMMIT_TIMEOUT;
        // After a lost answer, the keys of the change may already be deleted again, but the audit
        // entry remains. If the stored entry is this entry, the change was committed too, since
        // both are in one transaction.
        const auto finish = [key, value, done = std::move(done)](StoreCommit commit) {
            for (const StoreItem& item : commit.m_items) {
                const bool isThisEntry = item.m_key == key && item.m_value == value;
                if (commit.m_status == StoreStatus::CONFLICT && isThisEntry) {
                    commit.m_status = StoreStatus::OK;
                    commit.m_revision = item.m_revision;
                }
            }
            done(commit);
        };
        CommitResolver::run(m_store, m_loop, std::move(change), retryPolicy, m_isAlive, finish);
    });
}

void AuditTrail::read(std::function<void(const std::vector<AuditEntry>*)> done) {
    m_store.list(AUDIT_PREFIX, [done = std::move(done)](const StoreList& list) {
        if (list.m_status != StoreStatus::OK) {
            done(nullptr);
            return;
        }
        std::vector<AuditEntry> entries;
        for (auto item = list.m_items.rbegin(); item != list.m_items.rend(); ++item) {
            if (auto entry = fromCbor<AuditEntry>(item->m_value)) {
                entries.push_back(*std::move(entry));
            }
        }
        done(&entries);
    });
}

}  // namespace pierbank
