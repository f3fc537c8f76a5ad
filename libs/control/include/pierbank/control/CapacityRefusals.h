// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_CAPACITYREFUSALS_H
#define PIERBANK_CONTROL_CAPACITYREFUSALS_H

#include <map>
#include <string>

#include "pierbank/base/Clock.h"

namespace pierbank {

/**
 * Pauses placements on workers that refused a start for insufficient capacity although their last
 * report showed enough. The capacity of such a worker has shrunk, and the heartbeat that reports
 * the change has not arrived yet. Without a pause, the start was repeated up to 100 times per
 * second. The pause ends with the next report of the worker; its length doubles with each refusal.
 */
class CapacityRefusals {
public:
    /** Records a refusal, and begins a pause unless the host is paused already. */
    void recordRefusal(const std::string& host, Millis now);
    /** Ends the pause of a host, because its worker reported its capacity or a run ended there. */
    void forget(const std::string& host) { m_pauses.erase(host); }
    /** Returns whether no run should be placed on the host at present. */
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
