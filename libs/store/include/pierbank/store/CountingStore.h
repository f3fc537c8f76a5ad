// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_STORE_COUNTINGSTORE_H
#define PIERBANK_STORE_COUNTINGSTORE_H

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "pierbank/store/RecordStore.h"

namespace pierbank {

/** Forwards every call to another store and counts the calls by kind and by family of keys. */
class CountingStore final : public RecordStore {
public:
    /**
     * Numbers of calls by kind of call (`read`, `watch`, ...) and family of keys, which is the
     * first part of the key (`input`, `run`, ...).
     */
    using Counts = std::map<std::pair<std::string, std::string>, std::uint64_t>;

    /** The store must outlive this object. */
    explicit CountingStore(RecordStore& store) : m_store(store) {}

    const Counts& getCounts() const noexcept { return m_counts; }

    void read(std::string_view key, std::function<void(const StoreRead&)> done) override;
    void readNewer(std::string_view key, StoreRevision revision,
                   std::function<void(const StoreRead&)> done) override;
    void list(std::string_view prefix, std::function<void(const StoreList&)> done) override;
    void watch(std::string_view prefix, StoreRevision after, Millis maxWait,
               std::function<void(const StoreChanges&)> done) override;
    void commit(const StoreTransaction& transaction, Millis timeout,
                std::function<void(const StoreCommit&)> done) override;
    void createLease(Millis timeToLive, std::function<void(const StoreLeaseReply&)> done) override;
    void renewLease(StoreLease lease, std::function<void(const StoreLeaseReply&)> done) override;
    void endLease(StoreLease lease) override;

private:
    void count(std::string_view kind, std::string_view key);

    RecordStore& m_store;
    Counts m_counts;
};

}  // namespace pierbank

#endif  // PIERBANK_STORE_COUNTINGSTORE_H
