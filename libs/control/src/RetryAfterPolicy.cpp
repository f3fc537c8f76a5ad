// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/RetryAfterPolicy.h"

#include <algorithm>
#include <functional>

namespace pierbank {

void RetryAfterPolicy::recordLost(Millis now) {
    if (!m_lostAt.has_value()) {
        m_lostAt = now;
    }
}

void RetryAfterPolicy::recordRegained(Millis now) {
    if (!m_lostAt.has_value()) {
        return;
    }
    constexpr int WINDOW = 4;
    const Millis duration = now - *m_lostAt;
    m_meanOutage = m_meanOutage.has_value() ? (*m_meanOutage * (WINDOW - 1) + duration) / WINDOW
                                            : duration;
    m_lostAt.reset();
}

/**
 * Returns the expected remaining duration of the current outage. The outage is expected to last as
 * long as the mean of the earlier outages, or for another half of its age if it has already lasted
 * longer than that mean.
 */
Millis RetryAfterPolicy::estimateRemaining(Millis now) const {
    if (!m_lostAt.has_value()) {
        return Millis(0);
    }
    const Millis age = now - *m_lostAt;
    const Millis expected = m_meanOutage.value_or(Millis(0)) - age;
    return expected > Millis(0) ? expected : age / 2;
}

Millis RetryAfterPolicy::getRetryDelay(const RefusedCaller& caller, Millis now) const {
    Millis delay = std::clamp(estimateRemaining(now), m_settings.m_minDelay, m_settings.m_maxDelay);
    if (caller.m_timeLeft > Millis(0)) {
        // A caller whose deadline is before the retry would give up, although the store may return
        // earlier.
        delay = std::min(delay, std::max(caller.m_timeLeft / 2, m_settings.m_minDelay));
    }
    if (caller.m_isUrgent) {
        return delay;
    }
    constexpr std::size_t STEPS = 1000;
    const std::size_t step = std::hash<std::string_view>()(caller.m_id) % STEPS;
    const double share = m_settings.m_maxSpreadShare * static_cast<double>(step) / STEPS;
    const auto total = static_cast<double>(delay.count()) * (1.0 + share);
    return Millis(static_cast<std::int64_t>(total));
}

}  // namespace pierbank
