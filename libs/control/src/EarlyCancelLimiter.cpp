// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/EarlyCancelLimiter.h"

#include <algorithm>

namespace pierbank {

Millis EarlyCancelLimiter::getWait(const Bucket& bucket, const RateLimit& limit, Millis now) {
    const Millis emptyFor = limit.m_interval * (limit.m_burst - 1);
    return std::max(Millis(0), bucket.m_fullAt - emptyFor - now);
}

void EarlyCancelLimiter::take(Bucket& bucket, const RateLimit& limit, Millis now) {
    bucket.m_fullAt = std::max(bucket.m_fullAt, now) + limit.m_interval;
}

std::optional<Millis> EarlyCancelLimiter::acquire(const std::string& organisation, Millis now) {
    std::erase_if(m_byOrganisation,
                  [&](const auto& entry) { return entry.second.m_fullAt <= now; });
    const auto found = m_byOrganisation.find(organisation);
    Bucket bucket = found == m_byOrganisation.end() ? Bucket() : found->second;
    const Millis wait = std::max(getWait(bucket, m_settings.m_perOrganisation, now),
                                 getWait(m_inAll, m_settings.m_inAll, now));
    if (wait > Millis(0)) {
        return wait;
    }
    take(bucket, m_settings.m_perOrganisation, now);
    m_byOrganisation[organisation] = bucket;
    take(m_inAll, m_settings.m_inAll, now);
    return std::nullopt;
}

}  // namespace pierbank
