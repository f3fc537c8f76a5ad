// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_STORE_RECORDSTORE_H
#define PIERBANK_STORE_RECORDSTORE_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** Value of the store's change counter. A key's revision of zero means that the key is absent. */
using StoreRevision = std::uint64_t;

/** Id of a lease; keys written under a lease are removed when the lease lapses. Zero: no lease. */
using StoreLease = std::uint64_t;

/** Outcome of a call of the store. */
enum class StoreStatus {
    OK,
    /** A condition did not hold; definitely nothing was changed. */
    CONFLICT,
    /** The key or the lease does not exist. */
    NOT_FOUND,
    /** The store was not reached, or refused the call; definitely nothing was changed. */
    REFUSED,
    /** No complete answer: a write may have taken effect, or may still do so seconds later. */
    UNKNOWN,
    /** The store no longer has the changes that a watch requested: list again. */
    HISTORY_COMPACTED,
};

std::string_view toText(StoreStatus status);

/** One key with its value and revision. An absent key has revision zero. */
struct StoreItem {
    std::string m_key;
    std::string m_value;
    StoreRevision m_revision = 0;
};

/** Condition of a transaction: the key has this revision. */
struct StoreCondition {
    std::string m_key;
    StoreRevision m_revision = 0;
};

/** Write of a key, optionally under a lease. */
struct StorePut {
    std::string m_key;
    std::string m_value;
    StoreLease m_lease = 0;
};

/** Changes that take effect atomically if all conditions hold. */
struct StoreTransaction {
    std::vector<StoreCondition> m_conditions;
    std::vector<StorePut> m_puts;
    std::vector<std::string> m_removals;

    std::size_t countEntries() const noexcept {
        return m_conditions.size() + m_puts.size() + m_removals.size();
    }
};

/** Outcome of a transaction. On CONFLICT, `m_items` has the current state of the condition keys. */
struct StoreCommit {
    StoreStatus m_status = StoreStatus::UNKNOWN;
    StoreRevision m_revision = 0;
    std::vector<StoreItem> m_items;
    std::string m_reason;
};

/** Outcome of reading one key, as of the store's revision `m_at`. */
struct StoreRead {
    StoreStatus m_status = StoreStatus::UNKNOWN;
    StoreItem m_item;
    StoreRevision m_at = 0;
    std::string m_reason;
};

/**
 * Outcome of listing a prefix. The items are not a snapshot; a watch that continues from `m_at`
 * delivers the changes that the list missed.
 */
struct StoreList {
    StoreStatus m_status = StoreStatus::UNKNOWN;
    std::vector<StoreItem> m_items;
    StoreRevision m_at = 0;
    std::string m_reason;
};

/** One change of a key. */
struct StoreEvent {
    StoreItem m_item;
    bool m_isDeleted = false;
};

/** Outcome of one watch; the next watch continues after revision `m_at`. */
struct StoreChanges {
    StoreStatus m_status = StoreStatus::UNKNOWN;
    std::vector<StoreEvent> m_events;
    StoreRevision m_at = 0;
    std::string m_reason;
};

/** Outcome of creating or renewing a lease. */
struct StoreLeaseReply {
    StoreStatus m_status = StoreStatus::UNKNOWN;
    StoreLease m_lease = 0;
    Millis m_timeToLive{0};
};

/**
 * The platform's key-value store, which contains all persistent state of the system. Every call
 * counts towards rate limits that all processes share. Each callback is called exactly once, on the
 * event loop and never from within the call. Reads and lists are linearizable.
 */
class RecordStore {
public:
    /** Maximum number of conditions, writes and removals of one transaction together. */
    static constexpr std::size_t MAX_ENTRIES = 32;

    virtual ~RecordStore() = default;

    /** Reads a key. */
    virtual void read(std::string_view key, std::function<void(const StoreRead&)> done) = 0;
    /**
     * Reads a key, but omits the value if the key still has `revision`, which must not be zero.
     * Confirming a known value then costs the store and the link very little, however large the
     * value is.
     */
    virtual void readNewer(std::string_view key, StoreRevision revision,
                           std::function<void(const StoreRead&)> done) = 0;
    /** Lists the keys with a prefix. */
    virtual void list(std::string_view prefix, std::function<void(const StoreList&)> done) = 0;
    /**
     * Watches the keys with a prefix. `done` is called as soon as there are changes after revision
     * `after`, or without events after about `maxWait`.
     */
    virtual void watch(std::string_view prefix, StoreRevision after, Millis maxWait,
                       std::function<void(const StoreChanges&)> done) = 0;
    /**
     * Runs a transaction.
     * @param timeout without an answer after this time, the outcome is UNKNOWN.
     */
    virtual void commit(const StoreTransaction& transaction, Millis timeout,
                        std::function<void(const StoreCommit&)> done) = 0;
    /** Creates a lease; the store may grant a longer time than requested. */
    virtual void createLease(Millis timeToLive,
                             std::function<void(const StoreLeaseReply&)> done) = 0;
    /** Renews a lease; NOT_FOUND if the lease has lapsed. */
    virtual void renewLease(StoreLease lease, std::function<void(const StoreLeaseReply&)> done) = 0;
    /**
     * Ends a lease and removes its keys. This call has no callback, since the lease would lapse
     * anyway.
     */
    virtual void endLease(StoreLease lease) = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_STORE_RECORDSTORE_H
