// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_FAKERECORDSTORE_H
#define PIERBANK_TEST_SUPPORT_FAKERECORDSTORE_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank::testing {

/**
 * State of the platform's store, shared by all processes of a test: items, leases, history, and the
 * faults that the test injects. Owned by the test; each process accesses it through its own
 * FakeRecordStore.
 */
class FakeStoreState {
public:
    explicit FakeStoreState(EventLoop& loop) : m_loop(loop) {}

    /** Whether every call is refused. Leases run out meanwhile, unless goDown() lets them wait. */
    bool m_isDown = false;
    /** Refuses every call until comeBack(); leases wait, as the platform's contract allows. */
    void goDown();
    /** Ends what goDown() began. */
    void comeBack();
    /** Names of processes whose calls have no effect and end as UNKNOWN. */
    std::set<std::string> m_cutOff;
    /** Number of subsequent transactions that take effect but get no answer. */
    unsigned m_answersToLose = 0;
    /** Number of subsequent transactions that get no answer and take effect after m_writeDelay. */
    unsigned m_writesToDelay = 0;
    Millis m_writeDelay{3000};
    /** Latency of each call. */
    Millis m_latency{2};
    /** Additional latency of a list, whose answers are large. */
    Millis m_listLatency{0};
    /**
     * Names of processes behind a link of low bandwidth: each answer that contains the value of the
     * configuration occupies the link for m_lowBandwidthDelay, and later answers queue behind it.
     */
    std::set<std::string> m_lowBandwidthProcesses;
    Millis m_lowBandwidthDelay{800};
    /** Time until which queued answers occupy the link of a process. */
    std::map<std::string, Millis> m_busyUntil;
    /** Number of answers per process that contained the value of the configuration. */
    std::map<std::string, unsigned> m_configurationReads;
    /**
     * Maximum additional latency. The actual one varies from call to call and so reorders answers.
     */
    Millis m_jitter{0};
    /** Whether watches report no events. */
    bool m_dropsWatchEvents = false;
    /** Watches that start before this revision fail with HISTORY_COMPACTED. */
    StoreRevision m_historyStart = 0;
    /** The next `m_count` calls that list `m_prefix` get no answer. */
    struct LostLists {
        std::string m_prefix;
        unsigned m_count = 0;
    };
    LostLists m_listsToLose;
    /** Total size in bytes of the configuration values in answers to any call. */
    std::uint64_t m_configurationBytesRead = 0;
    /** Number of calls per process; a watch counts once however long it waits. */
    std::map<std::string, std::uint64_t> m_callCounts;
    /** Number of transactions that took effect. */
    std::uint64_t m_commits = 0;

    /**
     * Applies a transaction if its conditions hold; otherwise returns CONFLICT with the current
     * items.
     */
    StoreCommit apply(const StoreTransaction& transaction);
    /** Writes a key as the platform's operators do, without a condition. Returns the revision. */
    StoreRevision put(const std::string& key, const std::string& value);
    /** Removes a key as the platform's operators do. */
    void erase(const std::string& key);
    /** Returns the item of a key, or null; valid until the next change. */
    const StoreItem* find(const std::string& key) const;
    std::vector<StoreItem> list(std::string_view prefix) const;
    /** Returns the changes under a prefix after a revision, oldest first. */
    std::vector<StoreEvent> getChanges(std::string_view prefix, StoreRevision after) const;
    /** Returns the latency of the next call, jitter included. */
    Millis nextLatency();
    StoreRevision getRevision() const { return m_revision; }

    StoreLease createLease(Millis timeToLive);
    /** Returns false if the lease doesn't exist or has expired. */
    bool renewLease(StoreLease lease);
    /** Removes a lease with its keys; does nothing if it doesn't exist. */
    void endLease(StoreLease lease);
    /** Ends the leases that have expired and removes their keys. */
    void removeLapsedLeases();
    /** Ends all leases at once. */
    void expireAllLeases();

private:
    struct Lease {
        Millis m_timeToLive{0};
        Millis m_until{0};
        std::set<std::string> m_keys;
    };
    void write(const StorePut& put);
    void remove(const std::string& key);

    EventLoop& m_loop;
    std::uint64_t m_calls = 0;
    StoreRevision m_revision = 1;
    StoreLease m_nextLease = 1;
    std::map<std::string, StoreItem> m_items;
    std::vector<StoreEvent> m_history;
    /** When goDown() let the leases wait; empty while they run. */
    std::optional<Millis> m_leasesWaitSince;
    std::map<StoreLease, Lease> m_leases;
};

/** Access of one process to the shared FakeStoreState, with its latency and faults. */
class FakeRecordStore final : public RecordStore {
public:
    FakeRecordStore(FakeStoreState& state, EventLoop& loop, std::string process)
            : m_state(state), m_loop(loop), m_process(std::move(process)) {}

    void read(std::string_view key, std::function<void(const StoreRead&)> done) override;
    void readNewer(std::string_view key, StoreRevision revision,
                   std::function<void(const StoreRead&)> done) override;
    void list(std::string_view prefix, std::function<void(const StoreList&)> done) override;
    void watch(std::string_view prefix, StoreRevision after, Millis wait,
               std::function<void(const StoreChanges&)> done) override;
    void commit(const StoreTransaction& transaction, Millis patience,
                std::function<void(const StoreCommit&)> done) override;
    void createLease(Millis timeToLive, std::function<void(const StoreLeaseReply&)> done) override;
    void renewLease(StoreLease lease, std::function<void(const StoreLeaseReply&)> done) override;
    void endLease(StoreLease lease) override;

private:
    void countCall() { ++m_state.m_callCounts[m_process]; }
    /**
     * Calls `answer` when the process's link has transferred the answer.
     * @param bytes size of the configuration values in the answer.
     */
    void deliverAnswer(std::size_t bytes, std::function<void()> answer);
    StoreRead makeRead(const std::string& key, StoreStatus status) const;
    /** Calls `answer` after the store's latency with the status of the call. */
    void call(std::function<void(StoreStatus)> answer);
    /** Polls for changes under a prefix until there are some or `until` is reached. */
    void pollWatch(std::string prefix, StoreRevision after, Millis until,
                   std::function<void(const StoreChanges&)> done);

    FakeStoreState& m_state;
    EventLoop& m_loop;
    const std::string m_process;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_FAKERECORDSTORE_H
