// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_POLICY_JOBEVENTS_H
#define PIERBANK_POLICY_JOBEVENTS_H

#include "pierbank/policy/ClusterState.h"
#include "pierbank/policy/PolicySettings.h"

namespace pierbank {

// What happens to jobs from outside of the planner. All times are wall times. Each function
// changes the state only when the job is in a state in which the event can happen.

/** All members are prepared: the gang runs from now on. */
void markRunning(Job& job, Millis now);

/**
 * Begins to stop a job that holds accelerators; a queued or claiming one is finished at once.
 * A stop that ends the job is never turned back into one that queues it again.
 */
void beginStop(Job& job, AfterStop afterStop, const Explanation& why, Millis now);

/** All members have surely stopped: frees the accelerators and queues or ends the job. */
void finishStop(Job& job, Millis now);

/** All members ended well: corrects the organisation's run times and clears the workers' blame. */
void finishWell(ClusterState& state, Job& job, Millis now);

/**
 * A member's task failed on a worker. Decides by comparison who is to blame: the worker on which
 * several jobs fail is quarantined; the job that fails on several workers has its stop turned
 * into a final one.
 */
void noteFailure(ClusterState& state, Job& job, WorkerIndex worker, const PolicySettings& settings,
                 Millis now);

/** Puts workers whose quarantine for failing is over back into service, as a probe. */
void endQuarantines(ClusterState& state, Millis now);

/** Run time still expected: declared, corrected by what was seen, less what checkpoints kept. */
Millis getExpectedRemaining(const ClusterState& state, const Job& job);

}  // namespace pierbank

#endif  // PIERBANK_POLICY_JOBEVENTS_H
