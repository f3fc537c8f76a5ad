// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_RESERVATIONPOLICY_H
#define PIERBANK_JOB_RESERVATIONPOLICY_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "pierbank/job/JobSpec.h"

namespace pierbank {

/** Accelerators that a unit of work needs. */
struct UnitSize {
    /** Accelerators that one host has to give: of one task, or of all if they share a host. */
    std::uint32_t m_onOneHost = 0;
    /** Accelerators of all tasks. */
    std::uint32_t m_total = 0;
};

/** Returns the size of a unit with `members` tasks of the step. */
UnitSize getUnitSize(const StepSpec& spec, std::uint32_t members);

/** What keeps a large unit waiting. */
struct ContentionState {
    /** Whether hosts that the unit may use have room for it now. */
    bool m_fitsNow = false;
    /** Time since the unit became due. */
    Millis m_waited{0};
    /** Whether smaller units of its own or a lower priority wait, which would use such hosts. */
    bool m_hasSmallWaiting = false;
    /** Whether such units run on the hosts that it would get. */
    bool m_hasSmallRunning = false;
};

/** Capacity of a host that is expected to become free. */
struct ExpectedRelease {
    /** Time until then. */
    Millis m_in{0};
    Resources m_capacity;
};

/** A host that may be reserved. */
struct ReservableHost {
    /** Number by which the caller knows the host. */
    std::size_t m_slot = 0;
    /** Topology domain; all members of a unit get hosts of one domain. */
    std::int32_t m_domain = 0;
    /** Capacity that is free now. */
    Resources m_free;
    /** Accelerators that are not free now. */
    std::uint32_t m_usedAccelerators = 0;
    /** Maximum number of members that may run there. */
    std::uint32_t m_maxMembers = 0;
    /** In ascending order of their time. */
    std::span<const ExpectedRelease> m_releases;
};

/** Members of a unit on one host. */
struct HostShare {
    std::size_t m_slot = 0;
    std::uint32_t m_members = 0;
    /** Capacity that becomes free there until the unit starts. */
    Resources m_released;
};

/** Hosts for all members of a unit. */
struct ReservedHosts {
    /** Expected time until the unit starts. */
    Millis m_startsIn{0};
    std::vector<HostShare> m_hosts;
};

/** Accelerators of the service whose hosts are reserved, and of the units with reservations. */
struct ReservationUse {
    /** Units that hold a reservation so far. */
    std::size_t m_count = 0;
    /** Accelerators that these units need. */
    std::uint64_t m_reserved = 0;
    /** Accelerators of all hosts of the service. */
    std::uint64_t m_total = 0;
};

/** A host on which a small task could be packed, after the placement. */
struct PackingChoice {
    /** Accelerators that stay free. */
    std::uint32_t m_left = 0;
    /** Whether no accelerator of the host is in use yet. */
    bool m_isWhole = false;
    /** 0 to 1: share of the hosts in the same rack of which no accelerator is in use. */
    double m_wholeShareOfRack = 0;
    /** Run time there as a multiple of the usual one. */
    double m_slowness = 1.0;
    /** Whether the host is reserved for a large unit. */
    bool m_isReserved = false;
};

/**
 * Decides which units of work get a reservation before they starve, on which hosts, and where small
 * work is packed meanwhile. Has no state: all answers follow from the arguments.
 */
class ReservationPolicy {
public:
    /** @param largestHost accelerators of the largest host. */
    explicit ReservationPolicy(std::uint32_t largestHost) : m_largestHost(largestHost) {}

    /** Returns whether a unit needs whole hosts: it does not pack beside small work. */
    bool isLarge(const UnitSize& size) const;
    /** Returns whether smaller work would keep a large unit waiting. */
    static bool isKeptOut(const ContentionState& state);
    /** Returns whether a unit may get a reservation beside those that there are. */
    static bool mayReserve(const ReservationUse& use, std::uint32_t accelerators);
    /**
     * Returns the hosts of one domain that have room for all members first; empty if no domain will
     * have it. If several have it at the same time, those with the fewest accelerators in use.
     * @param need demand of one member.
     */
    static std::optional<ReservedHosts> findEarliest(const Resources& need, std::uint32_t members,
                                                     std::span<const ReservableHost> hosts);
    /** Returns how often `need` fits into the capacity, at most `limit` times. */
    static std::uint32_t countFitting(const Resources& need, const Resources& capacity,
                                      std::uint32_t limit);
    /** Returns the penalty of a host for a small task; the lowest is the best. */
    double getPackingPenalty(const PackingChoice& choice) const;
    /**
     * Returns the expected remaining time of a run.
     * @param expected,high run time on the run's host, and one that few runs exceed.
     */
    static Millis estimateRemaining(Millis expected, Millis high, Millis elapsed);

private:
    std::uint32_t m_largestHost;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_RESERVATIONPOLICY_H
