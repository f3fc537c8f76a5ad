// SPDX-License-Identifier: Apache-2.0
#include "pierbank/sidecar/LeaseHolder.h"

#include <algorithm>

namespace pierbank {

LeaseAsk LeaseHolder::ask(Millis now) {
    const std::uint64_t sequence = m_nextSequence++;
    m_askedAt[sequence] = now;
    if (m_askedAt.size() > MAX_OPEN_ASKS) {
        m_askedAt.erase(m_askedAt.begin());
    }
    return LeaseAsk{sequence};
}

bool LeaseHolder::renew(const LeaseRenewal& renewal) {
    // A new process does not know the highest epoch. An old leader that is cut off from the
    // platform's service cannot confirm itself; one that can is the leader or was a moment ago.
    const bool isDoubtful = !wasGranted() && !renewal.m_isConfirmed;
    if (isDoubtful || !admitEpoch(renewal.m_epoch)) {
        return false;
    }
    const auto asked = m_askedAt.find(renewal.m_sequence);
    if (asked == m_askedAt.end()) {
        return false;
    }
    const Millis expiresAt =
            asked->second + Millis(static_cast<std::int64_t>(renewal.m_timeToLiveMs));
    m_expiresAt = std::max(m_expiresAt, expiresAt);
    m_askedAt.erase(m_askedAt.begin(), asked);
    return true;
}

bool LeaseHolder::admitEpoch(std::uint64_t epoch) {
    if (epoch < m_epoch) {
        return false;
    }
    m_epoch = epoch;
    return true;
}

Millis LeaseHolder::getRemaining(Millis now) const noexcept {
    return std::max(m_expiresAt - now, Millis(0));
}

}  // namespace pierbank
