// SPDX-License-Identifier: Apache-2.0
#include "pierbank/http/HttpClient.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <utility>

#include "pierbank/http/HttpHeaders.h"

namespace pierbank {

namespace {

/** libsoup's own limits are 10 connections in all and 2 a host. */
constexpr int MAX_CONNECTIONS = 512;
/**
 * A body may take its announced length at this rate beyond the call's time. A configuration of
 * thousands of routes took longer over a narrow link than small answers may, each time, and its
 * gateway never learnt a new version.
 */
constexpr goffset LEAST_BYTES_PER_MILLI = 250;

/** What one call carries from send() until libsoup has let go of it. */
struct Pending {
    /** Empty once the caller has its outcome. */
    HttpClient::Callback m_done;
    SoupMessage* m_message = nullptr;
    GCancellable* m_cancellable = g_cancellable_new();
    Millis m_timeout{0};
    guint m_timer = 0;

    Pending() = default;
    Pending(const Pending&) = delete;
    Pending& operator=(const Pending&) = delete;
    ~Pending() {
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
 * The caller hears at once. libsoup ends a cancelled call whose connection has fallen silent only
 * after 0.6 to 0.9 s more, as seen on a host that was cut off from the store.
 */
gboolean onTimeout(gpointer data) {
    auto* pending = static_cast<Pending*>(data);
    pending->m_timer = 0;
    HttpResult outcome;
    outcome.m_reason = "no answer in time";
    const HttpClient::Callback done = std::exchange(pending->m_done, nullptr);
    // May free what is pending.
    g_cancellable_cancel(pending->m_cancellable);
    done(outcome);
    return G_SOURCE_REMOVE;
}

/** The answer has begun: a large one gets the time that its length takes. */
void onHeaders(SoupMessage* message, gpointer data) {
    auto* pending = static_cast<Pending*>(data);
    SoupMessageHeaders* headers = soup_message_get_response_headers(message);
    const bool isAnnounced =
            soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
    if (pending->m_timer == 0 || !isAnnounced) {
        return;
    }
    constexpr goffset MOST_BYTES = 4 * 1024 * 1024;
    const goffset bytes =
            std::clamp<goffset>(soup_message_headers_get_content_length(headers), 0, MOST_BYTES);
    const Millis more(bytes / LEAST_BYTES_PER_MILLI);
    if (more > Millis(0)) {
        g_source_remove(pending->m_timer);
        const auto time = static_cast<guint>((pending->m_timeout + more).count());
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

/** libsoup takes the end of the connection for the end of the body, whatever was announced. */
bool isCutShort(SoupMessageHeaders* headers, gsize size, SoupMessage* message) {
    const bool hasBody = g_strcmp0(soup_message_get_method(message), "HEAD") != 0;
    return hasBody && soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH &&
           soup_message_headers_get_content_length(headers) != static_cast<goffset>(size);
}

void finishSend(GObject* session, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<Pending> pending(static_cast<Pending*>(data));
    HttpResult outcome;
    GError* error = nullptr;
    GBytes* body = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
    if (pending->m_done == nullptr) {
        // Its time was over before.
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
        if (isCutShort(headers, size, pending->m_message)) {
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

struct HttpClient::Detail {
    SoupSession* m_session = soup_session_new_with_options(
            "max-conns", MAX_CONNECTIONS, "max-conns-per-host", MAX_CONNECTIONS, nullptr);
};

HttpClient::HttpClient() : m_detail(std::make_unique<Detail>()) {
    // Without this GIO loads a proxy module, which reads the desktop's settings.
    soup_session_set_proxy_resolver(m_detail->m_session, nullptr);
}

HttpClient::~HttpClient() {
    soup_session_abort(m_detail->m_session);
    g_object_unref(m_detail->m_session);
}

void HttpClient::send(const HttpCall& call, Callback done) {
    auto pending = std::make_unique<Pending>();
    pending->m_done = std::move(done);
    const std::string uri = "http://" + call.m_address.toText() + call.m_target;
    pending->m_message = soup_message_new(call.m_method.c_str(), uri.c_str());
    if (pending->m_message == nullptr) {
        auto* idle = pending.release();
        g_idle_add_once(
                [](gpointer data) {
                    const std::unique_ptr<Pending> failed(static_cast<Pending*>(data));
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
    if (call.m_mayRepeat) {
        // Without this flag libsoup opens a new connection for each POST and keeps the old ones.
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
    g_signal_connect(message, "got-headers", G_CALLBACK(&onHeaders), pending.get());
    GCancellable* cancellable = pending->m_cancellable;
    soup_session_send_and_read_async(m_detail->m_session, message, G_PRIORITY_DEFAULT, cancellable,
                                     &finishSend, pending.release());
}

std::string escapeUri(std::string_view text) {
    const std::string owned(text);
    gchar* escaped = g_uri_escape_string(owned.c_str(), "/", FALSE);
    std::string result(escaped);
    g_free(escaped);
    return result;
}

}  // namespace pierbank
