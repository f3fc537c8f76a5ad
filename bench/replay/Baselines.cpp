// SPDX-License-Identifier: Apache-2.0
#include "Baselines.h"

#include <algorithm>
#include <bit>
#include <functional>

#include "pierbank/policy/CellFinder.h"
#include "pierbank/policy/JobEvents.h"

namespace pierbank::replay {

namespace {

using Counts = std::vector<std::uint32_t>;
using Choose = std::function<std::optional<CellChoice>(const Job&, const Counts&)>;

std::vector<AcceleratorMask> getHeld(const ClusterState& state) {
    std::vector<AcceleratorMask> held(state.m_workers.size(), 0);
    for (const auto& [name, job] : state.m_jobs) {
        for (const Member& member : job.m_members) {
            held[member.m_worker] |= member.m_accelerators;
        }
    }
    return held;
}

Counts getFree(const ClusterState& state, const std::vector<AcceleratorMask>& held) {
    Counts free(held.size(), 0);
    for (WorkerIndex i = 0; i < held.size(); ++i) {
        const Worker& worker = state.m_workers[i];
        const bool isLive = worker.m_state == WorkerState::LIVE;
        const auto used = static_cast<std::uint32_t>(std::popcount(held[i]));
        free[i] = isLive ? worker.m_accelerators - used : 0;
    }
    return free;
}

void take(Job& job, const CellChoice& choice, std::vector<AcceleratorMask>& held,
          std::uint64_t attempt) {
    job.m_members.clear();
    for (const WorkerIndex worker : choice.m_workers) {
        Member member{worker, 0};
        for (std::uint32_t i = 0; i < job.m_shape.m_accelerators; ++i) {
            const AcceleratorMask lowest = ~held[worker] & (held[worker] + 1);
            held[worker] |= lowest;
            member.m_accelerators |= lowest;
        }
        job.m_members.push_back(member);
    }
    job.m_state = JobState::PREPARING;
    job.m_attempt = attempt;
}

/** Places queued jobs in order of arrival wherever `choose` finds room. */
void placeInOrder(ClusterState& state, Millis now, const Choose& choose) {
    endQuarantines(state, now);
    std::vector<Job*> queue;
    for (auto& [name, job] : state.m_jobs) {
        if (job.m_state == JobState::QUEUED) {
            queue.push_back(&job);
        }
    }
    std::stable_sort(queue.begin(), queue.end(), [](const Job* a, const Job* b) {
        return a->m_submittedAt < b->m_submittedAt;
    });
    std::vector<AcceleratorMask> held = getHeld(state);
    for (Job* const job : queue) {
        const Counts free = getFree(state, held);
        const auto choice = choose(*job, free);
        if (choice.has_value()) {
            take(*job, *choice, held, state.m_nextAttempt++);
        }
    }
}

/** The first workers in their order that hold the shape within one part of the topology. */
std::optional<CellChoice> chooseFirst(const ClusterState& state, const Shape& shape,
                                      const Counts& free) {
    const auto isSamePart = [&](WorkerIndex a, WorkerIndex b) {
        const Worker& left = state.m_workers[a];
        const Worker& right = state.m_workers[b];
        switch (shape.m_adjacency) {
            case Adjacency::WORKER:
                return a == b;
            case Adjacency::RACK:
                return left.m_rack == right.m_rack && left.m_failureDomain == right.m_failureDomain;
            case Adjacency::FAILURE_DOMAIN:
                return left.m_failureDomain == right.m_failureDomain;
            case Adjacency::REGION:
                break;
        }
        return true;
    };
    for (WorkerIndex first = 0; first < free.size(); ++first) {
        CellChoice choice;
        for (WorkerIndex i = first; i < free.size(); ++i) {
            const std::uint32_t slots = isSamePart(first, i) ? free[i] / shape.m_accelerators : 0;
            for (std::uint32_t s = 0; s < slots && choice.m_workers.size() < shape.m_members; ++s) {
                choice.m_workers.push_back(i);
            }
        }
        if (choice.m_workers.size() == shape.m_members) {
            return choice;
        }
        if (shape.m_adjacency == Adjacency::REGION) {
            break;
        }
    }
    return std::nullopt;
}

}  // namespace

void FirstFitFifo::plan(ClusterState& state, Millis now) {
    placeInOrder(state, now, [&state](const Job& job, const Counts& free) {
        return chooseFirst(state, job.m_shape, free);
    });
}

void BestFit::plan(ClusterState& state, Millis now) {
    const CellFinder finder(state.m_workers);
    placeInOrder(state, now, [&finder](const Job& job, const Counts& free) {
        return finder.find(job.m_shape, {free, free, {}});
    });
}

void StaticPartitions::plan(ClusterState& state, Millis now) {
    if (m_ownerOf.empty()) {
        std::vector<double> shares;
        double total = 0;
        for (const Organisation& organisation : state.m_organisations) {
            double share = 0;
            for (const Guarantee& guarantee : organisation.m_guarantees) {
                share += guarantee.m_shape.getTotal() * guarantee.m_count;
            }
            shares.push_back(share);
            total += share;
        }
        double sum = 0;
        std::size_t owner = 0;
        for (std::size_t i = 0; i < state.m_workers.size(); ++i) {
            const double part =
                    static_cast<double>(i) / static_cast<double>(state.m_workers.size());
            while (owner + 1 < shares.size() && part >= (sum + shares[owner]) / total) {
                sum += shares[owner++];
            }
            m_ownerOf.push_back(state.m_organisations[owner].m_name);
        }
    }
    const CellFinder finder(state.m_workers);
    placeInOrder(state, now, [&](const Job& job, const Counts& free) {
        Counts own = free;
        for (std::size_t i = 0; i < own.size(); ++i) {
            own[i] = m_ownerOf[i] == job.m_organisation ? own[i] : 0;
        }
        return finder.find(job.m_shape, {own, own, {}});
    });
}

}  // namespace pierbank::replay
