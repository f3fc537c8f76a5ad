// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_MACHINECLOCKS_H
#define PIERBANK_BASE_MACHINECLOCKS_H

#include "pierbank/base/Clock.h"

namespace pierbank {

/**
 * The two steady clocks of the machine. Their difference grows while the machine is suspended.
 * Passed to GlibEventLoop, so that tests can simulate a suspension.
 */
class MachineClocks {
public:
    virtual ~MachineClocks() = default;
    /** Returns CLOCK_BOOTTIME, which advances while the machine is suspended. */
    virtual Millis getBootTime() const noexcept = 0;
    /** Returns CLOCK_MONOTONIC, which stops during a suspension, as do the timers of GLib. */
    virtual Millis getMonotonicTime() const noexcept = 0;
};

/** Returns the clocks of the operating system. */
const MachineClocks& getSystemClocks();

}  // namespace pierbank

#endif  // PIERBANK_BASE_MACHINECLOCKS_H
