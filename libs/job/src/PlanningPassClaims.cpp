// SPDX-License-Identifier: Apache-2.0
// Claims of starved units, copies of slow tasks, and work that moves off leaving workers.
#include <algorithm>
#include <numeric>

#include "PlanningPass.h"

namespace pierbank {

bool PlanningPass::isStarved(const WorkUnit& unit) const {
    return isStarved(*unit.m_of);
}

bool PlanningPass::isStarved(const WaitingStep& step) const {
    const Millis bound = std::max(m_settings.m_minStarvationWait,
                                  step.m_spec->m_estimate * m_settings.m_starvationFactor);
    return m_wallNow - step.m_since >= bound;
}

/** When a run probably ends; empty for one that lasts. */
std::optional<Millis> PlanningPass::getExpectedEnd(const Occupant& occupant) const {
    if (occupant.m_spec->m_isLasting) {
        return std::nullopt;
    }
    if (const auto remaining = getRemaining(occupant)) {
        return remaining;
    }
    const Millis elapsed = m_wallNow - occupant.m_placedAt;
    return std::max(occupant.m_spec->m_estimate - elapsed, Millis(0));
}

/** Claims the workers that a starved unit could have first, when what runs there has ended. */
void PlanningPass::claimFor(const WorkUnit& unit) {
    if (unit.isUrgent() || m_claims >= m_settings.m_maxReservations || !isStarved(unit)) {
        return;
    }
    std::vector<std::pair<Millis, const Occupant*>> ends;
    for (const Occupant& occupant : m_occupants) {
        const auto end = getExpectedEnd(occupant);
        if (end.has_value() && isAllowed(unit, occupant.m_slot) &&
            isOpenTo(unit, occupant.m_slot)) {
            ends.emplace_back(*end, &occupant);
        }
    }
    // Of ends that are expected alike, those on the emptiest workers first: so a claim stays where
    // it was in the last pass, and its workers run empty.
    std::stable_sort(ends.begin(), ends.end(), [this](const auto& a, const auto& b) {
        const auto rankOf = [this](const auto& end) {
            const WorkerSlot slot = end.second->m_slot;
            const Room& room = m_rooms[slot];
            const std::uint32_t free = room.m_free.m_accelerators + room.m_leaving.m_accelerators;
            return std::make_tuple(end.first, room.m_view->m_capacity.m_accelerators - free, slot);
        };
        return rankOf(a) < rankOf(b);
    });
    const auto assignAfter = [&](std::size_t count) {
        std::vector<Resources> rooms = getRooms(unit, true);
        std::map<WorkerSlot, Resources> over;
        for (std::size_t i = 0; i < count; ++i) {
            const WorkerSlot slot = ends[i].second->m_slot;
            Resources& gone = over.try_emplace(slot, m_rooms[slot].m_over).first->second;
            giveBack(rooms[slot], gone, ends[i].second->m_spec->getCapacityDemand());
        }
        return assign(unit, rooms);
    };
    if (!assignAfter(ends.size()).has_value()) {
        return;
    }
    std::size_t least = 0;
    std::size_t enough = ends.size();
    while (least < enough) {
        const std::size_t middle = (least + enough) / 2;
        if (assignAfter(middle).has_value()) {
            enough = middle;
        } else {
            least = middle + 1;
        }
    }
    const auto assignment = assignAfter(enough);
    if (!assignment.has_value()) {
        return;
    }
    const Millis begins = enough == 0 ? Millis(0) : ends[enough - 1].first;
    for (const WorkerSlot slot : *assignment) {
        m_rooms[slot].m_claimedIn = begins;
    }
    ++m_claims;
    if (!m_input.m_withExplanations) {
        return;
    }
    note(unit, "waits: it is starved, so that workers are claimed for it, the first is " +
                       m_rooms[assignment->front()].m_view->m_id.m_host + "; it should begin in " +
                       std::to_string(begins.count()) + " ms");
}

// Copies.

/** Elsewhere it would be done sooner, as far as its progress and its declared time tell. */
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
        const bool mayCopy = spec.m_isSpeculative && !spec.m_isGang && !spec.m_isLasting &&
                             !occupant.m_isCopy && !occupant.m_isPreempted &&
                             !occupant.m_step->hasCopy(occupant.m_index) &&
                             !occupant.m_step->m_tasks[occupant.m_index].m_losses.isSuspect();
        if (mayCopy && isSlow(occupant)) {
            copyElsewhere(occupant);
        }
    }
}

WaitingStep PlanningPass::makeStepOf(const Occupant& occupant) {
    const JobRun& run = *m_input.m_jobs[occupant.m_job].m_run;
    return makeStep(occupant.m_job, *run.findOccurrence(occupant.m_occurrence),
                    occupant.m_stepNumber);
}

void PlanningPass::copyElsewhere(const Occupant& occupant) {
    WaitingStep step = makeStepOf(occupant);
    step.m_indexes = {occupant.m_index};
    const WorkUnit unit{&step, step.m_indexes, {}};
    std::vector<Resources> rooms = getRooms(unit, false);
    rooms[occupant.m_slot] = Resources();
    const auto assignment = assign(unit, rooms);
    if (!assignment.has_value() || assignment->front() == occupant.m_slot) {
        return;
    }
    Room& room = m_rooms[assignment->front()];
    room.m_free -= unit.getSpec().getCapacityDemand();
    m_plan.m_copies.push_back({getKey(occupant), room.m_view->m_id});
}

// Leaving workers.

/**
 * What ends in time stays. Work that saves its progress moves at once; what saves nothing moves
 * only as long as little is lost, since the worker may well stay for longer than it says.
 */
bool PlanningPass::mustLeave(const Occupant& occupant) const {
    const auto& leavesIn = m_rooms[occupant.m_slot].m_view->m_leavesIn;
    if (occupant.m_isPreempted || occupant.m_isCopy) {
        return false;
    }
    if (!leavesIn.has_value()) {
        return mustLeaveDomain(occupant);
    }
    const StepSpec& spec = *occupant.m_spec;
    if (spec.m_isLasting) {
        return mayMiss(occupant);
    }
    constexpr Millis LITTLE{700};
    const bool isCheap = spec.m_savesProgress || m_wallNow - occupant.m_placedAt <= LITTLE;
    const auto end = getExpectedEnd(occupant);
    return isCheap && end.has_value() && *end > *leavesIn;
}

/**
 * What ends stays in a failure domain under evacuation until it does. What lasts would be there
 * when the domain is worked on, so that it moves ahead of that: one task of a step at a time, or as
 * many as its promise allows.
 */
bool PlanningPass::mustLeaveDomain(const Occupant& occupant) const {
    const StepSpec& spec = *occupant.m_spec;
    return m_rooms[occupant.m_slot].m_view->m_isEvacuated && spec.m_isLasting &&
           countAway(occupant) < std::max(1U, spec.m_maxUnavailable);
}

void PlanningPass::moveOffLeaving() {
    for (Occupant& occupant : m_occupants) {
        if (!mustLeave(occupant)) {
            continue;
        }
        const WorkerSnapshot& worker = *m_rooms[occupant.m_slot].m_view;
        WaitingStep step = makeStepOf(occupant);
        step.m_indexes = {occupant.m_index};
        if (occupant.m_spec->m_isGang) {
            step.m_indexes.resize(occupant.m_step->m_tasks.size());
            std::iota(step.m_indexes.begin(), step.m_indexes.end(), 0U);
        }
        const WorkUnit unit{&step, step.m_indexes, {}};
        const auto assignment = assign(unit, getRooms(unit, true));
        const bool mayMakeRoom = unit.isUrgent() && worker.m_leavesIn.has_value();
        if (!assignment.has_value() && !mayMakeRoom) {
            continue;
        }
        if (assignment.has_value()) {
            reserveLeaving(unit, *assignment);
        }
        stop(occupant, "moves off worker " + worker.m_id.m_host +
                               (worker.m_leavesIn.has_value()
                                        ? ", which leaves"
                                        : ", whose failure domain is under evacuation"));
    }
}

}  // namespace pierbank
