// SPDX-License-Identifier: Apache-2.0
#include "PlanningPass.h"

#include <algorithm>
#include <array>
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

void PlanningPass::reserveForUrgent() {
    for (const auto& [service, accelerators] : m_settings.m_urgentReserve) {
        reserveForUrgent(service, accelerators);
        if (isHardlyHalfUsed(service)) {
            m_idleServices.insert(service);
        }
    }
}

bool PlanningPass::isHardlyHalfUsed(const std::string& service) const {
    std::array<double, 3> free{};
    std::array<double, 3> all{};
    const auto add = [](std::array<double, 3>& sums, const Resources& resources) {
        sums[0] += resources.m_cpuMillis;
        sums[1] += resources.m_memoryMb;
        sums[2] += resources.m_accelerators;
    };
    for (const Room& room : m_rooms) {
        if (room.m_view->m_service == service) {
            add(free, room.m_free);
            add(all, room.m_view->m_capacity);
        }
    }
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (all.at(i) > 0 && 1.0 - free.at(i) / all.at(i) < m_settings.m_hardlyHalf) {
            return true;
        }
    }
    return false;
}

bool PlanningPass::mayUseReserved(const WorkUnit& unit) const {
    const bool isIdle = m_idleServices.count(unit.m_record->m_policy.m_service) != 0;
    const bool hasWaited = m_wallNow - unit.m_since >= m_settings.m_reserveYields;
    return unit.isUrgent() || isStarved(unit) || (isIdle && hasWaited);
}

/** The workers on which the least other work runs, so that the same ones stay kept. */
void PlanningPass::reserveForUrgent(const std::string& service, std::uint32_t accelerators) {
    std::vector<std::uint32_t> others(m_rooms.size());
    for (const Occupant& occupant : m_occupants) {
        if (occupant.m_record->m_policy.m_priority != 0) {
            others[occupant.m_slot] += occupant.m_spec->m_need.m_accelerators;
        }
    }
    std::vector<WorkerSlot> slots;
    double all = 0;
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        const WorkerView& worker = *m_rooms[slot].m_view;
        if (worker.m_acceptsWork && worker.m_service == service) {
            slots.push_back(slot);
            all += worker.m_capacity.m_accelerators;
        }
    }
    std::stable_sort(slots.begin(), slots.end(),
                     [&](WorkerSlot a, WorkerSlot b) { return others[a] < others[b]; });
    const double most = std::min<double>(accelerators, m_settings.m_mostReserved * all);
    double kept = 0;
    for (const WorkerSlot slot : slots) {
        kept += m_rooms[slot].m_view->m_capacity.m_accelerators;
        if (kept > most) {
            return;
        }
        m_rooms[slot].m_isReserved = true;
    }
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

bool PlanningPass::isLastAttempt(const WorkUnit& unit) const {
    const std::uint32_t counted = unit.getSpec().m_isGang ? 0 : unit.m_indexes.front();
    return unit.getStep().m_tasks[counted].m_failures + 1 >= unit.m_record->m_policy.m_attempts;
}

/** A suspect worker is tried with one run at a time, and not with what a failure costs much. */
bool PlanningPass::isRisk(const WorkUnit& unit, WorkerSlot slot) const {
    if (!m_rooms[slot].m_view->m_isSuspect) {
        return false;
    }
    const bool isBusy = std::any_of(m_occupants.begin(), m_occupants.end(),
                                    [slot](const Occupant& o) { return o.m_slot == slot; });
    return isBusy || unit.isUrgent() || unit.m_indexes.size() > 1 || isLastAttempt(unit);
}

/** Whether it would fit if nothing else ran. */
bool PlanningPass::couldHold(const WorkUnit& unit) const {
    std::vector<Resources> rooms(m_rooms.size());
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        if (isAllowed(unit, slot)) {
            rooms[slot] = m_rooms[slot].m_view->m_capacity;
        }
    }
    return assign(unit, rooms).has_value();
}

/** All members keep off a host that failed one of them, as long as others could hold the unit. */
void PlanningPass::barHosts(WorkUnit& unit) const {
    if (!m_settings.m_barsHosts) {
        return;
    }
    const auto& tasks = unit.getStep().m_tasks;
    std::set<WorkerSlot> risks;
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        const std::string& host = m_rooms[slot].m_view->m_id.m_host;
        const bool hasFailed = std::any_of(
                unit.m_indexes.begin(), unit.m_indexes.end(),
                [&](std::uint32_t index) { return tasks[index].m_failedHosts.contains(host); });
        if (hasFailed) {
            unit.m_barred.insert(slot);
        } else if (isRisk(unit, slot)) {
            risks.insert(slot);
        }
    }
    if (!unit.m_barred.empty() && !couldHold(unit)) {
        unit.m_barred.clear();
    }
    const std::set<WorkerSlot> failed = unit.m_barred;
    unit.m_barred.insert(risks.begin(), risks.end());
    if (!risks.empty() && !couldHold(unit)) {
        unit.m_barred = failed;
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
    note(unit, PlanNote::Kind::PLACED,
         "placed: room on " + m_rooms[assignment.front()].m_view->m_id.m_host);
}

void PlanningPass::note(const WorkUnit& unit, PlanNote::Kind kind, std::string text) {
    m_plan.m_notes.push_back({unit.m_record->m_id, kind, std::move(text)});
}

}  // namespace pierbank
