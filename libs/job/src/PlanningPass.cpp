// SPDX-License-Identifier: Apache-2.0
#include "PlanningPass.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace pierbank {

namespace {

std::uint32_t countFirstStepAccelerators(const JobSpec& spec) {
    std::uint32_t most = 0;
    for (const StepSpec& step : spec.m_steps) {
        most = std::max(most, step.m_tasks * step.m_need.m_accelerators);
    }
    return most;
}

}  // namespace

const TaskRun& WorkUnit::getTask(std::uint32_t index) const {
    for (const OccurrenceRun& occurrence : m_run->m_occurrences) {
        if (occurrence.m_number == m_occurrence) {
            return occurrence.m_steps[m_step].m_tasks[index];
        }
    }
    static const TaskRun NONE;
    return NONE;
}

TaskKey WorkUnit::getKey(std::uint32_t index) const {
    return {m_record->m_id, m_occurrence, m_step, index};
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
        m_rooms.push_back({&worker, worker.m_capacity, Resources(), false});
    }
    findGuaranteed();
    takeRooms();
    addGangLosses();
}

TaskPlan PlanningPass::run() {
    for (const WorkUnit& unit : collectUnits()) {
        placeUnit(unit);
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
        const std::uint32_t need = countFirstStepAccelerators(record->m_spec);
        std::uint32_t& room = left[record->m_organisation];
        if (need <= room) {
            room -= need;
            m_guaranteed.insert(record->m_id);
        }
    }
}

void PlanningPass::takeRooms() {
    for (const PlannedJob& job : m_jobs) {
        for (const OccurrenceRun& occurrence : job.m_run->m_occurrences) {
            for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
                const auto& tasks = occurrence.m_steps[step].m_tasks;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    if (tasks[i].holdsWorker()) {
                        takeTask(*job.m_record, job.m_record->m_spec.m_steps[step], tasks[i],
                                 {job.m_record->m_id, occurrence.m_number, step, i});
                    }
                }
            }
        }
    }
}

void PlanningPass::takeTask(const JobRecord& record, const StepSpec& spec, const TaskRun& task,
                            TaskKey key) {
    const auto found = m_slots.find(task.m_worker);
    if (found == m_slots.end()) {
        return;
    }
    Room& room = m_rooms[found->second];
    room.m_free -= spec.m_need;
    if (task.m_state == TaskState::STOPPING) {
        room.m_leaving += spec.m_need;
        return;
    }
    Occupant occupant;
    occupant.m_record = &record;
    occupant.m_spec = &spec;
    occupant.m_slot = found->second;
    occupant.m_isGuaranteed = m_guaranteed.count(key.m_job) != 0;
    const auto left = m_remaining.find(key);
    if (left != m_remaining.end()) {
        occupant.m_remaining = left->second;
    }
    occupant.m_key = std::move(key);
    const double elapsed = static_cast<double>((m_wallNow - task.m_placedAt).count());
    // A stop saves all progress of a task that saves any; but each stop costs a stop and a start.
    constexpr double RESTART_MS = 300.0;
    const double lost = spec.m_savesProgress ? 0.0 : std::max(0.0, elapsed);
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
    const auto getRank = [](const WorkUnit& unit) {
        return std::make_tuple(unit.m_band, unit.m_record->m_policy.m_priority, unit.m_objective,
                               std::cref(unit.m_record->m_id), unit.m_occurrence, unit.m_step);
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
            whole.m_indexes.clear();
        }
    }
    if (isGang && whole.m_indexes.size() == run.m_tasks.size()) {
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
    const JobSpec& spec = record.m_spec;
    unit.m_since = spec.isTimed() ? spec.m_firstDue + spec.m_interval * occurrence.m_number
                                  : record.m_acceptedAt;
    const auto chain = static_cast<double>(estimateChain(spec).count());
    const auto objective = static_cast<std::int64_t>(record.m_policy.m_stretch * chain);
    unit.m_objective = unit.m_since + Millis(objective) + record.m_policy.m_slack;
    unit.m_band = chooseBand(unit, occurrence);
    return unit;
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
    return unit.m_record->m_policy.m_priority * BANDS + band;
}

void PlanningPass::placeUnit(const WorkUnit& unit) {
    if (const auto assignment = assign(unit, getRooms(unit, false))) {
        commit(unit, *assignment);
        return;
    }
    if (const auto assignment = assign(unit, getRooms(unit, true))) {
        // What is being stopped will make room; nobody else gets it meanwhile.
        reserveLeaving(unit, *assignment);
        note(unit, "waits until work that is being stopped has ended");
        return;
    }
    if (unit.isUrgent() && (waitFor(unit) || preemptFor(unit))) {
        return;
    }
    note(unit, "waits: no worker that it may use has room");
    if (m_wallNow - unit.m_since >= m_settings.m_reserveAfter) {
        reserve(unit);
    }
}

std::vector<Resources> PlanningPass::getRooms(const WorkUnit& unit, bool withLeaving) const {
    std::vector<Resources> rooms;
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        const Room& room = m_rooms[slot];
        Resources free;
        if (!room.m_isReserved && isAllowed(unit, slot)) {
            free = room.m_free;
            if (withLeaving) {
                free += room.m_leaving;
            }
        }
        rooms.push_back(free);
    }
    return rooms;
}

bool PlanningPass::isAllowed(const WorkUnit& unit, WorkerSlot slot) const {
    const WorkerView& worker = *m_rooms[slot].m_view;
    const std::string& label = unit.getSpec().m_requiredLabel;
    return worker.m_acceptsWork && worker.m_service == unit.m_record->m_policy.m_service &&
           (label.empty() || worker.m_labels.count(label) != 0);
}

/** Far work pays only once waiting for a near worker has cost more than the longer run. */
bool PlanningPass::mayGoFar(const WorkUnit& unit) const {
    const auto estimate = static_cast<double>(unit.getSpec().m_estimate.count());
    const auto waited = static_cast<double>((m_wallNow - unit.m_since).count());
    return waited > (m_settings.m_farFactor - 1.0) * estimate;
}

std::optional<PlanningPass::Assignment> PlanningPass::assign(const WorkUnit& unit,
                                                             std::vector<Resources> rooms) const {
    const StepSpec& spec = unit.getSpec();
    if (!spec.m_dataRack.empty()) {
        if (auto near = assignWithin(unit, rooms, spec.m_dataRack)) {
            return near;
        }
        return mayGoFar(unit) ? assignWithin(unit, rooms, "") : std::nullopt;
    }
    if (!spec.m_wantsOneRack || unit.m_indexes.size() == 1) {
        return assignWithin(unit, rooms, "");
    }
    // The rack with the least room that holds the gang.
    std::map<std::string, std::uint64_t> racks;
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        racks[m_rooms[slot].m_view->m_rack] += rooms[slot].m_accelerators;
    }
    std::optional<Assignment> best;
    std::uint64_t bestRoom = std::numeric_limits<std::uint64_t>::max();
    for (const auto& [rack, room] : racks) {
        if (room >= bestRoom) {
            continue;
        }
        if (auto assignment = assignWithin(unit, rooms, rack)) {
            best = std::move(assignment);
            bestRoom = room;
        }
    }
    if (!best.has_value() && mayGoFar(unit)) {
        best = assignWithin(unit, rooms, "");
    }
    return best;
}

std::optional<PlanningPass::Assignment> PlanningPass::assignWithin(const WorkUnit& unit,
                                                                   std::vector<Resources>& rooms,
                                                                   const std::string& rack) const {
    std::vector<Resources> left = rooms;
    std::map<WorkerSlot, std::uint32_t> used = countOfStep(unit);
    Assignment assignment;
    for (const std::uint32_t index : unit.m_indexes) {
        const auto slot = chooseSlot(unit, index, left, rack, used);
        if (!slot.has_value()) {
            return std::nullopt;
        }
        left[*slot] -= unit.getSpec().m_need;
        ++used[*slot];
        assignment.push_back(*slot);
    }
    return assignment;
}

std::optional<WorkerSlot> PlanningPass::chooseSlot(
        const WorkUnit& unit, std::uint32_t index, const std::vector<Resources>& rooms,
        const std::string& rack, const std::map<WorkerSlot, std::uint32_t>& used) const {
    const StepSpec& spec = unit.getSpec();
    std::optional<WorkerSlot> best;
    double bestRate = std::numeric_limits<double>::max();
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        const bool isInRack = rack.empty() || m_rooms[slot].m_view->m_rack == rack;
        if (!isInRack || !isAllowed(unit, slot) || !spec.m_need.fitsInto(rooms[slot])) {
            continue;
        }
        const auto others = used.find(slot);
        const bool isFull = spec.m_maxPerWorker > 0 && others != used.end() &&
                            others->second >= spec.m_maxPerWorker;
        const double rating = isFull ? bestRate : rate(unit, index, slot, rooms[slot]);
        if (rating < bestRate) {
            best = slot;
            bestRate = rating;
        }
    }
    return best;
}

/** Lower is better: fast workers first, then the one with the least room left. */
double PlanningPass::rate(const WorkUnit& unit, std::uint32_t index, WorkerSlot slot,
                          const Resources& room) const {
    constexpr double FAILED_HERE = 1000.0;
    constexpr double SLOWNESS = 20.0;
    Resources left = room;
    left -= unit.getSpec().m_need;
    const WorkerView& worker = *m_rooms[slot].m_view;
    const bool hasFailedHere = unit.getTask(index).m_failedHost == worker.m_id.m_host;
    const double cpuShare =
            static_cast<double>(left.m_cpuMillis) / std::max(1U, worker.m_capacity.m_cpuMillis);
    return (hasFailedHere ? FAILED_HERE : 0.0) + SLOWNESS * (worker.m_slowness - 1.0) +
           left.m_accelerators + cpuShare;
}

std::map<WorkerSlot, std::uint32_t> PlanningPass::countOfStep(const WorkUnit& unit) const {
    std::map<WorkerSlot, std::uint32_t> used;
    if (unit.getSpec().m_maxPerWorker == 0) {
        return used;
    }
    for (const OccurrenceRun& occurrence : unit.m_run->m_occurrences) {
        if (occurrence.m_number != unit.m_occurrence) {
            continue;
        }
        for (const TaskRun& task : occurrence.m_steps[unit.m_step].m_tasks) {
            const auto found = m_slots.find(task.m_worker);
            if (task.holdsWorker() && found != m_slots.end()) {
                ++used[found->second];
            }
        }
    }
    for (const Placement& placement : m_plan.m_placements) {
        const TaskKey& key = placement.m_task;
        if (key.m_job == unit.m_record->m_id && key.m_occurrence == unit.m_occurrence &&
            key.m_step == unit.m_step) {
            ++used[m_slots.at(placement.m_worker)];
        }
    }
    return used;
}

void PlanningPass::commit(const WorkUnit& unit, const Assignment& assignment) {
    for (std::size_t i = 0; i < assignment.size(); ++i) {
        Room& room = m_rooms[assignment[i]];
        room.m_free -= unit.getSpec().m_need;
        m_plan.m_placements.push_back({unit.getKey(unit.m_indexes[i]), room.m_view->m_id});
    }
    note(unit, "placed: room on " + m_rooms[assignment.front()].m_view->m_id.m_host);
}

void PlanningPass::reserveLeaving(const WorkUnit& unit, const Assignment& assignment) {
    for (const WorkerSlot slot : assignment) {
        Room& room = m_rooms[slot];
        Resources need = unit.getSpec().m_need;
        Resources fromLeaving = need;
        fromLeaving -= room.m_free;
        room.m_free -= need;
        room.m_leaving -= fromLeaving;
    }
}

/** Keeps the workers free that are nearest to holding the unit. */
void PlanningPass::reserve(const WorkUnit& unit) {
    const std::size_t most = m_rooms.size() * m_settings.m_maxReservedPercent / 100;
    std::vector<WorkerSlot> slots;
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        const Room& room = m_rooms[slot];
        const bool holds = unit.getSpec().m_need.fitsInto(room.m_view->m_capacity);
        if (!room.m_isReserved && holds && isAllowed(unit, slot)) {
            slots.push_back(slot);
        }
    }
    std::stable_sort(slots.begin(), slots.end(), [this](WorkerSlot a, WorkerSlot b) {
        const auto roomOf = [this](WorkerSlot slot) {
            const Room& room = m_rooms[slot];
            return std::make_pair(room.m_free.m_accelerators + room.m_leaving.m_accelerators,
                                  room.m_free.m_cpuMillis);
        };
        return roomOf(a) > roomOf(b);
    });
    const std::size_t wanted = std::min(unit.m_indexes.size(), slots.size());
    if (m_reserved + wanted > most) {
        return;
    }
    for (std::size_t i = 0; i < wanted; ++i) {
        m_rooms[slots[i]].m_isReserved = true;
        ++m_reserved;
    }
    if (wanted > 0) {
        note(unit, "waits: workers are kept free for it, the first is " +
                           m_rooms[slots.front()].m_view->m_id.m_host);
    }
}

void PlanningPass::note(const WorkUnit& unit, std::string text) {
    m_plan.m_notes.push_back({unit.m_record->m_id, std::move(text)});
}

}  // namespace pierbank
