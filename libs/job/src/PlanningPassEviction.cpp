// SPDX-License-Identifier: Apache-2.0
// How urgent work gets room that other work has.
#include <algorithm>
#include <limits>

#include "PlanningPass.h"

namespace pierbank {

namespace {

constexpr double CORES_PER_ACCELERATOR = 8.0;
constexpr double MILLIS_PER_CORE = 1000.0;
constexpr double MILLIS_PER_SECOND = 1000.0;

}  // namespace

double getCores(const Resources& need) {
    return need.m_cpuMillis / MILLIS_PER_CORE + CORES_PER_ACCELERATOR * need.m_accelerators;
}

bool PlanningPass::mayPreempt(const WorkUnit& unit, const Occupant& occupant) const {
    if (occupant.m_isPreempted || occupant.m_isAwaited || occupant.m_job == unit.m_of->m_job) {
        return false;
    }
    const bool mayTake = unit.m_of->m_isGuaranteed && !occupant.m_isGuaranteed;
    return (!occupant.m_isUrgent || mayTake) && mayMiss(occupant);
}

bool PlanningPass::mayMiss(const Occupant& occupant) const {
    const StepSpec& spec = *occupant.m_spec;
    return !spec.m_isLasting || spec.m_maxUnavailable == 0 ||
           countAway(occupant) < spec.m_maxUnavailable;
}

/** Tasks of a lasting step that are not at work, or have not been for long. */
std::uint32_t PlanningPass::countAway(const Occupant& occupant) const {
    std::uint32_t away = 0;
    for (const TaskRun& task : occupant.m_step->m_tasks) {
        const bool isSettled = task.m_state == TaskState::PLACED &&
                               m_wallNow - task.m_placedAt >= m_settings.m_settleTime;
        away += isSettled ? 0 : 1;
    }
    const OccupantGroup& group = m_groups[occupant.m_group];
    for (std::size_t i = group.m_first; i < group.m_end; ++i) {
        away += m_occupants[i].m_isPreempted ? 1 : 0;
    }
    return away;
}

/** Work that ends soon by itself need not be stopped, if the unit can wait so long. */
bool PlanningPass::waitFor(const WorkUnit& unit) {
    const auto estimate = static_cast<double>(unit.getSpec().m_estimate.count());
    const Millis share(static_cast<std::int64_t>(m_settings.m_waitShare * estimate));
    const Millis waited = m_wallNow - unit.m_of->m_since;
    const Millis budget = std::min(share, m_settings.m_maxWait) - waited;
    if (budget <= Millis(0)) {
        return false;
    }
    std::vector<Resources> rooms = getRooms(unit, true);
    std::vector<std::size_t> ending;
    for (const WorkerSlot slot : unit.m_of->m_eligible->m_slots) {
        if (isBarred(unit, slot) || !isOpenTo(unit, slot)) {
            continue;
        }
        Resources over = m_rooms[slot].m_over;
        for (const std::size_t i : m_occupantsOn[slot]) {
            const Occupant& occupant = m_occupants[i];
            const bool isTaken = occupant.m_isPreempted || occupant.m_isAwaited;
            const auto remaining = isTaken ? std::nullopt : getRemaining(occupant);
            if (remaining.has_value() && *remaining <= budget) {
                giveBack(rooms[slot], over, occupant.m_spec->getCapacityDemand());
                ending.push_back(i);
            }
        }
    }
    const auto assignment = ending.empty() ? std::nullopt : assign(unit, rooms);
    if (!assignment.has_value()) {
        return false;
    }
    for (const std::size_t i : ending) {
        Occupant& occupant = m_occupants[i];
        if (std::find(assignment->begin(), assignment->end(), occupant.m_slot) !=
            assignment->end()) {
            occupant.m_isAwaited = true;
            addLeaving(occupant.m_slot, occupant.m_spec->getCapacityDemand());
        }
    }
    reserveLeaving(unit, *assignment);
    note(unit, "waits for work that is about to end");
    noteUrgentWait(unit, UrgentWait::Cause::ENDS);
    return true;
}

/** Finds the place where the least work is thrown away, or done slowly, and stops what is in the
 * way there. */
bool PlanningPass::preemptFor(const WorkUnit& unit) {
    if (!m_input.m_mayPreempt) {
        noteUrgentWait(unit, UrgentWait::Cause::WORKERS, 0.0);
        return false;
    }
    std::optional<Eviction> best;
    for (const PartNumber part : listParts(unit)) {
        auto eviction = findEviction(unit, part);
        if (eviction.has_value() && (!best.has_value() || eviction->m_rate < best->m_rate)) {
            best = std::move(eviction);
        }
    }
    if (!best.has_value() || !isWorth(unit, best->m_loss)) {
        const auto what = best.has_value() ? UrgentWait::Cause::ROOM : UrgentWait::Cause::WORKERS;
        noteUrgentWait(unit, what, best.has_value() ? best->m_loss / MILLIS_PER_SECOND : 0.0);
        return false;
    }
    for (const std::size_t victim : best->m_victims) {
        stop(m_occupants[victim], "gave way to job " + unit.getRecord().m_id);
    }
    reserveLeaving(unit, best->m_assignment);
    note(unit, "waits until work that gives way to it has ended");
    noteUrgentWait(unit, UrgentWait::Cause::STOPS, best->m_loss / MILLIS_PER_SECOND);
    return true;
}

/** A guarantee is kept whatever it costs; other urgent work must be worth what it throws away. */
bool PlanningPass::isWorth(const WorkUnit& unit, double loss) const {
    const StepSpec& spec = unit.getSpec();
    const double own = getCores(spec.m_need) * static_cast<double>(unit.m_indexes.size()) *
                       static_cast<double>(spec.m_estimate.count());
    return unit.m_of->m_isGuaranteed || loss <= m_settings.m_maxWastedWork * MILLIS_PER_SECOND +
                                                        m_settings.m_maxWastePerOwnWork * own;
}

std::optional<PlanningPass::Eviction> PlanningPass::findEviction(const WorkUnit& unit,
                                                                 PartNumber part) {
    Eviction eviction;
    eviction.m_used = countOfStep(unit);
    eviction.m_victimsOn.resize(m_rooms.size());
    for (std::size_t i = 0; i < unit.m_indexes.size(); ++i) {
        if (!addMember(unit, part, eviction)) {
            return std::nullopt;
        }
    }
    return eviction;
}

/** Puts one more task of the unit where that costs least. */
bool PlanningPass::addMember(const WorkUnit& unit, PartNumber part, Eviction& eviction) const {
    const StepSpec& spec = unit.getSpec();
    std::optional<WorkerSlot> best;
    double bestLoss = 0;
    std::pair<double, std::uint32_t> bestRate(std::numeric_limits<double>::max(), 0);
    for (const WorkerSlot slot : unit.m_of->m_eligible->m_slots) {
        const bool isOutside = part != ANY_PART && getPart(unit, slot) != part;
        const bool isFull =
                !eviction.m_used.empty() && eviction.m_used[slot] >= spec.m_maxPerWorker;
        if (isOutside || isFull || isBarred(unit, slot) || !isOpenTo(unit, slot)) {
            continue;
        }
        const std::optional<Victims>& victims = findVictims(unit, slot, eviction);
        if (!victims.has_value()) {
            continue;
        }
        const double loss = getLoss(*victims, eviction);
        const std::pair<double, std::uint32_t> rate(loss + getDelay(unit, slot),
                                                    m_rooms[slot].m_free.m_accelerators);
        if (rate < bestRate) {
            bestRate = rate;
            bestLoss = loss;
            best = slot;
        }
    }
    if (!best.has_value()) {
        return false;
    }
    eviction.m_loss += bestLoss;
    eviction.m_rate += bestRate.first;
    for (const std::size_t victim : **eviction.m_victimsOn[*best]) {
        eviction.m_victims.insert(victim);
        if (m_occupants[victim].m_spec->m_isGang) {
            eviction.m_gangs.insert(m_occupants[victim].m_group);
        }
    }
    eviction.m_assignment.push_back(*best);
    eviction.m_needed[*best] += spec.getCapacityDemand();
    eviction.m_victimsOn[*best].reset();
    if (!eviction.m_used.empty()) {
        ++eviction.m_used[*best];
    }
    return true;
}

/** Core-milliseconds that a member takes longer there than on a mean worker. */
double PlanningPass::getDelay(const WorkUnit& unit, WorkerSlot slot) const {
    const StepSpec& spec = unit.getSpec();
    return m_settings.m_evictionSpeedWeight * getCores(spec.m_need) *
           static_cast<double>(spec.m_estimate.count()) * (m_rooms[slot].m_view->m_slowness - 1.0);
}

/** What would give way on a worker to one more member; remembered until one is put there. */
const std::optional<PlanningPass::Victims>& PlanningPass::findVictims(const WorkUnit& unit,
                                                                      WorkerSlot slot,
                                                                      Eviction& eviction) const {
    auto& known = eviction.m_victimsOn[slot];
    if (!known.has_value()) {
        const auto needed = eviction.m_needed.find(slot);
        Resources need = needed == eviction.m_needed.end() ? Resources() : needed->second;
        need += unit.getSpec().getCapacityDemand();
        known = chooseVictims(unit, slot, need);
    }
    return *known;
}

/** What gives way on a worker so that it holds a need, cheapest first; empty for nothing to do. */
std::optional<PlanningPass::Victims> PlanningPass::chooseVictims(const WorkUnit& unit,
                                                                 WorkerSlot slot,
                                                                 const Resources& need) const {
    Resources room = m_rooms[slot].m_free;
    room += m_rooms[slot].m_leaving;
    Resources over = m_rooms[slot].m_over;
    Victims victims;
    for (const std::size_t candidate : m_occupantsOn[slot]) {
        if (need.fitsInto(room)) {
            break;
        }
        if (mayPreempt(unit, m_occupants[candidate])) {
            giveBack(room, over, m_occupants[candidate].m_spec->getCapacityDemand());
            victims.push_back(candidate);
        }
    }
    if (!need.fitsInto(room)) {
        return std::nullopt;
    }
    // The dearest first: what later ones made needless stays.
    for (std::size_t i = victims.size(); i-- > 0;) {
        Resources without = room;
        without -= m_occupants[victims[i]].m_spec->getCapacityDemand();
        if (need.fitsInto(without)) {
            room = without;
            victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
    return victims;
}

/** A gang that gives way already costs nothing more. */
double PlanningPass::getLoss(const Victims& victims, const Eviction& eviction) const {
    double loss = 0;
    for (std::size_t i = 0; i < victims.size(); ++i) {
        const Occupant& victim = m_occupants[victims[i]];
        const bool isGang = victim.m_spec->m_isGang;
        const auto end = victims.begin() + static_cast<std::ptrdiff_t>(i);
        const bool isCounted = isGang ? eviction.m_gangs.count(victim.m_group) != 0 ||
                                                std::any_of(victims.begin(), end,
                                                            [&](std::size_t other) {
                                                                return m_occupants[other].m_group ==
                                                                       victim.m_group;
                                                            })
                                      : eviction.m_victims.count(victims[i]) != 0;
        loss += isCounted ? 0.0 : victim.m_loss;
    }
    return loss;
}

/** Stopping one member of a gang stops them all. */
void PlanningPass::stop(Occupant& victim, const std::string& why) {
    const OccupantGroup group = victim.m_spec->m_isGang
                                        ? m_groups[victim.m_group]
                                        : OccupantGroup{getPlace(victim), getPlace(victim) + 1};
    for (std::size_t i = group.m_first; i < group.m_end; ++i) {
        Occupant& occupant = m_occupants[i];
        if (occupant.m_isPreempted) {
            continue;
        }
        occupant.m_isPreempted = true;
        addLeaving(occupant.m_slot, occupant.m_spec->getCapacityDemand());
        m_plan.m_stops.push_back({getKey(occupant), occupant.m_run, why});
    }
}

void PlanningPass::giveBack(Resources& room, Resources& over, Resources need) {
    const Resources before = over;
    over -= need;
    need -= before;
    room += need;
}

void PlanningPass::addLeaving(WorkerSlot slot, const Resources& need) {
    giveBack(m_rooms[slot].m_leaving, m_rooms[slot].m_over, need);
}

void PlanningPass::reserveLeaving(const WorkUnit& unit, const Assignment& assignment) {
    for (const WorkerSlot slot : assignment) {
        Room& room = m_rooms[slot];
        const Resources need = unit.getSpec().getCapacityDemand();
        Resources fromLeaving = need;
        fromLeaving -= room.m_free;
        room.m_free -= need;
        room.m_leaving -= fromLeaving;
    }
}

}  // namespace pierbank
