// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/WorkerIncarnation.h"

#include <algorithm>

namespace pierbank {

namespace {

constexpr char SEPARATOR = '@';

}  // namespace

std::string WorkerIncarnation::toText() const {
    return m_processStartedAt == 0 ? m_id : m_id + SEPARATOR + std::to_string(m_processStartedAt);
}

std::string_view parseWorkerId(std::string_view incarnation) {
    const std::size_t separator = incarnation.rfind(SEPARATOR);
    if (separator == std::string_view::npos || separator + 1 == incarnation.size()) {
        return incarnation;
    }
    const std::string_view startTime = incarnation.substr(separator + 1);
    const bool isStartTime = std::all_of(startTime.begin(), startTime.end(),
                                         [](char digit) { return digit >= '0' && digit <= '9'; });
    return isStartTime ? incarnation.substr(0, separator) : incarnation;
}

}  // namespace pierbank
