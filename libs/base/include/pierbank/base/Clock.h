// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_CLOCK_H
#define PIERBANK_BASE_CLOCK_H

#include <chrono>

namespace pierbank {

/** All durations and instants of the project are whole milliseconds. */
using Millis = std::chrono::milliseconds;

/**
 * Source of time. Injected wherever a module measures time, so that tests can use a manual clock.
 */
class Clock {
public:
    virtual ~Clock() = default;

    /**
     * Monotonic instant, which goes on while the machine is suspended; only differences between two
     * values of one process have a meaning.
     */
    virtual Millis now() const noexcept = 0;

    /** Time since the Unix epoch; for audit entries and records, never for leases. */
    virtual Millis wallNow() const noexcept = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_CLOCK_H
