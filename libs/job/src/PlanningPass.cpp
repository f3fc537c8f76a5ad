// SPDX-License-Identifier: Apache-2.0
#include "PlanningPass.h"

#include <algorithm>
#include <cmath>

namespace pierbank {

namespace {

/** Returns the accelerators that the largest step of a job needs for all its tasks. */
std::uint32_t getPeakAccelerators(const JobSpec& spec) {
    std::uint32_t peak = 0;
    for (const StepSpec& step : spec.m_steps) {
        peak = std::max(peak, step.m_tasks * step.m_need.m_accelerators);
    }
    return peak;
}

/** Numbers the names of one topology level in ascending order; an empty name gets ANY_DOMAIN. */
std::map<std::string_view, DomainId> assignIds(std::span<const WorkerSnapshot> workers,
                                               std::string_view (*getName)(const WorkerSnapshot&)) {
    std::map<std::string_view, DomainId> numbers;
    for (const WorkerSnapshot& worker : workers) {
        numbers.emplace(getName(worker), ANY_DOMAIN);
    }
    DomainId next = 0;
    for (auto& [name, number] : numbers) {
        number = name.empty() ? ANY_DOMAIN : next++;
    }
    return numbers;
}

}  // namespace

PlanningPass::PlanningPass(const TaskPlannerSettings& settings, const PlanInput& input)
        : m_settings(settings), m_input(input), m_wallNow(input.m_wallNow) {
    m_workerStates.reserve(input.m_workers.size());
    for (const WorkerSnapshot& worker : input.m_workers) {
        m_slots.emplace(worker.m_id.m_host, m_workerStates.size());
        if (worker.m_isSuspect) {
            m_suspectSlots.push_back(m_workerStates.size());
        }
        if (worker.m_maxTasksPerJob > 0) {
            m_limitedSlots.push_back(m_workerStates.size());
        }
        WorkerState& state = m_workerStates.emplace_back();
        state.m_snapshot = &worker;
        state.m_free = worker.m_capacity;
        m_maxWorkerAccelerators =
                std::max(m_maxWorkerAccelerators, worker.m_capacity.m_accelerators);
    }
    m_hasPlacements.resize(input.m_jobs.size());
    m_wasIdle.resize(input.m_jobs.size());
    m_awaitsCapacity.resize(input.m_jobs.size());
    m_hasIdleWait.resize(input.m_jobs.size());
    assignDomainIds();
    findGuaranteed();
    collectActiveRuns();
    computeFreeCapacity();
    addGangCosts();
    sortOccupants();
    setAsideHeadroom();
    measureUse();
}

TaskPlan PlanningPass::run() {
    const std::vector<WaitingStep> steps = collectSteps();
    for (const WaitingStep& step : steps) {
        m_plan.m_waitingUnits += step.m_spec->m_isGang ? 1 : step.m_taskIndexes.size();
    }
    // Urgent and starved steps come first; the others follow in the order of their priorities.
    std::uint32_t reservedPriority = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const std::uint32_t priority = steps[i].m_record->m_policy.m_priority;
        if (m_settings.m_reservesEarly && priority > reservedPriority && !isStarved(steps[i])) {
            reservedPriority = priority;
            reserveEarly(std::span(steps).subspan(i));
        }
        placeStep(steps[i]);
    }
    if (m_settings.m_copiesSlowTasks) {
        copySlowTasks();
    }
    if (m_settings.m_migratesOffLeaving) {
        migrateOffLeaving();
    }
    addReservationsToPlan();
    return std::move(m_plan);
}

void PlanningPass::assignDomainIds() {
    const auto workers = m_input.m_workers;
    const auto hosts = assignIds(workers, [](const WorkerSnapshot& worker) {
        return std::string_view(worker.m_id.m_host);
    });
    const auto racks = assignIds(
            workers, [](const WorkerSnapshot& worker) { return std::string_view(worker.m_rack); });
    const auto failureDomains = assignIds(workers, [](const WorkerSnapshot& worker) {
        return std::string_view(worker.m_failureDomain);
    });
    for (WorkerState& state : m_workerStates) {
        state.m_host = hosts.at(state.m_snapshot->m_id.m_host);
        state.m_rack = racks.at(state.m_snapshot->m_rack);
        state.m_failureDomain = failureDomains.at(state.m_snapshot->m_failureDomain);
    }
    m_racks.insert(racks.begin(), racks.end());
}

/**
 * Marks urgent jobs as guaranteed, in the order of their acceptance, while the guarantee of their
 * organisation has enough accelerators left for the largest step of the job.
 */
void PlanningPass::findGuaranteed() {
    m_guaranteed.resize(m_input.m_jobs.size());
    std::vector<std::size_t> urgent;
    for (std::size_t job = 0; job < m_input.m_jobs.size(); ++job) {
        const PlannedJob& planned = m_input.m_jobs[job];
        if (planned.m_record->m_policy.m_priority == 0 && !planned.m_run->isFinished()) {
            urgent.push_back(job);
        }
    }
    std::sort(urgent.begin(), urgent.end(), [this](std::size_t a, std::size_t b) {
        const JobRecord& left = *m_input.m_jobs[a].m_record;
        const JobRecord& right = *m_input.m_jobs[b].m_record;
        return std::tie(left.m_acceptedAt, left.m_id) < std::tie(right.m_acceptedAt, right.m_id);
    });
    std::map<std::string, std::uint32_t> unusedGuarantees = m_input.m_guarantees;
    for (const std::size_t job : urgent) {
        const JobRecord& record = *m_input.m_jobs[job].m_record;
        const std::uint32_t need = getPeakAccelerators(record.m_spec);
        std::uint32_t& unused = unusedGuarantees[record.m_organisation];
        if (need <= unused) {
            unused -= need;
            m_guaranteed[job] = true;
        }
    }
}

// Placement of waiting units.

void PlanningPass::placeStep(const WaitingStep& step) {
    // Excluded hosts depend on the tasks that run already, so the hosts are determined for all
    // units before the first unit is placed.
    std::vector<WorkUnit> units;
    const std::span<const std::uint32_t> indexes(step.m_taskIndexes);
    const std::size_t size = step.m_spec->m_isGang ? indexes.size() : 1;
    for (std::size_t i = 0; i < indexes.size(); i += size) {
        units.push_back({&step, indexes.subspan(i, size), {}});
        excludeHosts(units.back());
    }
    for (WorkUnit& unit : units) {
        avoidSuspectRuns(unit);
        placeUnit(unit);
        recordIdleWait(unit);
    }
}

/**
 * Places a unit, or explains why it waits. Units for which the outcome depends only on their class
 * are skipped after a failed placement in this class.
 */
void PlanningPass::placeUnit(const WorkUnit& unit) {
    if (placeOverdue(unit)) {
        releaseEarlyReservation(unit);
        return;
    }
    const bool isCacheable = !unit.isUrgent() && !unit.m_waitingStep->m_needsAdvice &&
                             unit.getSpec().m_maxPerWorker == 0 && !isStarved(unit) &&
                             findEarlyReservation(unit) == nullptr;
    if (!isCacheable) {
        if (placeOrWait(unit)) {
            releaseEarlyReservation(unit);
            return;
        }
        recordUnplaced(unit);
        addWaitExplanation(unit);
        addReservationExplanation(unit);
        reserveFor(unit);
        return;
    }
    const auto smallestFailed = m_failedPlacements.find(getUnitClass(unit));
    if (smallestFailed != m_failedPlacements.end() &&
        unit.m_taskIndexes.size() >= smallestFailed->second.m_memberCount) {
        if (unit.m_taskIndexes.size() == smallestFailed->second.m_memberCount) {
            addExplanation(unit, smallestFailed->second.m_explanation.m_kind,
                           smallestFailed->second.m_explanation.m_text);
        } else {
            // The explanation is not reused: a larger unit may be too large for any worker.
            addWaitExplanation(unit);
        }
    } else if (!placeOrWait(unit)) {
        recordUnplaced(unit);
        addWaitExplanation(unit);
        recordFailedPlacement(unit);
    }
}

/**
 * Whether a unit that has no place shows that no larger unit of its class has one: it avoids no
 * hosts, and its members need not spread over more hosts than those of other units.
 */
bool PlanningPass::isTypicalOfClass(const WorkUnit& unit) {
    return unit.m_excludedSlots.empty() && !unit.m_avoidsSuspectRuns &&
           unit.getSpec().m_maxPerWorker == 0;
}

/** Records that units of this class and size cannot be placed. */
void PlanningPass::recordFailedPlacement(const WorkUnit& unit) {
    if (!isTypicalOfClass(unit)) {
        return;
    }
    FailedPlacement& failed = m_failedPlacements[getUnitClass(unit)];
    failed.m_memberCount = unit.m_taskIndexes.size();
    if (m_input.m_withExplanations) {
        failed.m_explanation = m_plan.m_explanations.back();
    }
}

/**
 * Places a unit, or sets aside capacity that will be freed for it.
 * @return false if neither was possible.
 */
bool PlanningPass::placeOrWait(const WorkUnit& unit) {
    if (usesForecast(unit)) {
        return placeByForecast(unit);
    }
    return placeInFreeOrReleasing(unit) ||
           (unit.isUrgent() && (waitForEnds(unit, getWaitBudget(unit)) || preemptFor(unit)));
}

/** Places a unit in free capacity, or sets aside capacity that is being freed. */
bool PlanningPass::placeInFreeOrReleasing(const WorkUnit& unit) {
    if (const auto assignment = findPlace(unit, false)) {
        commit(unit, *assignment);
        return true;
    }
    // While nothing is being freed, the second search would be the same as the first.
    if (const auto assignment = m_hasReleasing ? findPlace(unit, true) : std::nullopt) {
        awaitReleasing(unit, *assignment);
        return true;
    }
    return false;
}

/** Adds the placements of a unit to the plan, and updates the state of the workers. */
void PlanningPass::commit(const WorkUnit& unit, const Assignment& assignment) {
    --m_plan.m_waitingUnits;
    for (std::size_t i = 0; i < assignment.size(); ++i) {
        WorkerState& state = m_workerStates[assignment[i]];
        state.m_free -= unit.getSpec().getCapacityDemand();
        ++state.m_runCount;
        countLimitedTask(assignment[i], unit.m_waitingStep->m_jobIndex);
        state.m_hasSuspectRun = state.m_hasSuspectRun || unit.m_isSuspect;
        m_hasSuspectRuns = m_hasSuspectRuns || unit.m_isSuspect;
        m_plan.m_placements.push_back({unit.getKey(unit.m_taskIndexes[i]), state.m_snapshot->m_id});
        countPlacedTask(unit, assignment[i]);
    }
    m_hasPlacements[unit.m_waitingStep->m_jobIndex] = true;
    if (m_input.m_withExplanations) {
        addExplanation(
                unit, PlanExplanation::Kind::PLACED,
                "placed: room on " + m_workerStates[assignment.front()].m_snapshot->m_id.m_host);
    }
}

}  // namespace pierbank
