// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_JOBCODEC_H
#define PIERBANK_JOB_JOBCODEC_H

#include <optional>
#include <string>
#include <string_view>

#include "pierbank/job/JobRun.h"
#include "pierbank/job/JobSpec.h"

namespace pierbank {

// Jobs as they lie in the store: CBOR arrays.

std::string encodeJobRecord(const JobRecord& record);
/** Empty for bytes that encodeJobRecord() does not write. */
std::optional<JobRecord> decodeJobRecord(std::string_view bytes);

std::string encodeJobRun(const JobRun& run);
/** Empty for bytes that encodeJobRun() does not write. */
std::optional<JobRun> decodeJobRun(std::string_view bytes);

}  // namespace pierbank

#endif  // PIERBANK_JOB_JOBCODEC_H
