// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_GATEWAY_CALLERSERVER_H
#define PIERBANK_GATEWAY_CALLERSERVER_H

#include <memory>

#include "pierbank/base/EventLoop.h"
#include "pierbank/gateway/GatewayCore.h"
#include "pierbank/gateway/HttpServer.h"

namespace pierbank {

/** The callers' side: `/SERVICE/PATH`, any method and body, becomes an exchange for the filters. */
class CallerServer {
public:
    /** The references must outlive the server. */
    CallerServer(EventLoop& loop, GatewayCore& core);

    bool listen(const Address& address, Reason& reason) { return m_server.listen(address, reason); }
    void stopListening() { m_server.stopListening(); }

private:
    void handle(const HttpServerRequest& request, const std::shared_ptr<HttpServerCall>& call);

    EventLoop& m_loop;
    GatewayCore& m_core;
    HttpServer m_server;
};

/** Splits `/SERVICE/PATH?QUERY`; headers of one connection only are left out. */
CallerRequest makeCallerRequest(const HttpServerRequest& request);

/** The HTTP form of an answer; the system's own are `application/problem+json` (RFC 9457). */
HttpServerAnswer makeHttpAnswer(const CallerAnswer& answer);

}  // namespace pierbank

#endif  // PIERBANK_GATEWAY_CALLERSERVER_H
