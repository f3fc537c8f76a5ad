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

/** The store's counter of changes; zero as the revision of a key means that the key is absent. */
using StoreRevision = std::uint64_t;

/** A lease of the store; keys written under it go when it lapses. Zero names none. */
using StoreLease = std::uint64_t;

/** How a call of the store ended. */
enum class StoreStatus {
    OK,
    /** A condition did not hold; surely nothing was changed. */
    CONFLICT,
    /** The key or the lease does not exist. */
    NOT_FOUND,
    /** Not reached, or refused: surely nothing was changed. */
    REFUSED,
    /** No whole answer: a write may have taken effect, or may do so seconds later. */
    UNKNOWN,
    /** A watch asked for changes that the store no longer remembers: list again. */
    HISTORY_GONE,
};

std::string_view toText(StoreStatus status);

/** One key as the store holds it. An absent key has revision zero. */
struct StoreItem {
    std::string m_key;
    std::string m_value;
    StoreRevision m_revision = 0;
};

/** A condition: the key has this revision now. */
struct StoreCondition {
    std::string m_key;
    StoreRevision m_revision = 0;
};

/** A key to write. */
struct StorePut {
    std::string m_key;
    std::string m_value;
    StoreLease m_lease = 0;
};

/** Changes that take effect together, if all conditions hold. */
struct StoreTransaction {
    std::vector<StoreCondition> m_conditions;
    std::vector<StorePut> m_puts;
    std::vector<std::string> m_removals;

    std::size_t countEntries() const noexcept {
        return m_conditions.size() + m_puts.size() + m_removals.size();
    }
};

/** Outcome of a transaction. On CONFLICT, `m_items` are the keys of the conditions as they are. */
struct StoreCommit {
    StoreStatus m_status = StoreStatus::UNKNOWN;
    StoreRevision m_revision = 0;
    std::vector<StoreItem> m_items;
    std::string m_reason;
};

/** Outcome of reading one key, as the store stood at revision `m_at`. */
struct StoreRead {
    StoreStatus m_status = StoreStatus::UNKNOWN;
    StoreItem m_item;
    StoreRevision m_at = 0;
    std::string m_reason;
};

/** Outcome of listing a prefix: not a snapshot; a watch from `m_at` tells what it missed. */
struct StoreList {
    StoreStatus m_status = StoreStatus::UNKNOWN;
    std::vector<StoreItem> m_items;
    StoreRevision m_at = 0;
    std::string m_reason;
};

/** One change seen by a watch; a removed key has `m_isDeleted`. */
struct StoreEvent {
    StoreItem m_item;
    bool m_isDeleted = false;
};

/** Outcome of one watch call; the next one continues after `m_at`. */
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
 * The platform's store, the only place where anything lasts. Every call counts towards rates that
 * all processes share. Each callback is called exactly once, on the loop, never from inside the
 * call. Reads and lists are linearizable.
 */
class RecordStore {
public:
    /** Conditions, writes and removals of one transaction together. */
    static constexpr std::size_t MAX_ENTRIES = 32;

    virtual ~RecordStore() = default;

    virtual void read(std::string_view key, std::function<void(const StoreRead&)> done) = 0;
    /**
     * The same, and the value is left out if the key still has `revision` (not zero): confirming
     * what is known costs the store and the link next to nothing, however large the value is.
     */
    virtual void readNewer(std::string_view key, StoreRevision revision,
                           std::function<void(const StoreRead&)> done) = 0;
    virtual void list(std::string_view prefix, std::function<void(const StoreList&)> done) = 0;
    /** Answers as soon as something changed after a revision, or about `wait` later with nothing.
     */
    virtual void watch(std::string_view prefix, StoreRevision after, Millis wait,
                       std::function<void(const StoreChanges&)> done) = 0;
    /** @param patience after this time without an answer the outcome is UNKNOWN. */
    virtual void commit(const StoreTransaction& transaction, Millis patience,
                        std::function<void(const StoreCommit&)> done) = 0;
    virtual void createLease(Millis timeToLive,
                             std::function<void(const StoreLeaseReply&)> done) = 0;
    virtual void renewLease(StoreLease lease, std::function<void(const StoreLeaseReply&)> done) = 0;
    /** Ends a lease; its keys go at once. Nobody is told how it went: it would lapse anyhow. */
    virtual void endLease(StoreLease lease) = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_STORE_RECORDSTORE_H
