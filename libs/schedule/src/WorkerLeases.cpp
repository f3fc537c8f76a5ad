// SPDX-License-Identifier: Apache-2.0
#include "pierbank/schedule/WorkerLeases.h"

#include <algorithm>

namespace pierbank {

void WorkerLeases::takeOver(Millis now, Millis longestLease) {
    m_grantedAt.clear();
    m_fencedAt.clear();
    // A region's first leader has none before it.
    m_foreignUntil = longestLease > Millis(0) ? now + m_settings.m_timeToLive : now;
    m_takeOverUntil = now + longestLease + m_settings.m_slack;
}

void WorkerLeases::fence(std::string_view worker, Millis now) {
    m_fencedAt.insert_or_assign(std::string(worker), now);
}

void WorkerLeases::grant(std::string_view worker, Millis now) {
    m_grantedAt.insert_or_assign(std::string(worker), now);
}

Millis WorkerLeases::getLastGrant(std::string_view worker) const {
    const auto found = m_grantedAt.find(worker);
    return found == m_grantedAt.end() ? Millis(0) : found->second;
}

LeaseStanding WorkerLeases::getStanding(std::string_view worker, Millis now) const {
    const Millis granted = getLastGrant(worker);
    if (granted > Millis(0) && now < granted + m_settings.m_timeToLive) {
        return LeaseStanding::HEARD;
    }
    const Millis lease = m_settings.m_timeToLive + m_settings.m_slack;
    const auto fenced = m_fencedAt.find(worker);
    Millis lapsesAt = std::max(granted + lease, m_takeOverUntil);
    if (fenced != m_fencedAt.end()) {
        // An earlier leader may still have counted itself as confirmed for one time to live.
        const Millis lastForeign = std::max(fenced->second, m_foreignUntil);
        lapsesAt = std::max(granted, lastForeign) + lease;
    }
    return now < lapsesAt ? LeaseStanding::SILENT : LeaseStanding::LAPSED;
}

}  // namespace pierbank
