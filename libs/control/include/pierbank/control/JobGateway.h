// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_JOBGATEWAY_H
#define PIERBANK_CONTROL_JOBGATEWAY_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "pierbank/control/JobBackend.h"
#include "pierbank/control/JobCore.h"
#include "pierbank/gateway/HttpServer.h"

namespace pierbank {

/** Settings of a gateway process. */
struct JobGatewaySettings {
    std::string m_logLevel = "info";
    std::string m_name;
    /** Callers' requests. */
    Address m_front;
    /** The balancer's question whether to send connections here. */
    Address m_ready;
    /** Operators' questions and metrics. */
    Address m_operators;
    Address m_store;
    JobCoreSettings m_core;
    /** Who may give statements. */
    OperatorTokens m_tokens;
    /** A gateway whose configuration was confirmed longer ago asks for no new connections. */
    Millis m_readyAge{2000};
    /** After SIGTERM connections still come for so long: the balancer looks once a second. */
    Millis m_leaveTime{2600};
    /** After SIGTERM the process ends at the latest after this time. */
    Millis m_drainTime{4800};
};

/** Names of the headers that callers use. */
struct CallerHeaders {
    std::string m_key;
    std::string m_patience;
};

/**
 * A gateway: callers' requests are answered at every gateway, and the one that holds the leader
 * key runs the jobs.
 */
class JobGateway {
public:
    /** The references must outlive the gateway. */
    JobGateway(RecordStore& store, EventLoop& loop, Transport& transport, HttpClient& client,
               const DocumentCodec& codec, CallerHeaders headers, JobGatewaySettings settings);
    ~JobGateway();
    JobGateway(const JobGateway&) = delete;
    JobGateway& operator=(const JobGateway&) = delete;

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
    const JobGatewaySettings m_settings;
    JobCore m_core;
    HttpServer m_front;
    HttpServer m_ready;
    JobBackend::Counters m_counters;
    JobBackend m_backend;
    OperatorServer m_operators;
    std::size_t m_inProgress = 0;
    bool m_isLeaving = false;
    bool m_isClosing = false;
    std::function<void()> m_onLeft;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBGATEWAY_H
