// SPDX-License-Identifier: Apache-2.0
// Jobs whose record or run in the store can't be decoded, for example by a
// leader of an earlier version during an upgrade.
#include <functional>

#include "JobFleetTest.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";

/** The record of a running job can't be read by the next leader, but by the one
 * after it. */
class JobThatALeaderCannotRead : public JobFleetTest {
protected:
    void SetUp() override {
        JobFleetTest::SetUp();
        m_fleet.submit(ID, R"({"count":1,"cpu":8000,"gpu":8,"est_ms":3000})", "3000");
        ASSERT_TRUE(waitUntil(Millis(500), [&] { return findWorker(taskOf(ID)).has_value(); }));
        m_fleet.m_loop.advance(Millis(200));
    }

    /** Lets the run end before a leader takes over that reads this value of the
     * key. */
    void endBeforeALeaderReads(
            const std::string& key, const std::string& value,
            const std::function<void()>& doWhileItLeads = [] {}) {
        const std::string original = m_fleet.m_storeState.find(key)->m_value;
        m_fleet.killGateway(getLeader());
        m_fleet.m_storeState.put(key, value);
        getSidecar(*findWorker(taskOf(ID))).m_worker->finish(taskOf(ID));
        ASSERT_TRUE(m_fleet.waitForLeader());
        m_fleet.m_loop.advance(Millis(1000));
        doWhileItLeads();
        m_fleet.m_storeState.put(key, original);
        m_fleet.killGateway(getLeader());
        ASSERT_TRUE(m_fleet.waitForLeader());
    }

    void expectSuccessOfFirstRun() {
        EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(8000), "/batch/", getLeader()));
        EXPECT_EQ(m_fleet.m_witness.countStarts(taskOf(ID)), 1U);
    }
};

}  // namespace

/** Guards against leaders that end one after the other, by an access to a step
 * of no record. */
TEST_F(JobThatALeaderCannotRead, EndsNoLeaderByTheEndOfItsRun) {
    endBeforeALeaderReads(getJobKey(ID), "?", [this] {
        constexpr const char* OTHER_ID = "00000000000000b2";
        m_fleet.submit(OTHER_ID, R"({"count":1,"cpu":8000,"gpu":8,"est_ms":300})", "300", "/batch/",
                       getLeader());
        EXPECT_TRUE(
                m_fleet.waitForState(OTHER_ID, "succeeded", Millis(8000), "/batch/", getLeader()));
    });
}

/**
 * Guards against a task that runs again after it was done: a leader that could
 * not read its job told the worker that the end is persisted.
 */
TEST_F(JobThatALeaderCannotRead, KeepsTheEndOfItsRunForTheNextLeaderIfItsRunIsUnreadable) {
    endBeforeALeaderReads(getRunKey(ID), "?");
    expectSuccessOfFirstRun();
}

TEST_F(JobThatALeaderCannotRead, KeepsTheEndOfItsRunForTheNextLeaderIfItsInputIsUnreadable) {
    endBeforeALeaderReads(getJobKey(ID), "?");
    expectSuccessOfFirstRun();
}

}  // namespace pierbank::testing
