// SPDX-License-Identifier: Apache-2.0
#include "pierbank/wire/WebSocketCodec.h"

#include <gtest/gtest.h>

#include <string>

namespace pierbank {
namespace {

/** A client and a server whose bytes are passed to each other. */
class WebSocketCodecTest : public ::testing::Test {
protected:
    void open(const std::string& ofClient, const std::string& ofServer) {
        m_client = std::make_unique<WebSocketCodec>(WebSocketCodec::Role::CLIENT, "127.0.0.1:1",
                                                    ofClient, makeCallbacks(m_toServer));
        m_server = std::make_unique<WebSocketCodec>(WebSocketCodec::Role::SERVER, "", ofServer,
                                                    makeCallbacks(m_toClient));
        m_server->start();
        m_client->start();
        while (!m_toServer.empty() || !m_toClient.empty()) {
            m_server->feed(std::exchange(m_toServer, ""));
            m_client->feed(std::exchange(m_toClient, ""));
        }
    }

    WebSocketCodec::Callbacks makeCallbacks(std::string& bytesToPeer) {
        WebSocketCodec::Callbacks callbacks;
        callbacks.m_write = [&bytesToPeer](std::string_view bytes) {
            bytesToPeer.append(bytes);
        };
        callbacks.m_open = [this] {
            ++m_opened;
        };
        return callbacks;
    }

    std::unique_ptr<WebSocketCodec> m_client;
    std::unique_ptr<WebSocketCodec> m_server;
    std::string m_toServer;
    std::string m_toClient;
    int m_opened = 0;
};

TEST_F(WebSocketCodecTest, EachSideLearnsWhatTheOtherAnnounces) {
    open("16", "17");
    EXPECT_EQ(m_opened, 2);
    EXPECT_EQ(m_client->getPeerAnnouncement(), "17");
    EXPECT_EQ(m_server->getPeerAnnouncement(), "16");
}

TEST_F(WebSocketCodecTest, AServerOfAnOlderBuildAnnouncesNothing) {
    open("16", "");
    EXPECT_EQ(m_opened, 2);
    EXPECT_EQ(m_client->getPeerAnnouncement(), "");
}

TEST_F(WebSocketCodecTest, AClientOfAnOlderBuildAnnouncesNothing) {
    open("", "16");
    EXPECT_EQ(m_opened, 2);
    EXPECT_EQ(m_server->getPeerAnnouncement(), "");
}

}  // namespace
}  // namespace pierbank
