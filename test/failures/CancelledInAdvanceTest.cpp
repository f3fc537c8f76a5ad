// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: a job starts seconds after its cancelling was acknowledged, and runs to its end.
 *
 * Cause: the submission was still on its way when the job was cancelled, for example in the socket
 * of a suspended gateway. The gateway that cancelled found no job, answered 410 and left nothing in
 * the store that the late submission would meet.
 *
 * In the logs: `intake answered method=DELETE status=410`, and later `method=POST status=200` for
 * the same job, at another gateway.
 */
#include "JobFleetTest.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":1000})";

/** A job whose submission arrives after the answer to its cancelling. */
class JobCancelledInAdvance : public JobFleetTest {
protected:
    std::uint32_t cancel(const std::string& key = JobFleet::KEY) {
        return m_fleet.sendRequest(getFollower(), "DELETE", PATH, "", key).m_status;
    }

    /** Submits the job at the leader, so that no other gateway has to notify it. */
    std::uint32_t submit() {
        return m_fleet.submit(ID, SMALL, "300", "/batch/", getLeader()).m_status;
    }

    std::size_t countStarts() const { return m_fleet.m_witness.countStarts(taskOf(ID)); }

    const std::string PATH = std::string("/batch/") + ID;
};

}  // namespace

TEST_F(JobCancelledInAdvance, DoesNotStartWhenItsSubmissionArrives) {
    EXPECT_EQ(cancel(), 410U);
    m_fleet.m_loop.advance(Millis(3500));
    EXPECT_EQ(submit(), 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "canceled", Millis(2000)));
    m_fleet.m_loop.advance(Millis(2000));
    EXPECT_EQ(countStarts(), 0U);
}

TEST_F(JobCancelledInAdvance, DoesNotStartUnderTheNextLeader) {
    EXPECT_EQ(cancel(), 410U);
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    EXPECT_EQ(submit(), 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "canceled", Millis(2000), "/batch/", getLeader()));
    EXPECT_EQ(countStarts(), 0U);
}

/** The submission and the cancelling overlap; whichever is first, the job does not run on. */
TEST_F(JobCancelledInAdvance, DoesNotRunOnIfItsSubmissionArrivesAtTheSameTime) {
    constexpr std::int64_t MAX_DELAY_MS = 12;
    for (std::int64_t delay = 0; delay <= MAX_DELAY_MS; ++delay) {
        SCOPED_TRACE(delay);
        JobFleet fleet(3, 4);
        ASSERT_TRUE(fleet.waitForLeader());
        fleet.m_loop.advance(Millis(500));
        fleet.m_loop.callLater(Millis(delay), [&fleet] {
            IntakeRequest request;
            request.m_method = "POST";
            request.m_host = JobFleet::HOST;
            request.m_path = std::string("/batch/") + ID;
            request.m_key = JobFleet::KEY;
            request.m_body = std::string(R"({"spec":"60000","steps":[)") + SMALL + "]}";
            fleet.m_gateways[1].m_core->getIntake().handle(request, [](const IntakeAnswer&) {});
        });
        const std::uint32_t status = fleet.sendRequest(2, "DELETE", PATH).m_status;
        EXPECT_TRUE(status == 200U || status == 410U) << status;
        fleet.m_loop.advance(Millis(3000));
        EXPECT_FALSE(fleet.m_witness.isRunning(taskOf(ID)));
    }
}

/** Guards against callers who cancel the jobs of another organisation before they are submitted. */
TEST_F(JobCancelledInAdvance, RunsIfAnotherOrganisationCancelledIt) {
    m_fleet.configure({JobFleet::KEY}, {"key-b"});
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_EQ(cancel("key-b"), 410U);
    EXPECT_EQ(submit(), 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(3000)));
}

/** Guards against callers who undo the acknowledged cancelling of another organisation. */
TEST_F(JobCancelledInAdvance, DoesNotStartThoughAnotherOrganisationCancelsItLater) {
    m_fleet.configure({JobFleet::KEY}, {"key-b"});
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_EQ(cancel(), 410U);
    EXPECT_EQ(cancel("key-b"), 410U);
    EXPECT_EQ(submit(), 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "canceled", Millis(2000)));
    EXPECT_EQ(countStarts(), 0U);
}

TEST_F(JobCancelledInAdvance, DoesNotStartThoughAnotherOrganisationCancelledItBefore) {
    m_fleet.configure({JobFleet::KEY}, {"key-b"});
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_EQ(cancel("key-b"), 410U);
    EXPECT_EQ(cancel(), 410U);
    EXPECT_EQ(submit(), 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "canceled", Millis(2000)));
    EXPECT_EQ(countStarts(), 0U);
}

/** Guards against a store that fills with cancellings of jobs that never come. */
TEST_F(JobCancelledInAdvance, IsForgottenAfterTheRetention) {
    EXPECT_EQ(cancel(), 410U);
    EXPECT_EQ(m_fleet.m_storeState.list(EARLY_CANCEL_PREFIX).size(), 1U);
    m_fleet.m_loop.advance(JobControllerSettings().m_finishedJobRetention + Millis(5000));
    EXPECT_TRUE(m_fleet.m_storeState.list(EARLY_CANCEL_PREFIX).empty());
    EXPECT_EQ(submit(), 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "succeeded", Millis(3000)));
}

/** Guards against a store that fills because each new leader begins to count the time anew. */
TEST_F(JobCancelledInAdvance, IsForgottenAfterTheRetentionThoughLeadersChange) {
    EXPECT_EQ(cancel(), 410U);
    const Millis retention = JobControllerSettings().m_finishedJobRetention;
    for (int leader = 0; leader < 3; ++leader) {
        m_fleet.m_loop.advance(retention * 2 / 5);
        const std::size_t replaced = getLeader();
        m_fleet.killGateway(replaced);
        m_fleet.startGateway(replaced);
        ASSERT_TRUE(m_fleet.waitForLeader());
    }
    m_fleet.m_loop.advance(Millis(5000));
    EXPECT_TRUE(m_fleet.m_storeState.list(EARLY_CANCEL_PREFIX).empty());
}

TEST_F(JobCancelledInAdvance, IsRememberedSinceItsLastCancelling) {
    const Millis retention = JobControllerSettings().m_finishedJobRetention;
    EXPECT_EQ(cancel(), 410U);
    m_fleet.m_loop.advance(retention - Millis(10'000));
    EXPECT_EQ(cancel(), 410U);
    m_fleet.m_loop.advance(retention - Millis(10'000));
    EXPECT_EQ(submit(), 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "canceled", Millis(2000)));
}

/** The store carries the write of the cancelling out but gives no answer. */
TEST_F(JobCancelledInAdvance, DoesNotStartIfTheAnswerOfTheStoreWasLost) {
    m_fleet.m_storeState.m_answersToLose = 1;
    EXPECT_EQ(cancel(), 410U);
    EXPECT_EQ(submit(), 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "canceled", Millis(2000)));
    EXPECT_EQ(countStarts(), 0U);
}

/**
 * The store carries the write of the submission out seconds later: its caller has left, and the
 * cancelling was acknowledged meanwhile.
 */
TEST_F(JobCancelledInAdvance, DoesNotStartIfTheWriteOfItsSubmissionIsLate) {
    m_fleet.m_storeState.m_writesToDelay = 1;
    m_fleet.m_storeState.m_writeDelay = Millis(3500);
    IntakeRequest request;
    request.m_method = "POST";
    request.m_host = JobFleet::HOST;
    request.m_path = PATH;
    request.m_key = JobFleet::KEY;
    request.m_body = std::string(R"({"spec":"300","steps":[)") + SMALL + "]}";
    request.m_timeout = Millis(125);
    m_fleet.m_gateways[getLeader()].m_core->getIntake().handle(request, [](const IntakeAnswer&) {});
    m_fleet.m_loop.advance(Millis(10));
    EXPECT_EQ(cancel(), 410U);
    m_fleet.m_loop.advance(Millis(6000));
    EXPECT_EQ(countStarts(), 0U);
}

/** A leader that does not learn of the cancelling: its watch reports nothing, and a link is cut. */
class JobCancelledInAdvanceUnknownToTheLeader : public JobCancelledInAdvance {
protected:
    void SetUp() override {
        JobCancelledInAdvance::SetUp();
        m_fleet.m_storeState.m_dropsWatchEvents = true;
        m_fleet.m_network.cut(m_fleet.m_gateways[getFollower()].m_name,
                              m_fleet.m_gateways[getLeader()].m_name);
    }

    /** Submits the job at the gateway whose link to the leader works. */
    std::uint32_t submitAtTheOther() {
        return m_fleet.submit(ID, SMALL, "300", "/batch/", (getFollower() + 1) % 3).m_status;
    }
};

TEST_F(JobCancelledInAdvanceUnknownToTheLeader, DoesNotStartWhenItsSubmissionArrives) {
    EXPECT_EQ(cancel(), 410U);
    m_fleet.m_loop.advance(Millis(3500));
    EXPECT_EQ(submitAtTheOther(), 200U);
    m_fleet.m_loop.advance(Millis(3000));
    EXPECT_EQ(countStarts(), 0U);
    EXPECT_EQ(m_fleet.getState(ID), "canceled");
}

/** The write of the submission takes effect, but its answer is lost. */
TEST_F(JobCancelledInAdvanceUnknownToTheLeader, DoesNotStartIfTheAnswerToItsSubmissionWasLost) {
    EXPECT_EQ(cancel(), 410U);
    // The first transaction is refused because of the cancelling; the second one takes effect.
    m_fleet.m_storeState.m_answersToLose = 2;
    EXPECT_EQ(submitAtTheOther(), 200U);
    m_fleet.m_loop.advance(Millis(3000));
    EXPECT_EQ(countStarts(), 0U);
    EXPECT_EQ(m_fleet.getState(ID), "canceled");
}

/**
 * Guards against a leader that removes a cancelling after the retention although it was repeated
 * shortly before.
 */
TEST_F(JobCancelledInAdvanceUnknownToTheLeader, IsRememberedSinceItsLastCancelling) {
    const Millis retention = JobControllerSettings().m_finishedJobRetention;
    m_fleet.m_storeState.m_dropsWatchEvents = false;
    EXPECT_EQ(cancel(), 410U);
    m_fleet.m_loop.advance(Millis(2000));
    m_fleet.m_storeState.m_dropsWatchEvents = true;
    m_fleet.m_loop.advance(retention - Millis(5000));
    EXPECT_EQ(cancel(), 410U);
    m_fleet.m_loop.advance(Millis(10'000));
    EXPECT_EQ(submitAtTheOther(), 200U);
    m_fleet.m_loop.advance(Millis(3000));
    EXPECT_EQ(countStarts(), 0U);
}

/** Guards against keys that stay because the answer to their removal was lost. */
TEST_F(JobCancelledInAdvance, IsForgottenThoughTheAnswerToItsRemovalWasLost) {
    EXPECT_EQ(cancel(), 410U);
    m_fleet.m_loop.advance(JobControllerSettings().m_finishedJobRetention - Millis(1000));
    m_fleet.m_storeState.m_answersToLose = 1;
    m_fleet.m_loop.advance(Millis(10'000));
    EXPECT_TRUE(m_fleet.m_storeState.list(EARLY_CANCEL_PREFIX).empty());
}

/** Guards against keys that stay until the next leader because the store refused their removal. */
TEST_F(JobCancelledInAdvance, IsForgottenThoughTheStoreRefusedItsRemoval) {
    EXPECT_EQ(cancel(), 410U);
    m_fleet.m_loop.advance(JobControllerSettings().m_finishedJobRetention - Millis(100));
    m_fleet.m_storeState.m_isDown = true;
    m_fleet.m_loop.advance(Millis(600));
    m_fleet.m_storeState.m_isDown = false;
    m_fleet.m_loop.advance(Millis(10'000));
    EXPECT_TRUE(m_fleet.m_storeState.list(EARLY_CANCEL_PREFIX).empty());
}

/** Guards against a submission that is refused as long as its id is cancelled. */
TEST_F(JobCancelledInAdvanceUnknownToTheLeader, RunsIfAnotherOrganisationCancelledIt) {
    m_fleet.configure({JobFleet::KEY}, {"key-b"});
    m_fleet.m_loop.advance(Millis(1500));
    EXPECT_EQ(cancel("key-b"), 410U);
    EXPECT_EQ(submitAtTheOther(), 200U);
    m_fleet.m_loop.advance(Millis(3000));
    EXPECT_EQ(m_fleet.getState(ID), "succeeded");
}

}  // namespace pierbank::testing
