// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/ReservationLog.h"

#include <algorithm>
#include <set>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** Returns the first hosts, separated by blanks; a line stays short for units of many hosts. */
std::string listHosts(const PlannedReservation& reservation) {
    constexpr std::size_t MAX_HOSTS = 8;
    std::string text;
    for (std::size_t i = 0; i < std::min(MAX_HOSTS, reservation.m_hosts.size()); ++i) {
        text.append(text.empty() ? "" : " ").append(reservation.m_hosts[i]);
    }
    return text;
}

}  // namespace

void ReservationLog::update(const TaskPlan& plan, Millis now) {
    for (const PlannedReservation& reservation : plan.m_reservations) {
        const auto found = m_held.find(reservation.m_job);
        if (found == m_held.end()) {
            begin(reservation, now);
        } else {
            found->second.m_lastSeen = now;
        }
    }
    std::set<std::string_view> started;
    for (const Placement& placement : plan.m_placements) {
        started.insert(placement.m_task.m_job);
    }
    std::erase_if(m_held, [&](const auto& entry) {
        const auto& [job, held] = entry;
        const bool hasStarted = started.count(job) != 0;
        const Millis absence = now - held.m_lastSeen;
        if (absence == Millis(0) || (!hasStarted && absence < MIN_ABSENCE)) {
            return false;
        }
        logEvent(Severity::INFO, "jobs", "reservation-ended",
                 {{"job", job},
                  {"reason", hasStarted ? "started" : "given-back"},
                  {"held_ms", std::to_string((held.m_lastSeen - held.m_since).count())}});
        return true;
    });
}

void ReservationLog::begin(const PlannedReservation& reservation, Millis now) {
    m_held.emplace(reservation.m_job, Held{now, now});
    ++m_begun;
    logEvent(Severity::INFO, "jobs", "reserved",
             {{"job", std::string(reservation.m_job)},
              {"reason", "smaller-work"},
              {"starts_in_ms", std::to_string(reservation.m_startsIn.count())},
              {"host_count", std::to_string(reservation.m_hosts.size())},
              {"hosts", listHosts(reservation)}});
}

}  // namespace pierbank
