// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_REGISTRATION_H
#define PIERBANK_CONTROL_REGISTRATION_H

#include <functional>
#include <memory>
#include <string>

#include "pierbank/base/EventLoop.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

/**
 * Maintains the store key by which leaders discover this process. The key is written at the start,
 * with retries until the write succeeds. It is written again whenever no leader is linked, because
 * leaders remove the keys of hosts that were unreachable for minutes. The key is not removed when
 * the process ends.
 */
class Registration {
public:
    /**
     * Interval of the check for a linked leader. It also bounds the write rate of a fleet that has
     * no leader.
     */
    static constexpr Millis CHECK_INTERVAL{30'000};

    /**
     * Store and loop must outlive the registration.
     *
     * @param hasLeader returns whether a leader is linked.
     */
    Registration(RecordStore& store, EventLoop& loop, std::function<bool()> hasLeader);
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

    /** Writes the key and starts the periodic check. */
    void start(std::string key);

private:
    void write();
    void check();
    void scheduleCheck();

    RecordStore& m_store;
    EventLoop& m_loop;
    const std::function<bool()> m_hasLeader;
    std::string m_key;
    bool m_isWriting = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_REGISTRATION_H
