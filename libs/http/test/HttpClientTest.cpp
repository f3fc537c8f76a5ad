// SPDX-License-Identifier: Apache-2.0
#include "pierbank/http/HttpClient.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <array>

#include "GlibFixture.h"

namespace pierbank::testing {
namespace {

/** A server that takes no connection: its queue of new ones is full, so that packets are dropped.
 */
class UnreachableServer {
public:
    UnreachableServer() {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* const name = reinterpret_cast<sockaddr*>(&address);
        bind(m_listener, name, size);
        getsockname(m_listener, name, &size);
        listen(m_listener, 0);
        m_address = {"127.0.0.1", ntohs(address.sin_port)};
        for (int& waiting : m_waiting) {
            waiting = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            connect(waiting, name, size);
        }
    }
    UnreachableServer(const UnreachableServer&) = delete;
    UnreachableServer& operator=(const UnreachableServer&) = delete;
    ~UnreachableServer() {
        for (const int waiting : m_waiting) {
            close(waiting);
        }
        close(m_listener);
    }

    const Address& getAddress() const { return m_address; }

private:
    int m_listener = socket(AF_INET, SOCK_STREAM, 0);
    std::array<int, 4> m_waiting{};
    Address m_address;
};

/** A server that sends the head of an answer and half of its body at once, and the rest later. */
class HaltingServer {
public:
    HaltingServer(EventLoop& loop, std::size_t size) : m_loop(loop), m_size(size) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto* const name = reinterpret_cast<sockaddr*>(&address);
        bind(m_listener, name, length);
        getsockname(m_listener, name, &length);
        listen(m_listener, 1);
        m_address = {"127.0.0.1", ntohs(address.sin_port)};
        look();
    }
    HaltingServer(const HaltingServer&) = delete;
    HaltingServer& operator=(const HaltingServer&) = delete;
    ~HaltingServer() {
        m_loop.cancel(m_timer);
        close(m_connection);
        close(m_listener);
    }

    const Address& getAddress() const { return m_address; }
    Millis m_halt{150};
    bool m_isEnding = true;

private:
    void look() {
        m_connection = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (m_connection < 0) {
            m_timer = m_loop.callLater(Millis(5), [this] { look(); });
            return;
        }
        write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(m_size) + "\r\n\r\n" +
              std::string(m_size / 2, 'a'));
        m_timer = m_loop.callLater(m_halt, [this] {
            if (m_isEnding) {
                write(std::string(m_size - m_size / 2, 'b'));
            }
        });
    }

    void write(const std::string& text) const {
        EXPECT_EQ(send(m_connection, text.data(), text.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(text.size()));
    }

    EventLoop& m_loop;
    const std::size_t m_size;
    int m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    int m_connection = -1;
    TimerId m_timer = TimerId::NONE;
    Address m_address;
};

class HttpClientTest : public GlibFixture {
protected:
    HttpClient m_client;
};

TEST_F(HttpClientTest, EndsACallInTimeThoughTheConnectionIsStillBeingMade) {
    const UnreachableServer server;
    HttpCall call;
    call.m_address = server.getAddress();
    call.m_timeout = Millis(50);
    std::optional<HttpResult> answer;
    m_client.send(call, [&](const HttpResult& result) {
        answer = result;
        m_loop.quit();
    });
    // The first packet of a connection is sent again after a second.
    bool isLate = false;
    const TimerId limit = m_loop.callLater(Millis(900), [&] { isLate = true; });
    run();
    m_loop.cancel(limit);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->m_status, 0U);
    EXPECT_FALSE(answer->m_isRefused);
    EXPECT_FALSE(isLate);
}

/**
 * Gateways behind links of 10 Mbit/s did not learn configurations of more than 1.2 MB: each reading
 * ended after its second, with most of the answer there.
 */
TEST_F(HttpClientTest, GivesALargeAnswerThatHasBegunTheTimeThatItsLengthTakes) {
    constexpr std::size_t SIZE = 200'000;
    const HaltingServer server(m_loop, SIZE);
    HttpCall call;
    call.m_address = server.getAddress();
    call.m_timeout = Millis(100);
    std::optional<HttpResult> answer;
    m_client.send(call, [&](const HttpResult& result) {
        answer = result;
        m_loop.quit();
    });
    run();
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->m_status, 200U) << answer->m_reason;
    EXPECT_EQ(answer->m_body.size(), SIZE);
}

TEST_F(HttpClientTest, EndsALargeAnswerThatStopsOnItsWay) {
    HaltingServer server(m_loop, 50'000);
    server.m_isEnding = false;
    HttpCall call;
    call.m_address = server.getAddress();
    call.m_timeout = Millis(50);
    std::optional<HttpResult> answer;
    m_client.send(call, [&](const HttpResult& result) {
        answer = result;
        m_loop.quit();
    });
    run();
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->m_status, 0U);
}

}  // namespace
}  // namespace pierbank::testing
