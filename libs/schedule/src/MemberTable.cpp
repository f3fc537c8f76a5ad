// SPDX-License-Identifier: Apache-2.0
#include "pierbank/schedule/MemberTable.h"

namespace pierbank {

bool MemberFact::isOver() const noexcept {
    return m_state == MemberState::ENDED || m_state == MemberState::FAILED ||
           m_state == MemberState::STOPPED;
}

void MemberTable::note(std::string_view worker, const MemberReport& report) {
    MemberFact& fact = m_facts[{report.m_attempt, report.m_member}];
    if (fact.isOver()) {
        return;
    }
    fact = {report.m_state, report.m_reason, std::string(worker)};
}

const MemberFact* MemberTable::find(const MemberId& member) const {
    const auto found = m_facts.find(member);
    return found == m_facts.end() ? nullptr : &found->second;
}

void MemberTable::forgetOpen(std::string_view worker) {
    std::erase_if(m_facts, [worker](const auto& entry) {
        return entry.second.m_worker == worker && !entry.second.isOver();
    });
}

void MemberTable::retain(const std::set<AttemptId>& live) {
    std::erase_if(m_facts,
                  [&live](const auto& entry) { return live.count(entry.first.m_attempt) == 0; });
}

}  // namespace pierbank
