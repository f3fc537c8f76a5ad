// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_FAKERECORDSTORE_H
#define PIERBANK_TEST_SUPPORT_FAKERECORDSTORE_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank::testing {

/** What all processes of a test share: the platform's store, with its troubles. */
class FakeStoreState {
public:
    explicit FakeStoreState(EventLoop& loop) : m_loop(loop) {}

    /** Everything is refused. */
    bool m_isDown = false;
    /** These processes get no answers. */
    std::set<std::string> m_cutOff;
    /** So many of the next transactions take effect and are not answered. */
    unsigned m_answersToLose = 0;
    /** So many of the next transactions are not answered and take effect this much later. */
    unsigned m_writesToDelay = 0;
    Millis m_writeDelay{3000};
    /** Time of each call. */
    Millis m_latency{2};
    /** So much more for a list, whose answers are large. */
    Millis m_listLatency{0};
    /**
     * The links of these processes are narrow: an answer with the value of the configuration takes
     * so much longer, one after the other, whichever call it answers, and others wait behind it.
     */
    std::set<std::string> m_narrow;
    Millis m_narrowLatency{800};
    /** Until when such answers keep a process's link busy. */
    std::map<std::string, Millis> m_busyUntil;
    /** Answers that brought a process the value of the configuration. */
    std::map<std::string, unsigned> m_values;
    /** Up to so much more, differing from call to call, so that answers overtake each other. */
    Millis m_jitter{0};
    /** Watches hear nothing. */
    bool m_isDeaf = false;
    /** Watches from before this revision are told that history is gone. */
    StoreRevision m_historyFrom = 0;
    /** So many of the next listings of a prefix get no answer. */
    struct LostLists {
        std::string m_prefix;
        unsigned m_count = 0;
    };
    LostLists m_listsToLose;
    /** Bytes of the configuration's value that answers brought, whatever they answered. */
    std::uint64_t m_bytesRead = 0;
    /** Calls of each process; a waiting watch is one. */
    std::map<std::string, std::uint64_t> m_callsOf;
    /** Transactions that took effect. */
    std::uint64_t m_commits = 0;

    StoreCommit apply(const StoreTransaction& transaction);
    /** Writes as the operator does. */
    StoreRevision put(const std::string& key, const std::string& value);
    /** Removes as the operator does. */
    void erase(const std::string& key);
    const StoreItem* find(const std::string& key) const;
    std::vector<StoreItem> list(std::string_view prefix) const;
    std::vector<StoreEvent> getChanges(std::string_view prefix, StoreRevision after) const;
    Millis nextLatency();
    StoreRevision getRevision() const { return m_revision; }

    StoreLease createLease(Millis timeToLive);
    bool renewLease(StoreLease lease);
    void endLease(StoreLease lease);
    void dropLapsed();
    void lapseAll();

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
    std::map<StoreLease, Lease> m_leases;
};

/** One process's RecordStore. */
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
    void count() { ++m_state.m_callsOf[m_process]; }
    /** Calls `answer` when the process's link has carried it, with so much of the configuration. */
    void carry(std::size_t bytes, std::function<void()> answer);
    StoreRead makeRead(const std::string& key, StoreStatus status) const;
    /** Calls `answer` after the store's latency, with how the call fares. */
    void call(std::function<void(StoreStatus)> answer);
    void watchOn(std::string prefix, StoreRevision after, Millis until,
                 std::function<void(const StoreChanges&)> done);

    FakeStoreState& m_state;
    EventLoop& m_loop;
    const std::string m_process;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_FAKERECORDSTORE_H
