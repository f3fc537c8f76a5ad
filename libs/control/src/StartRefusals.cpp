// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/StartRefusals.h"

#include <algorithm>
#include <array>

namespace pierbank {

bool isWorkerRefusal(std::string_view absenceReason) {
    constexpr std::array OTHERS = {
            absence::NO_CAPACITY, absence::NO_TICKET,    absence::PREVENTED,
            absence::OLD_FENCE,   absence::LEASE_PASSED, absence::OTHER_INCARNATION,
            absence::DRAINING,    absence::STOPPED,      absence::ORDER_TOO_OLD};
    return std::find(OTHERS.begin(), OTHERS.end(), absenceReason) == OTHERS.end();
}

Millis StartRefusals::recordRefusal(const std::string& host, Millis now) {
    Host& entry = m_hosts[host];
    entry.m_lastAt = now;
    if (now < entry.m_until) {
        // The refusal answers one of several starts that were sent before the pause began.
        return Millis(0);
    }
    ++entry.m_count;
    if (entry.m_count <= m_limits.m_tolerated) {
        return Millis(0);
    }
    entry.m_length = std::clamp(2 * entry.m_length, m_limits.m_minPause, m_limits.m_maxPause);
    entry.m_until = now + entry.m_length;
    return entry.m_length;
}

void StartRefusals::recordStart(const std::string& host, Millis placedAt) {
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end() && placedAt >= found->second.m_lastAt) {
        m_hosts.erase(found);
    }
}

bool StartRefusals::isPaused(const std::string& host, Millis now) const {
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && now < found->second.m_until;
}

}  // namespace pierbank
