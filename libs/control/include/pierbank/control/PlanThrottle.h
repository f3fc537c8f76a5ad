// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_PLANTHROTTLE_H
#define PIERBANK_CONTROL_PLANTHROTTLE_H

#include "pierbank/base/Clock.h"

namespace pierbank {

/**
 * When the next plan may be made. While hundreds of workers link, each of them is a reason for a
 * new plan; on a slow host such plans took all of the processor, and the lease under which the host
 * led lapsed meanwhile. After each plan the rest of the leader's work gets its share of the time.
 */
class PlanThrottle {
public:
    /** Of the time, what plans may take. */
    static constexpr double PLAN_SHARE = 0.25;

    void recordPlan(Millis begunAt, Millis endedAt) {
        const auto took = static_cast<double>((endedAt - begunAt).count());
        const double pause = took * (1.0 - PLAN_SHARE) / PLAN_SHARE;
        m_nextAt = endedAt + Millis(static_cast<std::int64_t>(pause));
    }

    Millis getNextAt() const noexcept { return m_nextAt; }

private:
    Millis m_nextAt{0};
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_PLANTHROTTLE_H
