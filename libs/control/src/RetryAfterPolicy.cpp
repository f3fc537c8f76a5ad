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
    constexpr int MEMORY = 4;
    const Millis lasted = now - *m_lostAt;
    m_typicalOutage = m_typicalOutage.has_value()
                              ? (*m_typicalOutage * (MEMORY - 1) + lasted) / MEMORY
                              : lasted;
    m_lostAt.reset();
}

/** Past its usual length an outage is taken to last half its age more. */
Millis RetryAfterPolicy::expectRemaining(Millis now) const {
    if (!m_lostAt.has_value()) {
        return Millis(0);
    }
    const Millis age = now - *m_lostAt;
    const Millis usual = m_typicalOutage.value_or(Millis(0)) - age;
    return usual > Millis(0) ? usual : age / 2;
}

Millis RetryAfterPolicy::advise(const RefusedCaller& caller, Millis now) const {
    Millis base = std::clamp(expectRemaining(now), m_settings.m_least, m_settings.m_most);
    if (caller.m_timeLeft > Millis(0)) {
        // Who is told a time beyond its own gives up, though the store may be back before.
        base = std::min(base, std::max(caller.m_timeLeft / 2, m_settings.m_least));
    }
    if (caller.m_isUrgent) {
        return base;
    }
    constexpr std::size_t STEPS = 1000;
    const std::size_t step = std::hash<std::string_view>()(caller.m_id) % STEPS;
    const double share = m_settings.m_spread * static_cast<double>(step) / STEPS;
    const auto later = static_cast<double>(base.count()) * (1.0 + share);
    return Millis(static_cast<std::int64_t>(later));
}

}  // namespace pierbank
