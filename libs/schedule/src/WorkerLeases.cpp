// SPDX-License-Identifier: Apache-2.0
#include "pierbank/schedule/WorkerLeases.h"

namespace pierbank {

void WorkerLeases::takeOver(Millis now, Millis longestLease) {
    m_grantedAt.clear();
    m_takeOverUntil = now + longestLease + m_settings.m_slack;
}

void WorkerLeases::grant(std::string_view worker, Millis now) {
    m_grantedAt.insert_or_assign(std::string(worker), now);
}

LeaseStanding WorkerLeases::getStanding(std::string_view worker, Millis now) const {
    const auto found = m_grantedAt.find(worker);
    const bool isGranted = found != m_grantedAt.end();
    if (isGranted && now < found->second + m_settings.m_timeToLive) {
        return LeaseStanding::HEARD;
    }
    const bool mayRun =
            isGranted && now < found->second + m_settings.m_timeToLive + m_settings.m_slack;
    if (mayRun || now < m_takeOverUntil) {
        return LeaseStanding::SILENT;
    }
    return LeaseStanding::LAPSED;
}

}  // namespace pierbank
