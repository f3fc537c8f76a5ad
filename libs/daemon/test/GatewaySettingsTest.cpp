// SPDX-License-Identifier: Apache-2.0
#include "pierbank/daemon/GatewaySettings.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

constexpr const char* REQUIRED_SETTINGS = R"([gateway]
name=g
front=127.0.0.1:7201
ready=127.0.0.1:7202
operators=127.0.0.1:7101
links=127.0.0.1:7102
[store]
address=127.0.0.1:7001
[operators]
alice=change-this-token
)";

class GatewaySettingsTest : public ::testing::Test {
protected:
    GatewaySettings read(const std::string& additional) {
        auto file = SettingsFile::parse(REQUIRED_SETTINGS + additional, "gateway.ini", m_findings);
        EXPECT_TRUE(file.has_value());
        return readGatewaySettings(*file);
    }

    Findings m_findings;
};

TEST_F(GatewaySettingsTest, EnableAllMechanismsByDefault) {
    const GatewaySettings settings = read("");
    EXPECT_TRUE(m_findings.isEmpty()) << m_findings.toText();
    EXPECT_TRUE(settings.m_core.m_jobs.m_reservesHeadroom);
    EXPECT_TRUE(settings.m_core.m_jobs.m_planner.m_excludesFailedHosts);
    EXPECT_TRUE(settings.m_core.m_intake.m_hedgesSubmissions);
}

TEST_F(GatewaySettingsTest, DisableSwitchedOffMechanisms) {
    const GatewaySettings settings = read("[switches]\nkeeps-room=off\nclaims=off\n");
    EXPECT_TRUE(m_findings.isEmpty()) << m_findings.toText();
    EXPECT_FALSE(settings.m_core.m_jobs.m_reservesHeadroom);
    EXPECT_EQ(settings.m_core.m_jobs.m_planner.m_maxReservations, 0U);
}

TEST_F(GatewaySettingsTest, DeriveEvacuationIntervalsFromTheBound) {
    const GatewaySettings settings = read("[evacuations]\nbound=2000ms\n");
    EXPECT_TRUE(m_findings.isEmpty()) << m_findings.toText();
    EXPECT_EQ(settings.m_core.m_jobs.m_evacuations.m_maxEnforcementDelay, Millis(2000));
    EXPECT_EQ(settings.m_core.m_jobs.m_evacuations.m_interval, Millis(200));
    EXPECT_EQ(settings.m_core.m_jobs.m_startTimeout, Millis(400));
    EXPECT_EQ(read("").m_core.m_jobs.m_evacuations.m_interval, Millis(500));
    read("[evacuations]\nbound=5\n");
    EXPECT_NE(m_findings.toText().find("bound"), std::string::npos);
}

TEST_F(GatewaySettingsTest, ReadHostResourcesWithDefaults) {
    const LeadershipCandidacySettings candidacy =
            read("[host]\nprocessor-share=0.12\nlink-mbps=20\n").m_core.m_candidacy;
    EXPECT_TRUE(m_findings.isEmpty()) << m_findings.toText();
    EXPECT_DOUBLE_EQ(candidacy.m_processorShare, 0.12);
    EXPECT_DOUBLE_EQ(candidacy.m_linkMbps, 20);
    EXPECT_DOUBLE_EQ(read("").m_core.m_candidacy.m_processorShare, 1.0);
    read("[host]\nprocessor-share=none\n");
    EXPECT_NE(m_findings.toText().find("processor-share"), std::string::npos);
}

TEST_F(GatewaySettingsTest, ReportInvalidAndUnknownSwitches) {
    read("[switches]\nkeeps-room=maybe\nkeep-room=off\n");
    EXPECT_NE(m_findings.toText().find("neither on nor off"), std::string::npos);
    EXPECT_NE(m_findings.toText().find("keep-room"), std::string::npos);
}

}  // namespace
}  // namespace pierbank
