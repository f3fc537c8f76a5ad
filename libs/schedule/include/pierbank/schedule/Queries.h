// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SCHEDULE_QUERIES_H
#define PIERBANK_SCHEDULE_QUERIES_H

#include <span>
#include <string>

#include "pierbank/policy/Planner.h"
#include "pierbank/schedule/ScheduleRecord.h"
#include "pierbank/schedule/Table.h"

namespace pierbank {

// What `show` and `why` say of a committed record. Times are seconds before `now` (wall time).

Table makeJobTable(const ClusterState& state, Millis now);
Table makeOrganisationTable(const ClusterState& state);
Table makeWorkerTable(const ClusterState& state);
Table makeRackTable(const ClusterState& state);
Table makeAuditTable(std::span<const AuditEntry> entries, Millis now);

/** Answers `why job`: the decision as it was recorded, and what would change it now. */
std::optional<std::string> explainJob(const ClusterState& state, std::string_view name,
                                      const Planner& planner, Millis now, Reason& reason);
std::optional<std::string> explainWorker(const ClusterState& state, std::string_view name,
                                         Millis now, Reason& reason);
std::optional<std::string> explainOrganisation(const ClusterState& state, std::string_view name,
                                               Reason& reason);

}  // namespace pierbank

#endif  // PIERBANK_SCHEDULE_QUERIES_H
