// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/HeartbeatOrder.h"

namespace pierbank {

namespace {

/**
 * Difference by which a heartbeat's clock may be ahead of the extrapolated one. This process may
 * have been paused for seconds between an answer of the worker and the extrapolation.
 */
constexpr Millis MAX_CLOCK_LEAD{10'000};
/**
 * Difference above which the last heartbeat does not make a later one appear older. It covers the
 * time that an answer of the worker takes.
 */
constexpr Millis MAX_TRUSTED_LEAD{500};

bool isAhead(const std::optional<Millis>& clock, const std::optional<Millis>& workerClock,
             Millis maxLead) {
    return clock.has_value() && workerClock.has_value() && *clock > *workerClock + maxLead;
}

}  // namespace

HeartbeatAge classifyHeartbeat(const WorkerHeartbeat& last, const WorkerHeartbeat& next,
                               std::optional<Millis> workerClock) {
    // A worker that states its clock does so in each heartbeat.
    const bool lacksClock = last.m_clock.has_value() && !next.m_clock.has_value();
    if (lacksClock || isAhead(next.m_clock, workerClock, MAX_CLOCK_LEAD)) {
        return HeartbeatAge::IMPOSSIBLE;
    }
    const bool isLastTrusted = last.m_clock.has_value() == next.m_clock.has_value() &&
                               !isAhead(last.m_clock, workerClock, MAX_TRUSTED_LEAD);
    if (!isLastTrusted) {
        return HeartbeatAge::NEWER;
    }
    const bool isNewer = next.m_clock == last.m_clock ? next.m_sequence > last.m_sequence
                                                      : next.m_clock > last.m_clock;
    return isNewer ? HeartbeatAge::NEWER : HeartbeatAge::OLDER;
}

}  // namespace pierbank
