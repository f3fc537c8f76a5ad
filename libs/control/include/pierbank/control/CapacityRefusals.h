// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_CAPACITYREFUSALS_H
#define PIERBANK_CONTROL_CAPACITYREFUSALS_H

#include <map>
#include <string>

#include "pierbank/base/Clock.h"

namespace pierbank {

/**
 * Workers that refused a start for want of room although they seemed to have it: their room has
 * shrunk, and the heartbeat that says so is on its way. Such a worker was asked 100 times a second
 * (test); now it is left alone until it says something new, or for a pause that doubles.
 */
class CapacityRefusals {
public:
    /** A start was refused there. */
    void recordRefusal(const std::string& host, Millis now);
    /** The worker told what it has, or something ended there. */
    void forget(const std::string& host) { m_pauses.erase(host); }
    bool isPaused(const std::string& host, Millis now) const;
    void clear() { m_pauses.clear(); }

private:
    struct Pause {
        Millis m_length{0};
        Millis m_until{0};
    };

    std::map<std::string, Pause> m_pauses;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_CAPACITYREFUSALS_H
