// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: a caller who cancels ids that don't exist uses up the writes of the store, so that jobs
 * are not accepted, decisions are not committed and other cancels are refused.
 *
 * Cause: a request to cancel an unknown job is written to the store, and nothing limited how many.
 *
 * In the logs: `intake answered method=DELETE status=410` many times a second, and `status=503`
 * with `reason="the store refused: ..."` for other requests.
 */
#include "JobFleetTest.h"
#include "pierbank/control/EarlyCancelLimiter.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":1000})";

/** Organisation a cancels an unknown id each few milliseconds; organisation b behaves. */
class FloodOfCancelsOfUnknownJobs : public JobFleetTest {
protected:
    void SetUp() override {
        JobFleetTest::SetUp();
        m_fleet.configure({JobFleet::KEY}, {"key-b"});
        m_fleet.m_loop.advance(Millis(500));
        m_gateway = getFollower();
    }

    IntakeAnswer cancelUnknown(const std::string& key = JobFleet::KEY) {
        std::string id = std::to_string(m_next++);
        id.insert(0, 16 - id.size(), '0');
        return m_fleet.sendRequest(m_gateway, "DELETE", "/batch/" + id, "", key);
    }

    /** Sends the flood, and keeps its answers. */
    void flood(std::size_t requests) {
        for (std::size_t i = 0; i < requests; ++i) {
            const IntakeAnswer answer = cancelUnknown();
            ++m_statuses[answer.m_status];
            if (answer.m_status == 503U) {
                EXPECT_GE(answer.m_retryAfter, Millis(1000));
            }
        }
    }

    std::size_t m_gateway = 0;
    std::uint64_t m_next = 1'000'000;
    std::map<std::uint32_t, std::size_t> m_statuses;
};

TEST_F(FloodOfCancelsOfUnknownJobs, WritesAndOccupiesABoundedNumberOfKeys) {
    constexpr std::size_t REQUESTS = 1000;
    const RateLimit limit = EarlyCancelLimiterSettings().m_perOrganisation;
    const Millis startedAt = m_fleet.m_loop.now();
    flood(REQUESTS);
    const auto time = m_fleet.m_loop.now() - startedAt;
    const auto most = static_cast<std::size_t>(limit.m_burst + time / limit.m_interval + 1);
    EXPECT_LE(m_fleet.m_storeState.list(EARLY_CANCEL_PREFIX).size(), most);
    EXPECT_EQ(m_statuses[410], m_fleet.m_storeState.list(EARLY_CANCEL_PREFIX).size());
    EXPECT_EQ(m_statuses[410] + m_statuses[503], REQUESTS);
}

TEST_F(FloodOfCancelsOfUnknownJobs, LeavesAnotherOrganisationItsOwn) {
    flood(200);
    EXPECT_EQ(cancelUnknown("key-b").m_status, 410U);
}

TEST_F(FloodOfCancelsOfUnknownJobs, DoesNotAffectAcceptedJobs) {
    flood(200);
    EXPECT_EQ(m_fleet.submit(ID, SMALL, "60000", "/batch/", m_gateway).m_status, 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "running", Millis(2000)));
    flood(200);
    EXPECT_EQ(m_fleet.sendRequest(m_gateway, "DELETE", std::string("/batch/") + ID).m_status, 200U);
    EXPECT_TRUE(m_fleet.waitForState(ID, "canceled", Millis(2000)));
}

/** Guards against a gateway that relays what it refuses, so that the leader writes it. */
TEST_F(FloodOfCancelsOfUnknownJobs, IsRefusedWithoutAskingTheLeader) {
    flood(200);
    const std::size_t keys = m_fleet.m_storeState.list(EARLY_CANCEL_PREFIX).size();
    EXPECT_EQ(keys, m_statuses[410]);
    EXPECT_EQ(m_fleet.sendRequest(getLeader(), "DELETE", std::string("/batch/") + ID).m_status,
              410U);
}

}  // namespace

}  // namespace pierbank::testing
