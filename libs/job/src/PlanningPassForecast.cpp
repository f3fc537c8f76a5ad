// SPDX-License-Identifier: Apache-2.0
// Placement of urgent work by its forecast completion.
#include <algorithm>

#include "PlanningPass.h"

namespace pierbank {

/** Returns the spread of the speeds of the rated workers, computed once in a pass. */
const SpeedSpread& PlanningPass::getSpeeds(const EligibleWorkers& eligible) {
    const auto [place, isNew] = m_speeds.try_emplace(&eligible);
    if (isNew) {
        std::vector<double> slowness;
        for (const WorkerSlot slot : eligible.m_slots) {
            const WorkerSnapshot& worker = *m_workerStates[slot].m_snapshot;
            if (isRated(worker)) {
                slowness.push_back(worker.m_slowness);
            }
        }
        place->second = measureSpeeds(std::move(slowness));
    }
    return place->second;
}

/** Lasting tasks have no end, and tasks without a declared run time none that can be forecast. */
bool PlanningPass::usesForecast(const WorkUnit& unit) {
    const StepSpec& spec = unit.getSpec();
    return m_settings.m_forecastsCompletion && unit.isUrgent() && !spec.m_isLongRunning &&
           spec.m_estimate > Millis(0) && getSpeeds(*unit.m_waitingStep->m_eligible).isUneven();
}

CompletionForecast PlanningPass::makeForecast(const WorkUnit& unit) {
    const WaitingStep& step = *unit.m_waitingStep;
    const Millis later = estimateTimeAfter(step.m_record->m_spec, step.m_number);
    return {m_input.m_forecast.getRunTime(*step.m_record, *step.m_spec),
            step.m_objective - m_wallNow - later, getSpeeds(*step.m_eligible)};
}

/** Returns the slowness of the slowest worker of an assignment. */
double PlanningPass::getSlowness(const Assignment& assignment) const {
    double slowness = 0;
    for (const WorkerSlot slot : assignment) {
        slowness = std::max(slowness, m_workerStates[slot].m_snapshot->m_slowness);
    }
    return slowness;
}

/**
 * Returns by slot the workers that may make the unit late.
 * @param withUnrated whether workers of unknown speed count.
 */
std::vector<bool> PlanningPass::listSlowWorkers(const WorkUnit& unit, double maxSlowness,
                                                bool withUnrated) const {
    std::vector<bool> slow(m_workerStates.size());
    for (const WorkerSlot slot : unit.m_waitingStep->m_eligible->m_slots) {
        const WorkerSnapshot& worker = *m_workerStates[slot].m_snapshot;
        slow[slot] = worker.m_slowness > maxSlowness || (withUnrated && !isRated(worker));
    }
    return slow;
}

/**
 * Chooses the first way to start a unit that keeps its objective, at the least cost to others; see
 * docs/design/forecast-placement.md for the order.
 * @return false if the unit waits without a place.
 */
bool PlanningPass::placeByForecast(const WorkUnit& waiting) {
    const CompletionForecast forecast = makeForecast(waiting);
    WorkUnit unit = waiting;
    unit.m_usesForecast = true;
    const bool isLate = forecast.isLateInAnyCase();
    unit.m_outlook = isLate ? UrgentWait::Outlook::LATE : UrgentWait::Outlook::UNKNOWN;
    const std::vector<bool> slow = listSlowWorkers(unit, forecast.getMaxSlowness(), false);
    if (!isLate) {
        const bool isGang = unit.m_taskIndexes.size() > 1;
        if (isGang &&
            placeInTime(unit, forecast, listSlowWorkers(unit, forecast.getMaxSlowness(), true))) {
            return true;
        }
        if (placeInTime(unit, forecast, slow)) {
            return true;
        }
    }
    if (placeInFreeOrReleasing(unit) || waitForEnds(unit, getWaitBudget(unit))) {
        return true;
    }
    if (unit.m_waitingStep->m_isGuaranteed) {
        return preemptFor(unit);
    }
    return (!isLate && preemptInTime(unit, forecast, slow)) ||
           waitForEnds(unit, forecast.getMaxLateWait(getValueLeft(unit))) || preemptFor(unit);
}

/** Starts the unit off the avoided workers, or waits for this if it keeps the objective. */
bool PlanningPass::placeInTime(const WorkUnit& unit, const CompletionForecast& forecast,
                               const std::vector<bool>& avoided) {
    WorkUnit faster = unit;
    faster.m_avoidedSlots = &avoided;
    faster.m_outlook = UrgentWait::Outlook::IN_TIME;
    if (const auto assignment = findPlace(faster, false)) {
        commit(unit, *assignment);
        return true;
    }
    // A guaranteed unit waits for speed only as long as it may wait for ends in any case, so that
    // the bound of its start does not depend on the forecast.
    const bool mayWait = !unit.m_waitingStep->m_isGuaranteed || getWaitBudget(unit) > Millis(0);
    return mayWait && waitInTime(unit, forecast, faster);
}

/** @param faster the unit, which avoids the workers that may make it late. */
bool PlanningPass::waitInTime(const WorkUnit& unit, const CompletionForecast& forecast,
                              const WorkUnit& faster) {
    std::optional<StartOption> now;
    if (const auto assignment = findPlace(unit, false)) {
        now = StartOption{Millis(0), getSlowness(*assignment)};
    }
    const auto isWorthWaiting = [&](const Assignment& assignment, Millis startsIn) {
        return forecast.isWorthWaiting({startsIn, getSlowness(assignment)}, now);
    };
    const auto releasing = findPlace(faster, true);
    if (releasing.has_value() && isWorthWaiting(*releasing, CompletionForecast::STOP_DURATION)) {
        awaitReleasing(faster, *releasing);
        return true;
    }
    const auto ends = findEnds(faster, getWaitBudget(unit));
    if (ends.has_value() && isWorthWaiting(ends->m_assignment, ends->m_startsIn)) {
        awaitEnds(faster, *ends);
        return true;
    }
    return false;
}

/** Preempts runs off the slow workers if this keeps the objective, within the limit on lost work.
 */
bool PlanningPass::preemptInTime(const WorkUnit& unit, const CompletionForecast& forecast,
                                 const std::vector<bool>& slow) {
    if (!m_input.m_mayPreempt) {
        return false;
    }
    WorkUnit faster = unit;
    faster.m_avoidedSlots = &slow;
    faster.m_outlook = UrgentWait::Outlook::IN_TIME;
    const auto preemption = findPreemption(faster);
    if (!preemption.has_value() || !isPreemptionJustified(unit, preemption->m_preemptionCost) ||
        !forecast.isInTime(
                {CompletionForecast::STOP_DURATION, getSlowness(preemption->m_assignment)})) {
        return false;
    }
    preempt(faster, *preemption);
    return true;
}

/** Returns the time until the unit's job is so late that its result has no value. */
Millis PlanningPass::getValueLeft(const WorkUnit& unit) const {
    const WaitingStep& step = *unit.m_waitingStep;
    const Millis span = step.m_objective - step.m_dueAt;
    return step.m_objective + span * m_settings.m_hopelessFactor - m_wallNow;
}

}  // namespace pierbank
