// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/WorkerLife.h"

#include <algorithm>

namespace pierbank {

namespace {

constexpr char SEPARATOR = '@';

}  // namespace

std::string WorkerLife::toText() const {
    return m_bornAt == 0 ? m_id : m_id + SEPARATOR + std::to_string(m_bornAt);
}

std::string_view getWorkerIdOf(std::string_view life) {
    const std::size_t at = life.rfind(SEPARATOR);
    if (at == std::string_view::npos || at + 1 == life.size()) {
        return life;
    }
    const std::string_view moment = life.substr(at + 1);
    const bool isMoment = std::all_of(moment.begin(), moment.end(),
                                      [](char sign) { return sign >= '0' && sign <= '9'; });
    return isMoment ? life.substr(0, at) : life;
}

}  // namespace pierbank
