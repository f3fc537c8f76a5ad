// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_JOBCODEC_H
#define PIERBANK_JOB_JOBCODEC_H

#include <optional>
#include <string>
#include <string_view>

#include "pierbank/job/EarlyCancels.h"
#include "pierbank/job/JobRun.h"
#include "pierbank/job/JobSpec.h"

namespace pierbank {

// Encoding of jobs in the store, as CBOR arrays.

/** Returns the stored form of an accepted job. */
std::string encodeJobRecord(const JobRecord& record);
/** Reads what encodeJobRecord() writes; empty for any other bytes. */
std::optional<JobRecord> decodeJobRecord(std::string_view bytes);

/** Returns the stored form of the requests to cancel one job that was not accepted yet. */
std::string encodeEarlyCancels(const EarlyCancels& cancels);
/** Reads what encodeEarlyCancels() writes for one or more requests; empty for any other bytes. */
std::optional<EarlyCancels> decodeEarlyCancels(std::string_view bytes);

/** Returns the stored form of a job's scheduling state. */
std::string encodeJobRun(const JobRun& run);
/** Reads what encodeJobRun() writes, also from earlier versions; empty for invalid bytes. */
std::optional<JobRun> decodeJobRun(std::string_view bytes);

}  // namespace pierbank

#endif  // PIERBANK_JOB_JOBCODEC_H
