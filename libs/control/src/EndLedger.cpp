// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/EndLedger.h"

namespace pierbank {

bool EndLedger::note(const WorkerId& worker, std::uint64_t number) {
    Life& life = m_lives[worker];
    if (number <= life.m_highest) {
        return false;
    }
    life.m_highest = number;
    life.m_open.insert(number);
    return true;
}

void EndLedger::keep(const WorkerId& worker, std::uint64_t number) {
    const auto found = m_lives.find(worker);
    if (found != m_lives.end()) {
        found->second.m_open.erase(number);
    }
}

std::uint64_t EndLedger::getKept(const WorkerId& worker) const {
    const auto found = m_lives.find(worker);
    if (found == m_lives.end()) {
        return 0;
    }
    const Life& life = found->second;
    return life.m_open.empty() ? life.m_highest : *life.m_open.begin() - 1;
}

}  // namespace pierbank
