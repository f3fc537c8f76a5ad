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

/** A loop whose time moves only when a test moves it. Same test, same order of events. */
class ManualEventLoop final : public EventLoop {
public:
    Millis now() const noexcept override { return m_now; }
    Millis wallNow() const noexcept override { return m_now + WALL_OFFSET; }
    TimerId callLater(Millis delay, Task task) override;
    void cancel(TimerId timer) noexcept override;

    /** Lets time pass, running each timer at its time. */
    void advance(Millis time);

    /** Advances in small steps until a condition holds. @return false when it does not in time. */
    bool advanceUntil(Millis limit, const std::function<bool()>& condition);

private:
    static constexpr Millis WALL_OFFSET{1'700'000'000'000};

    Millis m_now{1'000'000};
    std::uint64_t m_nextTimer = 1;
    std::map<std::pair<Millis, std::uint64_t>, Task> m_timers;
    std::map<std::uint64_t, Millis> m_times;
};

/**
 * The loop of one process of a test with several. A frozen process runs nothing; what was due
 * meanwhile runs late, when it is thawed. A dead one never runs anything again.
 *
 * On a machine that was suspended GlibEventLoop does the same: its clock counts the time, and what
 * is overdue runs first. With `m_standsStill` the loop has the other steady clock, which does not.
 */
class ProcessLoop final : public EventLoop {
public:
    explicit ProcessLoop(ManualEventLoop& base) : m_base(base) {}
    ~ProcessLoop() override { *m_isAlive = false; }
    ProcessLoop(const ProcessLoop&) = delete;
    ProcessLoop& operator=(const ProcessLoop&) = delete;

    Millis now() const noexcept override { return m_base.now() - m_notCounted; }
    Millis wallNow() const noexcept override { return m_base.wallNow(); }
    TimerId callLater(Millis delay, Task task) override;
    void cancel(TimerId timer) noexcept override;

    void freeze();
    void thaw();
    bool isFrozen() const { return m_isFrozen; }
    bool m_standsStill = false;
    /** What each task takes of the processor, in microseconds; others wait meanwhile. */
    std::int64_t m_taskCost = 0;

private:
    void run(std::uint64_t id);
    void pump();
    void pumpAt(std::int64_t micros);
    void execute(std::uint64_t id);
    void runLater(std::uint64_t id, Millis delay);

    ManualEventLoop& m_base;
    std::uint64_t m_nextTimer = 1;
    std::map<std::uint64_t, Task> m_tasks;
    /** Tasks that were due while frozen, and when. */
    std::vector<std::pair<std::uint64_t, Millis>> m_late;
    /** Tasks that are due and wait for the processor. */
    std::deque<std::uint64_t> m_ready;
    /** Microseconds of the base's time. */
    std::int64_t m_busyUntil = 0;
    bool m_isPumpDue = false;
    bool m_isFrozen = false;
    Millis m_frozenAt{0};
    Millis m_notCounted{0};
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_MANUALEVENTLOOP_H
