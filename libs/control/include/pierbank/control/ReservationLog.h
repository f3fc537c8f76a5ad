// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_RESERVATIONLOG_H
#define PIERBANK_CONTROL_RESERVATIONLOG_H

#include <cstdint>
#include <map>
#include <string>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

/**
 * Logs when a job's reservation begins and ends, by comparing each plan with the one before. Holds
 * the jobs that have a reservation, or had one until a moment ago; the planner limits their number.
 */
class ReservationLog {
public:
    /**
     * Time for which a reservation has to be absent until it counts as ended, if the job did not
     * start. Bounds the lines for a job whose reservation comes and goes from plan to plan.
     */
    static constexpr Millis MIN_ABSENCE{1000};

    /** Takes over the reservations of a plan. @param now steady time. */
    void update(const TaskPlan& plan, Millis now);
    /** Forgets all reservations without a line, when another gateway leads. */
    void clear() { m_held.clear(); }

    /** Returns how many jobs hold a reservation. */
    std::size_t countHeld() const noexcept { return m_held.size(); }
    /** Returns how many reservations have begun. */
    std::uint64_t countBegun() const noexcept { return m_begun; }

private:
    struct Held {
        Millis m_since{0};
        Millis m_lastSeen{0};
    };

    void begin(const PlannedReservation& reservation, Millis now);

    /** By job id. */
    std::map<std::string, Held, std::less<>> m_held;
    std::uint64_t m_begun = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_RESERVATIONLOG_H
