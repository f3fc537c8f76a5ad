// SPDX-License-Identifier: Apache-2.0
// The part of PlanPass that serves organisations inside their guarantees.
#include <algorithm>
#include <map>

#include "PlanPass.h"

namespace pierbank {

namespace {

std::vector<UnitCell> toCells(const CellChoice& choice, const Shape& shape) {
    std::vector<UnitCell> cells;
    for (const WorkerIndex worker : choice.m_workers) {
        cells.push_back({worker, shape.m_accelerators});
    }
    return cells;
}

}  // namespace

std::vector<std::uint32_t> PlanPass::countRoom(const GuaranteeUnit& unit, bool isForUrgent) const {
    std::vector<std::uint32_t> room(m_state.m_workers.size(), 0);
    for (const UnitCell& cell : unit.m_cells) {
        room[cell.m_worker] += cell.m_accelerators;
    }
    for (const Job* const other : m_placed) {
        const bool isInside = other->isPlaced() && other->m_unit == unit.m_id;
        if (!isInside || (isForUrgent && !other->m_isUrgent)) {
            continue;
        }
        forEachWorker(*other, [&](WorkerIndex worker, std::uint32_t count) {
            room[worker] -= std::min(room[worker], count);
        });
    }
    return room;
}

std::optional<CellChoice> PlanPass::chooseIn(std::vector<std::uint32_t> room,
                                             const Job& job) const {
    std::vector<std::uint32_t> free(room.size(), 0);
    const std::vector<double> disturbance(room.size(), 1.0);
    for (WorkerIndex i = 0; i < room.size(); ++i) {
        const bool isLive = m_state.m_workers[i].m_state == WorkerState::LIVE;
        room[i] = isLive ? room[i] : 0;
        free[i] = std::min(room[i], m_occupancy.getFreeOfGuarantees(i));
    }
    // The unit's cells already keep to the job's adjacency (Shape::fitsInto()).
    Shape anywhere = job.m_shape;
    anywhere.m_adjacency = Adjacency::REGION;
    return m_finder.find(anywhere, {room, free, disturbance});
}

std::optional<CellChoice> PlanPass::chooseCells(const Job& job, const GuaranteeUnit& unit) const {
    return chooseIn(countRoom(unit, false), job);
}

std::optional<PlanPass::UnitPlace> PlanPass::findByEviction(const Job& job,
                                                            const GuaranteeUnit& unit) const {
    auto choice = chooseIn(countRoom(unit, true), job);
    if (!choice.has_value()) {
        return std::nullopt;
    }
    // All of it counts as disturbed: any other way that is found comes first.
    return UnitPlace{unit.m_id, *std::move(choice), job.m_shape.getTotal()};
}

std::uint32_t PlanPass::countShortage(const Job& job, const CellChoice& choice) const {
    std::vector<std::uint32_t> needed(m_state.m_workers.size(), 0);
    for (const WorkerIndex worker : choice.m_workers) {
        needed[worker] += job.m_shape.m_accelerators;
    }
    std::uint32_t shortage = 0;
    for (WorkerIndex i = 0; i < needed.size(); ++i) {
        const std::uint32_t free = m_occupancy.getFreeOfGuarantees(i);
        shortage += needed[i] > free ? needed[i] - free : 0;
    }
    return shortage;
}

std::optional<PlanPass::UnitPlace> PlanPass::findInUnit(const Job& job,
                                                        const GuaranteeUnit& unit) const {
    auto choice = chooseCells(job, unit);
    if (!choice.has_value()) {
        return std::nullopt;
    }
    const std::uint32_t shortage = countShortage(job, *choice);
    return UnitPlace{unit.m_id, *std::move(choice), shortage};
}

bool PlanPass::isBusy(const GuaranteeUnit& unit) const {
    return m_occupancy.m_busyUnits.count(unit.m_id) != 0;
}

bool PlanPass::takeByRebinding(Job& job, const GuaranteeUnit& unit) {
    if (m_occupancy.m_busyUnits.count(unit.m_id) != 0) {
        return false;
    }
    const auto open = collect([this](WorkerIndex i) { return m_occupancy.getFreeOfGuarantees(i); });
    const auto choice = m_finder.find(unit.m_shape, {open, open, {}});
    const bool isMoved =
            choice.has_value() &&
            m_packer.rebind(unit.m_id, toCells(*choice, unit.m_shape), m_occupancy.m_busyUnits);
    if (!isMoved) {
        return false;
    }
    const auto inside = chooseCells(job, unit);
    if (!inside.has_value() || countShortage(job, *inside) > 0) {
        return false;
    }
    job.m_unit = unit.m_id;
    place(job, *inside,
          makeWhy(Verdict::PLACED, Constraint::WITHIN_GUARANTEE, job, choice->m_candidates));
    return true;
}

bool PlanPass::placeWithinGuarantee(Job& job) {
    const auto key = std::make_pair(job.m_isUrgent,
                                    OrganisationShapeKey{job.m_organisation, makeKey(job.m_shape)});
    if (m_failedGuarantees.count(key) != 0) {
        return false;
    }
    std::vector<const GuaranteeUnit*> fitting;
    for (const GuaranteeUnit& unit : m_state.m_units) {
        const bool isOwn = unit.m_organisation == job.m_organisation;
        if (isOwn && !unit.m_cells.empty() && job.m_shape.fitsInto(unit.m_shape)) {
            fitting.push_back(&unit);
        }
    }
    std::stable_sort(fitting.begin(), fitting.end(), [](const auto* a, const auto* b) {
        return a->m_shape.getTotal() < b->m_shape.getTotal();
    });
    std::optional<UnitPlace> best;
    const auto consider = [&best](std::optional<UnitPlace> place) {
        if (place.has_value() && (!best.has_value() || place->m_shortage < best->m_shortage)) {
            best = std::move(place);
        }
    };
    for (const GuaranteeUnit* unit : fitting) {
        consider(isBusy(*unit) ? findInUnit(job, *unit) : std::nullopt);
    }
    const bool isReady = best.has_value() && best->m_shortage == 0;
    for (const GuaranteeUnit* unit : fitting) {
        if (!isReady && takeByRebinding(job, *unit)) {
            return true;
        }
    }
    for (const GuaranteeUnit* unit : fitting) {
        consider(isBusy(*unit) ? std::nullopt : findInUnit(job, *unit));
    }
    for (const GuaranteeUnit* unit : fitting) {
        if (!best.has_value() && job.m_isUrgent) {
            consider(findByEviction(job, *unit));
        }
    }
    if (!best.has_value()) {
        m_failedGuarantees.insert(key);
        return false;
    }
    job.m_unit = best->m_unit;
    const std::uint32_t candidates = best->m_choice.m_candidates;
    if (best->m_shortage == 0) {
        place(job, best->m_choice,
              makeWhy(Verdict::PLACED, Constraint::WITHIN_GUARANTEE, job, candidates));
        return true;
    }
    claim(job, best->m_choice,
          makeWhy(Verdict::CLAIMED, Constraint::WITHIN_GUARANTEE, job, candidates));
    std::vector<std::string> evicted = evictFrom(*m_state.findUnit(*job.m_unit), job);
    const auto isVictim = [&](const Job& other) {
        return isVictimOfFirm(other, job);
    };
    job.m_why.m_preempted = preemptFor(job, isVictim, Constraint::RECLAIMED);
    job.m_why.m_preempted.insert(job.m_why.m_preempted.end(), evicted.begin(), evicted.end());
    return true;
}

std::vector<std::string> PlanPass::evictFrom(const GuaranteeUnit& unit, const Job& job) {
    std::map<WorkerIndex, std::int64_t> room;
    for (const UnitCell& cell : unit.m_cells) {
        room[cell.m_worker] += cell.m_accelerators;
    }
    std::vector<Job*> others;
    for (Job* const other : m_placed) {
        const bool isInside = other->m_unit == unit.m_id && other->m_state != JobState::STOPPING;
        if (!isInside) {
            continue;
        }
        forEachWorker(*other,
                      [&](WorkerIndex worker, std::uint32_t count) { room[worker] -= count; });
        if (other != &job && !other->m_isUrgent) {
            others.push_back(other);
        }
    }
    std::vector<std::string> evicted;
    for (Job* const other : others) {
        bool isInTheWay = false;
        forEachWorker(*other, [&](WorkerIndex worker, std::uint32_t) {
            isInTheWay = isInTheWay || room[worker] < 0;
        });
        if (!isInTheWay) {
            continue;
        }
        forEachWorker(*other,
                      [&](WorkerIndex worker, std::uint32_t count) { room[worker] += count; });
        evicted.push_back(other->m_name);
        preempt(*other, job, Constraint::URGENT_WORK);
    }
    return evicted;
}

void PlanPass::adoptIntoUnits() {
    for (Job* const job : m_placed) {
        const bool holds = job->m_state == JobState::RUNNING || job->m_state == JobState::PREPARING;
        if (holds && isBorrowed(*job)) {
            adopt(*job);
        }
    }
}

void PlanPass::adopt(Job& job) {
    std::vector<UnitCell> cells;
    for (const Member& member : job.m_members) {
        cells.push_back({member.m_worker, job.m_shape.m_accelerators});
    }
    for (const GuaranteeUnit& unit : m_state.m_units) {
        const bool isOwnIdle = unit.m_organisation == job.m_organisation &&
                               m_occupancy.m_busyUnits.count(unit.m_id) == 0;
        // Only the same shape: cells of a looser job would break the unit's own adjacency.
        if (!isOwnIdle || !(unit.m_shape == job.m_shape) ||
            !m_packer.rebind(unit.m_id, cells, m_occupancy.m_busyUnits)) {
            continue;
        }
        job.m_unit = unit.m_id;
        m_occupancy.m_busyUnits.insert(unit.m_id);
        Explanation why = job.m_why;
        why.m_constraint = Constraint::WITHIN_GUARANTEE;
        why.m_decidedAt = m_now;
        decide(job, why);
        return;
    }
}

}  // namespace pierbank
