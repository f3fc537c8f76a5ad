// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_HTTP_HTTPSERVER_H
#define PIERBANK_HTTP_HTTPSERVER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Address.h"
#include "pierbank/base/Clock.h"
#include "pierbank/base/Findings.h"
#include "pierbank/http/HttpHeaders.h"

namespace pierbank {

/** Request that an HttpServer has received. */
struct HttpServerRequest {
    std::string m_method;
    /** Path and query, not unescaped. */
    std::string m_target;
    std::vector<HttpHeader> m_headers;
    std::string m_body;

    /** Returns the first header with this name, ignoring case, or an empty text. */
    std::string_view getHeader(std::string_view name) const;
};

/** Response to an HttpServerRequest. */
struct HttpServerAnswer {
    std::uint32_t m_status = 200;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
};

/**
 * Pending request. The handler keeps the call until it responds. A call that is destroyed without a
 * response is answered with status 500.
 */
class HttpServerCall {
public:
    virtual ~HttpServerCall() = default;

    /** Sends the response. Has no effect on later calls and after the client has disconnected. */
    virtual void answer(const HttpServerAnswer& answer) = 0;
    /** Sets the callback for a client that disconnects before the response. */
    virtual void onDisconnect(std::function<void()> callback) = 0;
};

/** Limits on the head of a request, which consists of the request line and the headers. */
struct HeadLimits {
    /** Maximum size in bytes. A larger head is answered with status 431. */
    std::size_t m_maxBytes = 16'384;
    /** Maximum time from the first byte to the end of the head, beyond which status 408 is sent. */
    Millis m_timeout{5000};
};

/**
 * HTTP server on libsoup, with one handler for all paths. Runs on the main context of GLib. A
 * request whose headers define its length ambiguously is answered with status 400, and its
 * connection is closed.
 */
class HttpServer {
public:
    using Handler =
            std::function<void(const HttpServerRequest&, const std::shared_ptr<HttpServerCall>&)>;

    /** Creates a server with the default limits. @param handler is called for each request. */
    explicit HttpServer(Handler handler);
    HttpServer(Handler handler, const HeadLimits& limits);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** Starts to listen. @return false with `reason` when the address cannot be used. */
    bool listen(const Address& address, Reason& reason);

    /** Closes the listening socket. Requests in progress are not affected. */
    void stopListening();

private:
    struct Detail;
    std::unique_ptr<Detail> m_detail;
};

}  // namespace pierbank

#endif  // PIERBANK_HTTP_HTTPSERVER_H
