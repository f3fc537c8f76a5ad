// SPDX-License-Identifier: Apache-2.0
#include "pierbank/http/HttpServer.h"

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <map>
#include <utility>

#include "GuardedStream.h"
#include "pierbank/http/HttpHeaders.h"
#include "pierbank/http/HttpStatus.h"

namespace pierbank {

namespace {

/** HttpServerCall for a message of libsoup, which stays paused until the response. */
class SoupCall final : public HttpServerCall, public std::enable_shared_from_this<SoupCall> {
public:
    /** @param server expires with the server, which also finishes its messages. */
    SoupCall(SoupServerMessage* message, std::weak_ptr<bool> server)
            : m_message(message), m_server(std::move(server)) {
        g_object_ref(m_message);
    }
    ~SoupCall() override {
        if (m_finishedHandler != 0) {
            g_signal_handler_disconnect(m_message, m_finishedHandler);
        }
        if (!m_isAnswered && !m_isDisconnected && !m_server.expired()) {
            // The handler has dropped the call. Without a response, the connection would hang.
            soup_server_message_set_status(m_message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
            soup_server_message_unpause(m_message);
        }
        g_object_unref(m_message);
    }
    SoupCall(const SoupCall&) = delete;
    SoupCall& operator=(const SoupCall&) = delete;

    void pause() {
        soup_server_message_pause(m_message);
        m_finishedHandler =
                g_signal_connect(m_message, "finished", G_CALLBACK(&SoupCall::onFinished), this);
    }

    void answer(const HttpServerAnswer& answer) override {
        if (m_isAnswered || m_isDisconnected || m_server.expired()) {
            return;
        }
        m_isAnswered = true;
        soup_server_message_set_status(m_message, answer.m_status, nullptr);
        SoupMessageHeaders* headers = soup_server_message_get_response_headers(m_message);
        for (const HttpHeader& header : answer.m_headers) {
            soup_message_headers_append(headers, header.m_name.c_str(), header.m_value.c_str());
        }
        if (!answer.m_body.empty()) {
            soup_message_body_append(soup_server_message_get_response_body(m_message),
                                     SOUP_MEMORY_COPY, answer.m_body.data(), answer.m_body.size());
        }
        soup_server_message_unpause(m_message);
    }

    void onDisconnect(std::function<void()> callback) override {
        m_onDisconnect = std::move(callback);
    }

private:
    static void onFinished(SoupServerMessage*, gpointer data) {
        const auto self = static_cast<SoupCall*>(data)->shared_from_this();
        if (self->m_isAnswered) {
            return;
        }
        self->m_isDisconnected = true;
        if (self->m_onDisconnect) {
            std::exchange(self->m_onDisconnect, nullptr)();
        }
    }

    SoupServerMessage* m_message;
    std::weak_ptr<bool> m_server;
    gulong m_finishedHandler = 0;
    std::function<void()> m_onDisconnect;
    bool m_isAnswered = false;
    bool m_isDisconnected = false;
};

HttpServerRequest readRequest(SoupServerMessage* message) {
    HttpServerRequest request;
    request.m_method = soup_server_message_get_method(message);
    GUri* uri = soup_server_message_get_uri(message);
    request.m_target = g_uri_get_path(uri);
    const char* query = g_uri_get_query(uri);
    if (query != nullptr) {
        request.m_target += std::string("?") + query;
    }
    SoupMessageHeadersIter iterator;
    soup_message_headers_iter_init(&iterator, soup_server_message_get_request_headers(message));
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
        request.m_headers.push_back({name, value});
    }
    const SoupMessageBody* body = soup_server_message_get_request_body(message);
    request.m_body.assign(body->data == nullptr ? "" : body->data,
                          static_cast<std::size_t>(body->length));
    return request;
}

/** Returns all values of a header as a comma-separated list, or an empty text. */
std::string getCombinedHeader(SoupServerMessage* message, const char* name) {
    const char* value =
            soup_message_headers_get_list(soup_server_message_get_request_headers(message), name);
    return value == nullptr ? std::string() : value;
}

/**
 * Returns the status with which a request is rejected because of its headers, or zero. The length
 * of a request must be unambiguous, because a proxy that determines another length would allow
 * request smuggling.
 */
std::uint32_t getRejectionStatus(SoupServerMessage* message) {
    const std::string length = getCombinedHeader(message, "Content-Length");
    const bool isAmbiguous =
            !length.empty() && !getCombinedHeader(message, "Transfer-Encoding").empty();
    if (isAmbiguous || length.find(',') != std::string::npos) {
        return HTTP_BAD_REQUEST;
    }
    return 0;
}

}  // namespace

std::string_view HttpServerRequest::getHeader(std::string_view name) const {
    return findHeader(m_headers, name);
}

struct HttpServer::Detail {
    SoupServer* m_server = soup_server_new("server-header", nullptr, "raw-paths", TRUE, nullptr);
    GSocketService* m_service = nullptr;
    Handler m_handler;
    const HeadLimits m_limits;
    /** Input of each open connection, by the remote address object that was passed to libsoup. */
    std::map<GSocketAddress*, GInputStream*> m_inputs;

    explicit Detail(const HeadLimits& limits) : m_limits(limits) {}

    GInputStream* findInput(SoupServerMessage* message) const {
        const auto found = m_inputs.find(soup_server_message_get_remote_address(message));
        return found == m_inputs.end() ? nullptr : found->second;
    }

    static void onStarted(SoupServer*, SoupServerMessage* message, gpointer data) {
        GInputStream* const input = static_cast<Detail*>(data)->findInput(message);
        if (input != nullptr) {
            beginHead(input);
            g_signal_connect_object(message, "got-headers", G_CALLBACK(&Detail::onHead), input,
                                    GConnectFlags(0));
        }
    }

    static void onHead(SoupServerMessage*, gpointer input) {
        endHead(static_cast<GInputStream*>(input));
    }

    static void onRequest(SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
                          gpointer data) {
        auto* const self = static_cast<Detail*>(data);
        const auto call = std::make_shared<SoupCall>(message, self->m_isAlive);
        call->pause();
        const std::uint32_t rejection = getRejectionStatus(message);
        if (rejection != 0) {
            call->answer({rejection, {{"Connection", "close"}}, ""});
            return;
        }
        self->m_handler(readRequest(message), call);
    }

    static gboolean onIncoming(GSocketService*, GSocketConnection* connection, GObject*,
                               gpointer data) {
        static_cast<Detail*>(data)->accept(connection);
        return TRUE;
    }

    void accept(GSocketConnection* connection) {
        GSocket* const socket = g_socket_connection_get_socket(connection);
        // Nagle's algorithm would delay the responses, which are small.
        g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
        GSocketAddress* const local = g_socket_connection_get_local_address(connection, nullptr);
        GSocketAddress* const remote = g_socket_connection_get_remote_address(connection, nullptr);
        if (local != nullptr && remote != nullptr) {
            GInputStream* const input = makeGuardedStream(connection, m_limits);
            GIOStream* const stream = g_simple_io_stream_new(
                    input, g_io_stream_get_output_stream(G_IO_STREAM(connection)));
            m_inputs[remote] = input;
            g_object_weak_ref(G_OBJECT(input), &Detail::onInputFinalized,
                              new InputReference{this, remote, m_isAlive});
            soup_server_accept_iostream(m_server, stream, local, remote, nullptr);
            g_object_unref(stream);
            g_object_unref(input);
        }
        if (local != nullptr) {
            g_object_unref(local);
        }
        if (remote != nullptr) {
            g_object_unref(remote);
        }
    }

    static void onInputFinalized(gpointer data, GObject*) {
        const std::unique_ptr<InputReference> reference(static_cast<InputReference*>(data));
        if (!reference->m_isAlive.expired()) {
            reference->m_detail->m_inputs.erase(reference->m_remote);
        }
    }

    /** Data of the weak reference to an input. */
    struct InputReference {
        Detail* m_detail;
        GSocketAddress* m_remote;
        std::weak_ptr<bool> m_isAlive;
    };
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

HttpServer::HttpServer(Handler handler) : HttpServer(std::move(handler), HeadLimits()) {}

HttpServer::HttpServer(Handler handler, const HeadLimits& limits)
        : m_detail(std::make_unique<Detail>(limits)) {
    m_detail->m_handler = std::move(handler);
    g_signal_connect(m_detail->m_server, "request-started", G_CALLBACK(&Detail::onStarted),
                     m_detail.get());
    soup_server_add_handler(m_detail->m_server, nullptr, &Detail::onRequest, m_detail.get(),
                            nullptr);
}

HttpServer::~HttpServer() {
    m_detail->m_isAlive.reset();
    stopListening();
    soup_server_disconnect(m_detail->m_server);
    g_object_unref(m_detail->m_server);
}

bool HttpServer::listen(const Address& address, Reason& reason) {
    stopListening();
    m_detail->m_service = g_socket_service_new();
    GSocketAddress* const socketAddress =
            g_inet_socket_address_new_from_string(address.m_host.c_str(), address.m_port);
    GError* error = nullptr;
    const gboolean isListening = g_socket_listener_add_address(
            G_SOCKET_LISTENER(m_detail->m_service), socketAddress, G_SOCKET_TYPE_STREAM,
            G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &error);
    g_object_unref(socketAddress);
    if (isListening == FALSE) {
        reason = error->message;
        g_error_free(error);
        stopListening();
        return false;
    }
    g_signal_connect(m_detail->m_service, "incoming", G_CALLBACK(&Detail::onIncoming),
                     m_detail.get());
    g_socket_service_start(m_detail->m_service);
    return true;
}

void HttpServer::stopListening() {
    if (m_detail->m_service == nullptr) {
        return;
    }
    g_signal_handlers_disconnect_by_data(m_detail->m_service, m_detail.get());
    g_socket_service_stop(m_detail->m_service);
    g_socket_listener_close(G_SOCKET_LISTENER(m_detail->m_service));
    g_clear_object(&m_detail->m_service);
}

}  // namespace pierbank
