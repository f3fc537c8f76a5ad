// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_UNREADABLEINPUTS_H
#define PIERBANK_BASE_UNREADABLEINPUTS_H

#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "pierbank/base/Log.h"

namespace pierbank {

/**
 * Counts and logs an entry of another process that cannot be decoded. The first ten entries of a
 * kind are logged, and later entries at each doubling of the count, so that a faulty writer does
 * not flood the log.
 * @param component,event as in logEvent(); together they identify the kind.
 * @param fields identify the entry and the error; the count is added to the log line.
 */
void reportUnreadable(std::string_view component, std::string_view event,
                      std::initializer_list<LogField> fields);

/** Returns the number of undecodable entries of all kinds since the process started. */
std::uint64_t countUnreadable();

}  // namespace pierbank

#endif  // PIERBANK_BASE_UNREADABLEINPUTS_H
