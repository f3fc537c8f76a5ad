// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_GLIBEVENTLOOP_H
#define PIERBANK_BASE_GLIBEVENTLOOP_H

#include <glib.h>

#include <unordered_map>

#include "pierbank/base/EventLoop.h"

namespace pierbank {

/** EventLoop on GLib's default main context. Made once, by main(), on the main thread. */
class GlibEventLoop final : public EventLoop {
public:
    GlibEventLoop();
    ~GlibEventLoop() override;
    GlibEventLoop(const GlibEventLoop&) = delete;
    GlibEventLoop& operator=(const GlibEventLoop&) = delete;

    Millis now() const noexcept override;
    Millis wallNow() const noexcept override;
    TimerId callLater(Millis delay, Task task) override;
    void cancel(TimerId timer) noexcept override;

    /** Runs until quit() is called. */
    void run();

    /** Makes run() return; may be called from any callback. */
    void quit() noexcept;

    /** Calls `task` on the loop when the process gets this signal (SIGINT, SIGTERM or SIGHUP). */
    void onSignal(int signalNumber, Task task);

private:
    struct Timer;
    static gboolean fire(gpointer data);

    GMainLoop* m_loop;
    std::uint64_t m_nextTimer = 1;
    std::unordered_map<std::uint64_t, guint> m_sources;
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_GLIBEVENTLOOP_H
