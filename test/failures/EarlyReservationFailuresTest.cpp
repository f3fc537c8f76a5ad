// SPDX-License-Identifier: Apache-2.0
// A gang that waits for whole hosts beside small work, under failure.
#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* GANG = "00000000000000a1";

/** Each worker has seven small tasks for 5 s, and more of them arrive all the time. */
class EarlyReservationFailuresTest : public JobFleetTest {
protected:
    void SetUp() override {
        JobFleetTest::SetUp();
        submitSmall(28);
        ASSERT_TRUE(
                waitUntil(Millis(2000), [&] { return m_fleet.m_witness.countRunning() == 28; }));
        ASSERT_EQ(m_fleet.submit(GANG,
                                 R"({"count":2,"cpu":8000,"gpu":8,"est_ms":1000,"gang":true,)"
                                 R"("same_rack":true})",
                                 "1000")
                          .m_status,
                  200U);
    }

    void submitSmall(int tasks) {
        std::string id(16, '0');
        const std::string digits = std::to_string(++m_lastJob);
        const std::string steps =
                R"({"cpu":1000,"gpu":1,"est_ms":5000,"count":)" + std::to_string(tasks) + "}";
        m_fleet.submit(id.replace(id.size() - digits.size(), digits.size(), digits), steps, "5000",
                       "/batch/", getFollower());
    }

    const ReservationLog& getLog() {
        return m_fleet.m_gateways[getLeader()].m_core->getJobs().getReservationLog();
    }

    bool waitForReservation() {
        return waitUntil(Millis(1000), [&] {
            return m_fleet.findLeader().has_value() && getLog().countHeld() == 1;
        });
    }

    /** Returns whether the gang starts while small work goes on arriving. */
    bool startsWithin(Millis limit) {
        constexpr Millis ARRIVAL_INTERVAL{500};
        for (Millis passed{0}; passed < limit; passed += ARRIVAL_INTERVAL) {
            if (m_fleet.findLeader().has_value()) {
                submitSmall(4);
            }
            if (waitUntil(ARRIVAL_INTERVAL, [&] { return countMembers(GANG, 2) == 2; })) {
                return true;
            }
        }
        return false;
    }

    /** The longest small run; then the gang's commit, its start, and the plans between. */
    static constexpr Millis BOUND{5000 + 1000};
    int m_lastJob = 0;
};

}  // namespace

TEST_F(EarlyReservationFailuresTest, TheGangStartsWhenTheRunsOnItsHostsHaveEnded) {
    EXPECT_TRUE(waitForReservation());
    EXPECT_TRUE(startsWithin(BOUND));
    EXPECT_EQ(getLog().countHeld(), 0U);
}

/** Nothing is handed over: the next leader finds the same hosts from the records. */
TEST_F(EarlyReservationFailuresTest, TheNextLeaderReservesAnew) {
    ASSERT_TRUE(waitForReservation());
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    EXPECT_TRUE(waitForReservation());
    EXPECT_TRUE(startsWithin(BOUND));
}

TEST_F(EarlyReservationFailuresTest, TheGangGetsTheOtherRackWhenAWorkerFallsSilent) {
    ASSERT_TRUE(waitForReservation());
    m_fleet.m_loop.advance(Millis(1000));
    getSidecar(0).m_worker->m_isSilent = true;
    m_fleet.killSidecar(0);
    EXPECT_TRUE(startsWithin(2 * BOUND));
    EXPECT_TRUE(findWorker(taskOf(GANG)).value_or(0) >= 2);
}

TEST_F(EarlyReservationFailuresTest, TheGangStartsWhenTheStoreAnswersAgain) {
    constexpr Millis OUTAGE{2000};
    ASSERT_TRUE(waitForReservation());
    m_fleet.m_storeState.m_isDown = true;
    m_fleet.m_loop.advance(OUTAGE);
    m_fleet.m_storeState.m_isDown = false;
    EXPECT_TRUE(startsWithin(BOUND + OUTAGE));
}

}  // namespace pierbank::testing
