// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_POLICY_PLANNER_H
#define PIERBANK_POLICY_PLANNER_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pierbank/policy/ClusterState.h"
#include "pierbank/policy/PolicySettings.h"

namespace pierbank {

/** One change that a pass made. */
struct Decision {
    std::string m_job;
    Explanation m_why;
};

/** Outcome of a pass. */
struct Plan {
    /** Jobs whose explanation changed, in the order of the decisions. */
    std::vector<Decision> m_decisions;
    /** Guarantee units for which lost workers leave no room. */
    std::vector<std::uint64_t> m_unmetUnits;
};

/**
 * The decisions: which jobs get which accelerators, and who has to give some back. Pure: the same
 * state, settings and time always give the same plan, and nothing else is read or written.
 *
 *     Planner planner(settings);
 *     const Plan plan = planner.plan(state, now);
 *
 * In one pass: guarantee units are kept apart; claims that have become free are assigned; queued
 * jobs are placed in order, first within their organisation's guarantee (preempting borrowed work
 * where needed), then on borrowed accelerators; a job that has waited past the bound gets workers
 * set aside.
 */
class Planner {
public:
    explicit Planner(const PolicySettings& settings) : m_settings(settings) {}

    /** @param now wall time. Changes `state`; the caller commits it before acting on it. */
    Plan plan(ClusterState& state, Millis now) const;

    /**
     * The job or worker whose withdrawal or release would let a waiting job start, found by
     * trying it on a copy of the state. A WAIT remedy when no single action does.
     */
    Explanation findRemedy(const ClusterState& state, const std::string& job, Millis now) const;

    const PolicySettings& getSettings() const noexcept { return m_settings; }

private:
    PolicySettings m_settings;
};

}  // namespace pierbank

#endif  // PIERBANK_POLICY_PLANNER_H
