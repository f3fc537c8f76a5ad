// SPDX-License-Identifier: Apache-2.0
// Reservations for large units before they starve, and the fragmentation of the free capacity.
#include <algorithm>

#include "pierbank/base/Scale.h"
#include "PlanningPass.h"

namespace pierbank {

namespace {

Resources componentMin(const Resources& a, const Resources& b) {
    return {std::min(a.m_cpuMillis, b.m_cpuMillis), std::min(a.m_memoryMb, b.m_memoryMb),
            std::min(a.m_accelerators, b.m_accelerators)};
}

std::size_t getRackIndex(DomainId rack) {
    return static_cast<std::size_t>(rack + 1);
}

std::uint32_t countMembers(const WaitingStep& step) {
    return step.m_spec->m_isGang ? static_cast<std::uint32_t>(step.m_taskIndexes.size()) : 1;
}

}  // namespace

bool PlanningPass::isLarge(const StepSpec& spec, std::uint32_t members) const {
    return ReservationPolicy(m_maxWorkerAccelerators).isLarge(getUnitSize(spec, members));
}

/**
 * Reserves hosts for large units of one priority before its units are placed, since units that come
 * first in the order would take the accelerators that have become free.
 * @param rest steps in their order, from the first of the priority on.
 */
void PlanningPass::reserveEarly(std::span<const WaitingStep> rest) {
    // Bounds the time of a plan. Units beyond it come to the front as those before them start.
    constexpr std::size_t MAX_ATTEMPTS = 6;
    std::map<UnitClass, std::size_t> smallestFailed;
    for (const WaitingStep& step : rest) {
        if (step.m_record->m_policy.m_priority != rest.front().m_record->m_policy.m_priority) {
            return;
        }
        const std::uint32_t members = countMembers(step);
        if (step.m_needsAdvice || !isLarge(*step.m_spec, members)) {
            continue;
        }
        const std::span<const std::uint32_t> indexes(step.m_taskIndexes);
        for (std::size_t i = 0; i < indexes.size(); i += members) {
            if (m_reservationAttempts == MAX_ATTEMPTS) {
                return;
            }
            WorkUnit unit{&step, indexes.subspan(i, members), {}};
            if (!mayReserve(unit)) {
                break;
            }
            const UnitClass unitClass = getUnitClass(unit);
            const auto failed = smallestFailed.find(unitClass);
            if (failed != smallestFailed.end() && failed->second <= members) {
                continue;
            }
            excludeHosts(unit);
            avoidSuspectRuns(unit);
            ++m_reservationAttempts;
            if (!reserveEarlyFor(unit, rest) && isTypicalOfClass(unit)) {
                smallestFailed[unitClass] = members;
            }
        }
    }
}

bool PlanningPass::mayReserve(const WorkUnit& unit) {
    if (m_acceleratorsByService.empty()) {
        for (const WorkerState& state : m_workerStates) {
            const WorkerSnapshot& worker = *state.m_snapshot;
            m_acceleratorsByService[worker.m_service] += worker.m_capacity.m_accelerators;
        }
    }
    const std::string& service = unit.getRecord().m_policy.m_service;
    const ReservationUse use = m_early.getUse(service, m_acceleratorsByService[service]);
    return ReservationPolicy::mayReserve(use, unit.countAccelerators());
}

/** @return false if no hosts will have room for the unit, or none of those in its class. */
bool PlanningPass::reserveEarlyFor(const WorkUnit& unit, std::span<const WaitingStep> rest) {
    const auto members = static_cast<std::uint32_t>(unit.m_taskIndexes.size());
    const Resources need = unit.getSpec().getCapacityDemand();
    auto hosts = ReservationPolicy::findEarliest(need, members, listReservableHosts(unit));
    if (!hosts.has_value()) {
        return false;
    }
    ContentionState state;
    state.m_fitsNow = hosts->m_startsIn == Millis(0);
    state.m_waited = m_wallNow - unit.m_waitingStep->m_dueAt;
    const auto mayUse = [&](const WaitingStep& step) {
        return std::any_of(hosts->m_hosts.begin(), hosts->m_hosts.end(), [&](const auto& share) {
            return step.m_eligible->m_isEligible[share.m_slot];
        });
    };
    state.m_hasSmallWaiting = std::any_of(rest.begin(), rest.end(), [&](const WaitingStep& step) {
        return step.m_spec->m_need.m_accelerators > 0 &&
               !isLarge(*step.m_spec, countMembers(step)) && mayUse(step);
    });
    state.m_hasSmallRunning = hasSmallRuns(unit, *hosts);
    if (ReservationPolicy::isKeptOut(state)) {
        const std::string& service = unit.getRecord().m_policy.m_service;
        std::vector<Millis> limits;
        for (const HostShare& share : hosts->m_hosts) {
            const double slowness = m_workerStates[share.m_slot].m_snapshot->m_slowness;
            limits.push_back(scale(hosts->m_startsIn, 1.0 / slowness));
        }
        m_early.add({&unit.getStep(), unit.m_taskIndexes.front(), unit.getRecord().m_id, service,
                     unit.getRecord().m_policy.m_priority, unit.countAccelerators(), need,
                     std::move(*hosts), std::move(limits)},
                    m_workerStates.size());
        measureWholeRacks();
    }
    return true;
}

/** Whether smaller units of the unit's own or a lower priority run on one of the hosts. */
bool PlanningPass::hasSmallRuns(const WorkUnit& unit, const ReservedHosts& hosts) const {
    const auto isSmall = [&](std::size_t index) {
        const Occupant& occupant = m_occupants[index];
        const std::uint32_t members = occupant.m_spec->m_isGang ? occupant.m_spec->m_tasks : 1;
        return getRecord(occupant).m_policy.m_priority >= unit.getRecord().m_policy.m_priority &&
               occupant.m_spec->m_need.m_accelerators > 0 && !isLarge(*occupant.m_spec, members);
    };
    return std::any_of(hosts.m_hosts.begin(), hosts.m_hosts.end(), [&](const HostShare& share) {
        const auto& occupants = m_occupantsOn[share.m_slot];
        return std::any_of(occupants.begin(), occupants.end(), isSmall);
    });
}

/** Hosts that take work only to be tested are left out, and those of other reservations. */
std::vector<ReservableHost> PlanningPass::listReservableHosts(const WorkUnit& unit) {
    collectExpectedReleases();
    const StepSpec& spec = unit.getSpec();
    const TasksPerWorker& used = countTasksPerWorker(unit);
    const std::vector<DomainId> domains = listTopologyDomains(unit);
    const bool isAnywhere = domains.size() == 1 && domains.front() == ANY_DOMAIN;
    std::vector<ReservableHost> hosts;
    for (const WorkerSlot slot : unit.m_waitingStep->m_eligible->m_slots) {
        const WorkerState& state = m_workerStates[slot];
        const WorkerSnapshot& worker = *state.m_snapshot;
        const DomainId domain = isAnywhere ? ANY_DOMAIN : getTopologyDomain(unit, slot);
        const bool isOutside = domains.size() == 1 && domain != domains.front();
        if (isOutside || isExcluded(unit, slot) || !isUnreservedFor(unit, slot) ||
            state.m_reservationStartsIn.has_value() || m_early.findAt(slot) != nullptr ||
            worker.m_maxTasksPerJob > 0) {
            continue;
        }
        ReservableHost& host = hosts.emplace_back();
        host.m_slot = slot;
        host.m_domain = domain;
        host.m_free = state.m_free;
        host.m_free += state.m_releasing;
        host.m_usedAccelerators =
                worker.m_capacity.m_accelerators -
                std::min(worker.m_capacity.m_accelerators, host.m_free.m_accelerators);
        host.m_maxMembers = static_cast<std::uint32_t>(unit.m_taskIndexes.size());
        if (!used.empty()) {
            host.m_maxMembers = spec.m_maxPerWorker - std::min(spec.m_maxPerWorker, used[slot]);
        }
        host.m_releases = m_expectedReleases[slot];
    }
    return hosts;
}

/** Collects when the active runs of each worker are expected to end, once in a pass. */
void PlanningPass::collectExpectedReleases() {
    if (!m_expectedReleases.empty()) {
        return;
    }
    m_expectedReleases.resize(m_workerStates.size());
    for (WorkerSlot slot = 0; slot < m_workerStates.size(); ++slot) {
        m_expectedReleases[slot].reserve(m_occupantsOn[slot].size());
    }
    std::vector<std::optional<RunTimeEstimate>> runTimes(m_groups.size());
    for (const Occupant& occupant : m_occupants) {
        if (occupant.m_isPreempted || occupant.m_isAwaited || occupant.m_spec->m_isLongRunning) {
            continue;
        }
        auto remaining = getRemaining(occupant);
        if (!remaining.has_value()) {
            auto& runTime = runTimes[occupant.m_group];
            if (!runTime.has_value()) {
                runTime = m_input.m_forecast.getRunTime(getRecord(occupant), *occupant.m_spec);
            }
            const double slowness = m_workerStates[occupant.m_slot].m_snapshot->m_slowness;
            remaining = ReservationPolicy::estimateRemaining(scale(runTime->m_expected, slowness),
                                                             scale(runTime->m_high, slowness),
                                                             m_wallNow - occupant.m_placedAt);
        }
        // What has not ended is not free yet.
        m_expectedReleases[occupant.m_slot].push_back(
                {std::max(*remaining, Millis(1)), occupant.m_spec->getCapacityDemand()});
    }
    for (WorkerSlot slot = 0; slot < m_workerStates.size(); ++slot) {
        auto& releases = m_expectedReleases[slot];
        std::sort(releases.begin(), releases.end(),
                  [](const auto& a, const auto& b) { return a.m_in < b.m_in; });
        Resources overcommitted = m_workerStates[slot].m_overcommitted;
        for (ExpectedRelease& release : releases) {
            const Resources demand = std::exchange(release.m_capacity, {});
            releaseCapacity(release.m_capacity, overcommitted, demand);
        }
    }
}

/**
 * Whether a unit may use a worker as if the worker were not reserved early: the reservation is its
 * own or of a lower priority, or the unit is expected to end before it.
 */
bool PlanningPass::ignoresEarlyReservation(const WorkUnit& unit, WorkerSlot slot) const {
    const EarlyReservation* const reservation = m_early.findAt(slot);
    if (reservation == nullptr || unit.isUrgent() ||
        unit.getRecord().m_policy.m_priority < reservation->m_priority ||
        reservation == findEarlyReservation(unit)) {
        return true;
    }
    return m_early.endsBefore(slot, getHighRunTime(*unit.m_waitingStep));
}

/** Limits the free capacity of a worker to what the unit may use beside an early reservation. */
Resources PlanningPass::limitToUnreserved(const WorkUnit& unit, WorkerSlot slot,
                                          const Resources& free) const {
    if (m_early.findAt(slot) == nullptr || ignoresEarlyReservation(unit, slot)) {
        return free;
    }
    Resources later = m_workerStates[slot].m_free;
    later += m_workerStates[slot].m_releasing;
    return componentMin(free, m_early.getSpare(slot, later));
}

const EarlyReservation* PlanningPass::findEarlyReservation(const WorkUnit& unit) const {
    return m_early.isEmpty() ? nullptr : m_early.findOf(unit.getStep(), unit.m_taskIndexes.front());
}

/** Gives the reservation of a placed unit back. */
void PlanningPass::releaseEarlyReservation(const WorkUnit& unit) {
    if (findEarlyReservation(unit) != nullptr) {
        m_early.release(unit.getStep(), unit.m_taskIndexes.front());
        // Units that the reservation kept away from its hosts may be placed there again.
        m_failedPlacements.clear();
    }
}

Millis PlanningPass::getHighRunTime(const WaitingStep& step) const {
    if (step.m_spec->m_isLongRunning) {
        return Millis::max();
    }
    if (!step.m_highRunTime.has_value()) {
        step.m_highRunTime = m_input.m_forecast.getRunTime(*step.m_record, *step.m_spec).m_high;
    }
    return *step.m_highRunTime;
}

void PlanningPass::measureWholeRacks() {
    m_wholeShares.assign(m_racks.size() + 1, 0);
    std::vector<double> workers(m_wholeShares.size());
    for (const WorkerState& state : m_workerStates) {
        const bool isWhole =
                state.m_free.m_accelerators >= state.m_snapshot->m_capacity.m_accelerators;
        m_wholeShares[getRackIndex(state.m_rack)] += isWhole ? 1 : 0;
        ++workers[getRackIndex(state.m_rack)];
    }
    for (std::size_t rack = 0; rack < workers.size(); ++rack) {
        m_wholeShares[rack] /= std::max(1.0, workers[rack]);
    }
}

/** Whether a unit is packed beside other small work, since a large unit waits for whole hosts. */
bool PlanningPass::isPacked(const WorkUnit& unit) const {
    return !m_early.isEmpty() && !unit.isUrgent() &&
           !isLarge(unit.getSpec(), static_cast<std::uint32_t>(unit.m_taskIndexes.size()));
}

double PlanningPass::getPackingPenalty(const WorkUnit& unit, WorkerSlot slot,
                                       const Resources& capacity) const {
    const WorkerState& state = m_workerStates[slot];
    PackingChoice choice;
    choice.m_left = capacity.m_accelerators -
                    std::min(capacity.m_accelerators, unit.getSpec().m_need.m_accelerators);
    choice.m_isWhole = capacity.m_accelerators >= state.m_snapshot->m_capacity.m_accelerators;
    choice.m_wholeShareOfRack = m_wholeShares[getRackIndex(state.m_rack)];
    choice.m_slowness = state.m_snapshot->m_slowness;
    choice.m_isReserved = m_early.findAt(slot) != nullptr;
    return ReservationPolicy(m_maxWorkerAccelerators).getPackingPenalty(choice);
}

void PlanningPass::addReservationExplanation(const WorkUnit& unit) {
    const EarlyReservation* const reservation = findEarlyReservation(unit);
    if (!m_input.m_withExplanations || reservation == nullptr) {
        return;
    }
    const ReservedHosts& hosts = reservation->m_hosts;
    const WorkerSlot first = hosts.m_hosts.front().m_slot;
    addExplanation(unit,
                   "waits: smaller work would keep it out, so that workers are reserved for "
                   "it, the first is " +
                           m_workerStates[first].m_snapshot->m_id.m_host + "; it should begin in " +
                           std::to_string(hosts.m_startsIn.count()) + " ms");
}

// Result of the pass.

/** Records the demand of a large unit that was not placed, for the fragmentation. */
void PlanningPass::recordUnplaced(const WorkUnit& unit) {
    // More kinds of waiting units hardly change the share.
    constexpr std::size_t MAX_KINDS = 32;
    const StepSpec& spec = unit.getSpec();
    const auto members = static_cast<std::uint32_t>(unit.m_taskIndexes.size());
    if (m_unplacedDemands.size() < MAX_KINDS && isLarge(spec, members)) {
        const Resources need = spec.getCapacityDemand();
        m_unplacedDemands.emplace(unit.m_waitingStep->m_eligible, need.m_cpuMillis, need.m_memoryMb,
                                  need.m_accelerators,
                                  spec.m_adjacency == Adjacency::WORKER ? members : 1);
    }
}

/** Returns the share of the free accelerators on which no waiting large unit has room. */
double PlanningPass::getFragmentation() const {
    std::uint64_t free = 0;
    std::uint64_t usable = 0;
    for (WorkerSlot slot = 0; slot < m_workerStates.size(); ++slot) {
        const WorkerState& state = m_workerStates[slot];
        if (!state.m_snapshot->m_acceptsWork) {
            continue;
        }
        std::uint32_t best = 0;
        for (const auto& [eligible, cpu, memory, accelerators, members] : m_unplacedDemands) {
            const std::uint32_t fitting = ReservationPolicy::countFitting(
                    {cpu, memory, accelerators}, state.m_free, state.m_free.m_accelerators);
            if (eligible->m_isEligible[slot] && fitting >= members) {
                best = std::max(best, fitting * accelerators);
            }
        }
        free += state.m_free.m_accelerators;
        usable += best;
    }
    return m_unplacedDemands.empty() || free == 0
                   ? 0.0
                   : 1.0 - static_cast<double>(usable) / static_cast<double>(free);
}

void PlanningPass::addReservationsToPlan() {
    for (const EarlyReservation& reservation : m_early.list()) {
        PlannedReservation& planned = m_plan.m_reservations.emplace_back();
        planned.m_job = reservation.m_job;
        planned.m_startsIn = reservation.m_hosts.m_startsIn;
        for (const HostShare& share : reservation.m_hosts.m_hosts) {
            planned.m_hosts.emplace_back(m_workerStates[share.m_slot].m_snapshot->m_id.m_host);
        }
    }
    m_plan.m_fragmentation = getFragmentation();
}

}  // namespace pierbank
