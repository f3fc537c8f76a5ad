// SPDX-License-Identifier: Apache-2.0
// Which steps have tasks that wait, and the order in which they are tried.
#include <algorithm>

#include "PlanningPass.h"

namespace pierbank {

namespace {

/** Since when an occurrence could have run. */
Millis getDue(const JobRecord& record, std::uint32_t occurrence) {
    const JobSpec& spec = record.m_spec;
    return spec.isTimed() ? spec.m_firstDue + spec.m_interval * occurrence : record.m_acceptedAt;
}

}  // namespace

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
                               step.m_weighedObjective, std::cref(step.m_record->m_id),
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
    if (std::any_of(waiting.begin(), waiting.end(), mustAwaitResolution)) {
        noteOpenLosses(record);
        if (isGang) {
            return;
        }
        std::erase_if(waiting, mustAwaitResolution);
    }
    if (waiting.empty()) {
        return;
    }
    WaitingStep found = makeStep(job, occurrence, step);
    found.m_indexes = std::move(waiting);
    found.m_weighedObjective = weighObjective(found);
    steps.push_back(std::move(found));
}

void PlanningPass::noteOpenLosses(const JobRecord& record) {
    if (m_input.m_withExplanations) {
        m_plan.m_explanations.push_back(
                {record.m_id, PlanExplanation::Kind::WAITS,
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
    made.m_job = job;
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
    made.m_since = getDue(record, occurrence.m_number);
    made.m_objective = getObjective(record, occurrence.m_number);
    made.m_band = chooseBand(made, occurrence);
    return made;
}

/** By when an occurrence of a job should be done. */
Millis PlanningPass::getObjective(const JobRecord& record, std::uint32_t occurrence) {
    return getDue(record, occurrence) + getObjectiveSpan(record);
}

/**
 * Urgent work goes first, that of guarantees before all; then by priority, and in one priority
 * what can still meet its objective before what cannot. What is so late that nobody counts on it
 * any more comes after the rest of its priority, urgent or not.
 */
std::uint32_t PlanningPass::chooseBand(const WaitingStep& step,
                                       const OccurrenceRun& occurrence) const {
    enum Band : std::uint32_t { GUARANTEED, ON_TIME, LATE, HOPELESS, BANDS };
    const std::uint32_t priority = step.m_record->m_policy.m_priority;
    const bool isUrgent = priority == 0;
    const Millis remaining = estimateRemainingChain(step.m_record->m_spec, occurrence);
    const Millis spare = step.m_objective - m_wallNow - remaining;
    const Millis span = step.m_objective - step.m_since;
    Band band = spare < Millis(0) ? LATE : ON_TIME;
    if (spare < -span * m_settings.m_hopelessFactor) {
        band = HOPELESS;
    } else if (isUrgent && step.m_isGuaranteed) {
        band = GUARANTEED;
    }
    // What starves goes right after urgent work, so that its claim comes before smaller work.
    return !isUrgent && isStarved(step) ? HOPELESS : priority * BANDS + band;
}

/** With a weight on fragmentation, a unit as large as a worker is taken for due sooner. */
Millis PlanningPass::weighObjective(const WaitingStep& step) const {
    constexpr double WHOLE_WEIGHT = 100.0;
    const std::size_t members = step.m_spec->m_isGang ? step.m_indexes.size() : 1;
    const auto accelerators = static_cast<double>(step.m_spec->m_need.m_accelerators * members);
    const double size = std::min(1.0, accelerators / static_cast<double>(m_largestWorker));
    const auto span = static_cast<double>((step.m_objective - step.m_since).count());
    const double advance = m_settings.m_fragmentationWeight / WHOLE_WEIGHT * size * span;
    return step.m_objective - Millis(static_cast<std::int64_t>(advance));
}

PlanningPass::Likeness PlanningPass::getLikeness(const WorkUnit& unit) {
    const StepSpec& spec = unit.getSpec();
    const Resources need = spec.getCapacityDemand();
    const auto rack = m_racks.find(spec.m_dataRack);
    return {unit.m_of->m_eligible,
            need.m_cpuMillis,
            need.m_memoryMb,
            need.m_accelerators,
            unit.m_indexes.size() == 1,
            spec.m_dataRack.empty(),
            rack == m_racks.end() ? UNKNOWN_PART : rack->second,
            static_cast<int>(spec.m_adjacency),
            allowsRemote(unit),
            mayUseReserved(unit),
            m_claims > 0 ? spec.m_estimate : Millis(0)};
}

const EligibleWorkers* PlanningPass::findEligible(const std::string& service,
                                                  const std::string& label) {
    const auto [place, isNew] = m_eligible.try_emplace({service, label});
    EligibleWorkers& eligible = place->second;
    if (!isNew) {
        return &eligible;
    }
    eligible.m_has.resize(m_rooms.size());
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        const WorkerSnapshot& worker = *m_rooms[slot].m_view;
        if (worker.m_acceptsWork && worker.m_service == service &&
            (label.empty() || worker.m_labels.count(label) != 0)) {
            eligible.m_slots.push_back(slot);
            eligible.m_has[slot] = true;
        }
    }
    return &eligible;
}

const EligibleWorkers* PlanningPass::findAdvised(const EligibleWorkers& all,
                                                 const std::set<std::string>* advised) {
    EligibleWorkers& some = m_advised.emplace_back();
    some.m_has.resize(m_rooms.size());
    for (const WorkerSlot slot : all.m_slots) {
        if (advised != nullptr && advised->count(m_rooms[slot].m_view->m_id.m_incarnation) != 0) {
            some.m_slots.push_back(slot);
            some.m_has[slot] = true;
        }
    }
    return &some;
}

}  // namespace pierbank
