// SPDX-License-Identifier: Apache-2.0
/*
 * Machines may be suspended for seconds. CLOCK_MONOTONIC stops meanwhile, while the clocks of other
 * machines advance. A process that measured time with it would treat expired leases as valid after
 * it resumes.
 */
#include "pierbank/base/GlibEventLoop.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace pierbank {
namespace {

/** Clocks that follow the monotonic clock of the system, with a simulated suspension. */
class SuspendedClocks final : public MachineClocks {
public:
    Millis getBootTime() const noexcept override { return getMonotonicTime() + m_suspended; }
    Millis getMonotonicTime() const noexcept override {
        return getSystemClocks().getMonotonicTime();
    }
    Millis m_suspended{0};
};

/**
 * A loop with timers of one and of ten minutes. A suspension of 70 seconds is simulated in its
 * first iteration, which sets a further timer of 50 ms to end the test.
 */
class SuspendedEventLoopTest : public ::testing::Test {
protected:
    void SetUp() override {
        addTimer("minute", Millis(60'000));
        m_tenMinutes = addTimer("ten minutes", Millis(600'000));
        m_loop.post([this] {
            m_clocks.m_suspended += Millis(70'000);
            m_loop.callLater(Millis(50), [this] { m_loop.quit(); });
        });
        m_loop.post([this] { m_ran.emplace_back("arrived"); });
    }

    TimerId addTimer(const char* name, Millis delay) {
        return m_loop.callLater(delay, [this, name] { m_ran.emplace_back(name); });
    }

    SuspendedClocks m_clocks;
    GlibEventLoop m_loop{&m_clocks};
    TimerId m_tenMinutes = TimerId::NONE;
    std::vector<std::string> m_ran;
};

TEST_F(SuspendedEventLoopTest, IncludesTheSuspensionInNow) {
    const Millis before = m_loop.now();
    m_loop.run();
    EXPECT_GE(m_loop.now() - before, Millis(70'000));
}

TEST_F(SuspendedEventLoopTest, RunsOnlyOverdueTimers) {
    m_loop.run();
    EXPECT_EQ(std::count(m_ran.begin(), m_ran.end(), "minute"), 1);
    EXPECT_EQ(std::count(m_ran.begin(), m_ran.end(), "ten minutes"), 0);
}

TEST_F(SuspendedEventLoopTest, RunsOverdueTimersInOrderOfDueTime) {
    addTimer("half a minute", Millis(30'000));
    addTimer("two seconds", Millis(2000));
    m_loop.run();
    std::erase(m_ran, "arrived");
    EXPECT_EQ(m_ran, (std::vector<std::string>{"two seconds", "half a minute", "minute"}));
}

TEST_F(SuspendedEventLoopTest, DoesNotRunATimerCancelledByAnOverdueTimer) {
    const TimerId later = addTimer("cancelled", Millis(65'000));
    m_loop.callLater(Millis(1000), [this, later] { m_loop.cancel(later); });
    m_loop.run();
    EXPECT_EQ(std::count(m_ran.begin(), m_ran.end(), "cancelled"), 0);
}

/** Data received during a suspension must be handled after the timers of lapsed leases have run. */
TEST_F(SuspendedEventLoopTest, RunsOverdueTimersBeforeReceivedData) {
    const auto handle = [](gpointer data) -> gboolean {
        static_cast<std::vector<std::string>*>(data)->emplace_back("socket");
        return G_SOURCE_REMOVE;
    };
    g_idle_add_full(G_PRIORITY_DEFAULT + 1, handle, &m_ran, nullptr);
    m_loop.run();
    const auto minute = std::find(m_ran.begin(), m_ran.end(), "minute");
    EXPECT_NE(std::find(minute, m_ran.end(), "socket"), m_ran.end());
}

}  // namespace
}  // namespace pierbank
