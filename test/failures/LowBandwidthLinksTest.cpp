// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: gateways behind links of 10 Mbit/s answer submissions after seconds or not at all while
 * a configuration of thousands of routes changes.
 *
 * Cause: the value of the configuration has a megabyte, which occupies the link for a second. The
 * watch transferred it, and a read transferred it again. Each job submitted meanwhile was written
 * on the condition that the configuration is unchanged; the store refused and returned the new
 * value once more for each job, and all other answers queued behind. The gateway discarded the
 * value in the answers to watches and refused conditions and read it again, and it wrote jobs under
 * a configuration that it had not confirmed.
 */
#include <gtest/gtest.h>

#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":400})";

/** Three gateways whose links need 0.8 s to transfer the value of the configuration. */
class GatewaysOnLowBandwidthLinks : public JobFleetTest {
protected:
    void SetUp() override {
        // In this test the value has some hundred bytes, which this bandwidth makes slow.
        constexpr double LOW_MBPS = 0.004;
        m_fleet.m_linkMbps = LOW_MBPS;
        for (std::size_t i = 0; i < m_fleet.m_gateways.size(); ++i) {
            m_fleet.killGateway(i);
            m_fleet.startGateway(i);
            m_fleet.m_storeState.m_lowBandwidthProcesses.insert(m_fleet.m_gateways[i].m_name);
        }
        JobFleetTest::SetUp();
        m_fleet.m_loop.advance(Millis(4000));
    }

    struct Submission {
        Millis m_at{0};
        std::optional<IntakeAnswer> m_answer;
        Millis m_took{0};
    };

    /** Submits a job to a gateway, with a caller's timeout of 3 s. */
    void submitTo(std::size_t gateway) {
        IntakeRequest request;
        request.m_method = "POST";
        request.m_host = JobFleet::HOST;
        request.m_path = "/batch/00000000000000" + std::to_string(10 + m_jobs.size());
        request.m_key = JobFleet::KEY;
        request.m_timeout = Millis(3000);
        request.m_body = std::string(R"({"spec":"300","steps":[)") + SMALL + "]}";
        Submission& job = m_jobs.emplace_back();
        job.m_at = m_fleet.m_loop.now();
        m_fleet.m_gateways[gateway].m_core->getIntake().handle(
                request, [this, &job](const IntakeAnswer& answer) {
                    job.m_answer = answer;
                    job.m_took = m_fleet.m_loop.now() - job.m_at;
                });
    }

    /** Submits jobs to the gateways in turn, for longer than the new value takes to arrive. */
    void submitDuringChange() {
        constexpr int JOBS = 30;
        constexpr Millis PAUSE{70};
        for (int i = 0; i < JOBS; ++i) {
            submitTo(static_cast<std::size_t>(i) % m_fleet.m_gateways.size());
            m_fleet.m_loop.advance(PAUSE);
        }
        m_fleet.m_loop.advance(Millis(4000));
    }

    void expectAllAccepted() {
        for (std::size_t i = 0; i < m_jobs.size(); ++i) {
            ASSERT_TRUE(m_jobs[i].m_answer.has_value()) << i;
            EXPECT_EQ(m_jobs[i].m_answer->m_status, 200U) << i << m_jobs[i].m_answer->m_reason;
            EXPECT_LE(m_jobs[i].m_took, Millis(2000)) << i;
        }
    }

    std::deque<Submission> m_jobs;
};

}  // namespace

TEST_F(GatewaysOnLowBandwidthLinks, AcceptJobsWhileTheConfigurationChanges) {
    m_fleet.configure({JobFleet::KEY, "key-b"});
    submitDuringChange();
    expectAllAccepted();
}

TEST_F(GatewaysOnLowBandwidthLinks, ReadEachValueOnce) {
    m_fleet.m_storeState.m_configurationReads.clear();
    m_fleet.configure({JobFleet::KEY, "key-b"});
    submitDuringChange();
    for (const auto& [gateway, values] : m_fleet.m_storeState.m_configurationReads) {
        EXPECT_EQ(values, 1U) << gateway;
    }
}

TEST_F(GatewaysOnLowBandwidthLinks, AcceptJobsWhileTheConfigurationChangesTwice) {
    m_fleet.configure({JobFleet::KEY, "key-b"});
    m_fleet.m_loop.advance(Millis(500));
    m_fleet.configure({JobFleet::KEY, "key-c"});
    submitDuringChange();
    expectAllAccepted();
}

/** The answer to a refused condition contains the newest value, which needs no further read. */
TEST_F(GatewaysOnLowBandwidthLinks, ApplyTheConfigurationFromARefusedCondition) {
    const std::size_t index = getFollower();
    m_fleet.m_storeState.m_configurationReads.clear();
    m_fleet.configure({JobFleet::KEY, "key-b"});
    submitTo(index);
    m_fleet.m_loop.advance(Millis(3000));
    EXPECT_EQ(m_fleet.m_storeState.m_configurationReads[m_fleet.m_gateways[index].m_name], 1U);
    expectAllAccepted();
}

}  // namespace pierbank::testing
