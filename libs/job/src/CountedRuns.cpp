// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/CountedRuns.h"

#include <algorithm>

namespace pierbank {

bool CountedRuns::contains(std::uint32_t run) const {
    return run <= m_bound || std::binary_search(m_listed.begin(), m_listed.end(), run);
}

bool CountedRuns::add(std::uint32_t run) {
    if (contains(run)) {
        return false;
    }
    m_listed.insert(std::lower_bound(m_listed.begin(), m_listed.end(), run), run);
    if (m_listed.size() > MAX_LISTED) {
        m_bound = m_listed.front();
    }
    raiseBound();
    return true;
}

void CountedRuns::addAllUpTo(std::uint32_t run) {
    m_bound = std::max(m_bound, run);
    raiseBound();
}

std::uint32_t CountedRuns::getHighest() const {
    return m_listed.empty() ? m_bound : m_listed.back();
}

void CountedRuns::raiseBound() {
    auto next = m_listed.begin();
    while (next != m_listed.end() && *next <= m_bound + 1) {
        m_bound = std::max(m_bound, *next);
        ++next;
    }
    m_listed.erase(m_listed.begin(), next);
}

}  // namespace pierbank
