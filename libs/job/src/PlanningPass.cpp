// SPDX-License-Identifier: Apache-2.0
#include "PlanningPass.h"

#include <algorithm>
#include <cmath>

namespace pierbank {

namespace {

/** Most accelerators that a step of a job takes at a time. */
std::uint32_t countMostAccelerators(const JobSpec& spec) {
    std::uint32_t most = 0;
    for (const StepSpec& step : spec.m_steps) {
        most = std::max(most, step.m_tasks * step.m_need.m_accelerators);
    }
    return most;
}

/** Since when an occurrence could have run. */
Millis getDue(const JobRecord& record, std::uint32_t occurrence) {
    const JobSpec& spec = record.m_spec;
    return spec.isTimed() ? spec.m_firstDue + spec.m_interval * occurrence : record.m_acceptedAt;
}

}  // namespace

std::uint32_t WorkUnit::countAccelerators() const {
    return getSpec().m_need.m_accelerators * static_cast<std::uint32_t>(m_indexes.size());
}

PlanningPass::PlanningPass(const TaskPlannerSettings& settings,
                           const std::vector<WorkerView>& workers,
                           const std::vector<PlannedJob>& jobs,
                           const std::map<TaskKey, Millis>& remaining,
                           const std::map<std::string, std::uint32_t>& guarantees, Millis wallNow)
        : m_settings(settings),
          m_jobs(jobs),
          m_remaining(remaining),
          m_guarantees(guarantees),
          m_wallNow(wallNow) {
    for (const WorkerView& worker : workers) {
        m_slots[worker.m_id] = m_rooms.size();
        m_rooms.push_back({&worker, worker.m_capacity, Resources(), std::nullopt, false});
        m_largestWorker = std::max(m_largestWorker, worker.m_capacity.m_accelerators);
    }
    findGuaranteed();
    takeRooms();
    addGangLosses();
    reserveForUrgent();
}

TaskPlan PlanningPass::run() {
    for (const WorkUnit& unit : collectUnits()) {
        placeUnit(unit);
    }
    if (m_settings.m_copies) {
        copySlowTasks();
    }
    if (m_settings.m_movesOffLeaving) {
        moveOffLeaving();
    }
    return std::move(m_plan);
}

/** In the order of acceptance, jobs are covered as long as the guarantee holds them all. */
void PlanningPass::findGuaranteed() {
    std::vector<const JobRecord*> urgent;
    for (const PlannedJob& job : m_jobs) {
        if (job.m_record->m_policy.m_priority == 0 && !job.m_run->isOver()) {
            urgent.push_back(job.m_record);
        }
    }
    std::sort(urgent.begin(), urgent.end(), [](const JobRecord* a, const JobRecord* b) {
        return std::tie(a->m_acceptedAt, a->m_id) < std::tie(b->m_acceptedAt, b->m_id);
    });
    std::map<std::string, std::uint32_t> left = m_guarantees;
    for (const JobRecord* record : urgent) {
        const std::uint32_t need = countMostAccelerators(record->m_spec);
        std::uint32_t& room = left[record->m_organisation];
        if (need <= room) {
            room -= need;
            m_guaranteed.insert(record->m_id);
        }
    }
}

void PlanningPass::takeRooms() {
    for (const PlannedJob& job : m_jobs) {
        for (const HeldRun& held : listHeldRuns(job.m_record->m_id, *job.m_run)) {
            takeRun(job, held);
        }
    }
}

void PlanningPass::takeRun(const PlannedJob& job, const HeldRun& held) {
    const auto found = m_slots.find(held.m_worker);
    if (found == m_slots.end()) {
        return;
    }
    const StepSpec& spec = job.m_record->m_spec.m_steps[held.m_task.m_step];
    Room& room = m_rooms[found->second];
    room.m_free -= spec.getRoomNeed();
    if (held.m_isStopping) {
        room.m_leaving += spec.getRoomNeed();
        return;
    }
    Occupant occupant;
    occupant.m_record = job.m_record;
    occupant.m_step =
            &job.m_run->findOccurrence(held.m_task.m_occurrence)->m_steps[held.m_task.m_step];
    occupant.m_spec = &spec;
    occupant.m_held = held;
    occupant.m_slot = found->second;
    occupant.m_isGuaranteed = m_guaranteed.count(held.m_task.m_job) != 0;
    const auto left = m_remaining.find(held.m_task);
    if (left != m_remaining.end() && !held.m_isCopy) {
        occupant.m_remaining = left->second;
    }
    const double elapsed = static_cast<double>((m_wallNow - held.m_placedAt).count());
    // A stop saves all progress of a task that saves any; but each stop costs a stop and a start.
    constexpr double RESTART_MS = 300.0;
    const bool losesNothing = spec.m_savesProgress || held.m_isCopy;
    const double lost = losesNothing ? 0.0 : std::max(0.0, elapsed);
    occupant.m_loss = getCores(spec.m_need) * (lost + RESTART_MS);
    m_occupants.push_back(std::move(occupant));
}

std::vector<WorkUnit> PlanningPass::collectUnits() const {
    std::vector<WorkUnit> units;
    for (const PlannedJob& job : m_jobs) {
        if (job.m_run->isOver()) {
            continue;
        }
        for (const OccurrenceRun& occurrence : job.m_run->m_occurrences) {
            for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
                if (isStepReady(*job.m_record, occurrence, step)) {
                    collectStep(job, occurrence, step, units);
                }
            }
        }
    }
    const auto getRank = [this](const WorkUnit& unit) {
        return std::make_tuple(unit.m_band, unit.m_record->m_policy.m_priority,
                               weighObjective(unit), std::cref(unit.m_record->m_id),
                               unit.m_occurrence, unit.m_step);
    };
    std::stable_sort(units.begin(), units.end(),
                     [&](const WorkUnit& a, const WorkUnit& b) { return getRank(a) < getRank(b); });
    return units;
}

void PlanningPass::collectStep(const PlannedJob& job, const OccurrenceRun& occurrence,
                               std::uint32_t step, std::vector<WorkUnit>& units) const {
    const StepRun& run = occurrence.m_steps[step];
    const bool isGang = job.m_record->m_spec.m_steps[step].m_isGang;
    WorkUnit whole = makeUnit(job, occurrence, step);
    for (std::uint32_t i = 0; i < run.m_tasks.size(); ++i) {
        if (run.m_tasks[i].m_state != TaskState::WAITING) {
            continue;
        }
        whole.m_indexes.push_back(i);
        if (!isGang) {
            units.push_back(whole);
            barHosts(units.back());
            whole.m_indexes.clear();
        }
    }
    if (isGang && whole.m_indexes.size() == run.m_tasks.size()) {
        barHosts(whole);
        units.push_back(std::move(whole));
    }
}

WorkUnit PlanningPass::makeUnit(const PlannedJob& job, const OccurrenceRun& occurrence,
                                std::uint32_t step) const {
    const JobRecord& record = *job.m_record;
    WorkUnit unit;
    unit.m_record = &record;
    unit.m_run = job.m_run;
    unit.m_occurrence = occurrence.m_number;
    unit.m_step = step;
    unit.m_isGuaranteed = m_guaranteed.count(record.m_id) != 0;
    unit.m_needsAdvice = record.m_policy.m_advice.has_value();
    if (unit.m_needsAdvice && job.m_advised != nullptr) {
        const auto advised = job.m_advised->find({occurrence.m_number, step});
        unit.m_advised = advised == job.m_advised->end() ? nullptr : &advised->second;
    }
    unit.m_since = getDue(record, occurrence.m_number);
    unit.m_objective = getObjective(record, occurrence.m_number);
    unit.m_band = chooseBand(unit, occurrence);
    return unit;
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
std::uint32_t PlanningPass::chooseBand(const WorkUnit& unit,
                                       const OccurrenceRun& occurrence) const {
    enum Band : std::uint32_t { GUARANTEED, ON_TIME, LATE, HOPELESS, BANDS };
    const Millis remaining = estimateRemainingChain(unit.m_record->m_spec, occurrence);
    const Millis spare = unit.m_objective - m_wallNow - remaining;
    const Millis span = unit.m_objective - unit.m_since;
    Band band = spare < Millis(0) ? LATE : ON_TIME;
    if (spare < -span * m_settings.m_hopelessAfter) {
        band = HOPELESS;
    } else if (unit.isUrgent() && unit.m_isGuaranteed) {
        band = GUARANTEED;
    }
    // What starves goes right after urgent work, so that its claim comes before smaller work.
    return !unit.isUrgent() && isStarved(unit) ? HOPELESS
                                               : unit.m_record->m_policy.m_priority * BANDS + band;
}

/** With a weight on fragmentation, a unit as large as a worker is taken for due sooner. */
Millis PlanningPass::weighObjective(const WorkUnit& unit) const {
    constexpr double WHOLE_WEIGHT = 100.0;
    const double size = std::min(1.0, static_cast<double>(unit.countAccelerators()) /
                                              static_cast<double>(m_largestWorker));
    const auto span = static_cast<double>((unit.m_objective - unit.m_since).count());
    const double advance = m_settings.m_fragmentationWeight / WHOLE_WEIGHT * size * span;
    return unit.m_objective - Millis(static_cast<std::int64_t>(advance));
}

PlanningPass::Likeness PlanningPass::getLikeness(const WorkUnit& unit) const {
    const StepSpec& spec = unit.getSpec();
    const Resources need = spec.getRoomNeed();
    return {unit.m_record->m_policy.m_service,
            need.m_cpuMillis,
            need.m_memoryMb,
            need.m_accelerators,
            unit.m_indexes.size(),
            spec.m_requiredLabel,
            spec.m_dataRack,
            static_cast<int>(spec.m_adjacency),
            mayGoFar(unit),
            mayUseReserved(unit),
            spec.m_estimate};
}

void PlanningPass::placeUnit(const WorkUnit& unit) {
    const bool mayBeLike = !unit.isUrgent() && !unit.m_needsAdvice &&
                           unit.getSpec().m_maxPerWorker == 0 && !isStarved(unit);
    if (!mayBeLike) {
        if (!placeOrWait(unit)) {
            noteWait(unit);
            claimFor(unit);
        }
        return;
    }
    const Likeness likeness = getLikeness(unit);
    const auto found = m_roomless.find(likeness);
    if (found != m_roomless.end()) {
        note(unit, found->second.m_kind, found->second.m_text);
    } else if (!placeOrWait(unit)) {
        noteWait(unit);
        m_roomless.emplace(likeness, m_plan.m_notes.back());
    }
}

/** @return false when nothing was found for the unit. */
bool PlanningPass::placeOrWait(const WorkUnit& unit) {
    if (const auto assignment = assign(unit, getRooms(unit, false))) {
        commit(unit, *assignment);
        return true;
    }
    if (const auto assignment = assign(unit, getRooms(unit, true))) {
        // What is being stopped will make room; nobody else gets it meanwhile.
        reserveLeaving(unit, *assignment);
        note(unit, "waits until work that is being stopped has ended");
        return true;
    }
    return unit.isUrgent() && (waitFor(unit) || preemptFor(unit));
}

void PlanningPass::commit(const WorkUnit& unit, const Assignment& assignment) {
    for (std::size_t i = 0; i < assignment.size(); ++i) {
        Room& room = m_rooms[assignment[i]];
        room.m_free -= unit.getSpec().getRoomNeed();
        m_plan.m_placements.push_back({unit.getKey(unit.m_indexes[i]), room.m_view->m_id});
    }
    m_begun.insert(unit.m_record->m_id);
    note(unit, PlanNote::Kind::PLACED,
         "placed: room on " + m_rooms[assignment.front()].m_view->m_id.m_host);
}

void PlanningPass::note(const WorkUnit& unit, PlanNote::Kind kind, std::string text) {
    m_plan.m_notes.push_back({unit.m_record->m_id, kind, std::move(text)});
}

}  // namespace pierbank
