// SPDX-License-Identifier: Apache-2.0
#include "PlanPass.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "pierbank/policy/JobEvents.h"

namespace pierbank {

namespace {

/** How many doublings of run time or size a whole starvation bound of waiting outweighs. */
constexpr double AGE_GAIN = 4.0;
constexpr double PERCENT = 100.0;
constexpr double MILLIS_PER_MINUTE = 60'000.0;

}  // namespace

PlanPass::PlanPass(const PolicySettings& settings, ClusterState& state, Millis now)
        : m_settings(settings),
          m_state(state),
          m_now(now),
          m_finder(state.m_workers),
          m_packer(state, m_finder),
          m_occupancy(state) {
    indexPlaced();
}

void PlanPass::indexPlaced() {
    m_placed.clear();
    m_starvedClaims = 0;
    for (auto& [name, job] : m_state.m_jobs) {
        if (!job.isPlaced()) {
            continue;
        }
        m_placed.push_back(&job);
        const bool isStarvedClaim = job.m_state == JobState::CLAIMING && !isFirmClaim(job);
        m_starvedClaims += isStarvedClaim ? 1 : 0;
    }
}

PlanPass::ShapeKey PlanPass::makeKey(const Shape& shape) {
    return {shape.m_members, shape.m_accelerators, shape.m_adjacency};
}

Plan PlanPass::run() {
    revertHopelessClaims();
    repackUnits();
    adoptIntoUnits();
    assignClaims();
    preemptForPatientClaims();
    placeQueue();
    return std::move(m_plan);
}

void PlanPass::repackUnits() {
    m_plan.m_unmetUnits = m_packer.repack(m_occupancy.m_busyUnits);
}

void PlanPass::assignClaims() {
    std::vector<std::uint32_t> reserved(m_state.m_workers.size(), 0);
    for (Job* const job : getClaims()) {
        bool isFree = true;
        forEachWorker(*job, [&](WorkerIndex worker, std::uint32_t count) {
            isFree = isFree && m_occupancy.getFree(worker) >= reserved[worker] + count;
        });
        if (isFree) {
            m_occupancy.removeClaim(*job);
            m_starvedClaims -= isFirmClaim(*job) ? 0 : 1;
            assign(*job);
            Explanation why = job->m_why;
            why.m_verdict = Verdict::PLACED;
            decide(*job, why);
            continue;
        }
        forEachWorker(*job,
                      [&](WorkerIndex worker, std::uint32_t count) { reserved[worker] += count; });
    }
}

void PlanPass::placeQueue() {
    for (Job* const job : getQueue()) {
        if (placeWithinGuarantee(*job) || placeOnOpen(*job) || placeBackfill(*job) ||
            claimForUrgent(*job) || claimByMoving(*job) || claimForStarved(*job)) {
            continue;
        }
        const bool inFull = m_explained < m_settings.m_maxExplained;
        m_explained += 1;
        explainWaiting(*job, inFull);
    }
}

bool PlanPass::placeOnOpen(Job& job) {
    const ShapeKey key = makeKey(job.m_shape);
    if (m_failedShapes.count(key) != 0) {
        return false;
    }
    const auto open = collect([this](WorkerIndex i) { return m_occupancy.getOpen(i); });
    const auto choice = findAvoiding(job, open, {});
    if (!choice.has_value()) {
        m_failedShapes.insert(key);
        return false;
    }
    place(job, *choice, makeWhy(Verdict::PLACED, Constraint::BORROWED, job, choice->m_candidates));
    return true;
}

bool PlanPass::placeBackfill(Job& job) {
    const Millis claimTime = getEarliestClaimTime();
    if (claimTime == Millis::max() || m_now + getExpectedRemaining(m_state, job) > claimTime) {
        return false;
    }
    const ShapeKey key = makeKey(job.m_shape);
    if (m_failedBackfill.count(key) != 0) {
        return false;
    }
    const auto free = collect([this](WorkerIndex i) { return m_occupancy.getFreeOfFirmClaims(i); });
    const auto choice = findAvoiding(job, free, {});
    if (!choice.has_value()) {
        m_failedBackfill.insert(key);
        return false;
    }
    place(job, *choice, makeWhy(Verdict::PLACED, Constraint::BORROWED, job, choice->m_candidates));
    return true;
}

void PlanPass::explainWaiting(Job& job, bool inFull) {
    Explanation why = makeWhy(Verdict::WAITING, Constraint::BEHIND_OTHERS, job, 0);
    why.m_remedy = Remedy::WAIT;
    if (!inFull) {
        decide(job, why);
        return;
    }
    const auto free = collect([this](WorkerIndex i) { return m_occupancy.getFree(i); });
    const auto all = collect([this](WorkerIndex i) {
        const Worker& worker = m_state.m_workers[i];
        const bool isThere = worker.m_state != WorkerState::GONE;
        const auto held = static_cast<std::uint32_t>(std::popcount(m_occupancy.m_held[i]));
        return isThere ? worker.m_accelerators - std::min(held, worker.m_accelerators) : 0U;
    });
    if (!m_finder.couldEverFit(job.m_shape)) {
        why.m_constraint = Constraint::NEVER_FITS;
        why.m_remedy = Remedy::SUBMIT_SMALLER;
    } else if (m_finder.find(job.m_shape, {free, free, {}}).has_value()) {
        why.m_constraint = Constraint::KEPT_FOR_CLAIM;
    } else if (m_finder.find(job.m_shape, {all, all, {}}).has_value()) {
        why.m_constraint = Constraint::WORKERS_OUT;
    } else {
        const bool isEnough = why.m_free >= why.m_needed;
        why.m_constraint = isEnough ? Constraint::FRAGMENTED : Constraint::TOO_FEW_FREE;
    }
    decide(job, why);
}

void PlanPass::place(Job& job, const CellChoice& choice, const Explanation& why) {
    job.m_members.clear();
    for (const WorkerIndex worker : choice.m_workers) {
        job.m_members.push_back({worker, 0});
    }
    assign(job);
    decide(job, why);
}

void PlanPass::assign(Job& job) {
    for (Member& member : job.m_members) {
        AcceleratorMask& held = m_occupancy.m_held[member.m_worker];
        member.m_accelerators = 0;
        for (std::uint32_t i = 0; i < job.m_shape.m_accelerators; ++i) {
            const AcceleratorMask lowestFree = ~held & (held + 1);
            held |= lowestFree;
            member.m_accelerators |= lowestFree;
        }
    }
    if (job.m_state == JobState::QUEUED) {
        m_placed.push_back(&job);
    }
    m_openTotal.reset();
    job.m_state = JobState::PREPARING;
    job.m_attempt = m_state.m_nextAttempt++;
    if (job.m_unit.has_value()) {
        m_occupancy.m_busyUnits.insert(*job.m_unit);
    }
}

void PlanPass::claim(Job& job, const CellChoice& choice, const Explanation& why) {
    job.m_members.clear();
    for (const WorkerIndex worker : choice.m_workers) {
        job.m_members.push_back({worker, 0});
    }
    job.m_state = JobState::CLAIMING;
    job.m_claimedAt = m_now;
    m_placed.push_back(&job);
    m_openTotal.reset();
    m_starvedClaims += isFirmClaim(job) ? 0 : 1;
    m_occupancy.addClaim(job);
    if (job.m_unit.has_value()) {
        m_occupancy.m_busyUnits.insert(*job.m_unit);
    }
    decide(job, why);
}

void PlanPass::decide(Job& job, const Explanation& why) {
    const bool isNews = !why.saysSameAs(job.m_why);
    const Millis decidedAt = isNews ? why.m_decidedAt : job.m_why.m_decidedAt;
    job.m_why = why;
    job.m_why.m_decidedAt = decidedAt;
    if (isNews) {
        m_plan.m_decisions.push_back({job.m_name, job.m_why});
    }
}

bool PlanPass::isBorrowed(const Job& job) const {
    return !job.m_unit.has_value();
}

bool PlanPass::isStarved(const Job& job) const {
    const Millis bound =
            std::clamp(getExpectedRemaining(m_state, job), m_settings.m_starvationBound,
                       std::max(m_settings.m_starvationBound, m_settings.m_maxStarvationBound));
    return m_now - job.m_queuedAt >= bound;
}

double PlanPass::getQueueKey(const Job& job) const {
    const double minutes =
            static_cast<double>(getExpectedRemaining(m_state, job).count()) / MILLIS_PER_MINUTE;
    const double largeWeight = m_settings.m_fragmentationWeight / PERCENT;
    const double age = static_cast<double>((m_now - job.m_queuedAt).count()) /
                       static_cast<double>(m_settings.m_starvationBound.count());
    return (1.0 - largeWeight) * std::log2(1.0 + minutes) -
           largeWeight * std::log2(job.m_shape.getTotal()) - AGE_GAIN * age;
}

std::vector<Job*> PlanPass::getQueue() {
    struct Entry {
        bool m_isUrgent;
        double m_key;
        Job* m_job;
    };
    std::vector<Entry> entries;
    for (auto& [name, job] : m_state.m_jobs) {
        if (job.m_state == JobState::QUEUED) {
            entries.push_back({job.m_isUrgent, getQueueKey(job), &job});
        }
    }
    std::stable_sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
        return std::make_pair(!a.m_isUrgent, a.m_key) < std::make_pair(!b.m_isUrgent, b.m_key);
    });
    std::vector<Job*> queue;
    for (const Entry& entry : entries) {
        queue.push_back(entry.m_job);
    }
    return queue;
}

std::vector<Job*> PlanPass::getClaims() {
    std::vector<Job*> claims;
    std::copy_if(m_placed.begin(), m_placed.end(), std::back_inserter(claims),
                 [](const Job* job) { return job->m_state == JobState::CLAIMING; });
    const auto rank = [](const Job* job) {
        return std::make_tuple(!job->m_unit.has_value(), !job->m_isUrgent, job->m_claimedAt);
    };
    std::stable_sort(claims.begin(), claims.end(),
                     [&](const Job* a, const Job* b) { return rank(a) < rank(b); });
    return claims;
}

std::vector<std::uint32_t> PlanPass::collect(const CountOf& count) const {
    std::vector<std::uint32_t> counts(m_state.m_workers.size(), 0);
    for (WorkerIndex i = 0; i < counts.size(); ++i) {
        counts[i] = count(i);
    }
    return counts;
}

std::optional<CellChoice> PlanPass::findAvoiding(const Job& job,
                                                 std::vector<std::uint32_t> available,
                                                 const std::vector<double>& disturbance) const {
    const auto free = collect([this](WorkerIndex i) { return m_occupancy.getOpen(i); });
    if (!job.m_failedOn.empty()) {
        std::vector<std::uint32_t> elsewhere = available;
        for (const WorkerIndex worker : job.m_failedOn) {
            elsewhere[worker] = 0;
        }
        auto choice = m_finder.find(job.m_shape, {elsewhere, free, disturbance});
        if (choice.has_value()) {
            return choice;
        }
    }
    return m_finder.find(job.m_shape, {available, free, disturbance});
}

Explanation PlanPass::makeWhy(Verdict verdict, Constraint constraint, const Job& job,
                              std::uint32_t candidates) const {
    Explanation why;
    why.m_verdict = verdict;
    why.m_constraint = constraint;
    why.m_candidates = candidates;
    why.m_needed = job.m_shape.getTotal();
    if (!m_openTotal.has_value()) {
        m_openTotal = 0;
        for (WorkerIndex i = 0; i < m_state.m_workers.size(); ++i) {
            *m_openTotal += m_occupancy.getOpen(i);
        }
    }
    why.m_free = *m_openTotal;
    why.m_decidedAt = m_now;
    return why;
}

}  // namespace pierbank
