// SPDX-License-Identifier: Apache-2.0
// Assignment of units to workers with sufficient free capacity.
#include <algorithm>
#include <limits>

#include "PlanningPass.h"

namespace pierbank {

std::vector<Resources> PlanningPass::listUsableCapacity(const WorkUnit& unit,
                                                        bool withReleasing) const {
    std::vector<Resources> capacities(m_workerStates.size());
    for (const WorkerSlot slot : unit.m_waitingStep->m_eligible->m_slots) {
        capacities[slot] = getUsableCapacity(unit, slot, withReleasing);
    }
    return capacities;
}

/**
 * Returns the free capacity that the unit may use on a worker; zero if the unit may not run there.
 * With `withReleasing`, capacity that is about to be freed counts as well.
 */
Resources PlanningPass::getUsableCapacity(const WorkUnit& unit, WorkerSlot slot,
                                          bool withReleasing) const {
    Resources free;
    if (isUnreservedFor(unit, slot) && !isExcluded(unit, slot)) {
        free = m_workerStates[slot].m_free;
        if (withReleasing) {
            free += m_workerStates[slot].m_releasing;
        }
    }
    return m_early.isEmpty() ? free : limitToUnreserved(unit, slot, free);
}

bool PlanningPass::isExcluded(const WorkUnit& unit, WorkerSlot slot) const {
    if (unit.m_isOverdue) {
        return false;
    }
    return (unit.m_avoidsSuspectRuns && m_workerStates[slot].m_hasSuspectRun) ||
           (unit.m_avoidedSlots != nullptr && (*unit.m_avoidedSlots)[slot]) ||
           isAtTaskLimit(unit, slot) ||
           std::find(unit.m_excludedSlots.begin(), unit.m_excludedSlots.end(), slot) !=
                   unit.m_excludedSlots.end();
}

bool PlanningPass::isAllowed(const WorkUnit& unit, WorkerSlot slot) const {
    return unit.m_waitingStep->m_eligible->m_isEligible[slot] && !isExcluded(unit, slot);
}

/**
 * Whether neither the headroom nor a reservation of a starved unit excludes the unit from a worker.
 * Only work that ends before the reservation starts may be placed on a reserved worker. Early
 * reservations only limit the capacity, see limitToUnreserved().
 */
bool PlanningPass::isUnreservedFor(const WorkUnit& unit, WorkerSlot slot) const {
    const WorkerState& state = m_workerStates[slot];
    const StepSpec& spec = unit.getSpec();
    if (state.m_isHeadroom && !mayUseHeadroom(unit)) {
        return false;
    }
    return !state.m_reservationStartsIn.has_value() ||
           (!spec.m_isLongRunning && spec.m_estimate < *state.m_reservationStartsIn);
}

/**
 * Allows remote work once the unit has waited for more than the additional run time, or longer than
 * its job may be idle; and at once if there is nothing to wait for.
 */
bool PlanningPass::allowsRemote(const WorkUnit& unit) const {
    const auto estimate = static_cast<double>(unit.getSpec().m_estimate.count());
    const auto waited = static_cast<double>((m_wallNow - unit.m_waitingStep->m_dueAt).count());
    return unit.m_isOverdue || waited > (m_settings.m_remoteFactor - 1.0) * estimate ||
           (prefersDomain(unit) && !canPreferredDomainHold(unit));
}

/** Whether the unit takes longer outside the rack of its data, or over several domains. */
bool PlanningPass::prefersDomain(const WorkUnit& unit) const {
    const StepSpec& spec = unit.getSpec();
    return !spec.m_dataRack.empty() || (spec.m_allowsRemote && needsSingleDomain(unit));
}

/** Whether one of the domains that the unit prefers could hold it if all workers there were idle.
 */
bool PlanningPass::canPreferredDomainHold(const WorkUnit& unit) const {
    auto& canHold = unit.m_waitingStep->m_canPreferredDomainHold;
    if (canHold.has_value()) {
        return *canHold;
    }
    const StepSpec& spec = unit.getSpec();
    const auto members = static_cast<std::uint32_t>(unit.m_taskIndexes.size());
    const std::uint32_t perHost = spec.m_maxPerWorker == 0 ? members : spec.m_maxPerWorker;
    const auto dataRack = m_racks.find(spec.m_dataRack);
    std::map<DomainId, std::uint32_t> places;
    canHold = false;
    for (WorkerSlot slot = 0; slot < m_workerStates.size() && !*canHold; ++slot) {
        const DomainId domain = getTopologyDomain(unit, slot);
        const bool isPreferred = spec.m_dataRack.empty() ||
                                 (dataRack != m_racks.end() && domain == dataRack->second);
        if (isPreferred && canEverUse(unit, slot)) {
            const Resources& capacity = m_workerStates[slot].m_snapshot->m_capacity;
            places[domain] +=
                    ReservationPolicy::countFitting(spec.getCapacityDemand(), capacity, perHost);
            canHold = places[domain] >= members;
        }
    }
    return *canHold;
}

/** Whether the worker may run the unit now or once it is linked or trusted again. */
bool PlanningPass::canEverUse(const WorkUnit& unit, WorkerSlot slot) const {
    const WorkerSnapshot& worker = *m_workerStates[slot].m_snapshot;
    const std::string& label = unit.getSpec().m_requiredLabel;
    return worker.m_service == unit.getRecord().m_policy.m_service &&
           !worker.m_leavesIn.has_value() && !worker.m_isEvacuated &&
           (label.empty() || worker.m_labels.count(label) != 0);
}

DomainId PlanningPass::getTopologyDomain(const WorkUnit& unit, WorkerSlot slot) const {
    const WorkerState& state = m_workerStates[slot];
    if (!unit.getSpec().m_dataRack.empty()) {
        return state.m_rack;
    }
    switch (unit.getSpec().m_adjacency) {
        case Adjacency::WORKER:
            return state.m_host;
        case Adjacency::RACK:
            return state.m_rack;
        case Adjacency::FAILURE_DOMAIN:
            return state.m_failureDomain;
        case Adjacency::REGION:
            break;
    }
    return ANY_DOMAIN;
}

/** Whether all members of the unit must run in the same topology domain. */
bool PlanningPass::needsSingleDomain(const WorkUnit& unit) const {
    return unit.getSpec().m_adjacency != Adjacency::REGION && unit.m_taskIndexes.size() > 1;
}

/** Returns the topology domains to try for the whole unit, in ascending order. */
std::vector<DomainId> PlanningPass::listTopologyDomains(const WorkUnit& unit) const {
    const StepSpec& spec = unit.getSpec();
    if (prefersDomain(unit) && !canPreferredDomainHold(unit)) {
        return {ANY_DOMAIN};
    }
    if (!spec.m_dataRack.empty()) {
        const auto rack = m_racks.find(spec.m_dataRack);
        return {rack == m_racks.end() ? UNKNOWN_DOMAIN : rack->second};
    }
    if (!needsSingleDomain(unit)) {
        return {ANY_DOMAIN};
    }
    const auto [place, isNew] = m_domainsByLevel.try_emplace(spec.m_adjacency);
    std::vector<DomainId>& domains = place->second;
    if (isNew) {
        for (WorkerSlot slot = 0; slot < m_workerStates.size(); ++slot) {
            domains.push_back(getTopologyDomain(unit, slot));
        }
        std::sort(domains.begin(), domains.end());
        domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
    }
    return domains;
}

std::optional<PlanningPass::Assignment> PlanningPass::findPlace(const WorkUnit& unit,
                                                                bool withReleasing) {
    const bool isSimple = unit.m_taskIndexes.size() == 1 && unit.getSpec().m_dataRack.empty();
    if (!isSimple) {
        return assign(unit, listUsableCapacity(unit, withReleasing));
    }
    const auto slot = chooseSlot(unit, unit.m_taskIndexes.front(), ANY_DOMAIN,
                                 countTasksPerWorker(unit), [&](WorkerSlot candidate) {
                                     return getUsableCapacity(unit, candidate, withReleasing);
                                 });
    return slot.has_value() ? std::optional(Assignment{*slot}) : std::nullopt;
}

std::optional<PlanningPass::Assignment> PlanningPass::assign(
        const WorkUnit& unit, const std::vector<Resources>& capacities) {
    if (auto local = assignToOneDomain(unit, capacities)) {
        return local;
    }
    const StepSpec& spec = unit.getSpec();
    const bool isConstrained =
            !spec.m_dataRack.empty() || (spec.m_allowsRemote && needsSingleDomain(unit));
    return isConstrained && allowsRemote(unit) ? assignWithin(unit, capacities, ANY_DOMAIN)
                                               : std::nullopt;
}

/** Assigns a unit to the topology domain with the fewest free accelerators that suffice. */
std::optional<PlanningPass::Assignment> PlanningPass::assignToOneDomain(
        const WorkUnit& unit, const std::vector<Resources>& capacities) {
    const std::vector<DomainId> domains = listTopologyDomains(unit);
    if (domains.size() == 1) {
        return assignWithin(unit, capacities, domains.front());
    }
    // The first number of a domain is ANY_DOMAIN, of workers outside all domains of the level.
    const auto getIndex = [](DomainId domain) {
        return static_cast<std::size_t>(domain - ANY_DOMAIN);
    };
    std::vector<std::uint64_t> capacityByDomain(m_workerStates.size() + 1);
    for (const WorkerSlot slot : unit.m_waitingStep->m_eligible->m_slots) {
        capacityByDomain[getIndex(getTopologyDomain(unit, slot))] +=
                capacities[slot].m_accelerators;
    }
    std::optional<Assignment> best;
    std::uint64_t bestCapacity = std::numeric_limits<std::uint64_t>::max();
    for (const DomainId domain : domains) {
        const std::uint64_t capacity = capacityByDomain[getIndex(domain)];
        if (capacity >= bestCapacity || capacity < unit.countAccelerators()) {
            continue;
        }
        if (auto assignment = assignWithin(unit, capacities, domain)) {
            best = std::move(assignment);
            bestCapacity = capacity;
        }
    }
    return best;
}

std::optional<PlanningPass::Assignment> PlanningPass::assignWithin(
        const WorkUnit& unit, const std::vector<Resources>& capacities, DomainId domain) {
    std::vector<Resources> left = capacities;
    TasksPerWorker used = countTasksPerWorker(unit);
    Assignment assignment;
    for (const std::uint32_t index : unit.m_taskIndexes) {
        const auto slot = chooseSlot(unit, index, domain, used,
                                     [&](WorkerSlot candidate) { return left[candidate]; });
        if (!slot.has_value()) {
            return std::nullopt;
        }
        left[*slot] -= unit.getSpec().getCapacityDemand();
        if (!used.empty()) {
            ++used[*slot];
        }
        assignment.push_back(*slot);
    }
    return assignment;
}

template <typename GetCapacity>
std::optional<WorkerSlot> PlanningPass::chooseSlot(const WorkUnit& unit, std::uint32_t index,
                                                   DomainId domain, const TasksPerWorker& used,
                                                   GetCapacity getCapacity) const {
    const StepSpec& spec = unit.getSpec();
    const Resources need = spec.getCapacityDemand();
    std::optional<WorkerSlot> best;
    double bestPenalty = std::numeric_limits<double>::max();
    for (const WorkerSlot slot : unit.m_waitingStep->m_eligible->m_slots) {
        const Resources capacity = getCapacity(slot);
        const bool isOutside = domain != ANY_DOMAIN && getTopologyDomain(unit, slot) != domain;
        const bool isFull = !used.empty() && used[slot] >= spec.m_maxPerWorker;
        if (!need.fitsInto(capacity) || isOutside || isFull || isExcluded(unit, slot)) {
            continue;
        }
        const double penalty = getPenalty(unit, index, slot, capacity);
        if (penalty < bestPenalty) {
            best = slot;
            bestPenalty = penalty;
        }
    }
    return best;
}

/**
 * Spreads the tasks whose workers crashed repeatedly over the hosts, in a pseudo-random way. In a
 * rolling restart, workers may restart in the order in which hosts are tried here. A lost task
 * would then be placed on the next worker to restart each time, and would be considered the cause
 * of the crashes. After a single crash the penalty is zero, since a suitable host matters more.
 */
double PlanningPass::getSpreadPenalty(const WorkUnit& unit, std::uint32_t index,
                                      std::string_view host) {
    constexpr double MAX_PENALTY = 20.0;
    constexpr std::size_t STEPS = 1024;
    const TaskRun& task = unit.getStep().m_tasks[index];
    if (!task.m_losses.hasRepeatedCrashes()) {
        return 0.0;
    }
    std::string text = unit.getRecord().m_id;
    text.append("/").append(std::to_string(index));
    text.append("/").append(std::to_string(task.m_lastRun)).append("/").append(host);
    const std::size_t step = std::hash<std::string>()(text) % STEPS;
    return MAX_PENALTY * static_cast<double>(step) / static_cast<double>(STEPS);
}

/**
 * Returns the penalty for placing a task on a worker; the worker with the lowest penalty is chosen.
 * Hosts on which the task failed are the last choice, workers with suspect runs the second last,
 * and the headroom the third last. Suspect tasks prefer workers with few runs. Among the other
 * workers, speed is weighed against the accelerators that stay free; while a large unit waits for
 * whole hosts, smaller units are packed instead.
 */
double PlanningPass::getPenalty(const WorkUnit& unit, std::uint32_t index, WorkerSlot slot,
                                const Resources& capacity) const {
    constexpr double FAILED_HERE_PENALTY = 1000.0;
    constexpr double HEADROOM_PENALTY = 100.0;
    Resources left = capacity;
    left -= unit.getSpec().getCapacityDemand();
    const WorkerSnapshot& worker = *m_workerStates[slot].m_snapshot;
    const TaskRun& task = unit.getStep().m_tasks[index];
    const bool hasFailedHere = task.m_failedHosts.contains(worker.m_id.m_host) ||
                               task.m_losses.hasCrashedOn(worker.m_id.m_host);
    const double cpuShare =
            static_cast<double>(left.m_cpuMillis) / std::max(1U, worker.m_capacity.m_cpuMillis);
    // A suspect task that crashes its worker ends all other runs there as well.
    constexpr double SUSPECT_RUN_PENALTY = 500.0;
    constexpr double SHARED_WORKER_PENALTY = 50.0;
    const double riskPenalty = (m_workerStates[slot].m_hasSuspectRun ? SUSPECT_RUN_PENALTY : 0.0) +
                               (unit.m_isSuspect ? SHARED_WORKER_PENALTY : 0.0) *
                                       static_cast<double>(m_workerStates[slot].m_runCount);
    const bool usesHeadroom = m_workerStates[slot].m_isHeadroom && !unit.isUrgent();
    const double speedWeight =
            unit.isUrgent() ? m_settings.m_urgentSpeedWeight : m_settings.m_nonUrgentSpeedWeight;
    const double fitPenalty = isPacked(unit) ? getPackingPenalty(unit, slot, capacity)
                                             : speedWeight * (worker.m_slowness - 1.0) +
                                                       left.m_accelerators + cpuShare;
    return (hasFailedHere ? FAILED_HERE_PENALTY : 0.0) + riskPenalty +
           (usesHeadroom ? HEADROOM_PENALTY : 0.0) + getOverduePenalty(unit, slot) +
           getSpreadPenalty(unit, index, worker.m_id.m_host) + fitPenalty;
}

/** Counts a run or copy that this pass places, for the limit of the step's tasks per worker. */
void PlanningPass::countPlacedTask(const WorkUnit& unit, WorkerSlot slot) {
    if (unit.getSpec().m_maxPerWorker > 0) {
        countTasksPerWorker(unit);
        ++m_tasksPerWorker.at(&unit.getStep())[slot];
    }
}

/** Returns the number of the step's active runs by slot, including those placed by this pass. */
const PlanningPass::TasksPerWorker& PlanningPass::countTasksPerWorker(const WorkUnit& unit) {
    if (unit.getSpec().m_maxPerWorker == 0) {
        return m_noTaskCounts;
    }
    const auto [place, isNew] = m_tasksPerWorker.try_emplace(&unit.getStep());
    TasksPerWorker& counts = place->second;
    if (!isNew) {
        return counts;
    }
    counts.resize(m_workerStates.size());
    const auto count = [&](const WorkerId& worker) {
        if (const auto slot = findSlot(worker)) {
            ++counts[*slot];
        }
    };
    for (const TaskRun& task : unit.getStep().m_tasks) {
        if (task.occupiesWorker()) {
            count(task.m_worker);
        }
    }
    for (const TaskCopy& copy : unit.getStep().m_copies) {
        count(copy.m_worker);
    }
    return counts;
}

}  // namespace pierbank
