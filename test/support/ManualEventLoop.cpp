// SPDX-License-Identifier: Apache-2.0
#include "ManualEventLoop.h"

#include <algorithm>

namespace pierbank::testing {

TimerId ManualEventLoop::callLater(Millis delay, Task task) {
    const std::uint64_t id = m_nextTimer++;
    const Millis at = m_now + std::max(delay, Millis(0));
    m_timers[{at, id}] = std::move(task);
    m_times[id] = at;
    return TimerId(id);
}

void ManualEventLoop::cancel(TimerId timer) noexcept {
    const auto found = m_times.find(static_cast<std::uint64_t>(timer));
    if (found == m_times.end()) {
        return;
    }
    m_timers.erase({found->second, found->first});
    m_times.erase(found);
}

void ManualEventLoop::advance(Millis time) {
    const Millis end = m_now + time;
    while (!m_timers.empty() && m_timers.begin()->first.first <= end) {
        const auto next = m_timers.begin();
        m_now = std::max(m_now, next->first.first);
        const Task task = std::move(next->second);
        m_times.erase(next->first.second);
        m_timers.erase(next);
        task();
    }
    m_now = end;
}

bool ManualEventLoop::advanceUntil(Millis limit, const std::function<bool()>& condition) {
    constexpr Millis STEP{5};
    const Millis end = m_now + limit;
    while (!condition()) {
        if (m_now >= end) {
            return false;
        }
        advance(STEP);
    }
    return true;
}

TimerId ProcessLoop::callLater(Millis delay, Task task) {
    const std::uint64_t id = m_nextTimer++;
    m_tasks[id] = std::move(task);
    runLater(id, delay);
    return TimerId(id);
}

void ProcessLoop::runLater(std::uint64_t id, Millis delay) {
    m_base.callLater(delay, [this, alive = m_isAlive, id] {
        if (*alive) {
            run(id);
        }
    });
}

void ProcessLoop::cancel(TimerId timer) noexcept {
    m_tasks.erase(static_cast<std::uint64_t>(timer));
}

void ProcessLoop::run(std::uint64_t id) {
    if (m_isFrozen) {
        m_overdueTasks.emplace_back(id, m_base.now());
        return;
    }
    if (m_taskCostMicros == 0) {
        execute(id);
        return;
    }
    m_ready.push_back(id);
    runReadyTasks();
}

namespace {

constexpr std::int64_t MICROS_PER_MILLI = 1000;

}  // namespace

void ProcessLoop::runReadyTasks() {
    while (!m_ready.empty() && !m_isFrozen) {
        const std::int64_t now = m_base.now().count() * MICROS_PER_MILLI;
        if (m_busyUntil > now) {
            scheduleReadyTasks(m_busyUntil);
            return;
        }
        const std::uint64_t id = m_ready.front();
        m_ready.pop_front();
        m_busyUntil = std::max(m_busyUntil, now - MICROS_PER_MILLI) + m_taskCostMicros;
        execute(id);
    }
}

void ProcessLoop::scheduleReadyTasks(std::int64_t micros) {
    if (std::exchange(m_isReadyRunScheduled, true)) {
        return;
    }
    const std::int64_t wait = micros - m_base.now().count() * MICROS_PER_MILLI;
    const Millis delay((wait + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI);
    m_base.callLater(delay, [this, alive = m_isAlive] {
        if (*alive) {
            m_isReadyRunScheduled = false;
            runReadyTasks();
        }
    });
}

void ProcessLoop::execute(std::uint64_t id) {
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) {
        return;
    }
    const Task task = std::move(found->second);
    m_tasks.erase(found);
    task();
}

void ProcessLoop::freeze() {
    m_isFrozen = true;
    m_frozenAt = m_base.now();
}

void ProcessLoop::thaw() {
    m_isFrozen = false;
    if (m_excludesSuspension) {
        m_suspendedTime += m_base.now() - m_frozenAt;
    }
    for (const auto& [id, due] : std::exchange(m_overdueTasks, {})) {
        if (m_excludesSuspension) {
            runLater(id, due - m_frozenAt);
        } else {
            run(id);
        }
    }
    runReadyTasks();
}

}  // namespace pierbank::testing
