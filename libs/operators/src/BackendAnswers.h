// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_OPERATORS_BACKENDANSWERS_H
#define PIERBANK_OPERATORS_BACKENDANSWERS_H

#include <string>
#include <utility>

#include "pierbank/operators/JobBackend.h"
#include "pierbank/operators/JobTables.h"

namespace pierbank {

/** Returns the job of this name or id; null if there is none. */
inline const JobEntry* findJob(const JobTable& jobs, const std::string& name) {
    const auto found = jobs.find(toJobId(name));
    return found == jobs.end() ? nullptr : &found->second;
}

/** Makes a REFUSED answer with this message. */
inline StatementAnswer refuse(std::string why) {
    return makeAnswer(StatementStatus::REFUSED, std::move(why));
}

}  // namespace pierbank

#endif  // PIERBANK_OPERATORS_BACKENDANSWERS_H
