// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/CapacityRefusals.h"

#include <algorithm>

namespace pierbank {

namespace {

// Chosen by reasoning; on the days looked through no start was refused for want of room.
/** An end that overtook its report is told within this time. */
constexpr Millis SHORTEST{100};
/** Workers tell what they have at least so often. */
constexpr Millis LONGEST{2000};

}  // namespace

void CapacityRefusals::recordRefusal(const std::string& host, Millis now) {
    Pause& pause = m_pauses[host];
    if (now < pause.m_until) {
        // One of several starts that were under way together.
        return;
    }
    pause.m_length = std::clamp(2 * pause.m_length, SHORTEST, LONGEST);
    pause.m_until = now + pause.m_length;
}

bool CapacityRefusals::isPaused(const std::string& host, Millis now) const {
    const auto found = m_pauses.find(host);
    return found != m_pauses.end() && now < found->second.m_until;
}

}  // namespace pierbank
