// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_POLICY_EXPLANATION_H
#define PIERBANK_POLICY_EXPLANATION_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** What was decided about a job. */
enum class Verdict : std::uint8_t { NONE, PLACED, CLAIMED, WAITING, REFUSED, PREEMPTED, STOPPED };

constexpr Verdict lastOf(Verdict) {
    return Verdict::STOPPED;
}

/** The one thing that bound the decision: without it the decision would have been another. */
enum class Constraint : std::uint8_t {
    NONE,
    /** Fewer accelerators are free than the shape has. */
    TOO_FEW_FREE,
    /** Enough accelerators are free, but no part of the topology holds the shape. */
    FRAGMENTED,
    /** Free accelerators are kept for a job that has waited longer. */
    KEPT_FOR_CLAIM,
    /** The shape is larger than every part of the topology. */
    NEVER_FITS,
    /** Workers that would hold the shape are quarantined, drained or lost. */
    WORKERS_OUT,
    /** Placed inside the organisation's guarantee. */
    WITHIN_GUARANTEE,
    /** Placed on accelerators that guarantees of others may take back. */
    BORROWED,
    /** Another organisation took back its guaranteed shape. */
    RECLAIMED,
    /** An urgent job took the borrowed accelerators. */
    URGENT_WORK,
    /** It was moved, to make whole the place that a larger job needs. */
    MOVED,
    /** A job that waited past the bound took the borrowed accelerators. */
    STARVED_JOB,
    WITHDRAWN_BY_OPERATOR,
    /** A member's worker was lost, its lease lapsed or it refused to prepare. */
    MEMBER_LOST,
    /** A member's task failed. */
    MEMBER_FAILED,
    /** The job failed on several workers where other jobs do well. */
    JOB_AT_FAULT,
    /** More jobs are ahead than one pass explains. */
    BEHIND_OTHERS,
    ENDED,
};

constexpr Constraint lastOf(Constraint) {
    return Constraint::ENDED;
}

/** What an operator can do to change the outcome. */
enum class Remedy : std::uint8_t {
    NONE,
    WAIT,
    RELEASE_WORKER,
    WITHDRAW_JOB,
    SUBMIT_SMALLER,
    RAISE_GUARANTEE,
    FIX_JOB,
};

constexpr Remedy lastOf(Remedy) {
    return Remedy::FIX_JOB;
}

/** Why a job is where it is. Made when the decision is made and kept with it. */
struct Explanation {
    Verdict m_verdict = Verdict::NONE;
    Constraint m_constraint = Constraint::NONE;
    Remedy m_remedy = Remedy::NONE;
    /** The worker or job that the remedy names; for a preemption, the job that took over. */
    std::string m_subject;
    /** Parts of the topology that could hold the shape when the decision was made. */
    std::uint32_t m_candidates = 0;
    /** Accelerators that were free, and that the shape has. */
    std::uint32_t m_free = 0;
    std::uint32_t m_needed = 0;
    /** Jobs that were preempted for this decision. */
    std::vector<std::string> m_preempted;
    /** Wall time of the decision. */
    Millis m_decidedAt{0};

    /** One or two sentences for operators. */
    std::string toText() const;

    /** Whether both say the same thing; the time of the decision does not count. */
    bool saysSameAs(const Explanation& other) const;
};

std::string_view toText(Verdict verdict);
std::string_view toText(Constraint constraint);

}  // namespace pierbank

#endif  // PIERBANK_POLICY_EXPLANATION_H
