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

/** Names of the headers that callers use. */
struct CallerHeaders {
    std::string m_key;
    std::string m_patience;
};

/**
 * A gateway: callers' requests are answered at every gateway, and the one that holds the leader
 * key runs the jobs.
 */
class Gateway {
public:
    /** The references must outlive the gateway. */
    Gateway(const PlatformPorts& platform, EventLoop& loop, Transport& transport,
            HttpClient& client, CallerHeaders headers, GatewaySettings settings);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /** @return false with `reason` when an address is not free. */
    bool start(Reason& reason);
    /** Hands the leadership over, answers what was asked, and calls `done` at the end. */
    void leave(std::function<void()> done);

private:
    void handleCaller(const HttpServerRequest& request,
                      const std::shared_ptr<HttpServerCall>& call);
    void handleReady(const std::shared_ptr<HttpServerCall>& call) const;
    void finishLeaving();

    EventLoop& m_loop;
    const CallerHeaders m_headers;
    const GatewaySettings m_settings;
    CountingStore m_store;
    JobCore m_core;
    HttpServer m_front;
    HttpServer m_ready;
    JobBackend::CallerFigures m_callers;
    JobBackend m_backend;
    OperatorServer m_operators;
    std::size_t m_inProgress = 0;
    bool m_isLeaving = false;
    bool m_isClosing = false;
    std::function<void()> m_onLeft;
};

}  // namespace pierbank

#endif  // PIERBANK_DAEMON_GATEWAY_H
