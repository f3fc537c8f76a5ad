// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SIDECAR_SIDECARSERVER_H
#define PIERBANK_SIDECAR_SIDECARSERVER_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pierbank/base/EventLoop.h"
#include "pierbank/base/Random.h"
#include "pierbank/platform/EndpointPort.h"
#include "pierbank/platform/WorkerPort.h"
#include "pierbank/sidecar/LeaseHolder.h"
#include "pierbank/sidecar/RequestGuard.h"
#include "pierbank/sidecar/TaskGuard.h"
#include "pierbank/wire/Transport.h"

namespace pierbank {

/** What a sidecar is told. */
struct SidecarSettings {
    std::string m_name;
    Address m_listen;
    RequestGuardSettings m_requests;
    /** How often the lease is asked for and the load is reported. */
    Millis m_askInterval{1000};
};

/**
 * The process beside an endpoint or a worker, or both. It accepts links of gateways, guards the
 * endpoint's slots (RequestGuard) and the worker's tasks (TaskGuard), and keeps the highest
 * configuration that it has seen for gateways that start while the platform's service is down.
 */
class SidecarServer {
public:
    /**
     * The references must outlive the server.
     * @param endpoint nullptr when there is no endpoint beside this sidecar.
     * @param worker nullptr when there is no worker.
     */
    SidecarServer(EventLoop& loop, Random& random, Transport& transport, EndpointPort* endpoint,
                  WorkerPort* worker, SidecarSettings settings);
    ~SidecarServer();
    SidecarServer(const SidecarServer&) = delete;
    SidecarServer& operator=(const SidecarServer&) = delete;

    /** @return false with `reason` when the address is not free. */
    bool start(Reason& reason);

    /**
     * A planned stop: no new requests, those in progress are finished. `done` is called when no
     * request is left and their answers have been handed to the gateways' links.
     */
    void leave(std::function<void()> done);

private:
    struct Gateway {
        std::shared_ptr<Link> m_link;
        Hello m_hello;
    };

    void accept(const std::shared_ptr<Link>& link);
    void handleFrame(const std::shared_ptr<Link>& link, const Frame& frame);
    void handleHello(const std::shared_ptr<Link>& link, const Hello& hello);
    void handleClose(Link* link);
    void handleTaskFrame(const Frame& frame);
    void handleRequestFrame(const Frame& frame);
    void handleConfiguration(const ConfigurationPush& push);
    void answerMemberQuery(const std::shared_ptr<Link>& link, const MemberQuery& query);
    void sendTo(const std::string& gateway, const Frame& frame);
    void broadcast(const Frame& frame);
    LoadReport makeLoad() const;
    void reportLoadSoon();
    void tick();
    void finishLeaving();

    EventLoop& m_loop;
    Transport& m_transport;
    const SidecarSettings m_settings;
    const std::string m_instance;
    LeaseHolder m_lease;
    std::unique_ptr<RequestGuard> m_requests;
    std::unique_ptr<TaskGuard> m_tasks;
    bool m_isRecovered = false;
    /** Links that have not said Hello yet, and those that have, by the gateway's instance. */
    std::map<Link*, std::shared_ptr<Link>> m_new;
    std::map<std::string, Gateway> m_gateways;
    ConfigurationPush m_configuration;
    bool m_isLoadDue = false;
    std::function<void()> m_onLeft;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_SIDECAR_SIDECARSERVER_H
