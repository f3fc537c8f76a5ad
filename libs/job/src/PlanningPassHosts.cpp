// SPDX-License-Identifier: Apache-2.0
// Headroom for urgent work, and workers that a unit avoids.
#include <algorithm>

#include "PlanningPass.h"

namespace pierbank {

void PlanningPass::setAsideHeadroom() {
    for (const auto& [service, accelerators] : m_settings.m_urgentHeadroom) {
        setAsideHeadroom(service, accelerators);
    }
}

/** Urgent and starved units may use the headroom. */
bool PlanningPass::mayUseHeadroom(const WorkUnit& unit) const {
    return unit.isUrgent() || isStarved(unit);
}

/**
 * Sets aside the workers with the least non-urgent work, preferring fast workers. Workers that were
 * set aside in the previous pass have little such work, so that the choice is stable.
 */
void PlanningPass::setAsideHeadroom(const std::string& service, std::uint32_t accelerators) {
    std::vector<double> penalties(m_workerStates.size());
    for (const Occupant& occupant : m_occupants) {
        if (!occupant.m_isUrgent) {
            penalties[occupant.m_slot] += occupant.m_spec->m_need.m_accelerators;
        }
    }
    for (WorkerSlot slot = 0; slot < m_workerStates.size(); ++slot) {
        const double slowness = m_workerStates[slot].m_snapshot->m_slowness;
        penalties[slot] += m_settings.m_urgentSpeedWeight * (slowness - 1.0);
    }
    std::vector<WorkerSlot> slots;
    double total = 0;
    for (WorkerSlot slot = 0; slot < m_workerStates.size(); ++slot) {
        const WorkerSnapshot& worker = *m_workerStates[slot].m_snapshot;
        if (worker.m_acceptsWork && worker.m_service == service) {
            slots.push_back(slot);
            total += worker.m_capacity.m_accelerators;
        }
    }
    std::stable_sort(slots.begin(), slots.end(),
                     [&](WorkerSlot a, WorkerSlot b) { return penalties[a] < penalties[b]; });
    const double limit = std::min<double>(accelerators, m_settings.m_maxHeadroomShare * total);
    double setAside = 0;
    for (const WorkerSlot slot : slots) {
        setAside += m_workerStates[slot].m_snapshot->m_capacity.m_accelerators;
        if (setAside > limit) {
            return;
        }
        m_workerStates[slot].m_isHeadroom = true;
    }
}

/** Whether the job fails if this unit fails; a gang counts the failures in its first task. */
bool PlanningPass::isLastAttempt(const WorkUnit& unit) const {
    const std::uint32_t counted = unit.getSpec().m_isGang ? 0 : unit.m_taskIndexes.front();
    return unit.getStep().m_tasks[counted].m_failures + 1 >= unit.getRecord().m_policy.m_attempts;
}

/** Suspect hosts get one run at a time, and none that is costly to lose. */
bool PlanningPass::mustAvoidSuspectHost(const WorkUnit& unit, WorkerSlot slot) const {
    return !m_occupantsOn[slot].empty() || unit.isUrgent() || unit.m_taskIndexes.size() > 1 ||
           isLastAttempt(unit);
}

/** Whether the workers that the unit does not avoid could run the unit if they were idle. */
bool PlanningPass::fitsIdleWorkers(const WorkUnit& unit) {
    std::vector<Resources> capacities(m_workerStates.size());
    for (const WorkerSlot slot : unit.m_waitingStep->m_eligible->m_slots) {
        if (!isExcluded(unit, slot)) {
            capacities[slot] = m_workerStates[slot].m_snapshot->m_capacity;
        }
    }
    return assign(unit, capacities).has_value();
}

/**
 * Keeps suspect tasks apart from each other, so that another crash has a single possible cause.
 * Urgent units and gangs avoid suspect tasks as well, since such units are costly to lose. A unit
 * that would not fit on the remaining workers avoids none. getPenalty() also keeps suspect tasks
 * away from other runs, so that another crash ends as few of them as possible.
 */
void PlanningPass::avoidSuspectRuns(WorkUnit& unit) {
    const auto& tasks = unit.getStep().m_tasks;
    unit.m_isSuspect =
            std::any_of(unit.m_taskIndexes.begin(), unit.m_taskIndexes.end(),
                        [&](std::uint32_t index) { return tasks[index].m_losses.isSuspect(); });
    const bool isCostlyToLose =
            unit.m_isSuspect || unit.isUrgent() || unit.m_taskIndexes.size() > 1;
    unit.m_avoidsSuspectRuns = m_hasSuspectRuns && isCostlyToLose;
    if (unit.m_avoidsSuspectRuns && !fitsIdleWorkers(unit)) {
        unit.m_avoidsSuspectRuns = false;
    }
}

/**
 * Excludes the hosts on which a member of the unit failed, and then the suspect hosts that the unit
 * must avoid; each of the two only while the unit still fits on the remaining workers.
 */
void PlanningPass::excludeHosts(WorkUnit& unit) {
    unit.m_excludedSlots.clear();
    if (!m_settings.m_excludesFailedHosts) {
        return;
    }
    const auto& tasks = unit.getStep().m_tasks;
    const bool hasFailed =
            std::any_of(unit.m_taskIndexes.begin(), unit.m_taskIndexes.end(),
                        [&](std::uint32_t index) { return !tasks[index].m_failedHosts.isEmpty(); });
    for (WorkerSlot slot = 0; hasFailed && slot < m_workerStates.size(); ++slot) {
        const std::string& host = m_workerStates[slot].m_snapshot->m_id.m_host;
        const bool failedHere = std::any_of(
                unit.m_taskIndexes.begin(), unit.m_taskIndexes.end(),
                [&](std::uint32_t index) { return tasks[index].m_failedHosts.contains(host); });
        if (failedHere) {
            unit.m_excludedSlots.push_back(slot);
        }
    }
    std::vector<WorkerSlot> avoided;
    for (const WorkerSlot slot : m_suspectSlots) {
        if (!isExcluded(unit, slot) && mustAvoidSuspectHost(unit, slot)) {
            avoided.push_back(slot);
        }
    }
    if (!unit.m_excludedSlots.empty() && !fitsIdleWorkers(unit)) {
        unit.m_excludedSlots.clear();
    }
    excludeIfOthersFit(unit, avoided);
    excludeUnprovenHosts(unit);
}

/** Excludes the slots too if the unit would still fit on the remaining workers. */
void PlanningPass::excludeIfOthersFit(WorkUnit& unit, const std::vector<WorkerSlot>& slots) {
    const std::vector<WorkerSlot> before = unit.m_excludedSlots;
    unit.m_excludedSlots.insert(unit.m_excludedSlots.end(), slots.begin(), slots.end());
    if (!slots.empty() && !fitsIdleWorkers(unit)) {
        unit.m_excludedSlots = before;
    }
}

/**
 * Keeps a last attempt of a wide step, which decides over the work of all its tasks, off hosts that
 * have just failed others or have restarted. For a short time after the last run it also waits for
 * a host on which a run ended well recently.
 */
void PlanningPass::excludeUnprovenHosts(WorkUnit& unit) {
    // Counted from the placement of the failed run, so that the wait follows quick failures only.
    // A host that fails at once is known by then.
    constexpr Millis MAX_WAIT{2000};
    const TaskRun& task = unit.getStep().m_tasks[unit.m_taskIndexes.front()];
    if (!unit.getSpec().isWide() || !isLastAttempt(unit) || task.m_failures == 0) {
        return;
    }
    const auto listSlots = [&](auto isUnwanted) {
        std::vector<WorkerSlot> slots;
        for (const WorkerSlot slot : unit.m_waitingStep->m_eligible->m_slots) {
            if (isUnwanted(*m_workerStates[slot].m_snapshot) && !isExcluded(unit, slot)) {
                slots.push_back(slot);
            }
        }
        return slots;
    };
    excludeIfOthersFit(unit, listSlots([](const WorkerSnapshot& worker) {
                           return worker.m_maxTasksPerJob > 0;
                       }));
    if (m_wallNow - task.m_placedAt < MAX_WAIT) {
        excludeIfOthersFit(
                unit, listSlots([](const WorkerSnapshot& worker) { return !worker.m_isProven; }));
    }
}

/** Whether the limits of tasks per job apply to the unit; a gang fails at most once, anyhow. */
bool PlanningPass::hasTaskLimit(const WorkUnit& unit) const {
    return !m_limitedSlots.empty() && unit.getSpec().isWide() && !unit.getSpec().m_isGang;
}

/** A limited host that is also suspect is on probe: it gets one run at a time, of any job. */
bool PlanningPass::isAtTaskLimit(const WorkUnit& unit, WorkerSlot slot) const {
    const WorkerState& state = m_workerStates[slot];
    const std::uint32_t limit = state.m_snapshot->m_maxTasksPerJob;
    if (limit == 0) {
        return false;
    }
    if (state.m_snapshot->m_isSuspect && state.m_runCount > 0) {
        return true;
    }
    const auto found = m_limitedTasks.find({slot, unit.m_waitingStep->m_jobIndex});
    return hasTaskLimit(unit) && found != m_limitedTasks.end() && found->second >= limit;
}

void PlanningPass::countLimitedTask(WorkerSlot slot, std::size_t job) {
    if (m_workerStates[slot].m_snapshot->m_maxTasksPerJob > 0) {
        ++m_limitedTasks[{slot, job}];
    }
}

}  // namespace pierbank
