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
/**
 * Shortest difference that counts as a suspension. The two clocks are read one after the other, so
 * that their difference varies. Suspensions that affect leases are longer.
 */
constexpr Millis MIN_SUSPENSION{20};

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

/** Compares the clocks in each iteration of the loop, before received data is handled. */
struct GlibEventLoop::ResumeSource {
    GSource m_source;
    GlibEventLoop* m_owner;

    static gboolean check(GSource* source) {
        return reinterpret_cast<ResumeSource*>(source)->m_owner->hasResumed() ? TRUE : FALSE;
    }
    static gboolean prepare(GSource* source, gint* timeout) {
        *timeout = -1;
        return check(source);
    }
    static gboolean dispatch(GSource* source, GSourceFunc, gpointer) {
        reinterpret_cast<ResumeSource*>(source)->m_owner->handleResume();
        return G_SOURCE_CONTINUE;
    }
};

GlibEventLoop::GlibEventLoop(const MachineClocks* clocks)
        : m_clocks(clocks != nullptr ? *clocks : getSystemClocks()),
          m_loop(g_main_loop_new(nullptr, FALSE)),
          m_suspended(getSuspendedTime()) {
    addResumeSource();
}

GlibEventLoop::~GlibEventLoop() {
    g_source_destroy(m_resumeSource);
    g_source_unref(m_resumeSource);
    for (const auto& [id, timer] : m_timers) {
        g_source_remove(timer.m_source);
    }
    g_main_loop_unref(m_loop);
}

void GlibEventLoop::addResumeSource() {
    static GSourceFuncs functions = {&ResumeSource::prepare,
                                     &ResumeSource::check,
                                     &ResumeSource::dispatch,
                                     nullptr,
                                     nullptr,
                                     nullptr};
    m_resumeSource = g_source_new(&functions, sizeof(ResumeSource));
    reinterpret_cast<ResumeSource*>(m_resumeSource)->m_owner = this;
    g_source_set_priority(m_resumeSource, G_PRIORITY_HIGH);
    g_source_attach(m_resumeSource, nullptr);
}

/**
 * Leases, grants and confirmations have to include the time for which this machine was suspended,
 * because the other processes include that time. With the monotonic clock, a sidecar that resumed
 * would renew runs that have already started on another worker.
 */
Millis GlibEventLoop::now() const noexcept {
    return m_clocks.getBootTime();
}

Millis GlibEventLoop::wallNow() const noexcept {
    return Millis(g_get_real_time() / MICROS_PER_MILLI);
}

Millis GlibEventLoop::getSuspendedTime() const noexcept {
    return m_clocks.getBootTime() - m_clocks.getMonotonicTime();
}

bool GlibEventLoop::hasResumed() const noexcept {
    return getSuspendedTime() > m_suspended + MIN_SUSPENSION;
}

void GlibEventLoop::handleResume() {
    const Millis before = std::exchange(m_suspended, getSuspendedTime());
    logEvent(Severity::WARNING, "loop", "woken",
             {{"suspended_ms", std::to_string((m_suspended - before).count())}});
    const Millis until = now();
    while (runNextOverdueTimer(until)) {
    }
}

/** Runs the timer that became due first. @return false when no timer is due at `until`. */
bool GlibEventLoop::runNextOverdueTimer(Millis until) {
    const auto first =
            std::min_element(m_timers.begin(), m_timers.end(), [](const auto& a, const auto& b) {
                return std::tie(a.second.m_due, a.first) < std::tie(b.second.m_due, b.first);
            });
    if (first == m_timers.end() || first->second.m_due > until) {
        return false;
    }
    const PendingTimer pending = first->second;
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
    const std::uint64_t id = m_nextTimerId++;
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
