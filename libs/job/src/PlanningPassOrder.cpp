// SPDX-License-Identifier: Apache-2.0
// Collection of the steps with waiting tasks, and the order in which they are placed.
#include <algorithm>

#include "PlanningPass.h"

namespace pierbank {

namespace {

/** Returns the wall time at which an occurrence is due, or at which an untimed job was accepted. */
Millis getDueTime(const JobRecord& record, std::uint32_t occurrence) {
    const JobSpec& spec = record.m_spec;
    return spec.isTimed() ? spec.m_firstDue + spec.m_interval * occurrence : record.m_acceptedAt;
}

}  // namespace

/** Returns the steps with waiting tasks, sorted in the order of their placement. */
std::vector<WaitingStep> PlanningPass::collectSteps() {
    std::vector<WaitingStep> steps;
    for (std::size_t job = 0; job < m_input.m_jobs.size(); ++job) {
        const PlannedJob& planned = m_input.m_jobs[job];
        if (planned.m_run->isFinished()) {
            continue;
        }
        for (const OccurrenceRun& occurrence : planned.m_run->m_occurrences) {
            for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
                collectStep(job, occurrence, step, steps);
            }
        }
    }
    const auto getRank = [](const WaitingStep& step) {
        return std::make_tuple(step.m_band, step.m_record->m_policy.m_priority,
                               step.m_weightedObjective, std::cref(step.m_record->m_id),
                               step.m_occurrence, step.m_number);
    };
    std::stable_sort(steps.begin(), steps.end(), [&](const WaitingStep& a, const WaitingStep& b) {
        return getRank(a) < getRank(b);
    });
    return steps;
}

void PlanningPass::collectStep(std::size_t job, const OccurrenceRun& occurrence, std::uint32_t step,
                               std::vector<WaitingStep>& steps) {
    const JobRecord& record = *m_input.m_jobs[job].m_record;
    const StepRun& run = occurrence.m_steps[step];
    std::vector<std::uint32_t> waiting;
    for (std::uint32_t i = 0; i < run.m_tasks.size(); ++i) {
        if (run.m_tasks[i].m_state == TaskState::WAITING) {
            waiting.push_back(i);
        }
    }
    const bool isGang = record.m_spec.m_steps[step].m_isGang;
    if (waiting.empty() || (isGang && waiting.size() != run.m_tasks.size()) ||
        !isStepReady(record, occurrence, step)) {
        return;
    }
    const auto mustAwaitResolution = [&](std::uint32_t index) {
        const TaskRun& task = run.m_tasks[index];
        return task.m_losses.mustAwaitResolution(task.m_lastRun);
    };
    WaitingStep found = makeStep(job, occurrence, step);
    if (std::any_of(waiting.begin(), waiting.end(), mustAwaitResolution)) {
        explainUnresolvedLosses(found);
        std::erase_if(waiting,
                      [&](std::uint32_t index) { return isGang || mustAwaitResolution(index); });
        if (waiting.empty()) {
            if (mayRecordIdleWait(found)) {
                addIdleWait(found, {{}, IdleReason::LOSSES, Millis(0), 0, 0, 0, 0});
            }
            return;
        }
    }
    found.m_taskIndexes = std::move(waiting);
    found.m_weightedObjective = getWeightedObjective(found);
    steps.push_back(std::move(found));
}

void PlanningPass::explainUnresolvedLosses(const WaitingStep& step) {
    if (m_input.m_withExplanations) {
        m_plan.m_explanations.push_back(
                {step.m_record->m_id, PlanExplanation::Kind::WAITS,
                 "waits: so many workers of a task were lost that it is not "
                 "started before it is known whether it crashed them"});
    }
}

WaitingStep PlanningPass::makeStep(std::size_t job, const OccurrenceRun& occurrence,
                                   std::uint32_t step) {
    const PlannedJob& planned = m_input.m_jobs[job];
    const JobRecord& record = *planned.m_record;
    WaitingStep made;
    made.m_record = &record;
    made.m_run = planned.m_run;
    made.m_step = &occurrence.m_steps[step];
    made.m_spec = &record.m_spec.m_steps[step];
    made.m_jobIndex = job;
    made.m_occurrence = occurrence.m_number;
    made.m_number = step;
    made.m_isGuaranteed = m_guaranteed[job];
    made.m_needsAdvice = record.m_policy.m_advice.has_value();
    made.m_eligible = findEligible(record.m_policy.m_service, made.m_spec->m_requiredLabel);
    if (made.m_needsAdvice) {
        if (planned.m_advised != nullptr) {
            const auto advised = planned.m_advised->find({occurrence.m_number, step});
            made.m_advised = advised == planned.m_advised->end() ? nullptr : &advised->second;
        }
        made.m_eligible = findAdvised(*made.m_eligible, made.m_advised);
    }
    made.m_dueAt = getDueTime(record, occurrence.m_number);
    made.m_idleSince = planned.m_idleSince;
    made.m_objective = getObjective(record, occurrence.m_number);
    made.m_band = chooseBand(made, occurrence);
    return made;
}

/** Returns the wall time by which an occurrence of a job should be done. */
Millis PlanningPass::getObjective(const JobRecord& record, std::uint32_t occurrence) {
    return getDueTime(record, occurrence) + getObjectiveSpan(record);
}

/**
 * Returns the band of a step; lower bands are placed first. Bands are ordered by priority. Within a
 * priority, guaranteed steps come first, however late they are: a guarantee has no end, and the
 * capacity that such a step has preempted must not go to the step that lost it. Then come steps
 * that can still meet their objective, then late steps. Steps that are so late that their result
 * has no value any more come last, also if they are urgent.
 */
std::uint32_t PlanningPass::chooseBand(const WaitingStep& step,
                                       const OccurrenceRun& occurrence) const {
    enum Band : std::uint32_t { GUARANTEED, ON_TIME, LATE, HOPELESS, BANDS };
    const std::uint32_t priority = step.m_record->m_policy.m_priority;
    const bool isUrgent = priority == 0;
    const Millis remaining = estimateRemainingCriticalPath(step.m_record->m_spec, occurrence);
    const Millis slack = step.m_objective - m_wallNow - remaining;
    const Millis span = step.m_objective - step.m_dueAt;
    Band band = slack < Millis(0) ? LATE : ON_TIME;
    if (isUrgent && step.m_isGuaranteed) {
        band = GUARANTEED;
    } else if (slack < -span * m_settings.m_hopelessFactor) {
        band = HOPELESS;
    }
    // Starved steps go right after urgent work, so that their reservations are made before smaller
    // units are placed.
    return !isUrgent && isStarved(step) ? HOPELESS : priority * BANDS + band;
}

/** Advances the objective in proportion to the unit's size, by up to the fragmentation weight. */
Millis PlanningPass::getWeightedObjective(const WaitingStep& step) const {
    constexpr double WHOLE_WEIGHT = 100.0;
    const std::size_t members = step.m_spec->m_isGang ? step.m_taskIndexes.size() : 1;
    const auto accelerators = static_cast<double>(step.m_spec->m_need.m_accelerators * members);
    const double size = std::min(1.0, accelerators / static_cast<double>(m_maxWorkerAccelerators));
    const auto span = static_cast<double>((step.m_objective - step.m_dueAt).count());
    const double advance = m_settings.m_fragmentationWeight / WHOLE_WEIGHT * size * span;
    return step.m_objective - Millis(static_cast<std::int64_t>(advance));
}

/**
 * Includes the estimate and the forecast only if there are reservations, since only work that ends
 * before a reservation starts may be placed on the reserved workers; and the job only if workers
 * limit the tasks of one job.
 */
PlanningPass::UnitClass PlanningPass::getUnitClass(const WorkUnit& unit) {
    const StepSpec& spec = unit.getSpec();
    const Resources need = spec.getCapacityDemand();
    const auto rack = m_racks.find(spec.m_dataRack);
    return {unit.m_waitingStep->m_eligible,
            need.m_cpuMillis,
            need.m_memoryMb,
            need.m_accelerators,
            unit.m_taskIndexes.size() == 1,
            spec.m_dataRack.empty(),
            rack == m_racks.end() ? UNKNOWN_DOMAIN : rack->second,
            static_cast<int>(spec.m_adjacency),
            allowsRemote(unit),
            mayUseHeadroom(unit),
            m_reservationCount > 0 ? spec.m_estimate : Millis(0),
            hasTaskLimit(unit) ? unit.m_waitingStep->m_jobIndex + 1 : 0,
            m_early.isEmpty() ? 0 : m_early.countEndingBefore(getHighRunTime(*unit.m_waitingStep))};
}

const EligibleWorkers* PlanningPass::findEligible(const std::string& service,
                                                  const std::string& label) {
    const auto [place, isNew] = m_eligible.try_emplace({service, label});
    EligibleWorkers& eligible = place->second;
    if (!isNew) {
        return &eligible;
    }
    eligible.m_isEligible.resize(m_workerStates.size());
    for (WorkerSlot slot = 0; slot < m_workerStates.size(); ++slot) {
        const WorkerSnapshot& worker = *m_workerStates[slot].m_snapshot;
        if (worker.m_acceptsWork && worker.m_service == service &&
            (label.empty() || worker.m_labels.count(label) != 0)) {
            eligible.m_slots.push_back(slot);
            eligible.m_isEligible[slot] = true;
        }
    }
    return &eligible;
}

/** Returns the eligible workers with placement advice; none if `advised` is null. */
const EligibleWorkers* PlanningPass::findAdvised(const EligibleWorkers& all,
                                                 const std::set<std::string>* advised) {
    EligibleWorkers& result = m_advised.emplace_back();
    result.m_isEligible.resize(m_workerStates.size());
    for (const WorkerSlot slot : all.m_slots) {
        if (advised != nullptr &&
            advised->count(m_workerStates[slot].m_snapshot->m_id.m_incarnation) != 0) {
            result.m_slots.push_back(slot);
            result.m_isEligible[slot] = true;
        }
    }
    return &result;
}

}  // namespace pierbank
