// SPDX-License-Identifier: Apache-2.0
#include "pierbank/sidecar/SidecarServer.h"

#include <utility>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** After the last answer was written, the links get this long to send it. */
constexpr Millis FLUSH_TIME{200};

}  // namespace

SidecarServer::SidecarServer(EventLoop& loop, Random& random, Transport& transport,
                             EndpointPort* endpoint, WorkerPort* worker, SidecarSettings settings)
        : m_loop(loop),
          m_transport(transport),
          m_settings(std::move(settings)),
          m_instance(random.token()) {
    if (endpoint != nullptr) {
        m_requests = std::make_unique<RequestGuard>(
                loop, *endpoint, m_settings.m_requests,
                [this](const std::string& gateway, const Frame& frame) { sendTo(gateway, frame); });
        m_requests->onLoadChanged([this] { reportLoadSoon(); });
    }
    if (worker != nullptr) {
        m_tasks = std::make_unique<TaskGuard>(
                loop, *worker, m_lease, [this](const MemberReport& report) { broadcast(report); });
    }
}

SidecarServer::~SidecarServer() {
    *m_isAlive = false;
}

bool SidecarServer::start(Reason& reason) {
    const auto onLink = [this, alive = m_isAlive](const std::shared_ptr<Link>& link) {
        if (*alive) {
            accept(link);
        }
    };
    if (!m_transport.listen(m_settings.m_listen, onLink, reason)) {
        return false;
    }
    if (m_tasks != nullptr) {
        m_tasks->recover([this] { m_isRecovered = true; });
    }
    tick();
    return true;
}

void SidecarServer::accept(const std::shared_ptr<Link>& link) {
    m_new[link.get()] = link;
    Link* const raw = link.get();
    link->setCallbacks(
            [this, raw, alive = m_isAlive](const Frame& frame) {
                if (!*alive) {
                    return;
                }
                const auto found = m_new.find(raw);
                if (found != m_new.end()) {
                    // A Hello moves the link to another map: it must not be held by this one.
                    const std::shared_ptr<Link> keep = found->second;
                    handleFrame(keep, frame);
                    return;
                }
                for (const auto& [instance, gateway] : m_gateways) {
                    if (gateway.m_link.get() == raw) {
                        const std::shared_ptr<Link> keep = gateway.m_link;
                        handleFrame(keep, frame);
                        return;
                    }
                }
            },
            [this, raw, alive = m_isAlive] {
                if (*alive) {
                    handleClose(raw);
                }
            });
}

void SidecarServer::handleClose(Link* link) {
    m_new.erase(link);
    std::erase_if(m_gateways, [link](const auto& e) { return e.second.m_link.get() == link; });
}

void SidecarServer::handleFrame(const std::shared_ptr<Link>& link, const Frame& frame) {
    if (m_tasks != nullptr) {
        // A process that was paused stops what it may not run any more before anything else.
        m_tasks->checkLease();
    }
    if (const auto* const hello = std::get_if<Hello>(&frame)) {
        handleHello(link, *hello);
    } else if (const auto* const renewal = std::get_if<LeaseRenewal>(&frame)) {
        m_lease.renew(*renewal);
    } else if (const auto* const query = std::get_if<MemberQuery>(&frame)) {
        answerMemberQuery(link, *query);
    } else if (const auto* const push = std::get_if<ConfigurationPush>(&frame)) {
        handleConfiguration(*push);
    } else {
        handleTaskFrame(frame);
        handleRequestFrame(frame);
    }
}

void SidecarServer::handleHello(const std::shared_ptr<Link>& link, const Hello& hello) {
    const auto known = m_gateways.find(hello.m_instance);
    if (known != m_gateways.end() && known->second.m_link != link) {
        // What is still in the old link's buffers must not arrive after what follows here.
        known->second.m_link->close();
    }
    m_new.erase(link.get());
    m_gateways[hello.m_instance] = {link, hello};
    link->send(Hello{m_settings.m_name, m_instance, m_configuration.m_version});
    link->send(makeLoad());
    if (m_configuration.m_version > hello.m_configurationVersion) {
        link->send(m_configuration);
    }
    if (m_tasks != nullptr) {
        link->send(m_lease.ask(m_loop.now()));
    }
    logEvent(Severity::INFO, "sidecar", "gateway-linked", {{"gateway", hello.m_node}});
}

void SidecarServer::answerMemberQuery(const std::shared_ptr<Link>& link, const MemberQuery& query) {
    if (m_tasks == nullptr || !m_lease.admitEpoch(query.m_epoch)) {
        return;
    }
    if (!m_isRecovered) {
        constexpr Millis RECOVERY_CHECK{100};
        m_loop.callLater(RECOVERY_CHECK, [this, link, query, alive = m_isAlive] {
            if (*alive) {
                answerMemberQuery(link, query);
            }
        });
        return;
    }
    for (const MemberReport& report : m_tasks->getReports()) {
        link->send(report);
    }
    link->send(MemberReportEnd{query.m_epoch});
    // A new leader asks this first: it gets the chance to renew without waiting for the tick.
    link->send(m_lease.ask(m_loop.now()));
}

void SidecarServer::handleTaskFrame(const Frame& frame) {
    if (m_tasks == nullptr || !m_isRecovered) {
        return;
    }
    if (const auto* const prepare = std::get_if<GangPrepare>(&frame)) {
        m_tasks->prepare(*prepare);
    } else if (const auto* const start = std::get_if<GangStart>(&frame)) {
        m_tasks->start(*start);
    } else if (const auto* const stop = std::get_if<GangStop>(&frame)) {
        m_tasks->stop(*stop);
    }
}

void SidecarServer::handleRequestFrame(const Frame& frame) {
    if (m_requests == nullptr) {
        return;
    }
    if (const auto* const request = std::get_if<ForwardRequest>(&frame)) {
        m_requests->handle(*request);
    } else if (const auto* const query = std::get_if<FateQuery>(&frame)) {
        m_requests->handle(*query);
    } else if (const auto* const cancel = std::get_if<CancelRequest>(&frame)) {
        m_requests->handle(*cancel);
    }
}

void SidecarServer::handleConfiguration(const ConfigurationPush& push) {
    if (push.m_version <= m_configuration.m_version) {
        return;
    }
    m_configuration = push;
    // One gateway with the news is enough for all.
    broadcast(m_configuration);
    reportLoadSoon();
}

void SidecarServer::sendTo(const std::string& gateway, const Frame& frame) {
    const auto found = m_gateways.find(gateway);
    if (found != m_gateways.end()) {
        found->second.m_link->send(frame);
    }
}

void SidecarServer::broadcast(const Frame& frame) {
    for (const auto& [instance, gateway] : m_gateways) {
        gateway.m_link->send(frame);
    }
}

LoadReport SidecarServer::makeLoad() const {
    LoadReport load = m_requests == nullptr ? LoadReport() : m_requests->getLoad();
    load.m_configurationVersion = m_configuration.m_version;
    return load;
}

void SidecarServer::reportLoadSoon() {
    if (m_isLoadDue) {
        return;
    }
    m_isLoadDue = true;
    m_loop.post([this, alive = m_isAlive] {
        if (!*alive) {
            return;
        }
        m_isLoadDue = false;
        broadcast(makeLoad());
        finishLeaving();
    });
}

void SidecarServer::tick() {
    m_loop.callLater(m_settings.m_askInterval, [this, alive = m_isAlive] {
        if (!*alive) {
            return;
        }
        if (m_tasks != nullptr) {
            m_tasks->checkLease();
            broadcast(m_lease.ask(m_loop.now()));
        }
        broadcast(makeLoad());
        tick();
    });
}

void SidecarServer::leave(std::function<void()> done) {
    m_onLeft = std::move(done);
    if (m_requests != nullptr) {
        m_requests->leave();
    }
    reportLoadSoon();
}

void SidecarServer::finishLeaving() {
    const bool isIdle = m_requests == nullptr || m_requests->isIdle();
    if (!m_onLeft || !isIdle) {
        return;
    }
    const auto onLeft = std::exchange(m_onLeft, nullptr);
    m_loop.callLater(FLUSH_TIME, onLeft);
}

}  // namespace pierbank
