// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_MACHINEFLEET_H
#define PIERBANK_CONTROL_MACHINEFLEET_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** State of a machine in the platform's list. */
enum class MachineState { UP, MOVING, UPKEEP, DOWN };

/** A machine that hosts a worker. Upkeep ends the worker's incarnation. */
struct Machine {
    std::string m_name;
    MachineState m_state = MachineState::DOWN;
    /**
     * Id of the machine's worker, empty if there is none. The list does not include the worker's
     * start time, so this does not identify an incarnation.
     */
    std::string m_workerId;
};

/** Result of listing the machines. */
struct MachineList {
    /** Whether the list is complete; otherwise `m_reason` describes the failure. */
    bool m_isGood = false;
    std::vector<Machine> m_machines;
    std::string m_reason;
};

/** Outcome of an order to a machine. */
enum class MachineOrderStatus {
    /** Upkeep has started, now or by an earlier order. */
    DONE,
    /** The machine is not up, is leaving or can't be taken down at the moment. */
    BUSY,
    /** Rejected, since a newer leader has given an order. */
    FENCED,
    /** The machine does not exist, or the order does not apply to it. */
    INVALID,
    /** Temporarily refused, or without a complete answer; the order may have been carried out. */
    UNKNOWN,
};

/** Order to start the upkeep of one machine. */
struct UpkeepOrder {
    std::string m_machine;
    /** Number of the upkeep wave. */
    std::uint64_t m_wave = 0;
    /** Node of the leader that gives the order, and its epoch for fencing. */
    std::string m_holder;
    std::uint64_t m_epoch = 0;
};

/**
 * Interface to the platform's machines, whose calls may be slow or fail. Each callback is called
 * once, on the event loop.
 */
class MachineFleet {
public:
    virtual ~MachineFleet() = default;
    /** Lists all machines. */
    virtual void list(std::function<void(const MachineList&)> done) = 0;
    /**
     * Starts the upkeep of a machine. DONE means that nothing that ran on the machine runs any
     * more.
     */
    virtual void beginUpkeep(const UpkeepOrder& order,
                             std::function<void(MachineOrderStatus)> done) = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_MACHINEFLEET_H
