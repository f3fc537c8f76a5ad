// SPDX-License-Identifier: Apache-2.0
#include "FakeRecordStore.h"

#include <algorithm>
#include <utility>

#include "pierbank/control/StoreKeys.h"

namespace pierbank::testing {

namespace {

constexpr Millis CUT_TIMEOUT{1000};
constexpr Millis WATCH_STEP{10};

/** Returns the size in bytes of the configuration's value, zero for any other item. */
std::size_t getConfigurationBytes(const StoreItem& item) {
    return item.m_key == CONFIGURATION_KEY ? item.m_value.size() : 0;
}

}  // namespace

Millis FakeStoreState::nextLatency() {
    constexpr std::uint64_t STRIDE = 37;
    const auto range = static_cast<std::uint64_t>(m_jitter.count()) + 1;
    return m_latency + Millis(static_cast<std::int64_t>(++m_calls * STRIDE % range));
}

const StoreItem* FakeStoreState::find(const std::string& key) const {
    const auto found = m_items.find(key);
    return found == m_items.end() ? nullptr : &found->second;
}

std::vector<StoreItem> FakeStoreState::list(std::string_view prefix) const {
    std::vector<StoreItem> items;
    for (const auto& [key, item] : m_items) {
        if (key.starts_with(prefix)) {
            items.push_back(item);
        }
    }
    return items;
}

std::vector<StoreEvent> FakeStoreState::getChanges(std::string_view prefix,
                                                   StoreRevision after) const {
    std::vector<StoreEvent> events;
    for (const StoreEvent& event : m_history) {
        if (event.m_item.m_revision > after && event.m_item.m_key.starts_with(prefix)) {
            events.push_back(event);
        }
    }
    return events;
}

StoreRevision FakeStoreState::put(const std::string& key, const std::string& value) {
    StoreTransaction transaction;
    transaction.m_puts = {{key, value, 0}};
    return apply(transaction).m_revision;
}

StoreCommit FakeStoreState::apply(const StoreTransaction& transaction) {
    removeLapsedLeases();
    StoreCommit commit;
    commit.m_status = StoreStatus::OK;
    for (const StoreCondition& condition : transaction.m_conditions) {
        const StoreItem* const item = find(condition.m_key);
        const StoreRevision revision = item == nullptr ? 0 : item->m_revision;
        if (revision != condition.m_revision) {
            commit.m_status = StoreStatus::CONFLICT;
        }
        commit.m_items.push_back(item == nullptr ? StoreItem{condition.m_key, "", 0} : *item);
    }
    for (const StorePut& put : transaction.m_puts) {
        if (put.m_lease != 0 && m_leases.count(put.m_lease) == 0) {
            commit.m_status = StoreStatus::NOT_FOUND;
        }
    }
    if (commit.m_status != StoreStatus::OK) {
        return commit;
    }
    commit.m_items.clear();
    if (transaction.m_puts.empty() && transaction.m_removals.empty()) {
        commit.m_revision = m_revision;
        return commit;
    }
    commit.m_revision = ++m_revision;
    ++m_commits;
    for (const StorePut& put : transaction.m_puts) {
        write(put);
    }
    for (const std::string& key : transaction.m_removals) {
        remove(key);
    }
    return commit;
}

void FakeStoreState::write(const StorePut& put) {
    const StoreItem item{put.m_key, put.m_value, m_revision};
    m_items[put.m_key] = item;
    m_history.push_back({item, false});
    if (put.m_lease != 0) {
        m_leases[put.m_lease].m_keys.insert(put.m_key);
    }
}

void FakeStoreState::erase(const std::string& key) {
    ++m_revision;
    remove(key);
}

void FakeStoreState::remove(const std::string& key) {
    if (m_items.erase(key) != 0) {
        m_history.push_back({{key, "", m_revision}, true});
    }
}

StoreLease FakeStoreState::createLease(Millis timeToLive) {
    const StoreLease lease = m_nextLease++;
    m_leases[lease] = {timeToLive, m_loop.now() + timeToLive, {}};
    return lease;
}

bool FakeStoreState::renewLease(StoreLease lease) {
    removeLapsedLeases();
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return false;
    }
    found->second.m_until = m_loop.now() + found->second.m_timeToLive;
    return true;
}

void FakeStoreState::endLease(StoreLease lease) {
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return;
    }
    ++m_revision;
    for (const std::string& key : found->second.m_keys) {
        remove(key);
    }
    m_leases.erase(found);
}

void FakeStoreState::goDown() {
    m_isDown = true;
    m_leasesWaitSince = m_loop.now();
}

void FakeStoreState::comeBack() {
    m_isDown = false;
    const auto since = std::exchange(m_leasesWaitSince, std::nullopt);
    for (auto& [lease, entry] : m_leases) {
        entry.m_until += since.has_value() ? m_loop.now() - *since : Millis(0);
    }
}

void FakeStoreState::removeLapsedLeases() {
    if (m_leasesWaitSince.has_value()) {
        return;
    }
    std::vector<StoreLease> lapsed;
    for (const auto& [lease, entry] : m_leases) {
        if (m_loop.now() >= entry.m_until) {
            lapsed.push_back(lease);
        }
    }
    for (const StoreLease lease : lapsed) {
        endLease(lease);
    }
}

void FakeStoreState::expireAllLeases() {
    while (!m_leases.empty()) {
        endLease(m_leases.begin()->first);
    }
}

void FakeRecordStore::call(std::function<void(StoreStatus)> answer) {
    m_loop.callLater(m_state.nextLatency(), [this, answer = std::move(answer)] {
        m_state.removeLapsedLeases();
        if (m_state.m_cutOff.count(m_process) != 0) {
            m_loop.callLater(CUT_TIMEOUT, [answer] { answer(StoreStatus::UNKNOWN); });
            return;
        }
        answer(m_state.m_isDown ? StoreStatus::REFUSED : StoreStatus::OK);
    });
}

void FakeRecordStore::read(std::string_view key, std::function<void(const StoreRead&)> done) {
    countCall();
    call([this, key = std::string(key), done = std::move(done)](StoreStatus status) {
        const StoreRead read = makeRead(key, status);
        deliverAnswer(getConfigurationBytes(read.m_item), [read, done] { done(read); });
    });
}

void FakeRecordStore::deliverAnswer(std::size_t bytes, std::function<void()> answer) {
    if (bytes != 0) {
        ++m_state.m_configurationReads[m_process];
        m_state.m_configurationBytesRead += bytes;
    }
    if (m_state.m_lowBandwidthProcesses.count(m_process) == 0) {
        answer();
        return;
    }
    Millis& busyUntil = m_state.m_busyUntil[m_process];
    busyUntil = std::max(busyUntil, m_loop.now());
    if (bytes != 0) {
        busyUntil += m_state.m_lowBandwidthDelay;
    }
    if (busyUntil <= m_loop.now()) {
        answer();
        return;
    }
    m_loop.callLater(busyUntil - m_loop.now(), std::move(answer));
}

void FakeRecordStore::readNewer(std::string_view key, StoreRevision revision,
                                std::function<void(const StoreRead&)> done) {
    countCall();
    call([this, key = std::string(key), revision, done = std::move(done)](StoreStatus status) {
        StoreRead read = makeRead(key, status);
        if (read.m_item.m_revision == revision) {
            read.m_item.m_value.clear();
        }
        deliverAnswer(getConfigurationBytes(read.m_item), [read, done] { done(read); });
    });
}

StoreRead FakeRecordStore::makeRead(const std::string& key, StoreStatus status) const {
    StoreRead read;
    read.m_status = status;
    if (status == StoreStatus::OK) {
        const StoreItem* const item = m_state.find(key);
        read.m_status = item == nullptr ? StoreStatus::NOT_FOUND : StoreStatus::OK;
        read.m_item = item == nullptr ? StoreItem() : *item;
        read.m_at = m_state.getRevision();
    }
    return read;
}

void FakeRecordStore::list(std::string_view prefix, std::function<void(const StoreList&)> done) {
    countCall();
    call([this, prefix = std::string(prefix), done = std::move(done)](StoreStatus status) {
        StoreList list;
        list.m_status = status;
        auto& lost = m_state.m_listsToLose;
        if (lost.m_count > 0 && prefix == lost.m_prefix) {
            --lost.m_count;
            list.m_status = StoreStatus::UNKNOWN;
            m_loop.callLater(CUT_TIMEOUT, [list, done] { done(list); });
            return;
        }
        if (status == StoreStatus::OK) {
            list.m_items = m_state.list(prefix);
            list.m_at = m_state.getRevision();
        }
        m_loop.callLater(m_state.m_listLatency, [list, done] { done(list); });
    });
}

void FakeRecordStore::watch(std::string_view prefix, StoreRevision after, Millis wait,
                            std::function<void(const StoreChanges&)> done) {
    countCall();
    pollWatch(std::string(prefix), after, m_loop.now() + wait, std::move(done));
}

void FakeRecordStore::pollWatch(std::string prefix, StoreRevision after, Millis until,
                                std::function<void(const StoreChanges&)> done) {
    call([this, prefix = std::move(prefix), after, until,
          done = std::move(done)](StoreStatus status) {
        StoreChanges changes;
        changes.m_status = status;
        changes.m_at = after;
        const bool isHistoryGone = after < m_state.m_historyStart;
        if (status == StoreStatus::OK && isHistoryGone) {
            changes.m_status = StoreStatus::HISTORY_COMPACTED;
        }
        if (changes.m_status != StoreStatus::OK) {
            done(changes);
            return;
        }
        if (!m_state.m_dropsWatchEvents) {
            changes.m_events = m_state.getChanges(prefix, after);
        }
        if (!changes.m_events.empty()) {
            changes.m_at = m_state.getRevision();
        }
        if (!changes.m_events.empty() || m_loop.now() >= until) {
            std::size_t bytes = 0;
            for (const StoreEvent& event : changes.m_events) {
                bytes += getConfigurationBytes(event.m_item);
            }
            deliverAnswer(bytes, [changes, done] { done(changes); });
            return;
        }
        m_loop.callLater(WATCH_STEP, [this, prefix, after, until, done] {
            pollWatch(prefix, after, until, done);
        });
    });
}

void FakeRecordStore::commit(const StoreTransaction& transaction, Millis patience,
                             std::function<void(const StoreCommit&)> done) {
    countCall();
    call([this, transaction, patience, done = std::move(done)](StoreStatus status) {
        StoreCommit commit;
        commit.m_status = status;
        if (status != StoreStatus::OK) {
            done(commit);
            return;
        }
        const auto loseAnswer = [this, patience, done] {
            m_loop.callLater(patience, [done] { done(StoreCommit()); });
        };
        if (m_state.m_writesToDelay > 0) {
            --m_state.m_writesToDelay;
            m_loop.callLater(m_state.m_writeDelay,
                             [this, transaction] { m_state.apply(transaction); });
            loseAnswer();
            return;
        }
        commit = m_state.apply(transaction);
        if (m_state.m_answersToLose > 0) {
            --m_state.m_answersToLose;
            loseAnswer();
            return;
        }
        std::size_t bytes = 0;
        for (const StoreItem& item : commit.m_items) {
            bytes += getConfigurationBytes(item);
        }
        deliverAnswer(bytes, [commit, done] { done(commit); });
    });
}

void FakeRecordStore::createLease(Millis timeToLive,
                                  std::function<void(const StoreLeaseReply&)> done) {
    countCall();
    call([this, timeToLive, done = std::move(done)](StoreStatus status) {
        StoreLeaseReply reply;
        reply.m_status = status;
        reply.m_timeToLive = timeToLive;
        if (status == StoreStatus::OK) {
            reply.m_lease = m_state.createLease(timeToLive);
        }
        done(reply);
    });
}

void FakeRecordStore::renewLease(StoreLease lease,
                                 std::function<void(const StoreLeaseReply&)> done) {
    countCall();
    call([this, lease, done = std::move(done)](StoreStatus status) {
        StoreLeaseReply reply;
        reply.m_status = status;
        reply.m_lease = lease;
        if (status == StoreStatus::OK && !m_state.renewLease(lease)) {
            reply.m_status = StoreStatus::NOT_FOUND;
        }
        done(reply);
    });
}

void FakeRecordStore::endLease(StoreLease lease) {
    countCall();
    call([this, lease](StoreStatus status) {
        if (status == StoreStatus::OK) {
            m_state.endLease(lease);
        }
    });
}

}  // namespace pierbank::testing
