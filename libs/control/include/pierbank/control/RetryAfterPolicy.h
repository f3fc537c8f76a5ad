// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_RETRYAFTERPOLICY_H
#define PIERBANK_CONTROL_RETRYAFTERPOLICY_H

#include <cstdint>
#include <optional>
#include <string_view>

#include "pierbank/base/Clock.h"

namespace pierbank {

struct RetryAfterPolicySettings {
    /**
     * Minimum delay. The Retry-After header is in whole seconds, so a shorter delay can't be
     * expressed.
     */
    Millis m_minDelay{1000};
    /**
     * Maximum delay, before the spread. Outages of the store last seconds; a caller with a longer
     * delay would retry long after the end of the outage.
     */
    Millis m_maxDelay{10'000};
    /** Maximum share of the delay that is added for callers that are not urgent. */
    double m_maxSpreadShare = 0.5;
};

/** Properties of a refused caller that determine its delay. */
struct RefusedCaller {
    /** Identifies the request; callers with different ids get different delays. */
    std::string_view m_id;
    bool m_isUrgent = false;
    /** Time that the caller has left before its own deadline; zero if unknown. */
    Millis m_timeLeft{0};
};

/**
 * Chooses the delay after which a refused caller retries, from the store outages that a gateway has
 * seen: the age of the current outage, and the mean duration of earlier ones. Urgent callers retry
 * first; the delays of the others are spread so that these callers don't all retry at once.
 */
class RetryAfterPolicy {
public:
    explicit RetryAfterPolicy(const RetryAfterPolicySettings& settings) : m_settings(settings) {}

    /** Records the start of an outage; does nothing during one. */
    void recordLost(Millis now);
    /** Records the end of the current outage, if there is one. */
    void recordRegained(Millis now);
    /** Returns the delay after which the caller should retry. */
    Millis getRetryDelay(const RefusedCaller& caller, Millis now) const;

private:
    Millis estimateRemaining(Millis now) const;

    const RetryAfterPolicySettings m_settings;
    std::optional<Millis> m_lostAt;
    /** Moving average of the outages' durations; empty until the first outage has ended. */
    std::optional<Millis> m_meanOutage;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_RETRYAFTERPOLICY_H
