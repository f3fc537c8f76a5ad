// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_GLIBEVENTLOOP_H
#define PIERBANK_BASE_GLIBEVENTLOOP_H

#include <glib.h>

#include <unordered_map>

#include "pierbank/base/EventLoop.h"
#include "pierbank/base/MachineClocks.h"

namespace pierbank {

/**
 * EventLoop on GLib's default main context. A process creates one instance, in main() on the main
 * thread.
 *
 * While the machine is suspended, the monotonic clock and with it the timers of GLib stop, whereas
 * now() advances. After the machine resumes, all timers that are overdue by now() run before any
 * received data is handled.
 */
class GlibEventLoop final : public EventLoop {
public:
    /** @param clocks must outlive the loop; null selects the clocks of the system. */
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

    /** Makes run() return. May be called from any callback. */
    void quit() noexcept;

    /** Calls `task` on the loop when the process receives the signal: SIGINT, SIGTERM or SIGHUP. */
    void onSignal(int signalNumber, Task task);

private:
    struct Timer;
    struct ResumeSource;
    struct PendingTimer {
        guint m_source = 0;
        /** Instant at which the timer is due, in terms of now(). */
        Millis m_due{0};
        Timer* m_timer = nullptr;
    };

    static gboolean fire(gpointer data);
    void addResumeSource();
    Millis getSuspendedTime() const noexcept;
    bool hasResumed() const noexcept;
    void handleResume();
    bool runNextOverdueTimer(Millis until);

    const MachineClocks& m_clocks;
    GMainLoop* m_loop;
    GSource* m_resumeSource = nullptr;
    /** Total time for which the machine has been suspended, as last detected by the loop. */
    Millis m_suspended{0};
    std::uint64_t m_nextTimerId = 1;
    std::unordered_map<std::uint64_t, PendingTimer> m_timers;
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_GLIBEVENTLOOP_H
