// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: a task runs again after its end was persisted, runs on two workers at once, or has one
 * failed run more than its queue allows.
 *
 * Cause: a start gets no answer and is sent again; the second one runs to its end. The worker
 * restarts under the same id, and the delayed first start arrives. The new incarnation has no
 * record of the run, and it has no fence until the sidecar's first call, so it accepts the start.
 * Delays of 150 ms after a broken connection and of 40 ms between refused ones left enough time for
 * that.
 */
#include <gtest/gtest.h>

#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":400})";
constexpr const char* ID = "00000000000000a1";

/** A worker that carries out a start with a delay, after the run has already ended. */
class DelayedStart : public JobFleetTest {
protected:
    DelayedStart() : JobFleetTest(1) {}

    void SetUp() override {
        JobFleetTest::SetUp();
        m_fleet.setRestartForm(RestartForm::SAME_ID);
        getWorker().m_startsToDelay = 1;
        getWorker().m_startDelay = DELAY;
        m_fleet.submit(ID, SMALL, "200");
        ASSERT_TRUE(waitUntil(Millis(1000), [this] { return getWorker().m_startsToDelay == 0; }));
        m_arrivesAt = m_fleet.m_loop.now() + DELAY;
        ASSERT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(2500)));
    }

    FakeTaskWorker& getWorker() { return *getSidecar(0).m_worker; }

    /** Advances the clock to a time `before` the arrival of the delayed start. */
    void advanceToArrival(Millis before) {
        m_fleet.m_loop.advance(m_arrivesAt - before - m_fleet.m_loop.now());
    }

    void expectOneStart() {
        m_fleet.m_loop.advance(Millis(1500));
        EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
    }

    static constexpr Millis DELAY{3000};
    Millis m_arrivesAt{0};
};

class DelayedStartAfterARestart : public DelayedStart, public ::testing::WithParamInterface<int> {};

}  // namespace

TEST_P(DelayedStartAfterARestart, RunsNothingInAnIncarnationThatIsUpAtOnce) {
    advanceToArrival(Millis(GetParam()));
    getWorker().restart();
    expectOneStart();
}

TEST_P(DelayedStartAfterARestart, RunsNothingInAnIncarnationThatIsUpLater) {
    constexpr Millis AWAY{500};
    advanceToArrival(AWAY + Millis(GetParam()));
    getWorker().m_restartDelay = AWAY;
    getWorker().crash();
    expectOneStart();
}

INSTANTIATE_TEST_SUITE_P(Milliseconds, DelayedStartAfterARestart,
                         ::testing::Values(15, 20, 30, 40, 60, 90, 120, 150));

}  // namespace pierbank::testing
