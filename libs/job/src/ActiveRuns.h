// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_ACTIVERUNS_H
#define PIERBANK_JOB_ACTIVERUNS_H

#include "pierbank/job/JobRun.h"

namespace pierbank {

/** Returns the current run of a task that occupies a worker. */
ActiveRun makeActiveRun(const TaskKey& key, const TaskRun& task);

/** Returns the run of a copy, which always occupies a worker. */
ActiveRun makeActiveRun(const TaskKey& key, const TaskCopy& copy);

}  // namespace pierbank

#endif  // PIERBANK_JOB_ACTIVERUNS_H
