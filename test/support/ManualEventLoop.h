// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_MANUALEVENTLOOP_H
#define PIERBANK_TEST_SUPPORT_MANUALEVENTLOOP_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "pierbank/base/EventLoop.h"

namespace pierbank::testing {

/** An event loop with a clock that only the test advances, so that a test is deterministic. */
class ManualEventLoop final : public EventLoop {
public:
    Millis now() const noexcept override { return m_now; }
    Millis wallNow() const noexcept override { return m_now + WALL_OFFSET; }
    TimerId callLater(Millis delay, Task task) override;
    void cancel(TimerId timer) noexcept override;

    /** Advances the clock and runs each timer at the time when it is due. */
    void advance(Millis time);

    /** Advances the clock in steps of 5 ms until a condition holds. @return false at the limit. */
    bool advanceUntil(Millis limit, const std::function<bool()>& condition);

private:
    static constexpr Millis WALL_OFFSET{1'700'000'000'000};

    Millis m_now{1'000'000};
    std::uint64_t m_nextTimer = 1;
    std::map<std::pair<Millis, std::uint64_t>, Task> m_timers;
    std::map<std::uint64_t, Millis> m_times;
};

/**
 * The event loop of one process in a test with several processes. A frozen process runs no tasks;
 * tasks that fall due meanwhile run when it is thawed. After destruction, which stands for the
 * termination of the process, no task runs.
 *
 * GlibEventLoop behaves likewise after a suspension of its machine: its clock includes the time of
 * the suspension, and overdue tasks run first. With `m_excludesSuspension` the loop has a steady
 * clock that excludes that time.
 */
class ProcessLoop final : public EventLoop {
public:
    explicit ProcessLoop(ManualEventLoop& base) : m_base(base) {}
    ~ProcessLoop() override { *m_isAlive = false; }
    ProcessLoop(const ProcessLoop&) = delete;
    ProcessLoop& operator=(const ProcessLoop&) = delete;

    Millis now() const noexcept override { return m_base.now() - m_suspendedTime; }
    Millis wallNow() const noexcept override { return m_base.wallNow(); }
    TimerId callLater(Millis delay, Task task) override;
    void cancel(TimerId timer) noexcept override;

    void freeze();
    void thaw();
    bool isFrozen() const { return m_isFrozen; }
    /** Whether the clock excludes the time while the process is frozen. */
    bool m_excludesSuspension = false;
    /** Processor time of each task, in microseconds; other tasks wait for its end. */
    std::int64_t m_taskCostMicros = 0;

private:
    /** Executes a due task, or queues it while the process is frozen or busy. */
    void run(std::uint64_t id);
    /** Executes the ready tasks until the processor is busy. */
    void runReadyTasks();
    void scheduleReadyTasks(std::int64_t micros);
    void execute(std::uint64_t id);
    void runLater(std::uint64_t id, Millis delay);

    ManualEventLoop& m_base;
    std::uint64_t m_nextTimer = 1;
    std::map<std::uint64_t, Task> m_tasks;
    /** Tasks that fell due while the process was frozen, with the time when they were due. */
    std::vector<std::pair<std::uint64_t, Millis>> m_overdueTasks;
    /** Due tasks that wait for the processor. */
    std::deque<std::uint64_t> m_ready;
    /** Time until which the processor is busy, in microseconds of the base loop. */
    std::int64_t m_busyUntil = 0;
    bool m_isReadyRunScheduled = false;
    bool m_isFrozen = false;
    Millis m_frozenAt{0};
    Millis m_suspendedTime{0};
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_MANUALEVENTLOOP_H
