// SPDX-License-Identifier: Apache-2.0
#include "KeyValueStore.h"

#include <utility>

namespace pierbank::standin {

namespace {

KeyValueReply makeReply(KeyValueStatus status, Revision revision = 0, std::string value = {}) {
    KeyValueReply reply;
    reply.m_status = status;
    reply.m_revision = revision;
    reply.m_value = std::move(value);
    return reply;
}

}  // namespace

Revision KeyValueStore::getRevision(const std::string& key) const {
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? 0 : found->second.m_revision;
}

void KeyValueStore::expireLeases() {
    const Millis now = m_loop.now();
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.m_expiresAt > now) {
            ++lease;
            continue;
        }
        const KeyValueLease lapsed = lease->first;
        lease = m_leases.erase(lease);
        std::vector<std::string> gone;
        for (const auto& [key, entry] : m_entries) {
            if (entry.m_lease == lapsed) {
                gone.push_back(key);
            }
        }
        for (const std::string& key : gone) {
            m_entries.erase(key);
            notify(key);
        }
    }
}

KeyValueReply KeyValueStore::get(const std::string& key) {
    expireLeases();
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        return makeReply(KeyValueStatus::NOT_FOUND);
    }
    return makeReply(KeyValueStatus::OK, found->second.m_revision, found->second.m_value);
}

KeyValueReply KeyValueStore::compareAndSwap(const std::string& key, Revision expected,
                                            std::string value, KeyValueLease lease) {
    expireLeases();
    if (value.size() > KeyValueService::MAX_VALUE_BYTES) {
        return makeReply(KeyValueStatus::TOO_LARGE);
    }
    const bool hasLease = lease == KeyValueLease::NONE || m_leases.count(lease) != 0;
    if (getRevision(key) != expected || !hasLease) {
        return makeReply(KeyValueStatus::CONFLICT, getRevision(key));
    }
    m_entries[key] = {++m_lastRevision, std::move(value), lease};
    notify(key);
    return makeReply(KeyValueStatus::OK, m_lastRevision);
}

KeyValueReply KeyValueStore::erase(const std::string& key, Revision expected) {
    expireLeases();
    if (m_entries.count(key) == 0) {
        return makeReply(KeyValueStatus::NOT_FOUND);
    }
    if (getRevision(key) != expected) {
        return makeReply(KeyValueStatus::CONFLICT, getRevision(key));
    }
    m_entries.erase(key);
    notify(key);
    return makeReply(KeyValueStatus::OK);
}

std::vector<std::string> KeyValueStore::list(const std::string& prefix) {
    expireLeases();
    std::vector<std::string> keys;
    for (const auto& [key, entry] : m_entries) {
        if (key.starts_with(prefix)) {
            keys.push_back(key);
        }
    }
    return keys;
}

KeyValueLeaseReply KeyValueStore::grantLease(Millis timeToLive) {
    const auto lease = static_cast<KeyValueLease>(m_nextLease++);
    m_leases[lease] = {timeToLive, m_loop.now() + timeToLive};
    return {KeyValueStatus::OK, lease};
}

KeyValueLeaseReply KeyValueStore::renewLease(KeyValueLease lease) {
    expireLeases();
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return {KeyValueStatus::NOT_FOUND, KeyValueLease::NONE};
    }
    found->second.m_expiresAt = m_loop.now() + found->second.m_timeToLive;
    return {KeyValueStatus::OK, lease};
}

void KeyValueStore::watch(const std::string& key, Revision known, Millis wait, Watcher watcher) {
    expireLeases();
    if (getRevision(key) != known) {
        watcher(get(key));
        return;
    }
    const std::uint64_t id = m_nextWatch++;
    m_watches[id] = {key, std::move(watcher)};
    m_loop.callLater(wait, [this, id] {
        const auto found = m_watches.find(id);
        if (found == m_watches.end()) {
            return;
        }
        const Watch watch = std::move(found->second);
        m_watches.erase(found);
        watch.m_watcher(get(watch.m_key));
    });
}

void KeyValueStore::notify(const std::string& key) {
    std::vector<Watcher> watchers;
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        if (watch->second.m_key == key) {
            watchers.push_back(std::move(watch->second.m_watcher));
            watch = m_watches.erase(watch);
        } else {
            ++watch;
        }
    }
    for (const Watcher& watcher : watchers) {
        m_loop.post([this, watcher, key] { watcher(get(key)); });
    }
}

}  // namespace pierbank::standin
