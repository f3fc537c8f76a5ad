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

/** Numbers names in their order; an empty one is no part. */
std::map<std::string_view, PartNumber> numberNames(
        std::span<const WorkerSnapshot> workers,
        std::string_view (*getName)(const WorkerSnapshot&)) {
    std::map<std::string_view, PartNumber> numbers;
    for (const WorkerSnapshot& worker : workers) {
        numbers.emplace(getName(worker), ANY_PART);
    }
    PartNumber next = 0;
    for (auto& [name, number] : numbers) {
        number = name.empty() ? ANY_PART : next++;
    }
    return numbers;
}

}  // namespace

std::uint32_t WorkUnit::countAccelerators() const {
    return getSpec().m_need.m_accelerators * static_cast<std::uint32_t>(m_indexes.size());
}

PlanningPass::PlanningPass(const TaskPlannerSettings& settings, const PlanInput& input)
        : m_settings(settings), m_input(input), m_wallNow(input.m_wallNow) {
    m_rooms.reserve(input.m_workers.size());
    for (const WorkerSnapshot& worker : input.m_workers) {
        m_slots.emplace(worker.m_id.m_host, m_rooms.size());
        if (worker.m_isSuspect) {
            m_suspects.push_back(m_rooms.size());
        }
        Room& room = m_rooms.emplace_back();
        room.m_view = &worker;
        room.m_free = worker.m_capacity;
        m_largestWorker = std::max(m_largestWorker, worker.m_capacity.m_accelerators);
    }
    m_begun.resize(input.m_jobs.size());
    m_wasIdle.resize(input.m_jobs.size());
    numberParts();
    findGuaranteed();
    takeRooms();
    findOvercommitted();
    addGangLosses();
    sortOccupants();
    reserveForUrgent();
}

TaskPlan PlanningPass::run() {
    const std::vector<WaitingStep> steps = collectSteps();
    for (const WaitingStep& step : steps) {
        m_plan.m_waiting += step.m_spec->m_isGang ? 1 : step.m_indexes.size();
    }
    for (const WaitingStep& step : steps) {
        placeStep(step);
    }
    if (m_settings.m_copies) {
        copySlowTasks();
    }
    if (m_settings.m_migratesOffLeaving) {
        moveOffLeaving();
    }
    return std::move(m_plan);
}

void PlanningPass::numberParts() {
    const auto workers = m_input.m_workers;
    const auto hosts = numberNames(workers, [](const WorkerSnapshot& worker) {
        return std::string_view(worker.m_id.m_host);
    });
    const auto racks = numberNames(
            workers, [](const WorkerSnapshot& worker) { return std::string_view(worker.m_rack); });
    const auto domains = numberNames(workers, [](const WorkerSnapshot& worker) {
        return std::string_view(worker.m_failureDomain);
    });
    for (Room& room : m_rooms) {
        room.m_host = hosts.at(room.m_view->m_id.m_host);
        room.m_rack = racks.at(room.m_view->m_rack);
        room.m_failureDomain = domains.at(room.m_view->m_failureDomain);
    }
    m_racks.insert(racks.begin(), racks.end());
}

/** In the order of acceptance, jobs are covered as long as the guarantee holds them all. */
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
    std::map<std::string, std::uint32_t> left = m_input.m_guarantees;
    for (const std::size_t job : urgent) {
        const JobRecord& record = *m_input.m_jobs[job].m_record;
        const std::uint32_t need = countMostAccelerators(record.m_spec);
        std::uint32_t& room = left[record.m_organisation];
        if (need <= room) {
            room -= need;
            m_guaranteed[job] = true;
        }
    }
}

// What runs.

void PlanningPass::takeRooms() {
    for (std::size_t job = 0; job < m_input.m_jobs.size(); ++job) {
        for (const OccurrenceRun& occurrence : m_input.m_jobs[job].m_run->m_occurrences) {
            for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
                takeStep(job, occurrence, step);
            }
        }
    }
}

void PlanningPass::takeStep(std::size_t job, const OccurrenceRun& occurrence, std::uint32_t step) {
    const JobRecord& record = *m_input.m_jobs[job].m_record;
    const StepRun& run = occurrence.m_steps[step];
    const std::size_t first = m_occupants.size();
    Occupant occupant;
    occupant.m_job = job;
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
            takeRun(occupant, task.m_worker, task.m_state == TaskState::STOPPING);
            noteRisk(task);
        }
    }
    occupant.m_isCopy = true;
    for (const TaskCopy& copy : run.m_copies) {
        occupant.m_index = copy.m_index;
        occupant.m_run = copy.m_run;
        occupant.m_placedAt = copy.m_placedAt;
        takeRun(occupant, copy.m_worker, copy.m_isStopping);
    }
    if (m_occupants.size() > first) {
        m_groups.push_back({first, m_occupants.size()});
    }
}

void PlanningPass::noteRisk(const TaskRun& task) {
    const auto slot = findSlot(task.m_worker);
    if (slot.has_value() && task.m_losses.isRisk(m_wallNow - task.m_placedAt)) {
        m_rooms[*slot].m_isAtRisk = true;
        m_hasRisks = true;
    }
}

void PlanningPass::takeRun(const Occupant& run, const WorkerId& worker, bool isStopping) {
    const auto slot = findSlot(worker);
    if (!slot.has_value()) {
        return;
    }
    const StepSpec& spec = *run.m_spec;
    Room& room = m_rooms[*slot];
    room.m_over += spec.getCapacityDemand();
    ++room.m_runs;
    if (isStopping) {
        room.m_leaving += spec.getCapacityDemand();
        return;
    }
    Occupant& occupant = m_occupants.emplace_back(run);
    occupant.m_slot = *slot;
    const double elapsed = static_cast<double>((m_wallNow - run.m_placedAt).count());
    // A stop saves all progress of a task that saves any; but each stop costs a stop and a start.
    constexpr double RESTART_MS = 300.0;
    const bool losesNothing = spec.m_savesProgress || run.m_isCopy;
    const double lost = losesNothing ? 0.0 : std::max(0.0, elapsed);
    occupant.m_loss = getCores(spec.m_need) * (lost + RESTART_MS);
}

/** Until here m_over holds all that runs. */
void PlanningPass::findOvercommitted() {
    for (Room& room : m_rooms) {
        const Resources used = room.m_over;
        room.m_free -= used;
        room.m_over -= room.m_view->m_capacity;
        const Resources stopping = room.m_leaving;
        room.m_leaving = Resources();
        giveBack(room.m_leaving, room.m_over, stopping);
    }
}

std::optional<WorkerSlot> PlanningPass::findSlot(const WorkerId& worker) const {
    const auto [begin, end] = m_slots.equal_range(worker.m_host);
    const auto found = std::find_if(begin, end, [&](const auto& entry) {
        return m_rooms[entry.second].m_view->m_id.m_incarnation == worker.m_incarnation;
    });
    return found == end ? std::nullopt : std::optional(found->second);
}

/** A gang that gives way does so whole. */
void PlanningPass::addGangLosses() {
    for (const OccupantGroup& group : m_groups) {
        if (!m_occupants[group.m_first].m_spec->m_isGang) {
            continue;
        }
        double loss = 0;
        for (std::size_t i = group.m_first; i < group.m_end; ++i) {
            loss += m_occupants[i].m_loss;
        }
        for (std::size_t i = group.m_first; i < group.m_end; ++i) {
            m_occupants[i].m_loss = loss;
        }
    }
}

/** Those that give way first come first: lower work, then what loses least. */
void PlanningPass::sortOccupants() {
    m_occupantsOn.resize(m_rooms.size());
    for (std::size_t i = 0; i < m_occupants.size(); ++i) {
        m_occupantsOn[m_occupants[i].m_slot].push_back(i);
    }
    for (auto& occupants : m_occupantsOn) {
        std::stable_sort(occupants.begin(), occupants.end(), [this](std::size_t a, std::size_t b) {
            const Occupant& left = m_occupants[a];
            const Occupant& right = m_occupants[b];
            return std::tie(left.m_isUrgent, left.m_loss) <
                   std::tie(right.m_isUrgent, right.m_loss);
        });
    }
}

TaskKey PlanningPass::getKey(const Occupant& occupant) const {
    return {getRecord(occupant).m_id, occupant.m_occurrence, occupant.m_stepNumber,
            occupant.m_index};
}

const JobRecord& PlanningPass::getRecord(const Occupant& occupant) const {
    return *m_input.m_jobs[occupant.m_job].m_record;
}

/** Copies are not told apart from the runs that they are beside. */
std::optional<Millis> PlanningPass::getRemaining(const Occupant& occupant) const {
    if (occupant.m_isCopy) {
        return std::nullopt;
    }
    const TaskRef task{getRecord(occupant).m_id, occupant.m_occurrence, occupant.m_stepNumber,
                       occupant.m_index};
    return m_input.m_forecast.getRemaining(m_rooms[occupant.m_slot].m_view->m_id.m_host, task);
}

// Placing what waits.

void PlanningPass::placeStep(const WaitingStep& step) {
    // Bars depend on where the step's tasks run already, so they come before any is placed.
    std::vector<WorkUnit> units;
    const std::span<const std::uint32_t> indexes(step.m_indexes);
    const std::size_t size = step.m_spec->m_isGang ? indexes.size() : 1;
    for (std::size_t i = 0; i < indexes.size(); i += size) {
        units.push_back({&step, indexes.subspan(i, size), {}});
        barHosts(units.back());
    }
    for (WorkUnit& unit : units) {
        keepOffRisks(unit);
        placeUnit(unit);
    }
}

void PlanningPass::placeUnit(const WorkUnit& unit) {
    const bool mayBeLike = !unit.isUrgent() && !unit.m_of->m_needsAdvice &&
                           unit.getSpec().m_maxPerWorker == 0 && !isStarved(unit);
    if (!mayBeLike) {
        if (!placeOrWait(unit)) {
            noteWait(unit);
            claimFor(unit);
        }
        return;
    }
    const auto known = m_roomless.find(getLikeness(unit));
    if (known != m_roomless.end() && unit.m_indexes.size() >= known->second.m_members) {
        if (unit.m_indexes.size() == known->second.m_members) {
            note(unit, known->second.m_note.m_kind, known->second.m_note.m_text);
        } else {
            // A larger one may be too large for any worker.
            noteWait(unit);
        }
    } else if (!placeOrWait(unit)) {
        noteWait(unit);
        noteRoomless(unit);
    }
}

/** What keeps off some hosts tells nothing of others that may go there. */
void PlanningPass::noteRoomless(const WorkUnit& unit) {
    if (!unit.m_barred.empty() || unit.m_keepsOffRisks) {
        return;
    }
    Roomless& roomless = m_roomless[getLikeness(unit)];
    roomless.m_members = unit.m_indexes.size();
    if (m_input.m_withExplanations) {
        roomless.m_note = m_plan.m_explanations.back();
    }
}

/** @return false when nothing was found for the unit. */
bool PlanningPass::placeOrWait(const WorkUnit& unit) {
    if (const auto assignment = findPlace(unit, false)) {
        commit(unit, *assignment);
        return true;
    }
    if (const auto assignment = findPlace(unit, true)) {
        // What is being stopped will make room; nobody else gets it meanwhile.
        reserveLeaving(unit, *assignment);
        note(unit, "waits until work that is being stopped has ended");
        noteUrgentWait(unit, UrgentWait::Cause::STOPS);
        return true;
    }
    return unit.isUrgent() && (waitFor(unit) || preemptFor(unit));
}

void PlanningPass::noteUrgentWait(const WorkUnit& unit, UrgentWait::Cause what, double loss) {
    const std::string_view job = unit.getRecord().m_id;
    auto& waits = m_plan.m_urgentWaits;
    if (unit.isUrgent() && (waits.empty() || waits.back().m_job != job)) {
        waits.push_back({job, what, unit.m_of->m_isGuaranteed, loss});
    }
}

void PlanningPass::commit(const WorkUnit& unit, const Assignment& assignment) {
    --m_plan.m_waiting;
    const bool isCounted = unit.getSpec().m_maxPerWorker > 0;
    if (isCounted) {
        countOfStep(unit);
    }
    for (std::size_t i = 0; i < assignment.size(); ++i) {
        Room& room = m_rooms[assignment[i]];
        room.m_free -= unit.getSpec().getCapacityDemand();
        ++room.m_runs;
        room.m_isAtRisk = room.m_isAtRisk || unit.m_isSuspect;
        m_hasRisks = m_hasRisks || unit.m_isSuspect;
        m_plan.m_placements.push_back({unit.getKey(unit.m_indexes[i]), room.m_view->m_id});
        if (isCounted) {
            ++m_stepCounts.at(&unit.getStep())[assignment[i]];
        }
    }
    m_begun[unit.m_of->m_job] = true;
    if (m_input.m_withExplanations) {
        note(unit, PlanExplanation::Kind::PLACED,
             "placed: room on " + m_rooms[assignment.front()].m_view->m_id.m_host);
    }
}

void PlanningPass::note(const WorkUnit& unit, PlanExplanation::Kind kind, std::string text) {
    if (m_input.m_withExplanations) {
        m_plan.m_explanations.push_back({unit.getRecord().m_id, kind, std::move(text)});
    }
}

}  // namespace pierbank
