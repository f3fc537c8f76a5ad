// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_GLIBEVENTLOOP_H
#define PIERBANK_BASE_GLIBEVENTLOOP_H

#include <glib.h>

#include <unordered_map>

#include "pierbank/base/EventLoop.h"
#include "pierbank/base/MachineClocks.h"

namespace pierbank {

/**
 * EventLoop on GLib's default main context. Made once, by main(), on the main thread.
 *
 * While a machine is suspended GLib's timers stand still with its steady clock, and now() goes on.
 * When it wakes, the timers that are overdue by now() run before anything that has arrived is
 * handled.
 */
class GlibEventLoop final : public EventLoop {
public:
    /** @param clocks must outlive the loop; null for the machine's own. */
    explicit GlibEventLoop(const MachineClocks* clocks = nullptr);
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
    struct WakeSource;
    struct Pending {
        guint m_source = 0;
        /** By now(). */
        Millis m_due{0};
        Timer* m_timer = nullptr;
    };

    static gboolean fire(gpointer data);
    void addWakeSource();
    Millis getSuspended() const noexcept;
    bool hasWoken() const noexcept;
    void catchUp();
    bool runOverdue(Millis until);

    const MachineClocks& m_clocks;
    GMainLoop* m_loop;
    GSource* m_wakeSource = nullptr;
    /** Time that the machine was suspended since it started, as far as it was noticed. */
    Millis m_suspended{0};
    std::uint64_t m_nextTimer = 1;
    std::unordered_map<std::uint64_t, Pending> m_timers;
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_GLIBEVENTLOOP_H
