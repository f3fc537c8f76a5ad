// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: a task runs again after its end was persisted, runs on two workers at once, or has one
 * failed run more than its queue allows.
 *
 * Cause: a start gets no answer and is sent again; the second start is carried out, and its run
 * ends. The worker restarts under the same id, and the delayed first start arrives. The new
 * incarnation has no record of the run, and it has no fence until the sidecar's first call, so it
 * accepts the start. The sidecar's delays of 150 ms after a broken connection and of 40 ms between
 * refused connections left enough time for this sequence.
 */
#include <gtest/gtest.h>

#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":400})";
constexpr const char* ID = "00000000000000a1";
constexpr const char* OTHER_ID = "00000000000000b2";

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

/**
 * A waiting poll is lost, the worker restarts, and the start of another job is refused. The lost
 * poll does not tell that the process has ended, but the refused start does: the sidecar that went
 * on waiting for the poll called the next incarnation too late (seed 73477 of RestartSeedsTest).
 */
class DelayedStartAfterALostPoll : public DelayedStart, public ::testing::WithParamInterface<int> {
protected:
    void loseAPoll() {
        constexpr Millis BEFORE_RESTART{110};
        advanceToArrival(Millis(GetParam()) + BEFORE_RESTART);
        getWorker().m_holdsToDelay = 1;
        ASSERT_TRUE(waitUntil(BEFORE_RESTART, [this] { return getWorker().m_holdsToDelay == 0; }));
        advanceToArrival(Millis(GetParam()));
    }

    /** Not a multiple of the delay at which the sidecar repeats a stop that failed. */
    static constexpr Millis AWAY{170};
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

TEST_P(DelayedStartAfterALostPoll, RunsNothingIfAnotherStartWasRefusedBefore) {
    loseAPoll();
    getWorker().m_restartDelay = AWAY;
    getWorker().crash();
    m_fleet.submit(OTHER_ID, SMALL, "200");
    expectOneStart();
}

INSTANTIATE_TEST_SUITE_P(Milliseconds, DelayedStartAfterALostPoll,
                         ::testing::Values(200, 240, 280));

INSTANTIATE_TEST_SUITE_P(Milliseconds, DelayedStartAfterARestart,
                         ::testing::Values(15, 20, 30, 40, 60, 90, 120, 150));

}  // namespace pierbank::testing
