// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_PLANTHROTTLE_H
#define PIERBANK_CONTROL_PLANTHROTTLE_H

#include "pierbank/base/Clock.h"

namespace pierbank {

/**
 * Limits the share of time that the leader spends on planning. When hundreds of workers connect,
 * each of them triggers a new plan. On a slow host these plans took all processor time, so that
 * the leader's lease lapsed. After each plan, the leader's other work gets its share of the time.
 */
class PlanThrottle {
public:
    /** Maximum share of time spent on planning. */
    static constexpr double PLAN_SHARE = 0.25;

    /** Records a plan that was made from `startedAt` to `endedAt`. */
    void recordPlan(Millis startedAt, Millis endedAt) {
        const auto duration = static_cast<double>((endedAt - startedAt).count());
        const double pause = duration * (1.0 - PLAN_SHARE) / PLAN_SHARE;
        m_nextAt = endedAt + Millis(static_cast<std::int64_t>(pause));
    }

    /** Returns the earliest time at which the next plan may start. */
    Millis getNextAt() const noexcept { return m_nextAt; }

private:
    Millis m_nextAt{0};
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_PLANTHROTTLE_H
