// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SCHEDULE_STATEUPDATES_H
#define PIERBANK_SCHEDULE_STATEUPDATES_H

#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "pierbank/base/Clock.h"
#include "pierbank/platform/HostList.h"
#include "pierbank/policy/ClusterState.h"
#include "pierbank/schedule/Configuration.h"
#include "pierbank/schedule/WorkerLeases.h"

namespace pierbank {

// What flows into the cluster state from outside of the policy. Each function sets what its source
// says now, so that calling it again changes nothing.

/** Adds and updates the workers of a region from the host list. */
void applyHosts(ClusterState& state, std::span<const Host> hosts, std::string_view region);

/** Adds, changes and removes organisations and their guarantee units. */
void applyConfiguration(ClusterState& state, const Configuration& configuration);

/** What the leader knows of a worker's lease. */
using GetStanding = std::function<LeaseStanding(std::string_view worker)>;

/**
 * Sets the workers' states from what operators say, the host list and the leases. Quarantines for
 * failing stay until they are over.
 */
void applyWorkerStates(ClusterState& state, const Configuration& configuration,
                       std::span<const Host> hosts, const GetStanding& getStanding);

/** Drops the oldest jobs that are over, down to `keep` of them. */
void pruneJobs(ClusterState& state, std::size_t keep);

}  // namespace pierbank

#endif  // PIERBANK_SCHEDULE_STATEUPDATES_H
