// SPDX-License-Identifier: Apache-2.0
#include "pierbank/schedule/StateUpdates.h"

#include <algorithm>
#include <set>
#include <vector>

namespace pierbank {

namespace {

bool isReferred(const ClusterState& state, WorkerIndex index) {
    const auto isOnWorker = [index](const auto& cell) {
        return cell.m_worker == index;
    };
    for (const GuaranteeUnit& unit : state.m_units) {
        if (std::any_of(unit.m_cells.begin(), unit.m_cells.end(), isOnWorker)) {
            return true;
        }
    }
    for (const auto& [name, job] : state.m_jobs) {
        const bool isMember = std::any_of(job.m_members.begin(), job.m_members.end(), isOnWorker);
        const bool hasFailed = std::find(job.m_failedOn.begin(), job.m_failedOn.end(), index) !=
                               job.m_failedOn.end();
        if (isMember || hasFailed) {
            return true;
        }
    }
    return false;
}

Worker& getOrAddWorker(ClusterState& state, const std::string& name) {
    const auto found = state.findWorker(name);
    if (found.has_value()) {
        return state.m_workers[*found];
    }
    for (WorkerIndex i = 0; i < state.m_workers.size(); ++i) {
        const bool isFree = state.m_workers[i].m_state == WorkerState::GONE;
        if (isFree && !isReferred(state, i)) {
            state.m_workers[i] = Worker();
            state.m_workers[i].m_name = name;
            return state.m_workers[i];
        }
    }
    state.m_workers.emplace_back();
    state.m_workers.back().m_name = name;
    return state.m_workers.back();
}

const Host* findHost(std::span<const Host> hosts, std::string_view name) {
    const auto hasName = [name](const Host& h) {
        return h.m_name == name && h.m_role == HostRole::WORKER;
    };
    const auto found = std::find_if(hosts.begin(), hosts.end(), hasName);
    return found == hosts.end() ? nullptr : &*found;
}

void removeUnit(ClusterState& state, std::uint64_t id) {
    for (auto& [name, job] : state.m_jobs) {
        if (job.m_unit == id) {
            // It goes on as borrowed work.
            job.m_unit.reset();
        }
    }
    std::erase_if(state.m_units, [id](const GuaranteeUnit& unit) { return unit.m_id == id; });
}

std::set<std::uint64_t> getUnitsWithJobs(const ClusterState& state) {
    std::set<std::uint64_t> units;
    for (const auto& [name, job] : state.m_jobs) {
        if (job.m_unit.has_value()) {
            units.insert(*job.m_unit);
        }
    }
    return units;
}

/** Units of one guarantee, those with jobs first: the others are the first to be taken away. */
std::vector<std::uint64_t> getUnits(const ClusterState& state, std::string_view organisation,
                                    const Shape& shape) {
    const std::set<std::uint64_t> busy = getUnitsWithJobs(state);
    std::vector<std::uint64_t> ids;
    for (const GuaranteeUnit& unit : state.m_units) {
        if (unit.m_organisation == organisation && unit.m_shape == shape) {
            ids.push_back(unit.m_id);
        }
    }
    std::stable_partition(ids.begin(), ids.end(),
                          [&](std::uint64_t id) { return busy.count(id) != 0; });
    return ids;
}

void setUnitCount(ClusterState& state, const std::string& organisation, const Shape& shape,
                  std::size_t count) {
    const std::vector<std::uint64_t> ids = getUnits(state, organisation, shape);
    for (std::size_t i = count; i < ids.size(); ++i) {
        removeUnit(state, ids[i]);
    }
    for (std::size_t i = ids.size(); i < count; ++i) {
        GuaranteeUnit unit;
        unit.m_id = state.m_nextUnit++;
        unit.m_organisation = organisation;
        unit.m_shape = shape;
        state.m_units.push_back(std::move(unit));
    }
}

void removeUnitsWithoutGuarantee(ClusterState& state) {
    std::vector<std::uint64_t> gone;
    for (const GuaranteeUnit& unit : state.m_units) {
        const Organisation* const owner = state.findOrganisation(unit.m_organisation);
        const auto isOfUnit = [&](const Guarantee& g) {
            return g.m_shape == unit.m_shape;
        };
        const bool isStillThere =
                owner != nullptr &&
                std::any_of(owner->m_guarantees.begin(), owner->m_guarantees.end(), isOfUnit);
        if (!isStillThere) {
            gone.push_back(unit.m_id);
        }
    }
    for (const std::uint64_t id : gone) {
        removeUnit(state, id);
    }
}

}  // namespace

void applyHosts(ClusterState& state, std::span<const Host> hosts, std::string_view region) {
    for (const Host& host : hosts) {
        if (host.m_role != HostRole::WORKER || host.m_region != region) {
            continue;
        }
        Worker& worker = getOrAddWorker(state, host.m_name);
        worker.m_failureDomain = host.m_failureDomain;
        worker.m_rack = host.m_rack;
        worker.m_accelerators = host.m_accelerators;
    }
}

void applyConfiguration(ClusterState& state, const Configuration& configuration) {
    std::vector<Organisation> organisations;
    for (const ConfiguredOrganisation& configured : configuration.m_organisations) {
        const Organisation* const known = state.findOrganisation(configured.m_name);
        Organisation organisation = known == nullptr ? Organisation() : *known;
        organisation.m_name = configured.m_name;
        organisation.m_guarantees = configured.m_guarantees;
        organisations.push_back(std::move(organisation));
    }
    state.m_organisations = std::move(organisations);
    removeUnitsWithoutGuarantee(state);
    for (const Organisation& organisation : state.m_organisations) {
        for (const Guarantee& guarantee : organisation.m_guarantees) {
            setUnitCount(state, organisation.m_name, guarantee.m_shape, guarantee.m_count);
        }
    }
}

void applyWorkerStates(ClusterState& state, const Configuration& configuration,
                       std::span<const Host> hosts, const GetStanding& getStanding) {
    for (WorkerIndex i = 0; i < state.m_workers.size(); ++i) {
        Worker& worker = state.m_workers[i];
        if (worker.m_state == WorkerState::GONE) {
            continue;
        }
        const Host* const host = findHost(hosts, worker.m_name);
        const auto ordered = configuration.m_workers.find(worker.m_name);
        const bool isForFailing = worker.m_quarantinedUntil.count() != 0;
        const LeaseStanding standing = getStanding(worker.m_name);
        // What an earlier leader saw lapse has lapsed, until the worker is heard again.
        const bool isLost =
                standing == LeaseStanding::LAPSED ||
                (worker.m_state == WorkerState::LOST && standing == LeaseStanding::SILENT);
        if (isLost) {
            const bool isGone = host == nullptr && !isReferred(state, i);
            worker.m_state = isGone ? WorkerState::GONE : WorkerState::LOST;
        } else if (standing == LeaseStanding::SILENT) {
            worker.m_state = WorkerState::SILENT;
        } else if (ordered != configuration.m_workers.end()) {
            worker.m_state = ordered->second;
        } else if (host != nullptr && host->m_isLeaving) {
            worker.m_state = WorkerState::DRAINED;
        } else if (isForFailing) {
            worker.m_state = WorkerState::QUARANTINED;
        } else {
            worker.m_state = WorkerState::LIVE;
        }
    }
}

void pruneJobs(ClusterState& state, std::size_t keep) {
    std::vector<std::pair<Millis, std::string>> over;
    for (const auto& [name, job] : state.m_jobs) {
        if (job.isOver()) {
            over.emplace_back(job.m_endedAt, name);
        }
    }
    if (over.size() <= keep) {
        return;
    }
    std::sort(over.begin(), over.end());
    for (std::size_t i = 0; i < over.size() - keep; ++i) {
        state.m_jobs.erase(over[i].second);
    }
}

}  // namespace pierbank
