// SPDX-License-Identifier: Apache-2.0
// Workers that are kept for urgent work, and workers that a unit keeps off.
#include <algorithm>
#include <array>

#include "PlanningPass.h"

namespace pierbank {

void PlanningPass::reserveForUrgent() {
    for (const auto& [service, accelerators] : m_settings.m_urgentHeadroom) {
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
        if (all.at(i) > 0 && 1.0 - free.at(i) / all.at(i) < m_settings.m_lowUtilization) {
            return true;
        }
    }
    return false;
}

bool PlanningPass::mayUseReserved(const WorkUnit& unit) const {
    if (unit.isUrgent() || isStarved(unit)) {
        return true;
    }
    return m_wallNow - unit.m_of->m_since >= m_settings.m_headroomReleaseWait &&
           m_idleServices.count(unit.getRecord().m_policy.m_service) != 0 &&
           hasNothingRunning(*unit.m_of);
}

bool PlanningPass::hasNothingRunning(const WaitingStep& step) const {
    auto& wasIdle = m_wasIdle[step.m_job];
    if (!wasIdle.has_value()) {
        wasIdle = step.m_run->isIdle();
    }
    return *wasIdle && !m_begun[step.m_job];
}

/** The workers on which the least other work runs, so that the same ones stay kept, and fast ones.
 */
void PlanningPass::reserveForUrgent(const std::string& service, std::uint32_t accelerators) {
    std::vector<double> others(m_rooms.size());
    for (const Occupant& occupant : m_occupants) {
        if (!occupant.m_isUrgent) {
            others[occupant.m_slot] += occupant.m_spec->m_need.m_accelerators;
        }
    }
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        const double slowness = m_rooms[slot].m_view->m_slowness;
        others[slot] += m_settings.m_urgentSpeedWeight * (slowness - 1.0);
    }
    std::vector<WorkerSlot> slots;
    double all = 0;
    for (WorkerSlot slot = 0; slot < m_rooms.size(); ++slot) {
        const WorkerSnapshot& worker = *m_rooms[slot].m_view;
        if (worker.m_acceptsWork && worker.m_service == service) {
            slots.push_back(slot);
            all += worker.m_capacity.m_accelerators;
        }
    }
    std::stable_sort(slots.begin(), slots.end(),
                     [&](WorkerSlot a, WorkerSlot b) { return others[a] < others[b]; });
    const double most = std::min<double>(accelerators, m_settings.m_maxHeadroomShare * all);
    double kept = 0;
    for (const WorkerSlot slot : slots) {
        kept += m_rooms[slot].m_view->m_capacity.m_accelerators;
        if (kept > most) {
            return;
        }
        m_rooms[slot].m_isReserved = true;
    }
}

bool PlanningPass::isLastAttempt(const WorkUnit& unit) const {
    const std::uint32_t counted = unit.getSpec().m_isGang ? 0 : unit.m_indexes.front();
    return unit.getStep().m_tasks[counted].m_failures + 1 >= unit.getRecord().m_policy.m_attempts;
}

/** A suspect worker is tried with one run at a time, and not with what a failure costs much. */
bool PlanningPass::isRisk(const WorkUnit& unit, WorkerSlot slot) const {
    return !m_occupantsOn[slot].empty() || unit.isUrgent() || unit.m_indexes.size() > 1 ||
           isLastAttempt(unit);
}

/** Whether it would fit if nothing else ran. */
bool PlanningPass::couldHold(const WorkUnit& unit) {
    std::vector<Resources> rooms(m_rooms.size());
    for (const WorkerSlot slot : unit.m_of->m_eligible->m_slots) {
        if (!isBarred(unit, slot)) {
            rooms[slot] = m_rooms[slot].m_view->m_capacity;
        }
    }
    return assign(unit, rooms).has_value();
}

/**
 * What may crash its worker runs beside as little as can be and never beside another such: so a
 * second crash proves something, and costs nobody else. Urgent work and gangs keep off it too, as
 * long as others could hold them.
 */
void PlanningPass::keepOffRisks(WorkUnit& unit) {
    const auto& tasks = unit.getStep().m_tasks;
    unit.m_isSuspect =
            std::any_of(unit.m_indexes.begin(), unit.m_indexes.end(),
                        [&](std::uint32_t index) { return tasks[index].m_losses.isSuspect(); });
    const bool isDear = unit.m_isSuspect || unit.isUrgent() || unit.m_indexes.size() > 1;
    unit.m_keepsOffRisks = m_hasRisks && isDear;
    if (unit.m_keepsOffRisks && !couldHold(unit)) {
        unit.m_keepsOffRisks = false;
    }
}

/** All members keep off a host that failed one of them, as long as others could hold the unit. */
void PlanningPass::barHosts(WorkUnit& unit) {
    unit.m_barred.clear();
    if (!m_settings.m_excludesFailedHosts) {
        return;
    }
    const auto& tasks = unit.getStep().m_tasks;
    const bool hasFailed =
            std::any_of(unit.m_indexes.begin(), unit.m_indexes.end(),
                        [&](std::uint32_t index) { return !tasks[index].m_failedHosts.isEmpty(); });
    for (WorkerSlot slot = 0; hasFailed && slot < m_rooms.size(); ++slot) {
        const std::string& host = m_rooms[slot].m_view->m_id.m_host;
        const bool failedHere = std::any_of(
                unit.m_indexes.begin(), unit.m_indexes.end(),
                [&](std::uint32_t index) { return tasks[index].m_failedHosts.contains(host); });
        if (failedHere) {
            unit.m_barred.push_back(slot);
        }
    }
    std::vector<WorkerSlot> risks;
    for (const WorkerSlot slot : m_suspects) {
        if (!isBarred(unit, slot) && isRisk(unit, slot)) {
            risks.push_back(slot);
        }
    }
    if (!unit.m_barred.empty() && !couldHold(unit)) {
        unit.m_barred.clear();
    }
    const std::vector<WorkerSlot> failed = unit.m_barred;
    unit.m_barred.insert(unit.m_barred.end(), risks.begin(), risks.end());
    if (!risks.empty() && !couldHold(unit)) {
        unit.m_barred = failed;
    }
}

}  // namespace pierbank
