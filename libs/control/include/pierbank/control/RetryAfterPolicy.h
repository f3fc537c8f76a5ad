// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_RETRYAFTERPOLICY_H
#define PIERBANK_CONTROL_RETRYAFTERPOLICY_H

#include <cstdint>
#include <optional>
#include <string_view>

#include "pierbank/base/Clock.h"

namespace pierbank {

struct RetryAfterPolicySettings {
    /** The header counts in seconds; sooner tells a caller nothing. */
    Millis m_least{1000};
    /** Outages of the store last seconds; whoever waits longer misses its return. */
    Millis m_most{10'000};
    /** Others than urgent callers come back up to so much later, each at a moment of its own. */
    double m_spread = 0.5;
};

/** Who was refused, as far as it decides when to come back. */
struct RefusedCaller {
    std::string_view m_id;
    bool m_isUrgent = false;
    /** How long it goes on asking; zero when that is not known. */
    Millis m_timeLeft{0};
};

/**
 * Tells refused callers when to come back, from what a gateway saw of the store's outages: the age
 * of this one, and how long earlier ones lasted on the mean. Urgent callers come first, the
 * others are spread so that they don't all return at once.
 */
class RetryAfterPolicy {
public:
    explicit RetryAfterPolicy(const RetryAfterPolicySettings& settings) : m_settings(settings) {}

    void recordLost(Millis now);
    void recordRegained(Millis now);
    Millis advise(const RefusedCaller& caller, Millis now) const;

private:
    Millis expectRemaining(Millis now) const;

    const RetryAfterPolicySettings m_settings;
    std::optional<Millis> m_lostAt;
    /** Moving mean; empty before the first outage is over. */
    std::optional<Millis> m_typicalOutage;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_RETRYAFTERPOLICY_H
