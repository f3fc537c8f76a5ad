// SPDX-License-Identifier: Apache-2.0
#include "pierbank/http/HttpClient.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <map>
#include <utility>

#include "pierbank/http/HttpHeaders.h"

namespace pierbank {

namespace {

/** Replaces the defaults of libsoup: 10 connections in total, and 2 for each host. */
constexpr int MAX_CONNECTIONS = 512;
/**
 * Minimum rate at which a body must arrive. The body of a response extends the timeout of the call
 * by its Content-Length divided by this rate. Without the extension, a configuration of thousands
 * of routes exceeded the timeout at each attempt over a narrow link, and the gateway never received
 * a new version.
 */
constexpr goffset MIN_BYTES_PER_MILLI = 250;

/** State of a call from send() until libsoup finishes the call. */
struct PendingCall {
    /** Callback for the result; empty after the callback was called. */
    HttpClient::Callback m_done;
    SoupMessage* m_message = nullptr;
    GCancellable* m_cancellable = g_cancellable_new();
    Millis m_timeout{0};
    guint m_timer = 0;

    PendingCall() = default;
    PendingCall(const PendingCall&) = delete;
    PendingCall& operator=(const PendingCall&) = delete;
    ~PendingCall() {
        if (m_timer != 0) {
            g_source_remove(m_timer);
        }
        g_object_unref(m_cancellable);
        if (m_message != nullptr) {
            g_signal_handlers_disconnect_by_data(m_message, this);
        }
        g_clear_object(&m_message);
    }
};

/**
 * Reports the timeout to the caller immediately. If the network drops all packets, libsoup finishes
 * a cancelled call only after another 0.6 to 0.9 s.
 */
gboolean onTimeout(gpointer data) {
    auto* pending = static_cast<PendingCall*>(data);
    pending->m_timer = 0;
    HttpResult outcome;
    outcome.m_reason = "no answer in time";
    const HttpClient::Callback done = std::exchange(pending->m_done, nullptr);
    // May delete `pending`.
    g_cancellable_cancel(pending->m_cancellable);
    done(outcome);
    return G_SOURCE_REMOVE;
}

/** Extends the timeout by the time that the body takes at MIN_BYTES_PER_MILLI. */
void extendTimeout(SoupMessage* message, gpointer data) {
    auto* pending = static_cast<PendingCall*>(data);
    SoupMessageHeaders* headers = soup_message_get_response_headers(message);
    const bool hasContentLength =
            soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
    if (pending->m_timer == 0 || !hasContentLength) {
        return;
    }
    constexpr goffset MAX_COUNTED_BYTES = 4 * 1024 * 1024;
    const goffset bytes = std::clamp<goffset>(soup_message_headers_get_content_length(headers), 0,
                                              MAX_COUNTED_BYTES);
    const Millis extension(bytes / MIN_BYTES_PER_MILLI);
    if (extension > Millis(0)) {
        g_source_remove(pending->m_timer);
        const auto time = static_cast<guint>((pending->m_timeout + extension).count());
        pending->m_timer = g_timeout_add(time, &onTimeout, pending);
    }
}

void readHeaders(SoupMessage* message, std::vector<HttpHeader>& headers) {
    SoupMessageHeadersIter iterator;
    soup_message_headers_iter_init(&iterator, soup_message_get_response_headers(message));
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
        headers.push_back({name, value});
    }
}

/**
 * Returns whether a body is shorter than its Content-Length. libsoup treats the end of the
 * connection as the end of the body.
 */
bool isTruncated(SoupMessageHeaders* headers, gsize size, SoupMessage* message) {
    const bool hasBody = g_strcmp0(soup_message_get_method(message), "HEAD") != 0;
    return hasBody && soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH &&
           soup_message_headers_get_content_length(headers) != static_cast<goffset>(size);
}

void finishSend(GObject* session, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<PendingCall> pending(static_cast<PendingCall*>(data));
    HttpResult outcome;
    GError* error = nullptr;
    GBytes* body = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
    if (pending->m_done == nullptr) {
        // onTimeout() has already reported the result.
        g_clear_error(&error);
        g_clear_pointer(&body, &g_bytes_unref);
        return;
    }
    if (body == nullptr) {
        outcome.m_reason = error->message;
        outcome.m_isRefused =
                g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != FALSE;
        g_error_free(error);
    } else {
        gsize size = 0;
        SoupMessageHeaders* headers = soup_message_get_response_headers(pending->m_message);
        const auto* bytes = static_cast<const char*>(g_bytes_get_data(body, &size));
        outcome.m_body.assign(bytes == nullptr ? "" : bytes, size);
        outcome.m_status = soup_message_get_status(pending->m_message);
        readHeaders(pending->m_message, outcome.m_headers);
        g_bytes_unref(body);
        if (isTruncated(headers, size, pending->m_message)) {
            outcome = HttpResult();
            outcome.m_reason = "the answer was cut short";
        }
    }
    pending->m_done(outcome);
}

}  // namespace

std::string HttpResult::getHeader(std::string_view name) const {
    return std::string(findHeader(m_headers, name));
}

namespace {

SoupSession* makeSession() {
    SoupSession* session = soup_session_new_with_options(
            "max-conns", MAX_CONNECTIONS, "max-conns-per-host", MAX_CONNECTIONS, nullptr);
    // Prevents GIO from loading a proxy module, which reads the settings of the desktop.
    soup_session_set_proxy_resolver(session, nullptr);
    return session;
}

/** Owner of a session, which keeps the idle connections. */
using SessionPtr = std::unique_ptr<SoupSession, decltype(&g_object_unref)>;

}  // namespace

struct HttpClient::Detail {
    SessionPtr m_session{makeSession(), &g_object_unref};
    /** Sessions of servers whose connections were discarded, by the server's address. */
    std::map<std::string, SessionPtr> m_replacements;

    SoupSession* getSession(const std::string& server) const {
        const auto found = m_replacements.find(server);
        return found == m_replacements.end() ? m_session.get() : found->second.get();
    }
};

HttpClient::HttpClient() : m_detail(std::make_unique<Detail>()) {}

HttpClient::~HttpClient() {
    soup_session_abort(m_detail->m_session.get());
    for (const auto& [server, session] : m_detail->m_replacements) {
        soup_session_abort(session.get());
    }
}

void HttpClient::discardConnections(const Address& server) {
    // A call in progress holds a reference to its session.
    m_detail->m_replacements.insert_or_assign(server.toText(),
                                              SessionPtr(makeSession(), &g_object_unref));
}

void HttpClient::send(const HttpCall& call, Callback done) {
    auto pending = std::make_unique<PendingCall>();
    pending->m_done = std::move(done);
    const std::string server = call.m_address.toText();
    const std::string uri = "http://" + server + call.m_target;
    pending->m_message = soup_message_new(call.m_method.c_str(), uri.c_str());
    if (pending->m_message == nullptr) {
        auto* idle = pending.release();
        g_idle_add_once(
                [](gpointer data) {
                    const std::unique_ptr<PendingCall> failed(static_cast<PendingCall*>(data));
                    HttpResult outcome;
                    outcome.m_reason = "not a valid method or path";
                    outcome.m_isRefused = true;
                    failed->m_done(outcome);
                },
                idle);
        return;
    }
    SoupMessage* message = pending->m_message;
    soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
    if (call.m_isIdempotent) {
        // Without this flag, libsoup opens a new connection for each POST and keeps the old ones.
        soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
    } else {
        soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
        soup_message_headers_append(soup_message_get_request_headers(message), "Connection",
                                    "close");
    }
    for (const HttpHeader& header : call.m_headers) {
        soup_message_headers_append(soup_message_get_request_headers(message),
                                    header.m_name.c_str(), header.m_value.c_str());
    }
    if (!call.m_body.empty()) {
        GBytes* body = g_bytes_new(call.m_body.data(), call.m_body.size());
        soup_message_set_request_body_from_bytes(message, nullptr, body);
        g_bytes_unref(body);
    }
    pending->m_timeout = std::max(call.m_timeout, Millis(1));
    pending->m_timer = g_timeout_add(static_cast<guint>(pending->m_timeout.count()), &onTimeout,
                                     pending.get());
    g_signal_connect(message, "got-headers", G_CALLBACK(&extendTimeout), pending.get());
    GCancellable* cancellable = pending->m_cancellable;
    soup_session_send_and_read_async(m_detail->getSession(server), message, G_PRIORITY_DEFAULT,
                                     cancellable, &finishSend, pending.release());
}

std::string escapeUri(std::string_view text) {
    const std::string owned(text);
    gchar* escaped = g_uri_escape_string(owned.c_str(), "/", FALSE);
    std::string result(escaped);
    g_free(escaped);
    return result;
}

}  // namespace pierbank
