// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: an operator is told that a job is withdrawn or that a worker is drained, and the leader
 * goes on as before.
 *
 * Cause: the leader, which executed the statement, learned of its own change only by the watch of
 * the store. A watch may be silent for as long as its timeout.
 *
 * In the logs: `operators change statement=...`, and later `jobs placed` on that worker, or no
 * `jobs withdrawn` for that job.
 */
#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":1000})";
/** A task that needs a whole worker. */
constexpr const char* WHOLE = R"({"count":1,"cpu":8000,"mem_mb":8000,"gpu":8,"est_ms":1000})";

/** A leader whose watch of the store reports nothing. */
class ConfirmedStatementOfALeaderWithASilentWatch : public JobFleetTest {
protected:
    ConfirmedStatementOfALeaderWithASilentWatch() : JobFleetTest(1) {}

    void SetUp() override {
        JobFleetTest::SetUp();
        m_fleet.m_storeState.m_dropsWatchEvents = true;
    }

    /** Returns the name of the only worker in statements. */
    static std::string getWorkerName() { return "127.0.1.1-7000"; }

    void execute(const std::string& statement) {
        EXPECT_EQ(m_fleet.executeStatement(getLeader(), statement).m_status, StatementStatus::DONE);
    }
};

TEST_F(ConfirmedStatementOfALeaderWithASilentWatch, StopsTheJobThatWasWithdrawn) {
    m_fleet.submit(ID, SMALL, "60000", "/batch/", getFollower());
    ASSERT_TRUE(m_fleet.waitForState(ID, "running", Millis(2000)));
    execute(std::string("withdraw job ") + ID);
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_EQ(m_fleet.getState(ID), "canceled");
    EXPECT_FALSE(m_fleet.m_witness.isRunning(taskOf(ID)));
}

TEST_F(ConfirmedStatementOfALeaderWithASilentWatch, KeepsNewRunsOffTheWorkerThatWasDrained) {
    execute("worker drain " + getWorkerName());
    m_fleet.submit(ID, WHOLE, "500", "/urgent/", getFollower());
    m_fleet.m_loop.advance(Millis(2000));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 0U);
    execute("worker release " + getWorkerName());
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(3000), "/urgent/"));
}

/** Guards against a leader that goes back to an earlier statement that was confirmed later. */
TEST_F(ConfirmedStatementOfALeaderWithASilentWatch, IsNotReplacedByAnEarlierOne) {
    m_fleet.m_storeState.m_answersToLose = 1;
    const auto drained = m_fleet.startStatement(getLeader(), "worker drain " + getWorkerName());
    m_fleet.m_loop.advance(Millis(20));
    execute("worker release " + getWorkerName());
    ASSERT_FALSE(drained->has_value());
    m_fleet.m_loop.advance(Millis(2000));
    ASSERT_TRUE(drained->has_value());
    EXPECT_EQ((*drained)->m_status, StatementStatus::DONE);
    m_fleet.submit(ID, WHOLE, "500", "/urgent/", getFollower());
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(3000), "/urgent/"));
}

TEST_F(ConfirmedStatementOfALeaderWithASilentWatch, KeepsNewRunsOutOfTheEvacuatedDomain) {
    execute("domain evacuate d0");
    m_fleet.submit(ID, WHOLE, "500", "/urgent/", getFollower());
    m_fleet.m_loop.advance(Millis(2000));
    EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 0U);
}

}  // namespace

}  // namespace pierbank::testing
