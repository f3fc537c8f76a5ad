// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_STANDINS_KEYVALUESTORE_H
#define PIERBANK_TEST_STANDINS_KEYVALUESTORE_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/platform/KeyValueService.h"

namespace pierbank::standin {

/**
 * The stand-in's data: keys with revisions, leases, and who waits for a change. Used in process by
 * FakeKeyValueService and over HTTP by the stand-in program.
 */
class KeyValueStore {
public:
    using Watcher = std::function<void(const KeyValueReply&)>;

    explicit KeyValueStore(EventLoop& loop) : m_loop(loop) {}

    KeyValueReply get(const std::string& key);
    KeyValueReply compareAndSwap(const std::string& key, Revision expected, std::string value,
                                 KeyValueLease lease);
    KeyValueReply erase(const std::string& key, Revision expected);
    std::vector<std::string> list(const std::string& prefix);
    KeyValueLeaseReply grantLease(Millis timeToLive);
    KeyValueLeaseReply renewLease(KeyValueLease lease);

    /** Calls `watcher` when the key's revision is not `known`, or after `wait`. */
    void watch(const std::string& key, Revision known, Millis wait, Watcher watcher);

    /** Drops watches without a word, as a broken connection would. */
    void breakWatches() { m_watches.clear(); }

private:
    struct Entry {
        Revision m_revision = 0;
        std::string m_value;
        KeyValueLease m_lease = KeyValueLease::NONE;
    };
    struct Lease {
        Millis m_timeToLive{0};
        Millis m_expiresAt{0};
    };
    struct Watch {
        std::string m_key;
        Watcher m_watcher;
    };

    void expireLeases();
    void notify(const std::string& key);
    Revision getRevision(const std::string& key) const;

    EventLoop& m_loop;
    std::map<std::string, Entry> m_entries;
    std::map<KeyValueLease, Lease> m_leases;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_nextWatch = 1;
    std::uint64_t m_nextLease = 1;
    /** Counts over all keys, so that a key which was deleted and made again has a new revision. */
    Revision m_lastRevision = 0;
};

}  // namespace pierbank::standin

#endif  // PIERBANK_TEST_STANDINS_KEYVALUESTORE_H
