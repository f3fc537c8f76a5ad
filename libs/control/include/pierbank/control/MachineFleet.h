// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_MACHINEFLEET_H
#define PIERBANK_CONTROL_MACHINEFLEET_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pierbank/base/Clock.h"

namespace pierbank {

enum class MachineState { UP, MOVING, UPKEEP, DOWN };

/** A machine under a worker. Upkeep gives its worker a new life. */
struct Machine {
    std::string m_name;
    MachineState m_state = MachineState::DOWN;
    /** Its worker's id, empty while it has none; the list tells no moment of start. */
    std::string m_workerId;
};

struct MachineList {
    bool m_isGood = false;
    std::vector<Machine> m_machines;
    std::string m_reason;
};

/** How an order to a machine went. */
enum class MachineOrderStatus {
    /** Begun, or begun earlier. */
    DONE,
    /** Not now: it is not up, leaves, or can't be taken down. */
    BUSY,
    /** Another leader has ordered since. */
    FENCED,
    /** There is no such machine, or the order does not apply to it. */
    INVALID,
    /** Refused for now, or no whole answer: it may have been carried out. */
    UNKNOWN,
};

/** Upkeep of one machine, on whose word. */
struct UpkeepOrder {
    std::string m_machine;
    std::uint64_t m_wave = 0;
    std::string m_holder;
    std::uint64_t m_epoch = 0;
};

/** The platform's machines, which may be slow or down. Callbacks are called once, on the loop. */
class MachineFleet {
public:
    virtual ~MachineFleet() = default;
    virtual void list(std::function<void(const MachineList&)> done) = 0;
    /** On DONE everything that ran there is dead. */
    virtual void beginUpkeep(const UpkeepOrder& order,
                             std::function<void(MachineOrderStatus)> done) = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_MACHINEFLEET_H
