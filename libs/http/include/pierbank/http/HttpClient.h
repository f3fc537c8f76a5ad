// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_HTTP_HTTPCLIENT_H
#define PIERBANK_HTTP_HTTPCLIENT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pierbank/base/Address.h"
#include "pierbank/base/Clock.h"
#include "pierbank/http/HttpHeaders.h"

namespace pierbank {

/** HTTP request of a client. */
struct HttpCall {
    std::string m_method = "GET";
    Address m_address;
    /** Path and query, already escaped. */
    std::string m_target = "/";
    std::vector<HttpHeader> m_headers;
    std::string m_body;
    /** Time limit of the whole call. A long body extends the limit; see HttpClient. */
    Millis m_timeout{1000};
    /**
     * Whether the server may receive the request twice without harm. libsoup resends an idempotent
     * request without notice when a persistent connection drops. Other requests therefore use a new
     * connection, which is closed after the response.
     */
    bool m_isIdempotent = true;
};

/** Result of an HttpCall. The status is zero when no complete response was received. */
struct HttpResult {
    std::uint32_t m_status = 0;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
    /** With a status of zero: description of the failure. */
    std::string m_reason;
    /** With a status of zero: the server cannot have received the request. */
    bool m_isRefused = false;

    /** Returns the first header with this name, ignoring case, or an empty text. */
    std::string getHeader(std::string_view name) const;
};

/**
 * HTTP client on libsoup. Runs on the main context of GLib.
 *
 * A response with a Content-Length may exceed the timeout of its call by the time that its body
 * takes at 250 bytes per millisecond. At most 4 MiB of the body are counted.
 */
class HttpClient {
public:
    using Callback = std::function<void(const HttpResult&)>;

    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /** Sends a request. `done` is called once, in a later iteration of the loop. */
    void send(const HttpCall& call, Callback done);
    /**
     * Makes later calls to a server use no connection that is open now. Calls in progress go on.
     * For a server of which a connection fell silent: the idle ones may be as silent, and each
     * would cost another timeout.
     */
    void discardConnections(const Address& server);

private:
    struct Detail;
    std::unique_ptr<Detail> m_detail;
};

/** Percent-encodes a text for the path or query of a URI. Slashes are not encoded. */
std::string escapeUri(std::string_view text);

}  // namespace pierbank

#endif  // PIERBANK_HTTP_HTTPCLIENT_H
