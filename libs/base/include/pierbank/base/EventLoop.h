// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_EVENTLOOP_H
#define PIERBANK_BASE_EVENTLOOP_H

#include <cstdint>
#include <functional>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** Identifies a pending timer of an EventLoop. Zero identifies no timer. */
enum class TimerId : std::uint64_t { NONE = 0 };

/**
 * Event loop of a process. All callbacks run on the thread of the loop, so that no module needs a
 * lock.
 *
 * Programs use GlibEventLoop. Tests use ManualEventLoop, whose time advances only on request.
 */
class EventLoop : public Clock {
public:
    using Task = std::function<void()>;

    /**
     * Calls `task` once, after `delay`.
     * @param delay zero or more milliseconds; zero means the next iteration of the loop.
     * @return the id of the timer, valid for cancel() until the task has run.
     */
    virtual TimerId callLater(Millis delay, Task task) = 0;

    /** Cancels a timer. Has no effect when the timer has already run or is NONE. */
    virtual void cancel(TimerId timer) noexcept = 0;

    /** Calls `task` in the next iteration of the loop. */
    void post(Task task) { callLater(Millis(0), std::move(task)); }
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_EVENTLOOP_H
