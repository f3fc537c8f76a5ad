// SPDX-License-Identifier: Apache-2.0
// Choice of victims: on one worker, and over the whole set for units that are placed by forecast.
#include <algorithm>

#include "PlanningPass.h"

namespace pierbank {

namespace {

/** Additional cost of a victim for each time that it gave way before, as a share of its lost work:
 * the same run should not lose its work again and again. */
constexpr double RESTART_WEIGHT = 0.5;
/** After so many restarts a run is not dearer any more, so that it is no obstacle for ever. */
constexpr std::uint32_t MAX_COUNTED_RESTARTS = 4;
/** Maximum number of gangs with which the choice of victims is tried to begin. */
constexpr std::size_t MAX_FIRST_GANGS = 4;

/** Returns how many earlier runs of a task ended without a failure of their own: they gave way. */
std::uint32_t countRestarts(const TaskRun& task) {
    const std::uint32_t own = 1 + task.m_failures;
    return task.m_lastRun > own ? std::min(task.m_lastRun - own, MAX_COUNTED_RESTARTS) : 0;
}

}  // namespace

/**
 * Chooses the cheapest runs to preempt on a worker so that the demand of a unit's members fits.
 * @return the victims, none if the demand fits already; nullopt if it cannot be made to fit.
 */
std::optional<PlanningPass::Victims> PlanningPass::chooseVictims(
        const WorkUnit& unit, WorkerSlot slot, const Resources& need,
        const Preemption& preemption) const {
    Resources capacity = m_workerStates[slot].m_free;
    capacity += m_workerStates[slot].m_releasing;
    Resources overcommitted = m_workerStates[slot].m_overcommitted;
    std::vector<std::size_t> storage;
    const std::span<const std::size_t> candidates = orderVictims(unit, slot, storage);
    const bool hasFreed = unit.m_usesForecast && !preemption.m_gangGroups.empty();
    for (std::size_t i = 0; hasFreed && i < candidates.size(); ++i) {
        const Occupant& occupant = m_occupants[candidates[i]];
        if (isFreedByGang(occupant, preemption)) {
            releaseCapacity(capacity, overcommitted, occupant.m_spec->getCapacityDemand());
        }
    }
    Victims victims;
    // The limit of unavailable tasks of a step counts over all workers.
    std::set<std::size_t> chosen = preemption.m_victims;
    for (const std::size_t candidate : candidates) {
        if (need.fitsInto(capacity)) {
            break;
        }
        const bool isFreed = hasFreed && isFreedByGang(m_occupants[candidate], preemption);
        if (!isFreed && mayPreempt(unit, m_occupants[candidate], chosen)) {
            releaseCapacity(capacity, overcommitted,
                            m_occupants[candidate].m_spec->getCapacityDemand());
            victims.push_back(candidate);
            chosen.insert(candidate);
        }
    }
    if (!need.fitsInto(capacity)) {
        return std::nullopt;
    }
    // Drops victims that turn out to be unnecessary, the most expensive first.
    for (std::size_t i = victims.size(); i-- > 0;) {
        Resources without = capacity;
        without -= m_occupants[victims[i]].m_spec->getCapacityDemand();
        if (need.fitsInto(without)) {
            capacity = without;
            victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
    return victims;
}

/**
 * Returns the cost of the victims that are not preempted already; a gang counts once.
 * @param isWeighted whether runs that gave way before count more than their lost work.
 */
double PlanningPass::getPreemptionCost(const Victims& victims, const Preemption& preemption,
                                       bool isWeighted) const {
    double preemptionCost = 0;
    for (std::size_t i = 0; i < victims.size(); ++i) {
        const Occupant& victim = m_occupants[victims[i]];
        const bool isGang = victim.m_spec->m_isGang;
        const auto end = victims.begin() + static_cast<std::ptrdiff_t>(i);
        const bool isCounted = isGang ? preemption.m_gangGroups.count(victim.m_group) != 0 ||
                                                std::any_of(victims.begin(), end,
                                                            [&](std::size_t other) {
                                                                return m_occupants[other].m_group ==
                                                                       victim.m_group;
                                                            })
                                      : preemption.m_victims.count(victims[i]) != 0;
        preemptionCost += isCounted ? 0.0 : getVictimCost(victim, isWeighted);
    }
    return preemptionCost;
}

/** @param isWeighted whether runs that gave way before count more than their lost work. */
double PlanningPass::getVictimCost(const Occupant& victim, bool isWeighted) const {
    if (!isWeighted) {
        return victim.m_preemptionCost;
    }
    // A gang counts its failures in its first task.
    const std::uint32_t counted = victim.m_spec->m_isGang ? 0 : victim.m_index;
    return victim.m_preemptionCost *
           (1.0 + RESTART_WEIGHT * countRestarts(victim.m_step->m_tasks[counted]));
}

/** Returns the occupants of a worker in the order in which they are considered as victims. */
std::span<const std::size_t> PlanningPass::orderVictims(const WorkUnit& unit, WorkerSlot slot,
                                                        std::vector<std::size_t>& storage) const {
    const std::vector<std::size_t>& occupants = m_occupantsOn[slot];
    const bool hasRestarted =
            unit.m_usesForecast &&
            std::any_of(occupants.begin(), occupants.end(), [this](std::size_t i) {
                return getVictimCost(m_occupants[i], true) > m_occupants[i].m_preemptionCost;
            });
    if (!hasRestarted) {
        return occupants;
    }
    storage = occupants;
    std::stable_sort(storage.begin(), storage.end(), [this](std::size_t a, std::size_t b) {
        const Occupant& left = m_occupants[a];
        const Occupant& right = m_occupants[b];
        return std::make_pair(left.m_isUrgent, getVictimCost(left, true)) <
               std::make_pair(right.m_isUrgent, getVictimCost(right, true));
    });
    return storage;
}

/** Whether a run ends in any case, since another member of its gang is a victim. */
bool PlanningPass::isFreedByGang(const Occupant& occupant, const Preemption& preemption) const {
    return occupant.m_spec->m_isGang && !occupant.m_isPreempted && !occupant.m_isAwaited &&
           preemption.m_gangGroups.count(occupant.m_group) != 0;
}

/**
 * Returns the cheapest gangs with members on several workers that the unit may preempt. Member by
 * member such a gang looks dear, although it frees room for several members of the unit at once.
 */
std::vector<std::size_t> PlanningPass::listFirstGangs(const WorkUnit& unit, double maxCost) const {
    std::vector<std::pair<double, std::size_t>> gangs;
    for (std::size_t group = 0; unit.m_taskIndexes.size() > 1 && group < m_groups.size(); ++group) {
        const OccupantGroup& range = m_groups[group];
        const Occupant& first = m_occupants[range.m_first];
        const double cost = getVictimCost(first, true);
        if (!first.m_spec->m_isGang || range.m_end - range.m_first < 2 || cost >= maxCost) {
            continue;
        }
        const auto begin = m_occupants.begin() + static_cast<std::ptrdiff_t>(range.m_first);
        const auto end = m_occupants.begin() + static_cast<std::ptrdiff_t>(range.m_end);
        if (std::all_of(begin, end, [&](const Occupant& member) {
                return mayPreempt(unit, member, {}) && isAllowed(unit, member.m_slot);
            })) {
            gangs.emplace_back(cost, group);
        }
    }
    std::sort(gangs.begin(), gangs.end());
    gangs.resize(std::min(gangs.size(), MAX_FIRST_GANGS));
    std::vector<std::size_t> groups;
    for (const auto& [cost, group] : gangs) {
        groups.push_back(group);
    }
    return groups;
}

/** Adds a whole gang to the victims before any member of the unit has a worker. */
void PlanningPass::addGang(std::size_t group, Preemption& preemption) const {
    const std::size_t first = m_groups[group].m_first;
    preemption.m_preemptionCost += getVictimCost(m_occupants[first], false);
    preemption.m_cost += getVictimCost(m_occupants[first], true);
    addVictims({first}, preemption);
}

/**
 * Drops the victims that the whole set does not need, the dearest first: what was chosen for one
 * worker may be unnecessary after a gang was chosen for another.
 */
void PlanningPass::dropUnneeded(Preemption& preemption) const {
    std::vector<std::size_t> victims(preemption.m_victims.begin(), preemption.m_victims.end());
    std::stable_sort(victims.begin(), victims.end(), [this](std::size_t a, std::size_t b) {
        return getVictimCost(m_occupants[a], true) > getVictimCost(m_occupants[b], true);
    });
    std::set<std::size_t> triedGangs;
    for (const std::size_t victim : victims) {
        const Occupant& occupant = m_occupants[victim];
        const bool isGang = occupant.m_spec->m_isGang;
        if (isGang && !triedGangs.insert(occupant.m_group).second) {
            continue;
        }
        const std::set<std::size_t> allVictims = preemption.m_victims;
        std::erase_if(preemption.m_victims, [&](std::size_t other) {
            return isGang ? m_occupants[other].m_group == occupant.m_group : other == victim;
        });
        if (isGang) {
            preemption.m_gangGroups.erase(occupant.m_group);
        }
        if (isHeldBy(preemption)) {
            preemption.m_preemptionCost -= getVictimCost(occupant, false);
            preemption.m_cost -= getVictimCost(occupant, true);
            continue;
        }
        preemption.m_victims = allVictims;
        if (isGang) {
            preemption.m_gangGroups.insert(occupant.m_group);
        }
    }
}

/** Whether the capacity that the victims free suffices for all members of the unit. */
bool PlanningPass::isHeldBy(const Preemption& preemption) const {
    return std::all_of(preemption.m_allocated.begin(), preemption.m_allocated.end(),
                       [&](const auto& entry) {
                           const auto& [slot, need] = entry;
                           Resources capacity = m_workerStates[slot].m_free;
                           capacity += m_workerStates[slot].m_releasing;
                           Resources overcommitted = m_workerStates[slot].m_overcommitted;
                           for (const std::size_t i : m_occupantsOn[slot]) {
                               if (preemption.m_victims.count(i) != 0 ||
                                   isFreedByGang(m_occupants[i], preemption)) {
                                   releaseCapacity(capacity, overcommitted,
                                                   m_occupants[i].m_spec->getCapacityDemand());
                               }
                           }
                           return need.fitsInto(capacity);
                       });
}

}  // namespace pierbank
