// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SIDECAR_LEASEHOLDER_H
#define PIERBANK_SIDECAR_LEASEHOLDER_H

#include <cstdint>
#include <map>

#include "pierbank/base/Clock.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/**
 * The worker's side of its lease. It counts from the moment of asking, by the sidecar's own
 * monotonic clock, so that an answer which waited anywhere (in a socket of a paused process, say)
 * cannot make it longer. It refuses leases of an epoch lower than the highest it has seen.
 */
class LeaseHolder {
public:
    /** Makes the next question. Questions that nobody answers are forgotten. */
    LeaseAsk ask(Millis now);

    /**
     * Takes an answer.
     * @return false when it is of an old epoch, answers no open question, or would be the first
     *         of this process and the leader cannot confirm itself.
     */
    bool renew(const LeaseRenewal& renewal);

    /** Notes an epoch that was seen on any frame. @return false when it is an old one. */
    bool admitEpoch(std::uint64_t epoch);

    bool isValid(Millis now) const noexcept { return now < m_expiresAt; }

    /** Whether any lease was granted since this process started. */
    bool wasGranted() const noexcept { return m_expiresAt > Millis(0); }

    /** What is left of the lease; zero when it has lapsed. */
    Millis getRemaining(Millis now) const noexcept;

    std::uint64_t getEpoch() const noexcept { return m_epoch; }

private:
    static constexpr std::size_t MAX_OPEN_ASKS = 64;

    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextSequence = 1;
    std::map<std::uint64_t, Millis> m_askedAt;
    Millis m_expiresAt{0};
};

}  // namespace pierbank

#endif  // PIERBANK_SIDECAR_LEASEHOLDER_H
