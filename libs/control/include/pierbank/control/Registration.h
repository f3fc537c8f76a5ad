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
 * Keeps the key by which leaders find this process: writes it, tries until it is written, and
 * writes it again while no leader has been there for long, since leaders remove the keys of hosts
 * that they could not reach for minutes. The key stays when the process ends.
 */
class Registration {
public:
    /** How often it looks whether a leader is there. Also bounds the writes of a fleet without one.
     */
    static constexpr Millis CHECK{30'000};

    /** Store and loop must outlive the registration. @param hasLeader whether a leader is linked.
     */
    Registration(RecordStore& store, EventLoop& loop, std::function<bool()> hasLeader);
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

    void start(std::string key);

private:
    void write();
    void check();
    void checkLater();

    RecordStore& m_store;
    EventLoop& m_loop;
    const std::function<bool()> m_hasLeader;
    std::string m_key;
    bool m_isWriting = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_REGISTRATION_H
