// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_MACHINECLOCKS_H
#define PIERBANK_BASE_MACHINECLOCKS_H

#include "pierbank/base/Clock.h"

namespace pierbank {

/** The machine's two steady clocks. They drift apart while it is suspended. */
class MachineClocks {
public:
    virtual ~MachineClocks() = default;
    /** Goes on while the machine is suspended (CLOCK_BOOTTIME). */
    virtual Millis getWithSuspensions() const noexcept = 0;
    /** Stands still meanwhile (CLOCK_MONOTONIC), and with it all timers of the loop. */
    virtual Millis getRunning() const noexcept = 0;
};

const MachineClocks& getSystemClocks();

}  // namespace pierbank

#endif  // PIERBANK_BASE_MACHINECLOCKS_H
