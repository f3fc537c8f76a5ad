// SPDX-License-Identifier: Apache-2.0
#include "pierbank/http/HttpServer.h"

#include <gio/gio.h>

#include <array>
#include <vector>

#include "GlibFixture.h"
#include "pierbank/http/HttpClient.h"

namespace pierbank::testing {
namespace {

/** Malformed or malicious request. */
struct HostileRequest {
    const char* m_name;
    std::string m_bytes;
};

class HttpServerTest : public GlibFixture, public ::testing::WithParamInterface<HostileRequest> {
protected:
    /** Sends raw bytes and closes the connection without reading a response. */
    void sendRaw(const Address& address, const std::string& bytes) {
        GSocketClient* client = g_socket_client_new();
        GSocketConnection* connection = g_socket_client_connect_to_host(
                client, address.m_host.c_str(), address.m_port, nullptr, nullptr);
        ASSERT_NE(connection, nullptr);
        GOutputStream* stream = g_io_stream_get_output_stream(G_IO_STREAM(connection));
        g_output_stream_write_all(stream, bytes.data(), bytes.size(), nullptr, nullptr, nullptr);
        g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
        g_object_unref(connection);
        g_object_unref(client);
    }

    /** Sends a valid request and returns the result. */
    HttpResult sendValidRequest(const Address& address) {
        HttpCall call;
        call.m_address = address;
        call.m_target = "/good";
        HttpResult answer;
        m_client.send(call, [&](const HttpResult& result) {
            answer = result;
            m_loop.quit();
        });
        run();
        return answer;
    }

    HttpClient m_client;
    HttpServer m_server{
            [](const HttpServerRequest& request, const std::shared_ptr<HttpServerCall>& call) {
                call->answer({200, {}, request.m_target});
            }};
};

TEST_P(HttpServerTest, ServesValidRequestsAfterHostileBytes) {
    const Address address = listen(m_server);
    sendRaw(address, GetParam().m_bytes);
    const HttpResult answer = sendValidRequest(address);
    EXPECT_EQ(answer.m_status, 200U);
    EXPECT_EQ(answer.m_body, "/good");
}

INSTANTIATE_TEST_SUITE_P(
        Table, HttpServerTest,
        ::testing::Values(
                HostileRequest{"Nothing", ""}, HostileRequest{"Zeros", std::string(4096, '\0')},
                HostileRequest{"HalfARequestLine", "POST /assess"},
                HostileRequest{"HalfABody",
                               "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab"},
                HostileRequest{"NegativeLength",
                               "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n"},
                HostileRequest{"TwoLengths",
                               "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                               "Content-Length: 2\r\n\r\nab"},
                HostileRequest{"EndlessHeader",
                               "GET / HTTP/1.1\r\nX: " + std::string(200'000, 'x')},
                HostileRequest{
                        "BadChunk",
                        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
                HostileRequest{"BadPath", "GET /%zz\xff\xfe HTTP/1.1\r\nHost: x\r\n\r\n"},
                HostileRequest{"Frame", std::string("\x82\x01\x81\x01", 4)}),
        [](const auto& info) { return info.param.m_name; });

class HttpServerRefusalTest : public HttpServerTest {
protected:
    /** Sends raw bytes and returns the data received until the server closes the connection. */
    std::string exchangeRaw(const Address& address, const std::string& bytes) {
        GSocketClient* client = g_socket_client_new();
        GSocketConnection* connection = g_socket_client_connect_to_host(
                client, address.m_host.c_str(), address.m_port, nullptr, nullptr);
        g_output_stream_write_all(g_io_stream_get_output_stream(G_IO_STREAM(connection)),
                                  bytes.data(), bytes.size(), nullptr, nullptr, nullptr);
        GSocket* socket = g_socket_connection_get_socket(connection);
        g_socket_set_blocking(socket, FALSE);
        std::string answer;
        std::array<char, 4096> buffer{};
        for (gssize count = -1; count != 0;) {
            g_main_context_iteration(nullptr, FALSE);
            GError* error = nullptr;
            count = g_socket_receive(socket, buffer.data(), buffer.size(), nullptr, &error);
            const bool isWaiting =
                    g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
            g_clear_error(&error);
            if (count > 0) {
                answer.append(buffer.data(), static_cast<std::size_t>(count));
            } else if (count < 0 && !isWaiting) {
                break;
            }
        }
        g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
        g_object_unref(connection);
        g_object_unref(client);
        return answer;
    }
};

TEST_P(HttpServerRefusalTest, RejectsAnAmbiguousLengthOrALargeHead) {
    const Address address = listen(m_server);
    const std::string answer = exchangeRaw(address, GetParam().m_bytes);
    const std::string status = GetParam().m_name == std::string("LargeHead") ? "431" : "400";
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + status)) << answer.substr(0, 40);
    EXPECT_EQ(sendValidRequest(address).m_status, 200U);
}

INSTANTIATE_TEST_SUITE_P(
        Table, HttpServerRefusalTest,
        ::testing::Values(HostileRequest{"LengthAndChunks",
                                         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
                          HostileRequest{"TwoLengths",
                                         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
                                         "Content-Length: 1\r\n\r\nab"},
                          HostileRequest{"LargeHead", "GET /a HTTP/1.1\r\nHost: x\r\nX: " +
                                                              std::string(30'000, 'x') +
                                                              "\r\n\r\n"}),
        [](const auto& info) { return info.param.m_name; });

class HttpServerLimitTest : public HttpServerRefusalTest {
protected:
    HttpServer m_strictServer{
            [](const HttpServerRequest&, const std::shared_ptr<HttpServerCall>& call) {
                call->answer(HttpServerAnswer());
            },
            HeadLimits{16'384, Millis(50)}};
};

/** libsoup itself resets the connection of a head that exceeds the limit of libsoup. */
TEST_F(HttpServerLimitTest, ALargeHeadOfAnySizeIsAnsweredWith431) {
    const Address address = listen(m_server);
    for (const std::size_t size : {20'000U, 100'000U, 400'000U}) {
        const std::string answer =
                exchangeRaw(address, "GET /a HTTP/1.1\r\nHost: x\r\nX: " + std::string(size, 'x'));
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 431")) << size << " " << answer.substr(0, 40);
    }
    EXPECT_EQ(sendValidRequest(address).m_status, 200U);
}

TEST_F(HttpServerLimitTest, AnIncompleteHeadIsAnsweredWith408) {
    const Address address = listen(m_strictServer);
    const std::string answer = exchangeRaw(address, "GET /a HTTP/1.1\r\nHost:");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 408")) << answer.substr(0, 40);
}

TEST_F(HttpServerLimitTest, HeadLimitsDoNotApplyToTheBody) {
    const Address address = listen(m_strictServer);
    HttpCall call;
    call.m_method = "POST";
    call.m_address = address;
    call.m_body = std::string(200'000, 'x');
    HttpResult answer;
    m_client.send(call, [&](const HttpResult& result) {
        answer = result;
        m_loop.quit();
    });
    run();
    EXPECT_EQ(answer.m_status, 200U) << answer.m_reason;
}

TEST_F(HttpServerLimitTest, ServesRequestsBeside500IncompleteRequests) {
    const Address address = listen(m_server);
    constexpr int CONNECTIONS = 500;
    std::vector<GSocketConnection*> open;
    GSocketClient* const client = g_socket_client_new();
    for (int i = 0; i < CONNECTIONS; ++i) {
        open.push_back(g_socket_client_connect_to_host(client, address.m_host.c_str(),
                                                       address.m_port, nullptr, nullptr));
        ASSERT_NE(open.back(), nullptr);
        g_output_stream_write_all(g_io_stream_get_output_stream(G_IO_STREAM(open.back())),
                                  "POST /a HTTP/1.1\r\n", 18, nullptr, nullptr, nullptr);
        while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
        }
    }
    EXPECT_EQ(sendValidRequest(address).m_status, 200U);
    for (GSocketConnection* const connection : open) {
        g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
        g_object_unref(connection);
    }
    g_object_unref(client);
    EXPECT_EQ(sendValidRequest(address).m_status, 200U);
}

}  // namespace
}  // namespace pierbank::testing
