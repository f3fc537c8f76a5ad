// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/GlibEventLoop.h"

#include <glib-unix.h>

#include <utility>

namespace pierbank {

namespace {

constexpr gint64 MICROS_PER_MILLI = 1000;

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

GlibEventLoop::GlibEventLoop() : m_loop(g_main_loop_new(nullptr, FALSE)) {}

GlibEventLoop::~GlibEventLoop() {
    for (const auto& [id, source] : m_sources) {
        g_source_remove(source);
    }
    g_main_loop_unref(m_loop);
}

Millis GlibEventLoop::now() const noexcept {
    return Millis(g_get_monotonic_time() / MICROS_PER_MILLI);
}

Millis GlibEventLoop::wallNow() const noexcept {
    return Millis(g_get_real_time() / MICROS_PER_MILLI);
}

gboolean GlibEventLoop::fire(gpointer data) {
    auto* timer = static_cast<Timer*>(data);
    timer->m_owner->m_sources.erase(timer->m_id);
    timer->m_task();
    return G_SOURCE_REMOVE;
}

TimerId GlibEventLoop::callLater(Millis delay, Task task) {
    const std::uint64_t id = m_nextTimer++;
    auto* timer = new Timer{this, id, std::move(task)};
    const auto destroy = [](gpointer data) {
        delete static_cast<Timer*>(data);
    };
    const auto wait = static_cast<guint>(delay.count() < 0 ? 0 : delay.count());
    m_sources[id] = g_timeout_add_full(G_PRIORITY_DEFAULT, wait, &fire, timer, destroy);
    return TimerId(id);
}

void GlibEventLoop::cancel(TimerId timer) noexcept {
    const auto found = m_sources.find(static_cast<std::uint64_t>(timer));
    if (found == m_sources.end()) {
        return;
    }
    const guint source = found->second;
    m_sources.erase(found);
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
