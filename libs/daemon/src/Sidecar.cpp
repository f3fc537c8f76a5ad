// SPDX-License-Identifier: Apache-2.0
#include "pierbank/daemon/Sidecar.h"

#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/base/UnreadableInputs.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/http/HttpStatus.h"

namespace pierbank {

Sidecar::Sidecar(RecordStore& store, EventLoop& loop, Transport& transport, TaskWorker& worker,
                 const DocumentCodec& codec, SidecarSettings settings)
        : m_transport(transport),
          m_codec(codec),
          m_settings(std::move(settings)),
          m_agent(loop, worker, m_settings.m_agent),
          m_registration(store, loop, [this] { return m_agent.hasLeader(); }),
          m_heartbeatServer([this](const HttpServerRequest& request,
                                   const std::shared_ptr<HttpServerCall>& call) {
              handleHeartbeat(request, call);
          }) {}

bool Sidecar::start(Reason& reason) {
    const auto onLink = [this](std::shared_ptr<Link> link) {
        m_agent.handleLink(std::move(link));
    };
    if (!m_heartbeatServer.listen(m_settings.m_heartbeatAddress, reason) ||
        !m_transport.listen(m_settings.m_links, onLink, reason)) {
        return false;
    }
    logEvent(Severity::INFO, "sidecar", "started",
             {{"name", m_settings.m_name},
              {"links", m_settings.m_links.toText()},
              {"worker", m_settings.m_worker.toText()}});
    m_registration.start(getHostKey(m_settings.m_advertisedAddress.toText()));
    return true;
}

void Sidecar::handleHeartbeat(const HttpServerRequest& request,
                              const std::shared_ptr<HttpServerCall>& call) {
    const std::string id = request.m_target.substr(request.m_target.rfind('/') + 1);
    HttpServerAnswer answer;
    if (request.m_method == "DELETE") {
        m_agent.handleLeave(m_codec.readDeparture(id, request.m_body));
        call->answer(answer);
        return;
    }
    Findings findings;
    const auto heartbeat = m_codec.readHeartbeat(id, request.m_body, findings);
    if (!heartbeat.has_value()) {
        reportUnreadable("sidecar", "bad-beat", {{"id", id}, {"findings", findings.toText()}});
        answer.m_status = HTTP_BAD_REQUEST;
        call->answer(answer);
        return;
    }
    if (m_agent.handleHeartbeat(*heartbeat) == HeartbeatAge::IMPOSSIBLE) {
        reportUnreadable("sidecar", "impossible-beat", {{"id", id}});
        answer.m_status = HTTP_BAD_REQUEST;
        call->answer(answer);
        return;
    }
    answer.m_headers = {{"Content-Type", "application/json"}};
    answer.m_body = "{}";
    call->answer(answer);
}

}  // namespace pierbank
