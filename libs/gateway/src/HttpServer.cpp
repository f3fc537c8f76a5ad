// SPDX-License-Identifier: Apache-2.0
#include "pierbank/gateway/HttpServer.h"

#include <libsoup/soup.h>

#include <cstring>
#include <utility>

#include "pierbank/wire/HttpHeaders.h"

namespace pierbank {

namespace {

/** HttpServerCall on a paused libsoup message. */
class SoupCall final : public HttpServerCall, public std::enable_shared_from_this<SoupCall> {
public:
    explicit SoupCall(SoupServerMessage* message) : m_message(message) { g_object_ref(m_message); }
    ~SoupCall() override {
        if (m_finished != 0) {
            g_signal_handler_disconnect(m_message, m_finished);
        }
        if (!m_isAnswered && !m_isGone) {
            // Nobody will answer any more: an error is better than a hanging connection.
            soup_server_message_set_status(m_message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
            soup_server_message_unpause(m_message);
        }
        g_object_unref(m_message);
    }
    SoupCall(const SoupCall&) = delete;
    SoupCall& operator=(const SoupCall&) = delete;

    void pause() {
        soup_server_message_pause(m_message);
        m_finished =
                g_signal_connect(m_message, "finished", G_CALLBACK(&SoupCall::onFinished), this);
    }

    void answer(const HttpServerAnswer& answer) override {
        if (m_isAnswered || m_isGone) {
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

    void onGone(std::function<void()> callback) override { m_onGone = std::move(callback); }

private:
    static void onFinished(SoupServerMessage*, gpointer data) {
        const auto self = static_cast<SoupCall*>(data)->shared_from_this();
        if (self->m_isAnswered) {
            return;
        }
        self->m_isGone = true;
        if (self->m_onGone) {
            std::exchange(self->m_onGone, nullptr)();
        }
    }

    SoupServerMessage* m_message;
    gulong m_finished = 0;
    std::function<void()> m_onGone;
    bool m_isAnswered = false;
    bool m_isGone = false;
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

/** Head of a request, names and values together, beyond which it is refused. */
constexpr std::size_t MAX_HEAD_BYTES = 16384;

/** What a header holds, however often it was given; empty when it is missing. */
std::string getAll(SoupServerMessage* message, const char* name) {
    const char* value =
            soup_message_headers_get_list(soup_server_message_get_request_headers(message), name);
    return value == nullptr ? std::string() : value;
}

/**
 * The status with which a request is refused unread; zero for none. Where a request ends must not
 * be a matter of opinion: another party on the way may think otherwise.
 */
std::uint32_t refuseHead(SoupServerMessage* message) {
    constexpr std::uint32_t BAD_REQUEST = 400;
    constexpr std::uint32_t HEAD_TOO_LARGE = 431;
    const std::string length = getAll(message, "Content-Length");
    const bool isAmbiguous = !length.empty() && !getAll(message, "Transfer-Encoding").empty();
    if (isAmbiguous || length.find(',') != std::string::npos) {
        return BAD_REQUEST;
    }
    std::size_t bytes = 0;
    SoupMessageHeadersIter iterator;
    soup_message_headers_iter_init(&iterator, soup_server_message_get_request_headers(message));
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
        bytes += std::strlen(name) + std::strlen(value);
    }
    return bytes > MAX_HEAD_BYTES ? HEAD_TOO_LARGE : 0;
}

}  // namespace

std::string_view HttpServerRequest::getHeader(std::string_view name) const {
    return findHeader(m_headers, name);
}

struct HttpServer::Detail {
    SoupServer* m_server = soup_server_new("server-header", nullptr, "raw-paths", TRUE, nullptr);
    Handler m_handler;

    static void onRequest(SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
                          gpointer data) {
        const auto call = std::make_shared<SoupCall>(message);
        call->pause();
        const std::uint32_t refusal = refuseHead(message);
        if (refusal != 0) {
            call->answer({refusal, {{"Connection", "close"}}, ""});
            return;
        }
        static_cast<Detail*>(data)->m_handler(readRequest(message), call);
    }
};

HttpServer::HttpServer(Handler handler) : m_detail(std::make_unique<Detail>()) {
    m_detail->m_handler = std::move(handler);
    soup_server_add_handler(m_detail->m_server, nullptr, &Detail::onRequest, m_detail.get(),
                            nullptr);
}

HttpServer::~HttpServer() {
    soup_server_disconnect(m_detail->m_server);
    g_object_unref(m_detail->m_server);
}

bool HttpServer::listen(const Address& address, Reason& reason) {
    GSocketAddress* socketAddress =
            g_inet_socket_address_new_from_string(address.m_host.c_str(), address.m_port);
    GError* error = nullptr;
    const gboolean isListening = soup_server_listen(m_detail->m_server, socketAddress,
                                                    SoupServerListenOptions(0), &error);
    g_object_unref(socketAddress);
    if (isListening == FALSE) {
        reason = error->message;
        g_error_free(error);
        return false;
    }
    return true;
}

void HttpServer::stopListening() {
    for (GSList* listener = soup_server_get_listeners(m_detail->m_server); listener != nullptr;
         listener = g_slist_delete_link(listener, listener)) {
        g_socket_close(G_SOCKET(listener->data), nullptr);
    }
}

}  // namespace pierbank
