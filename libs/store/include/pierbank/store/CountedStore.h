// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_STORE_COUNTEDSTORE_H
#define PIERBANK_STORE_COUNTEDSTORE_H

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "pierbank/store/RecordStore.h"

namespace pierbank {

/** Passes every call on and counts it, by kind and by the first part of the key that it is about.
 */
class CountedStore final : public RecordStore {
public:
    /** Kind of call (`read`, `watch`, ...) and family of keys (`input`, `run`, ...). */
    using Counts = std::map<std::pair<std::string, std::string>, std::uint64_t>;

    /** The store must outlive this. */
    explicit CountedStore(RecordStore& store) : m_store(store) {}

    const Counts& getCounts() const noexcept { return m_counts; }

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
    void count(std::string_view kind, std::string_view key);

    RecordStore& m_store;
    Counts m_counts;
};

}  // namespace pierbank

#endif  // PIERBANK_STORE_COUNTEDSTORE_H
