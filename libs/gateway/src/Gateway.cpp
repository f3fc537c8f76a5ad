// SPDX-License-Identifier: Apache-2.0
#include "pierbank/gateway/Gateway.h"

#include <utility>

namespace pierbank {

Gateway::Gateway(EventLoop& loop, Random& random, Transport& transport, HttpClient& client,
                 KeyValueService& service, HostList& hostList, const GatewaySettings& settings)
        : m_callers(settings.m_callers),
          m_operators(settings.m_operators),
          m_core(loop, random, transport, service, hostList, settings),
          m_callerServer(loop, m_core),
          m_operatorServer(m_core, client, settings.m_tokens) {}

bool Gateway::start(Reason& reason) {
    // Both are tried, so that both are reported.
    Findings findings;
    if (!m_operatorServer.listen(m_operators, reason)) {
        findings.add(m_operators.toText(), reason);
    }
    if (!m_callerServer.listen(m_callers, reason)) {
        findings.add(m_callers.toText(), reason);
    }
    if (!findings.isEmpty()) {
        reason = findings.toText();
        return false;
    }
    m_core.start();
    return true;
}

void Gateway::leave(std::function<void()> done) {
    m_callerServer.stopListening();
    m_core.leave(std::move(done));
}

}  // namespace pierbank
