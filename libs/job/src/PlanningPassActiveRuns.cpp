// SPDX-License-Identifier: Apache-2.0
// Collection of the active runs, and the capacity that they leave free.
#include <algorithm>

#include "PlanningPass.h"

namespace pierbank {

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

}  // namespace pierbank
