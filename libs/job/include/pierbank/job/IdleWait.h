// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_IDLEWAIT_H
#define PIERBANK_JOB_IDLEWAIT_H

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** Why an idle job waits: a job without an active run, of which a task could start. */
enum class IdleReason : std::uint8_t {
    /** The free capacity of all hosts together is less than twice what the unit needs. */
    CAPACITY,
    /** That much is free, but not enough of it on any of the hosts that the unit would need. */
    SHAPE,
    /** Hosts have capacity, but not in the rack that the unit prefers. */
    RACK,
    /** Hosts have capacity, but they are kept free for urgent work. */
    HEADROOM,
    /** Hosts have capacity, but they are reserved for another unit. */
    RESERVED,
    /** Hosts have capacity, but the unit avoids them, since runs failed there or may fail. */
    AVOIDED_HOSTS,
    /** The unit has been assigned capacity that other runs are about to free. */
    RELEASING,
    /** No host has been advised for the step so far. */
    ADVICE,
    /** Workers of the task were lost, and it is not known yet whether it crashed them. */
    LOSSES,
    /** No host that takes work may run the step. */
    HOSTS,
    /** Hosts have capacity, and none of the rules above keeps the unit off them. */
    OTHER,
};
constexpr std::size_t IDLE_REASON_COUNT = 11;

/** Returns the name of the reason for logs and metrics. */
std::string_view toText(IdleReason reason);

/** An idle job that a plan left waiting, as its first unit was tried. */
struct IdleWait {
    /** Id of the job, owned by the job's record. */
    std::string_view m_job;
    IdleReason m_reason = IdleReason::OTHER;
    /** Time since the job was accepted, or since its occurrence was due. */
    Millis m_waited{0};
    /** Members of the unit that start at once. */
    std::uint32_t m_members = 0;
    /** How many members hosts had capacity for, whatever rules keep them off; up to two units. */
    std::uint32_t m_fitting = 0;
    /** 0 to 1: share of the service's accelerators, and of its processors, that was in use. */
    double m_acceleratorUse = 0;
    double m_cpuUse = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_IDLEWAIT_H
