// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_EVENTLOOP_H
#define PIERBANK_BASE_EVENTLOOP_H

#include <cstdint>
#include <functional>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** Names one pending timer of an EventLoop. Zero names none. */
enum class TimerId : std::uint64_t { NONE = 0 };

/**
 * The one loop on which a process runs. Every callback of the project is called from it, so that
 * no module needs a lock.
 *
 * Programs use GlibEventLoop; tests use ManualEventLoop, whose time moves only when told to.
 */
class EventLoop : public Clock {
public:
    using Task = std::function<void()>;

    /**
     * Calls `task` once, after `delay`.
     * @param delay zero or more milliseconds; zero means on the loop's next turn.
     * @return the timer's name, valid for cancel() until the task has run.
     */
    virtual TimerId callLater(Millis delay, Task task) = 0;

    /** Forgets a timer. Does nothing when it has run already or is NONE. */
    virtual void cancel(TimerId timer) noexcept = 0;

    /** Calls `task` on the loop's next turn. */
    void post(Task task) { callLater(Millis(0), std::move(task)); }
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_EVENTLOOP_H
