// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_UNREADABLEINPUTS_H
#define PIERBANK_BASE_UNREADABLEINPUTS_H

#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "pierbank/base/Log.h"

namespace pierbank {

/**
 * Counts an entry of somebody else that can't be read, and tells of it in the log: the first ten of
 * a kind each, then at each doubling, so that a writer that goes on and on does not fill the log.
 * @param component,event as in logEvent(); together they name the kind.
 * @param fields which entry, and why; the count is added.
 */
void reportUnreadable(std::string_view component, std::string_view event,
                      std::initializer_list<LogField> fields);

/** Of all kinds, since this process began. */
std::uint64_t countUnreadable();

}  // namespace pierbank

#endif  // PIERBANK_BASE_UNREADABLEINPUTS_H
