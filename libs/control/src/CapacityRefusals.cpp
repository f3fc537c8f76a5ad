// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/CapacityRefusals.h"

#include <algorithm>

namespace pierbank {

namespace {

/** Minimum length of a pause. If capacity seemed free only because the end of a run was known
 * before the worker's report of it, that report arrives within this time. */
constexpr Millis MIN_PAUSE{100};
/** Maximum length of a pause. Workers report their capacity at least this often. */
constexpr Millis MAX_PAUSE{2000};

}  // namespace

void CapacityRefusals::recordRefusal(const std::string& host, Millis now) {
    Pause& pause = m_pauses[host];
    if (now < pause.m_until) {
        // The refusal answers one of several starts that were sent before the pause began.
        return;
    }
    pause.m_length = std::clamp(2 * pause.m_length, MIN_PAUSE, MAX_PAUSE);
    pause.m_until = now + pause.m_length;
}

bool CapacityRefusals::isPaused(const std::string& host, Millis now) const {
    const auto found = m_pauses.find(host);
    return found != m_pauses.end() && now < found->second.m_until;
}

}  // namespace pierbank
