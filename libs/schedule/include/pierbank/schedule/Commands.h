// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SCHEDULE_COMMANDS_H
#define PIERBANK_SCHEDULE_COMMANDS_H

#include <string>
#include <string_view>

#include "pierbank/base/Clock.h"
#include "pierbank/policy/ClusterState.h"
#include "pierbank/policy/Planner.h"
#include "pierbank/schedule/Configuration.h"
#include "pierbank/statement/Statement.h"

namespace pierbank {

/** What a command did, or why it was refused. */
struct CommandOutcome {
    bool m_isAccepted = false;
    /** For the operator. */
    std::string m_message;
    /** What was concerned, as `job score-7`, and its values, for the audit trail. */
    std::string m_subject;
    std::string m_from;
    std::string m_to;
};

/** Adds a job to the queue, or says why it cannot ever run. `now` is wall time. */
CommandOutcome submitJob(ClusterState& state, const SubmitJob& command, Millis now);

/** Begins to stop a job for good. */
CommandOutcome withdrawJob(ClusterState& state, const WithdrawJob& command,
                           std::string_view operatorName, Millis now);

/** Says what `submit` would do, on a copy of the state. */
CommandOutcome checkSubmit(const ClusterState& state, const SubmitJob& command,
                           const Planner& planner, Millis now);

/**
 * Changes a configuration, if `statement` is a command of that kind and can be accepted; the
 * caller sets version, time and operator of the change. `state` is the schedule that has to go on
 * keeping every guarantee.
 */
CommandOutcome changeConfiguration(Configuration& configuration, const ClusterState& state,
                                   const Statement& statement);

/** Whether a statement changes the configuration, not a job. */
bool isConfigurationChange(const Statement& statement);

/** Value of a worker in the audit trail after `worker release`; it also ends its quarantine. */
inline constexpr std::string_view RELEASED = "released";

/** Live jobs that a schedule takes; more are refused until some have ended. */
inline constexpr std::size_t MAX_LIVE_JOBS = 4000;

}  // namespace pierbank

#endif  // PIERBANK_SCHEDULE_COMMANDS_H
