// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SCHEDULE_MEMBERTABLE_H
#define PIERBANK_SCHEDULE_MEMBERTABLE_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "pierbank/wire/Frame.h"

namespace pierbank {

/** Names one member of one attempt. */
struct MemberId {
    AttemptId m_attempt;
    std::uint32_t m_member = 0;
    auto operator<=>(const MemberId&) const = default;
};

/** What was last heard of a member. */
struct MemberFact {
    MemberState m_state = MemberState::ABSENT;
    std::string m_reason;
    std::string m_worker;

    /** Whether the member has come to its end: this cannot change any more. */
    bool isOver() const noexcept;
};

/**
 * What sidecars told the leader about gang members. It is not kept anywhere: a new leader asks
 * every sidecar again.
 */
class MemberTable {
public:
    /** The sidecar of a worker reported a member. */
    void note(std::string_view worker, const MemberReport& report);

    /** What was heard of a member; nullptr when nothing was. */
    const MemberFact* find(const MemberId& member) const;

    /** Forgets what may have changed while a worker's sidecar was not linked. */
    void forgetOpen(std::string_view worker);

    /** Forgets everything about attempts that are not in `live`. */
    void retain(const std::set<AttemptId>& live);

    void clear() { m_facts.clear(); }

    std::size_t getSize() const noexcept { return m_facts.size(); }

private:
    std::map<MemberId, MemberFact> m_facts;
};

}  // namespace pierbank

#endif  // PIERBANK_SCHEDULE_MEMBERTABLE_H
