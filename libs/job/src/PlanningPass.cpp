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

std::uint32_t WorkUnit::countAccelerators() const {
    return getSpec().m_need.m_accelerators * static_cast<std::uint32_t>(m_taskIndexes.size());
}

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
    assignDomainIds();
    findGuaranteed();
    collectActiveRuns();
    computeFreeCapacity();
    addGangCosts();
    sortOccupants();
    setAsideHeadroom();
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

// Active runs.

void PlanningPass::collectActiveRuns() {
    for (std::size_t job = 0; job < m_input.m_jobs.size(); ++job) {
        for (const OccurrenceRun& occurrence : m_input.m_jobs[job].m_run->m_occurrences) {
            for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
                collectActiveRunsOfStep(job, occurrence, step);
            }
        }
    }
}

void PlanningPass::collectActiveRunsOfStep(std::size_t job, const OccurrenceRun& occurrence,
                                           std::uint32_t step) {
    const JobRecord& record = *m_input.m_jobs[job].m_record;
    const StepRun& run = occurrence.m_steps[step];
    const std::size_t first = m_occupants.size();
    Occupant occupant;
    occupant.m_jobIndex = job;
    occupant.m_step = &run;
    occupant.m_spec = &record.m_spec.m_steps[step];
    occupant.m_group = m_groups.size();
    occupant.m_occurrence = occurrence.m_number;
    occupant.m_stepNumber = step;
    occupant.m_isUrgent = record.m_policy.m_priority == 0;
    occupant.m_isGuaranteed = m_guaranteed[job];
    for (std::uint32_t i = 0; i < run.m_tasks.size(); ++i) {
        const TaskRun& task = run.m_tasks[i];
        if (task.occupiesWorker()) {
            occupant.m_index = i;
            occupant.m_run = task.m_run;
            occupant.m_placedAt = task.m_placedAt;
            addActiveRun(occupant, task.m_worker, task.m_state == TaskState::STOPPING);
            recordSuspectRun(task);
        }
    }
    occupant.m_isCopy = true;
    for (const TaskCopy& copy : run.m_copies) {
        occupant.m_index = copy.m_index;
        occupant.m_run = copy.m_run;
        occupant.m_placedAt = copy.m_placedAt;
        addActiveRun(occupant, copy.m_worker, copy.m_isStopping);
    }
    if (m_occupants.size() > first) {
        m_groups.push_back({first, m_occupants.size()});
    }
}

void PlanningPass::recordSuspectRun(const TaskRun& task) {
    const auto slot = findSlot(task.m_worker);
    if (slot.has_value() && task.m_losses.mayCrashWorker(m_wallNow - task.m_placedAt)) {
        m_workerStates[*slot].m_hasSuspectRun = true;
        m_hasSuspectRuns = true;
    }
}

void PlanningPass::addActiveRun(const Occupant& run, const WorkerId& worker, bool isStopping) {
    const auto slot = findSlot(worker);
    if (!slot.has_value()) {
        return;
    }
    const StepSpec& spec = *run.m_spec;
    WorkerState& state = m_workerStates[*slot];
    state.m_overcommitted += spec.getCapacityDemand();
    ++state.m_runCount;
    countLimitedTask(*slot, run.m_jobIndex);
    if (isStopping) {
        state.m_releasing += spec.getCapacityDemand();
        return;
    }
    Occupant& occupant = m_occupants.emplace_back(run);
    occupant.m_slot = *slot;
    const double elapsed = static_cast<double>((m_wallNow - run.m_placedAt).count());
    // A task that saves progress loses none when it is stopped, but each preemption costs the time
    // of a stop and a restart.
    constexpr double RESTART_MS = 300.0;
    const bool losesNoProgress = spec.m_savesProgress || run.m_isCopy;
    const double lost = losesNoProgress ? 0.0 : std::max(0.0, elapsed);
    occupant.m_preemptionCost = getCoreEquivalent(spec.m_need) * (lost + RESTART_MS);
}

/**
 * Computes the free capacity. Before the call, m_overcommitted contains the demand of all active
 * runs; after the call, only the demand beyond the capacity of the worker.
 */
void PlanningPass::computeFreeCapacity() {
    for (WorkerState& state : m_workerStates) {
        const Resources used = state.m_overcommitted;
        state.m_free -= used;
        state.m_overcommitted -= state.m_snapshot->m_capacity;
        const Resources stopping = state.m_releasing;
        state.m_releasing = Resources();
        releaseCapacity(state.m_releasing, state.m_overcommitted, stopping);
        m_hasReleasing = m_hasReleasing || state.m_releasing != Resources();
    }
}

/** Returns the slot of an incarnation of a worker; empty if the incarnation is not in the input. */
std::optional<WorkerSlot> PlanningPass::findSlot(const WorkerId& worker) const {
    const auto [begin, end] = m_slots.equal_range(worker.m_host);
    const auto found = std::find_if(begin, end, [&](const auto& entry) {
        return m_workerStates[entry.second].m_snapshot->m_id.m_incarnation == worker.m_incarnation;
    });
    return found == end ? std::nullopt : std::optional(found->second);
}

/** Gives each member the cost of its whole gang, since gangs are only preempted as a whole. */
void PlanningPass::addGangCosts() {
    for (const OccupantGroup& group : m_groups) {
        if (!m_occupants[group.m_first].m_spec->m_isGang) {
            continue;
        }
        double preemptionCost = 0;
        for (std::size_t i = group.m_first; i < group.m_end; ++i) {
            preemptionCost += m_occupants[i].m_preemptionCost;
        }
        for (std::size_t i = group.m_first; i < group.m_end; ++i) {
            m_occupants[i].m_preemptionCost = preemptionCost;
        }
    }
}

/** Sorts the occupants of each worker: non-urgent occupants first, then by ascending cost. */
void PlanningPass::sortOccupants() {
    m_occupantsOn.resize(m_workerStates.size());
    for (std::size_t i = 0; i < m_occupants.size(); ++i) {
        m_occupantsOn[m_occupants[i].m_slot].push_back(i);
    }
    for (auto& occupants : m_occupantsOn) {
        std::stable_sort(occupants.begin(), occupants.end(), [this](std::size_t a, std::size_t b) {
            const Occupant& left = m_occupants[a];
            const Occupant& right = m_occupants[b];
            return std::tie(left.m_isUrgent, left.m_preemptionCost) <
                   std::tie(right.m_isUrgent, right.m_preemptionCost);
        });
    }
}

TaskKey PlanningPass::getKey(const Occupant& occupant) const {
    return {getRecord(occupant).m_id, occupant.m_occurrence, occupant.m_stepNumber,
            occupant.m_index};
}

const JobRecord& PlanningPass::getRecord(const Occupant& occupant) const {
    return *m_input.m_jobs[occupant.m_jobIndex].m_record;
}

/** Empty for copies: forecasts do not distinguish a copy from the task's first run. */
std::optional<Millis> PlanningPass::getRemaining(const Occupant& occupant) const {
    if (occupant.m_isCopy) {
        return std::nullopt;
    }
    const TaskRef task{getRecord(occupant).m_id, occupant.m_occurrence, occupant.m_stepNumber,
                       occupant.m_index};
    return m_input.m_forecast.getRemaining(m_workerStates[occupant.m_slot].m_snapshot->m_id.m_host,
                                           task);
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
    }
}

/**
 * Places a unit, or explains why it waits. Units for which the outcome depends only on their class
 * are skipped after a failed placement in this class.
 */
void PlanningPass::placeUnit(const WorkUnit& unit) {
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
    const bool isCounted = unit.getSpec().m_maxPerWorker > 0;
    if (isCounted) {
        countTasksPerWorker(unit);
    }
    for (std::size_t i = 0; i < assignment.size(); ++i) {
        WorkerState& state = m_workerStates[assignment[i]];
        state.m_free -= unit.getSpec().getCapacityDemand();
        ++state.m_runCount;
        countLimitedTask(assignment[i], unit.m_waitingStep->m_jobIndex);
        state.m_hasSuspectRun = state.m_hasSuspectRun || unit.m_isSuspect;
        m_hasSuspectRuns = m_hasSuspectRuns || unit.m_isSuspect;
        m_plan.m_placements.push_back({unit.getKey(unit.m_taskIndexes[i]), state.m_snapshot->m_id});
        if (isCounted) {
            ++m_tasksPerWorker.at(&unit.getStep())[assignment[i]];
        }
    }
    m_hasPlacements[unit.m_waitingStep->m_jobIndex] = true;
    if (m_input.m_withExplanations) {
        addExplanation(
                unit, PlanExplanation::Kind::PLACED,
                "placed: room on " + m_workerStates[assignment.front()].m_snapshot->m_id.m_host);
    }
}

}  // namespace pierbank
