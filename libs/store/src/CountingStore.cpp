// SPDX-License-Identifier: Apache-2.0
#include "pierbank/store/CountingStore.h"

namespace pierbank {

namespace {

std::string_view getFirstKey(const StoreTransaction& transaction) {
    if (!transaction.m_puts.empty()) {
        return transaction.m_puts.front().m_key;
    }
    if (!transaction.m_removals.empty()) {
        return transaction.m_removals.front();
    }
    return {};
}

}  // namespace

void CountingStore::count(std::string_view kind, std::string_view key) {
    ++m_counts[{std::string(kind), std::string(key.substr(0, key.find('/')))}];
}

void CountingStore::read(std::string_view key, std::function<void(const StoreRead&)> done) {
    count("read", key);
    m_store.read(key, std::move(done));
}

void CountingStore::readNewer(std::string_view key, StoreRevision revision,
                              std::function<void(const StoreRead&)> done) {
    count("confirmation", key);
    m_store.readNewer(key, revision, std::move(done));
}

void CountingStore::list(std::string_view prefix, std::function<void(const StoreList&)> done) {
    count("list", prefix);
    m_store.list(prefix, std::move(done));
}

void CountingStore::watch(std::string_view prefix, StoreRevision after, Millis maxWait,
                          std::function<void(const StoreChanges&)> done) {
    count("watch", prefix);
    m_store.watch(prefix, after, maxWait, std::move(done));
}

void CountingStore::commit(const StoreTransaction& transaction, Millis timeout,
                           std::function<void(const StoreCommit&)> done) {
    count("commit", getFirstKey(transaction));
    m_store.commit(transaction, timeout, std::move(done));
}

void CountingStore::createLease(Millis timeToLive,
                                std::function<void(const StoreLeaseReply&)> done) {
    count("lease", "leader");
    m_store.createLease(timeToLive, std::move(done));
}

void CountingStore::renewLease(StoreLease lease, std::function<void(const StoreLeaseReply&)> done) {
    count("renewal", "leader");
    m_store.renewLease(lease, std::move(done));
}

void CountingStore::endLease(StoreLease lease) {
    count("lease-end", "leader");
    m_store.endLease(lease);
}

}  // namespace pierbank
