// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_EARLYCANCELLIMITER_H
#define PIERBANK_CONTROL_EARLYCANCELLIMITER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** A token bucket: `m_burst` requests at once, and one more after each interval. */
struct RateLimit {
    std::int64_t m_burst = 1;
    Millis m_interval{1};
};

struct EarlyCancelLimiterSettings {
    /**
     * Requests of one organisation. With the retention of three minutes, an organisation occupies
     * at most 392 keys for each gateway.
     */
    RateLimit m_perOrganisation{32, Millis(500)};
    /**
     * Requests of all organisations together: lasting load takes 1 % of the 400 writes a second of
     * the smallest store for each gateway, and a second of the burst 16 %.
     */
    RateLimit m_inAll{64, Millis(250)};
};

/**
 * Limits the requests to cancel unknown jobs that a gateway writes to the store. Each of them costs
 * a write and a key although its job may never come, and anybody with an API key can send them; the
 * store's writes are shared by all jobs and by the leader's decisions.
 *
 *     const auto wait = limiter.acquire(organisation, loop.now());
 *     if (wait.has_value()) {
 *         // Refuse; the caller may retry after *wait.
 *     }
 */
class EarlyCancelLimiter {
public:
    explicit EarlyCancelLimiter(const EarlyCancelLimiterSettings& settings)
            : m_settings(settings) {}

    /** @return nothing if the request may be written; else the time until a request may be. */
    std::optional<Millis> acquire(const std::string& organisation, Millis now);

private:
    /** State of one token bucket. */
    struct Bucket {
        /** When the bucket will be full again. */
        Millis m_fullAt{0};
    };

    static Millis getWait(const Bucket& bucket, const RateLimit& limit, Millis now);
    static void take(Bucket& bucket, const RateLimit& limit, Millis now);

    const EarlyCancelLimiterSettings m_settings;
    Bucket m_inAll;
    /** Buckets that are not full, by organisation. */
    std::map<std::string, Bucket> m_byOrganisation;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_EARLYCANCELLIMITER_H
