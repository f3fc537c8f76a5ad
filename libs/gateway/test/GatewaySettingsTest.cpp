// SPDX-License-Identifier: Apache-2.0
#include "pierbank/gateway/GatewaySettings.h"

#include <gtest/gtest.h>

#include "GlibFixture.h"
#include "pierbank/gateway/HttpServer.h"

namespace pierbank {
namespace {

constexpr const char* GOOD = R"([gateway]
name=g1
callers=127.0.0.1:7201
operators=127.0.0.1:7101
region=north
failure-domain=hall-a
[platform]
key-value-service=127.0.0.1:7001
host-list=127.0.0.1:7002
[operators]
alice=a-long-token
)";

std::string getFindings(const std::string& text) {
    Findings findings;
    auto file = SettingsFile::parse(text, "g.ini", findings);
    if (file.has_value()) {
        readGatewaySettings(*file);
    }
    return findings.toText();
}

TEST(GatewaySettingsTest, GoodSettingsHaveNoFindings) {
    EXPECT_EQ(getFindings(GOOD), "");
}

TEST(GatewaySettingsTest, AllFindingsAreReportedTogetherWithTheirPlace) {
    const std::string text = getFindings(R"([gateway]
name=g1
callers=localhost:7201
operators=127.0.0.1:99999
region=north
colour=blue
[platform]
key-value-service=127.0.0.1:7001
timeout=5
[operators]
alice=short
[schedule]
leader-lease=10s
worker-lease=6s
)");
    for (const char* expected :
         {"g.ini [gateway] callers: `localhost:7201` is not IP:PORT", "[gateway] operators",
          "[gateway] failure-domain: is required", "[gateway] colour: is not a known setting",
          "[platform] host-list: is required", "[platform] timeout: `5` is not a time",
          "[operators] alice: the token has fewer", "[schedule] worker-lease: is shorter"}) {
        EXPECT_NE(text.find(expected), std::string::npos) << expected << " not in:\n" << text;
    }
}

TEST(GatewaySettingsTest, CallersAndOperatorsNeedAddressesOfTheirOwn) {
    std::string text = GOOD;
    text.replace(text.find("127.0.0.1:7101"), 14, "127.0.0.1:7201");
    EXPECT_NE(getFindings(text).find("[gateway] operators: is the callers' address"),
              std::string::npos);
}

class AddressInUseTest : public testing::GlibFixture {};

TEST_F(AddressInUseTest, AnAddressInUseIsAFindingWithItsPlace) {
    HttpServer other([](const HttpServerRequest&, const std::shared_ptr<HttpServerCall>&) {});
    const Address used = listen(other);
    std::string text = GOOD;
    text.replace(text.find("127.0.0.1:7201"), 14, used.toText());
    Findings findings;
    auto file = SettingsFile::parse(text, "g.ini", findings);
    readGatewaySettings(*file);
    EXPECT_TRUE(findings.isEmpty());
    file->reportAddressesInUse();
    EXPECT_NE(findings.toText().find("g.ini [gateway] callers: " + used.toText()),
              std::string::npos);
}

TEST(GatewaySettingsTest, WhatIsNoIniIsRefused) {
    for (const char* text : {"no section", "[gateway", "\x01\x02\x03=1"}) {
        EXPECT_NE(getFindings(text), "") << text;
    }
}

}  // namespace
}  // namespace pierbank
