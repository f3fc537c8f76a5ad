// SPDX-License-Identifier: Apache-2.0
// The part of PlanPass that sets workers aside and takes accelerators back.
#include <algorithm>
#include <bit>

#include "pierbank/policy/JobEvents.h"
#include "PlanPass.h"

namespace pierbank {

namespace {

bool isRunningOrPreparing(const Job& job) {
    return job.m_state == JobState::RUNNING || job.m_state == JobState::PREPARING;
}

std::uint32_t countOn(const Job& job, WorkerIndex worker) {
    std::uint32_t count = 0;
    for (const Member& member : job.m_members) {
        count += member.m_worker == worker ? job.m_shape.m_accelerators : 0;
    }
    return count;
}

}  // namespace

std::vector<std::uint32_t> PlanPass::collectWithVictims(const IsVictim& isVictim,
                                                        bool isGuaranteed) const {
    std::vector<std::uint32_t> counts = collect(
            [this](WorkerIndex i) { return m_occupancy.getFree(i) + m_occupancy.m_stopping[i]; });
    for (const Job* const job : m_placed) {
        if (!isRunningOrPreparing(*job) || !isVictim(*job)) {
            continue;
        }
        forEachWorker(*job,
                      [&](WorkerIndex worker, std::uint32_t count) { counts[worker] += count; });
    }
    for (WorkerIndex i = 0; i < counts.size(); ++i) {
        counts[i] = std::min(counts[i], m_occupancy.m_capacity[i]);
        counts[i] -= std::min(counts[i], m_occupancy.getClaimsBefore(i, isGuaranteed));
    }
    return counts;
}

std::vector<double> PlanPass::getDisturbance(const IsVictim& isVictim) const {
    // A worker whose borrowed jobs are large gangs disturbs many accelerators for few.
    std::vector<double> held(m_state.m_workers.size(), 0.0);
    std::vector<double> disturbed(m_state.m_workers.size(), 0.0);
    for (const Job* const job : m_placed) {
        if (!isRunningOrPreparing(*job) || !isVictim(*job)) {
            continue;
        }
        forEachWorker(*job, [&](WorkerIndex worker, std::uint32_t count) {
            held[worker] += count;
            disturbed[worker] += job->m_shape.getTotal();
        });
    }
    for (WorkerIndex i = 0; i < held.size(); ++i) {
        disturbed[i] = held[i] > 0 ? disturbed[i] / held[i] : 1.0;
    }
    return disturbed;
}

bool PlanPass::isVictimOfFirm(const Job& other, const Job& job) const {
    if (isBorrowed(job)) {
        return isBorrowed(other) && !other.m_isUrgent;
    }
    // Urgent work takes over its organisation's own guarantee from work that is not.
    const bool isOwnPlace = other.m_unit == job.m_unit && job.m_isUrgent && !other.m_isUrgent;
    return isBorrowed(other) || isOwnPlace;
}

bool PlanPass::claimForUrgent(Job& job) {
    if (!job.m_isUrgent) {
        return false;
    }
    const ShapeKey key = makeKey(job.m_shape);
    if (m_failedUrgent.count(key) != 0) {
        return false;
    }
    const auto isVictim = [this, &job](const Job& other) {
        return isVictimOfFirm(other, job);
    };
    const auto choice =
            findAvoiding(job, collectWithVictims(isVictim, false), getDisturbance(isVictim));
    if (!choice.has_value()) {
        m_failedUrgent.insert(key);
        return false;
    }
    claim(job, *choice, makeWhy(Verdict::CLAIMED, Constraint::BORROWED, job, choice->m_candidates));
    job.m_why.m_preempted = preemptFor(job, isVictim, Constraint::URGENT_WORK);
    return true;
}

bool PlanPass::claimForStarved(Job& job) {
    const bool isAllowed = isStarved(job) && m_starvedClaims < m_settings.m_maxStarvedClaims;
    const ShapeKey key = makeKey(job.m_shape);
    if (!isAllowed || m_failedStarved.count(key) != 0) {
        return false;
    }
    const auto isVictim = [this](const Job& other) {
        return isBorrowed(other) && !other.m_isUrgent;
    };
    std::vector<std::uint32_t> available = collectWithVictims(isVictim, false);
    for (WorkerIndex i = 0; i < available.size(); ++i) {
        available[i] -= std::min(available[i], m_occupancy.m_starvedClaims[i]);
    }
    const auto choice = findAvoiding(job, available, getDisturbance(isVictim));
    if (!choice.has_value()) {
        m_failedStarved.insert(key);
        return false;
    }
    claim(job, *choice, makeWhy(Verdict::CLAIMED, Constraint::BORROWED, job, choice->m_candidates));
    return true;
}

bool PlanPass::claimByMoving(Job& job) {
    const ShapeKey key = makeKey(job.m_shape);
    const bool isAllowed = m_now - job.m_queuedAt >= m_settings.m_moveAfter &&
                           m_starvedClaims < m_settings.m_maxStarvedClaims &&
                           m_failedMoves.count(key) == 0;
    if (!isAllowed) {
        return false;
    }
    const auto isVictim = [this, &job](const Job& other) {
        const bool isSmall = other.m_shape.getTotal() * 2 <= job.m_shape.getTotal();
        const bool hasRested = m_now - other.m_startedAt >= m_settings.m_moveRest;
        return isBorrowed(other) && !other.m_isUrgent && isSmall && hasRested &&
               other.m_state == JobState::RUNNING;
    };
    std::vector<std::uint32_t> available = collectWithVictims(isVictim, false);
    for (WorkerIndex i = 0; i < available.size(); ++i) {
        const std::uint32_t taken = m_occupancy.m_starvedClaims[i] + m_occupancy.m_stopping[i];
        available[i] -= std::min(available[i], taken);
    }
    const auto choice = findAvoiding(job, available, getDisturbance(isVictim));
    if (!choice.has_value() || !canMove(job, *choice, isVictim)) {
        m_failedMoves.insert(key);
        return false;
    }
    claim(job, *choice, makeWhy(Verdict::CLAIMED, Constraint::BORROWED, job, choice->m_candidates));
    job.m_why.m_preempted = preemptFor(job, isVictim, Constraint::MOVED);
    return true;
}

bool PlanPass::canMove(const Job& job, const CellChoice& choice, const IsVictim& isVictim) const {
    std::vector<std::uint32_t> open =
            collect([this](WorkerIndex i) { return m_occupancy.getOpen(i); });
    std::vector<std::uint32_t> missing(open.size(), 0);
    for (const WorkerIndex worker : choice.m_workers) {
        const std::uint32_t fromOpen = std::min(open[worker], job.m_shape.m_accelerators);
        open[worker] -= fromOpen;
        missing[worker] += job.m_shape.m_accelerators - fromOpen;
    }
    for (const Job* const other : m_placed) {
        bool isInTheWay = false;
        forEachWorker(*other, [&](WorkerIndex worker, std::uint32_t) {
            isInTheWay = isInTheWay || missing[worker] > 0;
        });
        if (!isInTheWay || !isRunningOrPreparing(*other) || !isVictim(*other)) {
            continue;
        }
        forEachWorker(*other, [&](WorkerIndex worker, std::uint32_t count) {
            const std::uint32_t used = std::min(missing[worker], count);
            missing[worker] -= used;
        });
        const auto elsewhere = m_finder.find(other->m_shape, {open, open, {}});
        if (!elsewhere.has_value()) {
            return false;
        }
        for (const WorkerIndex worker : elsewhere->m_workers) {
            open[worker] -= other->m_shape.m_accelerators;
        }
    }
    return true;
}

void PlanPass::preemptForPatientClaims() {
    const auto isVictim = [this](const Job& other) {
        return isBorrowed(other) && !other.m_isUrgent;
    };
    for (Job* const job : getClaims()) {
        if (!isFirmClaim(*job) && m_now - job->m_claimedAt >= m_settings.m_claimPatience) {
            preemptFor(*job, isVictim, Constraint::STARVED_JOB);
        } else if (isFirmClaim(*job)) {
            // Work that was started on these accelerators before the claim reached its turn.
            const bool isGuaranteed = !isBorrowed(*job);
            const auto isFirmVictim = [&](const Job& other) {
                return isVictimOfFirm(other, *job);
            };
            preemptFor(*job, isFirmVictim,
                       isGuaranteed ? Constraint::RECLAIMED : Constraint::URGENT_WORK);
        }
    }
}

void PlanPass::revertHopelessClaims() {
    for (Job* const job : getClaims()) {
        const auto isVictim = [&](const Job& other) {
            return isVictimOfFirm(other, *job);
        };
        m_occupancy.removeClaim(*job);
        const auto reachable = collectWithVictims(isVictim, !isBorrowed(*job));
        bool isHopeless = false;
        forEachWorker(*job, [&](WorkerIndex worker, std::uint32_t count) {
            isHopeless = isHopeless || reachable[worker] < count;
        });
        if (!isHopeless) {
            m_occupancy.addClaim(*job);
            continue;
        }
        job->m_state = JobState::QUEUED;
        job->m_members.clear();
        job->m_unit.reset();
        m_occupancy = Occupancy(m_state);
    }
    indexPlaced();
}

std::vector<std::string> PlanPass::preemptFor(const Job& job, const IsVictim& isVictim,
                                              Constraint constraint) {
    std::vector<std::string> preempted;
    const auto getShortage = [&](WorkerIndex worker, std::uint32_t count) {
        const std::uint32_t own = isFirmClaim(job) ? count : 0;
        const std::uint32_t before = m_occupancy.getClaimsBefore(worker, !isBorrowed(job));
        const std::uint32_t others = before > own ? before - own : 0;
        const std::uint32_t coming = m_occupancy.getFree(worker) + m_occupancy.m_stopping[worker];
        const std::uint32_t reachable = coming > others ? coming - others : 0;
        return count > reachable ? count - reachable : 0;
    };
    forEachWorker(job, [&](WorkerIndex worker, std::uint32_t count) {
        while (getShortage(worker, count) > 0) {
            Job* best = nullptr;
            for (Job* const other : m_placed) {
                const bool isThere = isRunningOrPreparing(*other) && countOn(*other, worker) > 0;
                if (!isThere || !isVictim(*other)) {
                    continue;
                }
                const auto cost = [](const Job& j) {
                    return std::make_pair(j.m_shape.getTotal(), -j.m_startedAt.count());
                };
                if (best == nullptr || cost(*other) < cost(*best)) {
                    best = other;
                }
            }
            if (best == nullptr) {
                return;
            }
            preempted.push_back(best->m_name);
            preempt(*best, job, constraint);
        }
    });
    return preempted;
}

void PlanPass::preempt(Job& victim, const Job& forJob, Constraint constraint) {
    Explanation why = makeWhy(Verdict::PREEMPTED, constraint, victim, 0);
    why.m_subject = forJob.m_name;
    why.m_remedy = Remedy::RAISE_GUARANTEE;
    beginStop(victim, AfterStop::QUEUE_AGAIN, why, m_now);
    ++victim.m_preemptions;
    m_plan.m_decisions.push_back({victim.m_name, why});
    forEachWorker(victim, [this](WorkerIndex worker, std::uint32_t count) {
        m_occupancy.m_stopping[worker] += count;
    });
}

Millis PlanPass::getEarliestClaimTime() const {
    Millis earliest = Millis::max();
    if (m_starvedClaims == 0) {
        return earliest;
    }
    for (const Job* const job : m_placed) {
        if (job->m_state == JobState::CLAIMING && !isFirmClaim(*job)) {
            earliest = std::min(earliest, job->m_claimedAt + m_settings.m_claimPatience);
        }
    }
    return earliest;
}

}  // namespace pierbank
