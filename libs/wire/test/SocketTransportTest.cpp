// SPDX-License-Identifier: Apache-2.0
#include "pierbank/wire/SocketTransport.h"

#include <gio/gio.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "GlibFixture.h"

namespace pierbank::testing {

namespace {

/** A listening transport and a connecting one in the same process. */
class SocketTransportTest : public GlibFixture {
public:
    SocketTransportTest() { m_address = listen(*this); }

    /** Called by GlibFixture::listen(). */
    bool listen(const Address& address, Reason& reason) {
        return m_server.listen(
                address,
                [this](std::shared_ptr<Link> link) { m_accepted.push_back(std::move(link)); },
                reason);
    }
    using GlibFixture::listen;

protected:
    void open(std::size_t count) {
        const std::size_t before = m_opened.size();
        for (std::size_t i = 0; i < count; ++i) {
            m_client.connect(m_address, [this](std::shared_ptr<Link> link) {
                ASSERT_NE(link, nullptr);
                m_opened.push_back(std::move(link));
            });
        }
        runUntil([&] {
            return m_opened.size() == before + count && m_accepted.size() == before + count;
        });
    }

    Address m_address;
    SocketTransport m_server;
    SocketTransport m_client;
    std::vector<std::shared_ptr<Link>> m_accepted;
    std::vector<std::shared_ptr<Link>> m_opened;
};

}  // namespace

TEST_F(SocketTransportTest, HundredsOfLinksCarryFramesInBothDirections) {
    constexpr std::size_t LINKS = 200;
    // The listen backlog holds ten connections that were not accepted yet.
    constexpr std::size_t BATCH = 8;
    while (m_opened.size() < LINKS) {
        open(BATCH);
    }
    std::size_t requests = 0;
    std::size_t replies = 0;
    for (const auto& link : m_accepted) {
        link->setCallbacks(
                [&requests, end = link.get()](const Frame& frame) {
                    ++requests;
                    end->send(LeaseRenewal{1, std::get<LeaseRequest>(frame).m_sequence, 10, 0});
                },
                [] {});
    }
    for (std::size_t i = 0; i < LINKS; ++i) {
        m_opened[i]->setCallbacks(
                [&replies, i](const Frame& frame) {
                    EXPECT_EQ(std::get<LeaseRenewal>(frame).m_sequence, i);
                    ++replies;
                },
                [] {});
        ASSERT_TRUE(m_opened[i]->send(LeaseRequest{i, false}));
    }
    runUntil([&] { return replies == LINKS; });
    EXPECT_EQ(requests, LINKS);
}

TEST_F(SocketTransportTest, ALinkMayCloseOthersWhileSeveralAreReadable) {
    constexpr std::size_t LINKS = 8;
    open(LINKS);
    std::size_t received = 0;
    for (const auto& link : m_accepted) {
        link->setCallbacks(
                [this, &received](const Frame&) {
                    ++received;
                    for (const auto& other : m_accepted) {
                        other->close();
                    }
                },
                [] {});
    }
    std::size_t closed = 0;
    for (const auto& link : m_opened) {
        link->setCallbacks([](const Frame&) {}, [&closed] { ++closed; });
        link->send(LeaseRequest{1, false});
    }
    runUntil([&] { return closed == LINKS; });
    EXPECT_EQ(received, 1U);
}

/** Data that the socket does not accept at once is sent when the socket becomes writable again. */
TEST_F(SocketTransportTest, AMessageLargerThanTheSocketBufferArrivesWhole) {
    open(1);
    constexpr std::size_t BYTES = 6U << 20U;
    std::string value;
    m_accepted[0]->setCallbacks(
            [&value](const Frame& frame) { value = std::get<InputNotice>(frame).m_value; }, [] {});
    ASSERT_TRUE(m_opened[0]->send(InputNotice{"k", std::string(BYTES, 'x')}));
    runUntil([&] { return value.size() == BYTES; });
    m_opened[0]->setCallbacks([&value](const Frame&) { value = "answered"; }, [] {});
    ASSERT_TRUE(m_accepted[0]->send(LeaseRenewal{1, 1, 1, 0}));
    runUntil([&] { return value == "answered"; });
}

/**
 * Guards against links between different builds that close again and again: a process that receives
 * a frame type that it does not know closes the link, the leader opens it again and sends the same.
 * Builds that do not announce their frame types in the handshake know the first fourteen.
 */
class LinkWithAnOlderBuild : public SocketTransportTest {
protected:
    void SetUp() override {
        GSocketClient* const client = g_socket_client_new();
        m_connection = g_socket_client_connect_to_host(client, m_address.m_host.c_str(),
                                                       m_address.m_port, nullptr, nullptr);
        g_object_unref(client);
        ASSERT_NE(m_connection, nullptr);
        const std::string request =
                "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nUpgrade: websocket\r\n"
                "Connection: Upgrade\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
                "Sec-WebSocket-Version: 13\r\n\r\n";
        GOutputStream* const output = g_io_stream_get_output_stream(G_IO_STREAM(m_connection));
        ASSERT_TRUE(g_output_stream_write_all(output, request.data(), request.size(), nullptr,
                                              nullptr, nullptr));
        runUntil([this] { return m_accepted.size() == 1; });
    }

    void TearDown() override { g_object_unref(m_connection); }

    GSocketConnection* m_connection = nullptr;
};

TEST_F(LinkWithAnOlderBuild, CarriesOnlyTheFramesThatTheBuildKnows) {
    EXPECT_FALSE(m_accepted[0]->send(LearnedRecord()));
    EXPECT_FALSE(m_accepted[0]->send(KeptRecord()));
    EXPECT_TRUE(m_accepted[0]->send(GatewayReply()));
    EXPECT_TRUE(m_accepted[0]->send(LeaseRenewal()));
}

TEST_F(SocketTransportTest, LinksOfPresentBuildsCarryTheNewestFramesInBothDirections) {
    open(1);
    std::size_t received = 0;
    m_accepted[0]->setCallbacks(
            [&](const Frame& frame) {
                received += frame.index() == Frame(LearnedRecord()).index();
            },
            [] { ADD_FAILURE() << "closed"; });
    m_opened[0]->setCallbacks(
            [&](const Frame& frame) { received += frame.index() == Frame(KeptRecord()).index(); },
            [] { ADD_FAILURE() << "closed"; });
    ASSERT_TRUE(m_opened[0]->send(LearnedRecord()));
    ASSERT_TRUE(m_accepted[0]->send(KeptRecord()));
    runUntil([&] { return received == 2; });
}

}  // namespace pierbank::testing
