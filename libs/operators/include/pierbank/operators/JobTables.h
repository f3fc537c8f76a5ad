// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_OPERATORS_JOBTABLES_H
#define PIERBANK_OPERATORS_JOBTABLES_H

#include <string>

#include "pierbank/control/JobCore.h"
#include "pierbank/operators/AuditTrail.h"
#include "pierbank/operators/Table.h"

namespace pierbank {

// Tables of the `show` statement, made from the leader's memory.

Table makeJobTable(const JobTable& jobs, Millis wallNow);
Table makeWorkerTable(const JobController& jobs);
Table makeRackTable(const JobController& jobs);
Table makeOrganisationTable(const QueueConfiguration* configuration, const JobTable& jobs);
Table makeConfigurationTable(const ConfigurationFeed& feed);
Table makeAuditTable(const std::vector<AuditEntry>& entries, Millis wallNow);

/** Returns the number of accelerators that all tasks of a job request together. */
std::uint32_t countAccelerators(const JobRecord& record);

/** Returns the names of the hosts on which a job has active runs, separated by blanks. */
std::string joinHosts(const std::string& id, const JobRun& run);

/** Converts a host's address into a name of the statement language, without colons: `IP-PORT`. */
std::string toHostName(std::string address);
/** Converts a name made by toHostName() back into an address. */
std::string toHostAddress(std::string name);

/** Returns the name if the name is a job's id, else the id derived from the name by a hash. */
std::string toJobId(const std::string& name);

}  // namespace pierbank

#endif  // PIERBANK_OPERATORS_JOBTABLES_H
