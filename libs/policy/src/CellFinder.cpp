// SPDX-License-Identifier: Apache-2.0
#include "pierbank/policy/CellFinder.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

namespace pierbank {

namespace {

std::uint32_t slotsOf(std::uint32_t available, const Shape& shape) {
    return available / shape.m_accelerators;
}

/** Cost of taking `count` accelerators of a worker: its free ones cost nothing. */
double disturbanceOf(WorkerIndex worker, std::uint32_t count, const CellSupply& supply) {
    const std::uint32_t free = supply.m_free[worker];
    if (count <= free || supply.m_disturbance.empty()) {
        return 0.0;
    }
    return supply.m_disturbance[worker] * (count - free);
}

}  // namespace

/** Compared in order of the members; less is better. */
struct CellFinder::Score {
    double m_disturbance = 0.0;
    std::uint32_t m_brokenRacks = 0;
    std::uint32_t m_brokenWorkers = 0;
    std::uint64_t m_leftOver = 0;

    bool operator<(const Score& other) const {
        return std::tie(m_disturbance, m_brokenRacks, m_brokenWorkers, m_leftOver) <
               std::tie(other.m_disturbance, other.m_brokenRacks, other.m_brokenWorkers,
                        other.m_leftOver);
    }
};

CellFinder::CellFinder(std::span<const Worker> workers)
        : m_workers(workers), m_region(1), m_rackOf(workers.size(), 0) {
    std::map<std::pair<std::string, std::string>, std::size_t> racks;
    std::map<std::string, std::size_t> domains;
    for (WorkerIndex i = 0; i < workers.size(); ++i) {
        const Worker& worker = workers[i];
        if (worker.m_state == WorkerState::GONE) {
            continue;
        }
        const auto rack = racks.try_emplace({worker.m_failureDomain, worker.m_rack}, racks.size());
        const auto domain = domains.try_emplace(worker.m_failureDomain, domains.size());
        m_racks.resize(racks.size());
        m_domains.resize(domains.size());
        m_single.push_back({i});
        m_racks[rack.first->second].push_back(i);
        m_domains[domain.first->second].push_back(i);
        m_region.front().push_back(i);
        m_rackOf[i] = rack.first->second;
    }
}

const std::vector<CellFinder::Group>& CellFinder::getGroups(Adjacency adjacency) const {
    switch (adjacency) {
        case Adjacency::WORKER:
            return m_single;
        case Adjacency::RACK:
            return m_racks;
        case Adjacency::FAILURE_DOMAIN:
            return m_domains;
        case Adjacency::REGION:
            break;
    }
    return m_region;
}

std::uint64_t CellFinder::countSlots(const Group& group, const Shape& shape,
                                     std::span<const std::uint32_t> available) const {
    std::uint64_t slots = 0;
    for (const WorkerIndex worker : group) {
        slots += slotsOf(available[worker], shape);
    }
    return slots;
}

CellFinder::Group CellFinder::order(const Group& group, const Shape& shape,
                                    const CellSupply& supply) const {
    std::vector<std::uint32_t> rackFree(m_racks.size(), 0);
    for (const WorkerIndex worker : group) {
        rackFree[m_rackOf[worker]] += supply.m_available[worker];
    }
    const auto key = [&](WorkerIndex worker) {
        const double cost = disturbanceOf(worker, shape.m_accelerators, supply);
        return std::make_tuple(cost, rackFree[m_rackOf[worker]], supply.m_available[worker]);
    };
    Group sorted;
    for (const WorkerIndex worker : group) {
        if (slotsOf(supply.m_available[worker], shape) > 0) {
            sorted.push_back(worker);
        }
    }
    std::stable_sort(sorted.begin(), sorted.end(),
                     [&](WorkerIndex a, WorkerIndex b) { return key(a) < key(b); });
    return sorted;
}

std::vector<WorkerIndex> CellFinder::choose(const Group& group, const Shape& shape,
                                            const CellSupply& supply) const {
    std::vector<WorkerIndex> chosen;
    for (const WorkerIndex worker : order(group, shape, supply)) {
        const std::uint32_t slots = slotsOf(supply.m_available[worker], shape);
        for (std::uint32_t i = 0; i < slots && chosen.size() < shape.m_members; ++i) {
            chosen.push_back(worker);
        }
    }
    return chosen;
}

CellFinder::Score CellFinder::rate(std::span<const WorkerIndex> chosen, std::uint64_t slots,
                                   const Shape& shape, const CellSupply& supply) const {
    std::map<WorkerIndex, std::uint32_t> taken;
    for (const WorkerIndex worker : chosen) {
        taken[worker] += shape.m_accelerators;
    }
    Score score;
    std::map<std::size_t, bool> racks;
    for (const auto& [worker, count] : taken) {
        score.m_disturbance += disturbanceOf(worker, count, supply);
        const bool isWhole = supply.m_available[worker] == m_workers[worker].m_accelerators;
        const bool isUsedUp = count == supply.m_available[worker];
        score.m_brokenWorkers += (isWhole && !isUsedUp) ? 1U : 0U;
        racks[m_rackOf[worker]] = true;
    }
    for (const auto& [rack, touched] : racks) {
        const Group& members = m_racks[rack];
        const auto isWhole = [&](WorkerIndex worker) {
            return supply.m_available[worker] == m_workers[worker].m_accelerators;
        };
        const bool isWholeRack = std::all_of(members.begin(), members.end(), isWhole);
        score.m_brokenRacks += (isWholeRack && touched) ? 1U : 0U;
    }
    score.m_leftOver = slots - shape.m_members;
    return score;
}

std::optional<CellChoice> CellFinder::findAt(Adjacency adjacency, const Shape& shape,
                                             const CellSupply& supply) const {
    std::optional<CellChoice> best;
    Score bestScore;
    std::uint32_t candidates = 0;
    for (const Group& group : getGroups(adjacency)) {
        const std::uint64_t slots = countSlots(group, shape, supply.m_available);
        if (slots < shape.m_members) {
            continue;
        }
        ++candidates;
        std::vector<WorkerIndex> chosen = choose(group, shape, supply);
        const Score score = rate(chosen, slots, shape, supply);
        if (!best.has_value() || score < bestScore) {
            best = CellChoice{std::move(chosen), 0};
            bestScore = score;
        }
    }
    if (best.has_value()) {
        best->m_candidates = candidates;
    }
    return best;
}

std::optional<CellChoice> CellFinder::find(const Shape& shape, const CellSupply& supply) const {
    for (auto level = Adjacency::WORKER; level <= shape.m_adjacency;
         level = static_cast<Adjacency>(static_cast<int>(level) + 1)) {
        auto choice = findAt(level, shape, supply);
        if (choice.has_value()) {
            return choice;
        }
    }
    return std::nullopt;
}

bool CellFinder::couldEverFit(const Shape& shape) const {
    std::vector<std::uint32_t> all(m_workers.size(), 0);
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        all[i] = m_workers[i].m_accelerators;
    }
    const std::vector<Group>& groups = getGroups(shape.m_adjacency);
    const auto holds = [&](const Group& group) {
        return countSlots(group, shape, all) >= shape.m_members;
    };
    return std::any_of(groups.begin(), groups.end(), holds);
}

}  // namespace pierbank
