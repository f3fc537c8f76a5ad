// SPDX-License-Identifier: Apache-2.0
#include "pierbank/wire/SocketTransport.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "GlibFixture.h"

namespace pierbank::testing {

namespace {

/** A listener and links to it, all in one process. */
class SocketTransportTest : public GlibFixture {
public:
    SocketTransportTest() { m_address = listen(*this); }

    /** For GlibFixture::listen(). */
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

TEST_F(SocketTransportTest, HundredsOfLinksCarryFramesBothWays) {
    constexpr std::size_t LINKS = 200;
    // A listener's queue holds ten that were not accepted yet.
    constexpr std::size_t PORTION = 8;
    while (m_opened.size() < LINKS) {
        open(PORTION);
    }
    std::size_t asked = 0;
    std::size_t answered = 0;
    for (const auto& link : m_accepted) {
        link->setCallbacks(
                [&asked, end = link.get()](const Frame& frame) {
                    ++asked;
                    end->send(LeaseRenewal{1, std::get<LeaseRequest>(frame).m_sequence, 10, 0});
                },
                [] {});
    }
    for (std::size_t i = 0; i < LINKS; ++i) {
        m_opened[i]->setCallbacks(
                [&answered, i](const Frame& frame) {
                    EXPECT_EQ(std::get<LeaseRenewal>(frame).m_sequence, i);
                    ++answered;
                },
                [] {});
        ASSERT_TRUE(m_opened[i]->send(LeaseRequest{i, false}));
    }
    runUntil([&] { return answered == LINKS; });
    EXPECT_EQ(asked, LINKS);
}

TEST_F(SocketTransportTest, ALinkMayEndOthersWhileSeveralHaveSomethingToRead) {
    constexpr std::size_t LINKS = 8;
    open(LINKS);
    std::size_t heard = 0;
    for (const auto& link : m_accepted) {
        link->setCallbacks(
                [this, &heard](const Frame&) {
                    ++heard;
                    for (const auto& other : m_accepted) {
                        other->close();
                    }
                },
                [] {});
    }
    std::size_t ended = 0;
    for (const auto& link : m_opened) {
        link->setCallbacks([](const Frame&) {}, [&ended] { ++ended; });
        link->send(LeaseRequest{1, false});
    }
    runUntil([&] { return ended == LINKS; });
    EXPECT_EQ(heard, 1U);
}

/** What a socket does not take at once goes out when there is room again. */
TEST_F(SocketTransportTest, AMessageLargerThanASocketTakesArrivesWhole) {
    open(1);
    constexpr std::size_t BYTES = 6U << 20U;
    std::string got;
    m_accepted[0]->setCallbacks(
            [&got](const Frame& frame) { got = std::get<InputNotice>(frame).m_value; }, [] {});
    ASSERT_TRUE(m_opened[0]->send(InputNotice{"k", std::string(BYTES, 'x')}));
    runUntil([&] { return got.size() == BYTES; });
    m_opened[0]->setCallbacks([&got](const Frame&) { got = "answered"; }, [] {});
    ASSERT_TRUE(m_accepted[0]->send(LeaseRenewal{1, 1, 1, 0}));
    runUntil([&] { return got == "answered"; });
}

}  // namespace pierbank::testing
