// SPDX-License-Identifier: Apache-2.0
/*
 * The users' machines may be suspended for seconds: the steady clock stands still meanwhile, the
 * others go on. With the steady clock a process that wakes takes its leases for as fresh as before.
 */
#include "pierbank/base/GlibEventLoop.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace pierbank {
namespace {

/** Both go on with the machine's clock; a suspension is added to one. */
class SuspendedClocks final : public MachineClocks {
public:
    Millis getWithSuspensions() const noexcept override { return getRunning() + m_suspended; }
    Millis getRunning() const noexcept override { return getSystemClocks().getRunning(); }
    Millis m_suspended{0};
};

/** A loop with a timer of a minute, one of ten, and one that has just been set. */
class ALoopWhoseMachineIsSuspended : public ::testing::Test {
protected:
    void SetUp() override {
        note("minute", Millis(60'000));
        m_tenMinutes = note("ten minutes", Millis(600'000));
        m_loop.post([this] {
            m_clocks.m_suspended += Millis(70'000);
            m_loop.callLater(Millis(50), [this] { m_loop.quit(); });
        });
        m_loop.post([this] { m_ran.emplace_back("arrived"); });
    }

    TimerId note(const char* name, Millis delay) {
        return m_loop.callLater(delay, [this, name] { m_ran.emplace_back(name); });
    }

    SuspendedClocks m_clocks;
    GlibEventLoop m_loop{&m_clocks};
    TimerId m_tenMinutes = TimerId::NONE;
    std::vector<std::string> m_ran;
};

TEST_F(ALoopWhoseMachineIsSuspended, CountsTheTime) {
    const Millis before = m_loop.now();
    m_loop.run();
    EXPECT_GE(m_loop.now() - before, Millis(70'000));
}

TEST_F(ALoopWhoseMachineIsSuspended, RunsWhatIsOverdueAndNothingElse) {
    m_loop.run();
    EXPECT_EQ(std::count(m_ran.begin(), m_ran.end(), "minute"), 1);
    EXPECT_EQ(std::count(m_ran.begin(), m_ran.end(), "ten minutes"), 0);
}

TEST_F(ALoopWhoseMachineIsSuspended, RunsOverdueTimersInTheOrderOfTheirTimes) {
    note("half a minute", Millis(30'000));
    note("two seconds", Millis(2000));
    m_loop.run();
    std::erase(m_ran, "arrived");
    EXPECT_EQ(m_ran, (std::vector<std::string>{"two seconds", "half a minute", "minute"}));
}

TEST_F(ALoopWhoseMachineIsSuspended, RunsNoTimerThatAnOverdueOneCancels) {
    const TimerId later = note("cancelled", Millis(65'000));
    m_loop.callLater(Millis(1000), [this, later] { m_loop.cancel(later); });
    m_loop.run();
    EXPECT_EQ(std::count(m_ran.begin(), m_ran.end(), "cancelled"), 0);
}

/** What arrived during the suspension is handled by a process that knows what has lapsed. */
TEST_F(ALoopWhoseMachineIsSuspended, RunsOverdueTimersBeforeItHandlesWhatHasArrived) {
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
