// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_EARLYRESERVATIONS_H
#define PIERBANK_JOB_EARLYRESERVATIONS_H

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "pierbank/job/JobRun.h"
#include "pierbank/job/ReservationPolicy.h"

namespace pierbank {

/** Reservation of a large unit that smaller work would keep out. */
struct EarlyReservation {
    /** Step and first task of the unit. */
    const StepRun* m_step = nullptr;
    std::uint32_t m_firstTask = 0;
    std::string_view m_job;
    std::string_view m_service;
    /** Work of a higher priority ignores the reservation. */
    std::uint32_t m_priority = 0;
    std::uint32_t m_accelerators = 0;
    /** Demand of one member. */
    Resources m_need;
    ReservedHosts m_hosts;
    /**
     * By host of m_hosts: run time, on a host of normal speed, below which a task ends before the
     * reservation.
     */
    std::vector<Millis> m_backfillLimits;
};

/** The early reservations of one planning pass, by unit and by host. */
class EarlyReservations {
public:
    bool isEmpty() const noexcept { return m_reservations.empty(); }
    const std::vector<EarlyReservation>& list() const noexcept { return m_reservations; }

    /** Adds a reservation; its hosts have none yet. Slots are below `slotCount`. */
    void add(EarlyReservation reservation, std::size_t slotCount);
    /** Removes the unit's reservation. @return false if it has none. */
    bool release(const StepRun& step, std::uint32_t firstTask);
    /** Returns the reservation of a unit, or null. */
    const EarlyReservation* findOf(const StepRun& step, std::uint32_t firstTask) const;
    /** Returns the reservation of a host, or null. */
    const EarlyReservation* findAt(std::size_t slot) const;
    /**
     * Returns what the host will have beside the reserved members when the unit starts.
     * @param free capacity that is free now or is being freed.
     */
    Resources getSpare(std::size_t slot, Resources free) const;
    /** Returns whether a task with this run time ends before the reservation of a host. */
    bool endsBefore(std::size_t slot, Millis runTime) const;
    /**
     * Returns on how many hosts a task with this run time ends before the reservation. Two tasks
     * with the same number do so on the same hosts.
     */
    std::size_t countEndingBefore(Millis runTime) const;
    /** Returns the use of a service with `total` accelerators. */
    ReservationUse getUse(std::string_view service, std::uint64_t total) const;

private:
    struct Share {
        /** Index in m_reservations. */
        std::size_t m_reservation = 0;
        HostShare m_share;
        Millis m_backfillLimit{0};
    };

    void indexHosts(std::size_t slotCount);

    std::vector<EarlyReservation> m_reservations;
    /** By slot; empty without reservations. */
    std::vector<std::optional<Share>> m_shares;
    /** All backfill limits in ascending order. */
    std::vector<Millis> m_backfillLimits;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_EARLYRESERVATIONS_H
