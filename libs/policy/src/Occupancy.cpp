// SPDX-License-Identifier: Apache-2.0
#include "Occupancy.h"

#include <bit>

namespace pierbank {

namespace {

std::uint32_t subtract(std::uint32_t from, std::uint32_t amount) {
    return from > amount ? from - amount : 0;
}

}  // namespace

void forEachWorker(const Job& job, const WorkerVisitor& visit) {
    // Members of one worker stand next to each other: CellFinder chooses worker by worker.
    const std::vector<Member>& members = job.m_members;
    for (std::size_t i = 0; i < members.size();) {
        std::size_t end = i;
        while (end < members.size() && members[end].m_worker == members[i].m_worker) {
            ++end;
        }
        visit(members[i].m_worker,
              static_cast<std::uint32_t>(end - i) * job.m_shape.m_accelerators);
        i = end;
    }
}

bool isFirmClaim(const Job& job) {
    return job.m_isUrgent || job.m_unit.has_value();
}

Occupancy::Occupancy(const ClusterState& state)
        : m_capacity(state.m_workers.size(), 0),
          m_held(state.m_workers.size(), 0),
          m_stopping(state.m_workers.size(), 0),
          m_guaranteedClaims(state.m_workers.size(), 0),
          m_urgentClaims(state.m_workers.size(), 0),
          m_starvedClaims(state.m_workers.size(), 0) {
    for (WorkerIndex i = 0; i < state.m_workers.size(); ++i) {
        const Worker& worker = state.m_workers[i];
        m_capacity[i] = worker.m_state == WorkerState::LIVE ? worker.m_accelerators : 0;
    }
    for (const auto& [name, job] : state.m_jobs) {
        if (job.m_state == JobState::CLAIMING) {
            addClaim(job);
        } else if (job.holdsAccelerators()) {
            addHeld(job);
        }
        if (job.isPlaced() && job.m_unit.has_value()) {
            m_busyUnits.insert(*job.m_unit);
        }
    }
}

void Occupancy::addHeld(const Job& job) {
    for (const Member& member : job.m_members) {
        m_held[member.m_worker] |= member.m_accelerators;
    }
    if (job.m_state == JobState::STOPPING) {
        forEachWorker(job, [this](WorkerIndex worker, std::uint32_t count) {
            m_stopping[worker] += count;
        });
    }
}

std::vector<std::uint32_t>& Occupancy::getClaims(const Job& job) {
    if (job.m_unit.has_value()) {
        return m_guaranteedClaims;
    }
    return job.m_isUrgent ? m_urgentClaims : m_starvedClaims;
}

void Occupancy::addClaim(const Job& job) {
    auto& claims = getClaims(job);
    forEachWorker(job, [&](WorkerIndex worker, std::uint32_t count) { claims[worker] += count; });
}

void Occupancy::removeClaim(const Job& job) {
    auto& claims = getClaims(job);
    forEachWorker(job, [&](WorkerIndex worker, std::uint32_t count) {
        claims[worker] = subtract(claims[worker], count);
    });
}

std::uint32_t Occupancy::getFree(WorkerIndex worker) const {
    const auto held = static_cast<std::uint32_t>(std::popcount(m_held[worker]));
    return subtract(m_capacity[worker], held);
}

std::uint32_t Occupancy::getClaimsBefore(WorkerIndex worker, bool isGuaranteed) const {
    return m_guaranteedClaims[worker] + (isGuaranteed ? 0 : m_urgentClaims[worker]);
}

std::uint32_t Occupancy::getFreeOfGuarantees(WorkerIndex worker) const {
    return subtract(getFree(worker), getClaimsBefore(worker, true));
}

std::uint32_t Occupancy::getFreeOfFirmClaims(WorkerIndex worker) const {
    return subtract(getFree(worker), getClaimsBefore(worker, false));
}

std::uint32_t Occupancy::getOpen(WorkerIndex worker) const {
    return subtract(getFreeOfFirmClaims(worker), m_starvedClaims[worker]);
}

}  // namespace pierbank
