// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_CLOCK_H
#define PIERBANK_BASE_CLOCK_H

#include <chrono>

namespace pierbank {

/** Duration or instant in whole milliseconds, the only unit of time in the code. */
using Millis = std::chrono::milliseconds;

/** Source of time. Each module that measures time gets a clock, so that tests can control it. */
class Clock {
public:
    virtual ~Clock() = default;

    /**
     * Returns a monotonic instant, which advances while the machine is suspended. Only differences
     * between two values of one process are meaningful.
     */
    virtual Millis now() const noexcept = 0;

    /**
     * Returns the time since the Unix epoch. Intended for audit entries and records, and never for
     * leases, because the wall clock may be set.
     */
    virtual Millis wallNow() const noexcept = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_CLOCK_H
