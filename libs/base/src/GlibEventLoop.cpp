// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/GlibEventLoop.h"

#include <glib-unix.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

constexpr gint64 MICROS_PER_MILLI = 1000;
/** The two clocks are read one after the other; suspensions that matter are longer. */
constexpr Millis LEAST_SUSPENSION{20};

gboolean runSignalTask(gpointer data) {
    (*static_cast<EventLoop::Task*>(data))();
    return G_SOURCE_CONTINUE;
}

void deleteSignalTask(gpointer data) {
    delete static_cast<EventLoop::Task*>(data);
}

}  // namespace

struct GlibEventLoop::Timer {
    GlibEventLoop* m_owner;
    std::uint64_t m_id;
    Task m_task;
};

/** Looks at the clocks on each turn of the loop, before what has arrived is handled. */
struct GlibEventLoop::WakeSource {
    GSource m_source;
    GlibEventLoop* m_owner;

    static gboolean check(GSource* source) {
        return reinterpret_cast<WakeSource*>(source)->m_owner->hasWoken() ? TRUE : FALSE;
    }
    static gboolean prepare(GSource* source, gint* timeout) {
        *timeout = -1;
        return check(source);
    }
    static gboolean dispatch(GSource* source, GSourceFunc, gpointer) {
        reinterpret_cast<WakeSource*>(source)->m_owner->catchUp();
        return G_SOURCE_CONTINUE;
    }
};

GlibEventLoop::GlibEventLoop(const MachineClocks* clocks)
        : m_clocks(clocks != nullptr ? *clocks : getSystemClocks()),
          m_loop(g_main_loop_new(nullptr, FALSE)),
          m_suspended(getSuspended()) {
    addWakeSource();
}

GlibEventLoop::~GlibEventLoop() {
    g_source_destroy(m_wakeSource);
    g_source_unref(m_wakeSource);
    for (const auto& [id, timer] : m_timers) {
        g_source_remove(timer.m_source);
    }
    g_main_loop_unref(m_loop);
}

void GlibEventLoop::addWakeSource() {
    static GSourceFuncs functions = {&WakeSource::prepare,
                                     &WakeSource::check,
                                     &WakeSource::dispatch,
                                     nullptr,
                                     nullptr,
                                     nullptr};
    m_wakeSource = g_source_new(&functions, sizeof(WakeSource));
    reinterpret_cast<WakeSource*>(m_wakeSource)->m_owner = this;
    g_source_set_priority(m_wakeSource, G_PRIORITY_HIGH);
    g_source_attach(m_wakeSource, nullptr);
}

/**
 * Leases, grants and confirmations have to count the time for which this machine was suspended: the
 * others counted it. By the steady clock a sidecar that woke renewed runs that had begun elsewhere.
 */
Millis GlibEventLoop::now() const noexcept {
    return m_clocks.getWithSuspensions();
}

Millis GlibEventLoop::wallNow() const noexcept {
    return Millis(g_get_real_time() / MICROS_PER_MILLI);
}

Millis GlibEventLoop::getSuspended() const noexcept {
    return m_clocks.getWithSuspensions() - m_clocks.getRunning();
}

bool GlibEventLoop::hasWoken() const noexcept {
    return getSuspended() > m_suspended + LEAST_SUSPENSION;
}

void GlibEventLoop::catchUp() {
    const Millis before = std::exchange(m_suspended, getSuspended());
    logEvent(Severity::WARNING, "loop", "woken",
             {{"suspended_ms", std::to_string((m_suspended - before).count())}});
    const Millis until = now();
    while (runOverdue(until)) {
    }
}

/** Runs the timer that has been due for longest. @return false when none is due. */
bool GlibEventLoop::runOverdue(Millis until) {
    const auto first =
            std::min_element(m_timers.begin(), m_timers.end(), [](const auto& a, const auto& b) {
                return std::tie(a.second.m_due, a.first) < std::tie(b.second.m_due, b.first);
            });
    if (first == m_timers.end() || first->second.m_due > until) {
        return false;
    }
    const Pending pending = first->second;
    const Task task = std::move(pending.m_timer->m_task);
    m_timers.erase(first);
    g_source_remove(pending.m_source);
    task();
    return true;
}

gboolean GlibEventLoop::fire(gpointer data) {
    auto* timer = static_cast<Timer*>(data);
    timer->m_owner->m_timers.erase(timer->m_id);
    timer->m_task();
    return G_SOURCE_REMOVE;
}

TimerId GlibEventLoop::callLater(Millis delay, Task task) {
    const std::uint64_t id = m_nextTimer++;
    auto* timer = new Timer{this, id, std::move(task)};
    const auto destroy = [](gpointer data) {
        delete static_cast<Timer*>(data);
    };
    const Millis wait = std::max(delay, Millis(0));
    const guint source = g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(wait.count()),
                                            &fire, timer, destroy);
    m_timers[id] = {source, now() + wait, timer};
    return TimerId(id);
}

void GlibEventLoop::cancel(TimerId timer) noexcept {
    const auto found = m_timers.find(static_cast<std::uint64_t>(timer));
    if (found == m_timers.end()) {
        return;
    }
    const guint source = found->second.m_source;
    m_timers.erase(found);
    g_source_remove(source);
}

void GlibEventLoop::run() {
    g_main_loop_run(m_loop);
}

void GlibEventLoop::quit() noexcept {
    g_main_loop_quit(m_loop);
}

void GlibEventLoop::onSignal(int signalNumber, Task task) {
    auto* owned = new Task(std::move(task));
    g_unix_signal_add_full(G_PRIORITY_DEFAULT, signalNumber, &runSignalTask, owned,
                           &deleteSignalTask);
}

}  // namespace pierbank
