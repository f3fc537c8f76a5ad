// SPDX-License-Identifier: Apache-2.0
// Reservations for starved units, copies of slow tasks, and migration from leaving workers.
#include <algorithm>
#include <numeric>

#include "PlanningPass.h"

namespace pierbank {

bool PlanningPass::isStarved(const WorkUnit& unit) const {
    return isStarved(*unit.m_waitingStep);
}

bool PlanningPass::isStarved(const WaitingStep& step) const {
    const Millis bound = std::max(m_settings.m_minStarvationWait,
                                  step.m_spec->m_estimate * m_settings.m_starvationFactor);
    return m_wallNow - step.m_dueAt >= bound;
}

/** Returns the expected time until a run ends; empty for lasting tasks. */
std::optional<Millis> PlanningPass::getExpectedRemaining(const Occupant& occupant) const {
    if (occupant.m_spec->m_isLongRunning) {
        return std::nullopt;
    }
    if (const auto remaining = getRemaining(occupant)) {
        return remaining;
    }
    const Millis elapsed = m_wallNow - occupant.m_placedAt;
    return std::max(occupant.m_spec->m_estimate - elapsed, Millis(0));
}

/** Reserves the workers on which a starved unit can start the earliest as active runs end. */
void PlanningPass::reserveFor(const WorkUnit& unit) {
    if (unit.isUrgent() || m_reservationCount >= m_settings.m_maxReservations || !isStarved(unit)) {
        return;
    }
    std::vector<std::pair<Millis, const Occupant*>> ends;
    for (const Occupant& occupant : m_occupants) {
        const auto end = getExpectedRemaining(occupant);
        if (end.has_value() && isAllowed(unit, occupant.m_slot) &&
            isUnreservedFor(unit, occupant.m_slot)) {
            ends.emplace_back(*end, &occupant);
        }
    }
    // Among runs with the same expected end, those on the emptiest workers go first. The
    // reservation then stays on the workers that the previous pass reserved, and these become
    // empty.
    std::stable_sort(ends.begin(), ends.end(), [this](const auto& a, const auto& b) {
        const auto getRank = [this](const auto& end) {
            const WorkerSlot slot = end.second->m_slot;
            const WorkerState& state = m_workerStates[slot];
            const std::uint32_t free =
                    state.m_free.m_accelerators + state.m_releasing.m_accelerators;
            return std::make_tuple(end.first, state.m_snapshot->m_capacity.m_accelerators - free,
                                   slot);
        };
        return getRank(a) < getRank(b);
    });
    const auto assignAfter = [&](std::size_t count) {
        std::vector<Resources> capacities = listUsableCapacity(unit, true);
        std::map<WorkerSlot, Resources> overcommitted;
        for (std::size_t i = 0; i < count; ++i) {
            const WorkerSlot slot = ends[i].second->m_slot;
            Resources& excess =
                    overcommitted.try_emplace(slot, m_workerStates[slot].m_overcommitted)
                            .first->second;
            releaseCapacity(capacities[slot], excess, ends[i].second->m_spec->getCapacityDemand());
        }
        return assign(unit, capacities);
    };
    if (!assignAfter(ends.size()).has_value()) {
        return;
    }
    std::size_t low = 0;
    std::size_t high = ends.size();
    while (low < high) {
        const std::size_t middle = (low + high) / 2;
        if (assignAfter(middle).has_value()) {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    const auto assignment = assignAfter(high);
    if (!assignment.has_value()) {
        return;
    }
    const Millis startsIn = high == 0 ? Millis(0) : ends[high - 1].first;
    for (const WorkerSlot slot : *assignment) {
        m_workerStates[slot].m_reservationStartsIn = startsIn;
    }
    ++m_reservationCount;
    if (!m_input.m_withExplanations) {
        return;
    }
    addExplanation(unit, "waits: it is starved, so that workers are claimed for it, the first is " +
                                 m_workerStates[assignment->front()].m_snapshot->m_id.m_host +
                                 "; it should begin in " + std::to_string(startsIn.count()) +
                                 " ms");
}

// Speculative copies.

/**
 * Whether a new run on another worker would probably end earlier. Without a forecast of the
 * remaining time, the elapsed time is compared with the declared time.
 */
bool PlanningPass::isSlow(const Occupant& occupant) const {
    const auto estimate = static_cast<double>(occupant.m_spec->m_estimate.count());
    if (const auto remaining = getRemaining(occupant)) {
        return static_cast<double>(remaining->count()) > m_settings.m_copyFactor * estimate;
    }
    const auto elapsed = static_cast<double>((m_wallNow - occupant.m_placedAt).count());
    return elapsed > (1.0 + m_settings.m_copyFactor) * estimate;
}

void PlanningPass::copySlowTasks() {
    for (const Occupant& occupant : m_occupants) {
        const StepSpec& spec = *occupant.m_spec;
        const bool mayCopy = spec.m_isSpeculative && !spec.m_isGang && !spec.m_isLongRunning &&
                             !occupant.m_isCopy && !occupant.m_isPreempted &&
                             !occupant.m_step->hasCopy(occupant.m_index) &&
                             !occupant.m_step->m_tasks[occupant.m_index].m_losses.isSuspect();
        if (mayCopy && isSlow(occupant)) {
            addCopy(occupant);
        }
    }
}

WaitingStep PlanningPass::makeStepFor(const Occupant& occupant) {
    const JobRun& run = *m_input.m_jobs[occupant.m_jobIndex].m_run;
    return makeStep(occupant.m_jobIndex, *run.findOccurrence(occupant.m_occurrence),
                    occupant.m_stepNumber);
}

void PlanningPass::addCopy(const Occupant& occupant) {
    WaitingStep step = makeStepFor(occupant);
    step.m_taskIndexes = {occupant.m_index};
    const WorkUnit unit{&step, step.m_taskIndexes, {}};
    std::vector<Resources> capacities = listUsableCapacity(unit, false);
    capacities[occupant.m_slot] = Resources();
    const auto assignment = assign(unit, capacities);
    if (!assignment.has_value() || assignment->front() == occupant.m_slot) {
        return;
    }
    WorkerState& state = m_workerStates[assignment->front()];
    state.m_free -= unit.getSpec().getCapacityDemand();
    countPlacedTask(unit, assignment->front());
    m_plan.m_copies.push_back({getKey(occupant), state.m_snapshot->m_id});
}

// Migration.

/**
 * Whether a run has to migrate. Runs that end before their worker leaves stay. Other runs migrate
 * at once if they save progress. Runs that do not save progress migrate only after a short run
 * time, which loses little work, since the worker may stay for longer than announced. Lasting tasks
 * migrate within the limit of their step.
 */
bool PlanningPass::mustMigrate(const Occupant& occupant) const {
    const auto& leavesIn = m_workerStates[occupant.m_slot].m_snapshot->m_leavesIn;
    if (occupant.m_isPreempted || occupant.m_isCopy) {
        return false;
    }
    if (!leavesIn.has_value()) {
        return mustMigrateOffEvacuated(occupant);
    }
    const StepSpec& spec = *occupant.m_spec;
    if (spec.m_isLongRunning) {
        return mayInterrupt(occupant, {});
    }
    constexpr Millis MAX_LOST_TIME{700};
    const bool isCheap = spec.m_savesProgress || m_wallNow - occupant.m_placedAt <= MAX_LOST_TIME;
    const auto end = getExpectedRemaining(occupant);
    return isCheap && end.has_value() && *end > *leavesIn;
}

/**
 * Whether a run has to migrate from a failure domain under evacuation. Lasting tasks would still
 * run there when the maintenance of the domain starts, so that they migrate before: one task of a
 * step at a time, or up to the limit of unavailable tasks. Other tasks stay until they end.
 */
bool PlanningPass::mustMigrateOffEvacuated(const Occupant& occupant) const {
    const StepSpec& spec = *occupant.m_spec;
    return m_workerStates[occupant.m_slot].m_snapshot->m_isEvacuated && spec.m_isLongRunning &&
           countUnavailable(occupant, {}) < std::max(1U, spec.m_maxUnavailable);
}

void PlanningPass::migrateOffLeaving() {
    for (Occupant& occupant : m_occupants) {
        if (!mustMigrate(occupant)) {
            continue;
        }
        const WorkerSnapshot& worker = *m_workerStates[occupant.m_slot].m_snapshot;
        WaitingStep step = makeStepFor(occupant);
        step.m_taskIndexes = {occupant.m_index};
        if (occupant.m_spec->m_isGang) {
            step.m_taskIndexes.resize(occupant.m_step->m_tasks.size());
            std::iota(step.m_taskIndexes.begin(), step.m_taskIndexes.end(), 0U);
        }
        const WorkUnit unit{&step, step.m_taskIndexes, {}};
        const auto assignment = assign(unit, listUsableCapacity(unit, true));
        const bool canPreempt = unit.isUrgent() && worker.m_leavesIn.has_value();
        if (!assignment.has_value() && !canPreempt) {
            continue;
        }
        if (assignment.has_value()) {
            allocateReleasing(unit, *assignment);
        }
        stop(occupant,
             "moves off worker " + worker.m_id.m_host +
                     (worker.m_leavesIn.has_value() ? ", which leaves"
                                                    : ", whose failure domain is under evacuation"),
             WorkOutcome::MIGRATED);
    }
}

}  // namespace pierbank
