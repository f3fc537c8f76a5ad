// SPDX-License-Identifier: Apache-2.0
#include "pierbank/policy/Explanation.h"

#include <array>

namespace pierbank {

namespace {

constexpr std::array<std::string_view, 7> VERDICTS = {
        "undecided", "placed", "claimed", "waiting", "refused", "preempted", "stopped"};

constexpr std::array<std::string_view, 18> CONSTRAINTS = {
        "no decision yet",
        "too few accelerators are free",
        "enough accelerators are free, but scattered: no allowed part of the topology holds the "
        "shape",
        "the free accelerators are kept for a job that has waited longer",
        "no part of the topology is large enough for the shape",
        "workers that would hold the shape are out of service",
        "it is within the organisation's guarantee",
        "it borrows accelerators that a guarantee may take back",
        "an organisation took back its guaranteed shape",
        "an urgent job took the borrowed accelerators",
        "it was moved to make room for a larger job",
        "a job that had waited past the bound took the borrowed accelerators",
        "an operator withdrew it",
        "a member's worker was lost or refused",
        "a member's task failed",
        "it failed on several workers where other jobs do well",
        "other jobs are ahead of it",
        "it has ended"};

std::string getRemedyText(const Explanation& why) {
    switch (why.m_remedy) {
        case Remedy::NONE:
            return {};
        case Remedy::WAIT:
            return "it starts when enough running work has ended";
        case Remedy::RELEASE_WORKER:
            return "`worker release " + why.m_subject + "` lets it start";
        case Remedy::WITHDRAW_JOB:
            return "`withdraw job " + why.m_subject + "` lets it start";
        case Remedy::SUBMIT_SMALLER:
            return "submit it with a smaller shape or a wider `within`";
        case Remedy::RAISE_GUARANTEE:
            return "a larger guarantee for its organisation would start it at once";
        case Remedy::FIX_JOB:
            return "mend the job, then submit it again";
    }
    return {};
}

}  // namespace

std::string_view toText(Verdict verdict) {
    return VERDICTS.at(static_cast<std::size_t>(verdict));
}

std::string_view toText(Constraint constraint) {
    return CONSTRAINTS.at(static_cast<std::size_t>(constraint));
}

std::string Explanation::toText() const {
    std::string text(pierbank::toText(m_verdict));
    text += ": ";
    text += pierbank::toText(m_constraint);
    const bool hasCounts = m_verdict == Verdict::WAITING && m_needed != 0;
    if (hasCounts) {
        text += " (" + std::to_string(m_free) + " free, " + std::to_string(m_needed) + " needed)";
    }
    if (m_verdict == Verdict::PLACED || m_verdict == Verdict::CLAIMED) {
        text += "; chosen among " + std::to_string(m_candidates) + " candidate places";
    }
    if (m_verdict == Verdict::PREEMPTED && !m_subject.empty()) {
        text += "; for job " + m_subject;
    }
    if (!m_preempted.empty()) {
        text += "; preempted";
        for (const std::string& job : m_preempted) {
            text += " " + job;
        }
    }
    const std::string remedy = getRemedyText(*this);
    return remedy.empty() ? text : text + "; " + remedy;
}

bool Explanation::saysSameAs(const Explanation& other) const {
    return m_verdict == other.m_verdict && m_constraint == other.m_constraint &&
           m_remedy == other.m_remedy && m_subject == other.m_subject && m_free == other.m_free &&
           m_preempted == other.m_preempted;
}

}  // namespace pierbank
