// SPDX-License-Identifier: Apache-2.0
#include "pierbank/http/HttpClient.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <array>

#include "GlibFixture.h"

namespace pierbank::testing {
namespace {

/** Lets a socket listen on a free port of the loopback interface. Returns its address. */
sockaddr_in listenOnLoopback(int listener, int backlog) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const name = reinterpret_cast<sockaddr*>(&address);
    bind(listener, name, size);
    getsockname(listener, name, &size);
    listen(listener, backlog);
    return address;
}

/**
 * Server that accepts no connection. Its queue of pending connections is full, so that the kernel
 * drops the packets of further connections.
 */
class UnreachableServer {
public:
    UnreachableServer() {
        sockaddr_in address = listenOnLoopback(m_listener, 0);
        m_address = {"127.0.0.1", ntohs(address.sin_port)};
        for (int& queued : m_queued) {
            queued = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            connect(queued, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        }
    }
    UnreachableServer(const UnreachableServer&) = delete;
    UnreachableServer& operator=(const UnreachableServer&) = delete;
    ~UnreachableServer() {
        for (const int queued : m_queued) {
            close(queued);
        }
        close(m_listener);
    }

    const Address& getAddress() const { return m_address; }

private:
    int m_listener = socket(AF_INET, SOCK_STREAM, 0);
    std::array<int, 4> m_queued{};
    Address m_address;
};

/**
 * Server for one connection. Sends the head and the first half of the body of a response
 * immediately, and the second half after a pause or never.
 */
class PausingServer {
public:
    PausingServer(EventLoop& loop, std::size_t size) : m_loop(loop), m_size(size) {
        m_address = {"127.0.0.1", ntohs(listenOnLoopback(m_listener, 1).sin_port)};
        pollConnection();
    }
    PausingServer(const PausingServer&) = delete;
    PausingServer& operator=(const PausingServer&) = delete;
    ~PausingServer() {
        m_loop.cancel(m_timer);
        close(m_connection);
        close(m_listener);
    }

    const Address& getAddress() const { return m_address; }
    Millis m_pause{150};
    bool m_sendsSecondHalf = true;

private:
    void pollConnection() {
        m_connection = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (m_connection < 0) {
            m_timer = m_loop.callLater(Millis(5), [this] { pollConnection(); });
            return;
        }
        write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(m_size) + "\r\n\r\n" +
              std::string(m_size / 2, 'a'));
        m_timer = m_loop.callLater(m_pause, [this] {
            if (m_sendsSecondHalf) {
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

/** Server that answers each request at once, except on connections that it has silenced. */
class SilencingServer {
public:
    explicit SilencingServer(EventLoop& loop) : m_loop(loop) {
        m_address = {"127.0.0.1", ntohs(listenOnLoopback(m_listener, 16).sin_port)};
        serve();
    }
    SilencingServer(const SilencingServer&) = delete;
    SilencingServer& operator=(const SilencingServer&) = delete;
    ~SilencingServer() {
        m_loop.cancel(m_timer);
        for (const int connection : m_connections) {
            close(connection);
        }
        close(m_listener);
    }

    const Address& getAddress() const { return m_address; }
    /** Lets all open connections fall silent; they stay open. */
    void silence() { m_silenced = m_connections.size(); }

private:
    void serve() {
        const int connection = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (connection >= 0) {
            m_connections.push_back(connection);
        }
        for (std::size_t i = m_silenced; i < m_connections.size(); ++i) {
            std::array<char, 4096> request{};
            if (recv(m_connections[i], request.data(), request.size(), 0) > 0) {
                constexpr std::string_view ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                send(m_connections[i], ANSWER.data(), ANSWER.size(), MSG_NOSIGNAL);
            }
        }
        m_timer = m_loop.callLater(Millis(2), [this] { serve(); });
    }

    EventLoop& m_loop;
    int m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    std::vector<int> m_connections;
    std::size_t m_silenced = 0;
    TimerId m_timer = TimerId::NONE;
    Address m_address;
};

class HttpClientTest : public GlibFixture {
protected:
    HttpClient m_client;
};

TEST_F(HttpClientTest, TimesOutWhileConnecting) {
    const UnreachableServer server;
    HttpCall call;
    call.m_address = server.getAddress();
    call.m_timeout = Millis(50);
    std::optional<HttpResult> answer;
    m_client.send(call, [&](const HttpResult& result) {
        answer = result;
        m_loop.quit();
    });
    // TCP resends the first packet of a connection after one second.
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
 * A gateway behind a link of 10 Mbit/s could not receive a configuration of more than 1.2 MB: each
 * read timed out after one second, when most of the response had arrived.
 */
TEST_F(HttpClientTest, ExtendsTheTimeoutByTheLengthOfTheBody) {
    constexpr std::size_t SIZE = 200'000;
    const PausingServer server(m_loop, SIZE);
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

TEST_F(HttpClientTest, TimesOutWhenTheBodyStalls) {
    PausingServer server(m_loop, 50'000);
    server.m_sendsSecondHalf = false;
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

/** Each idle connection that fell silent would otherwise cost the time of another timeout. */
TEST_F(HttpClientTest, UsesNoIdleConnectionOnceTheConnectionsOfAServerAreDiscarded) {
    SilencingServer server(m_loop);
    const auto callTimes = [&](std::size_t count, Millis timeout) {
        std::vector<std::uint32_t> statuses;
        for (std::size_t i = 0; i < count; ++i) {
            HttpCall call;
            call.m_address = server.getAddress();
            call.m_timeout = timeout;
            m_client.send(call, [&](const HttpResult& result) {
                statuses.push_back(result.m_status);
                if (statuses.size() == count) {
                    m_loop.quit();
                }
            });
        }
        run();
        return statuses;
    };
    constexpr Millis LONG{5000};
    EXPECT_EQ(callTimes(3, LONG), (std::vector<std::uint32_t>{200, 200, 200}));
    server.silence();
    EXPECT_EQ(callTimes(1, Millis(50)), std::vector<std::uint32_t>{0});
    EXPECT_EQ(callTimes(1, Millis(50)), std::vector<std::uint32_t>{0});
    m_client.discardConnections(server.getAddress());
    EXPECT_EQ(callTimes(1, LONG), std::vector<std::uint32_t>{200});
}

}  // namespace
}  // namespace pierbank::testing
