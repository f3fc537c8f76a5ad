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

}  // namespace
}  // namespace pierbank::testing
