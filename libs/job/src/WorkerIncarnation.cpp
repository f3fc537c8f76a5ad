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

std::string_view getWorkerIdOf(std::string_view incarnation) {
    const std::size_t at = incarnation.rfind(SEPARATOR);
    if (at == std::string_view::npos || at + 1 == incarnation.size()) {
        return incarnation;
    }
    const std::string_view moment = incarnation.substr(at + 1);
    const bool isMoment = std::all_of(moment.begin(), moment.end(),
                                      [](char sign) { return sign >= '0' && sign <= '9'; });
    return isMoment ? incarnation.substr(0, at) : incarnation;
}

}  // namespace pierbank
