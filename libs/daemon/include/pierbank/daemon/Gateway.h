// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_DAEMON_GATEWAY_H
#define PIERBANK_DAEMON_GATEWAY_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "pierbank/control/JobCore.h"
#include "pierbank/daemon/GatewaySettings.h"
#include "pierbank/http/HttpServer.h"
#include "pierbank/operators/JobBackend.h"
#include "pierbank/store/CountingStore.h"

namespace pierbank {

/** Names of the HTTP headers of callers' requests. */
struct CallerHeaders {
    /** Header with the API key of an organisation. */
    std::string m_apiKey;
    /** Header with the time that the caller waits for the answer, in milliseconds. */
    std::string m_timeout;
};

/**
 * Gateway process. Every gateway answers callers' requests and operators' statements. The gateway
 * that holds the leader key also schedules the jobs. Owned by main(); runs on the event loop.
 */
class Gateway {
public:
    /** The references must outlive the gateway. */
    Gateway(const PlatformPorts& platform, EventLoop& loop, Transport& transport,
            HttpClient& client, CallerHeaders headers, GatewaySettings settings);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /**
     * Starts to listen at all addresses and to compete for the leadership.
     * @return false with `reason` when an address cannot be used.
     */
    bool start(Reason& reason);
    /**
     * Begins a planned stop: releases the leadership, answers the pending requests, and calls
     * `done` once, at the latest after GatewaySettings::m_drainTimeout. Has no effect on later
     * calls.
     */
    void shutDown(std::function<void()> done);

private:
    void handleCallerRequest(const HttpServerRequest& request,
                             const std::shared_ptr<HttpServerCall>& call);
    void handleReadinessCheck(const std::shared_ptr<HttpServerCall>& call) const;
    void awaitPendingRequests();

    EventLoop& m_loop;
    const CallerHeaders m_headers;
    const GatewaySettings m_settings;
    CountingStore m_store;
    JobCore m_core;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    JobBackend::CallerStatistics m_callers;
    JobBackend m_backend;
    OperatorServer m_operators;
    std::size_t m_pendingRequests = 0;
    bool m_isShuttingDown = false;
    bool m_hasStoppedListening = false;
    std::function<void()> m_onShutDown;
};

}  // namespace pierbank

#endif  // PIERBANK_DAEMON_GATEWAY_H
