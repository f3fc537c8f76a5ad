// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_GATEWAY_GATEWAY_H
#define PIERBANK_GATEWAY_GATEWAY_H

#include <functional>

#include "pierbank/gateway/CallerServer.h"
#include "pierbank/gateway/GatewayCore.h"
#include "pierbank/gateway/OperatorServer.h"

namespace pierbank {

/** The process on an entry host: a GatewayCore with its two HTTP servers. */
class Gateway {
public:
    /** The references must outlive the gateway. */
    Gateway(EventLoop& loop, Random& random, Transport& transport, HttpClient& client,
            KeyValueService& service, HostList& hostList, const GatewaySettings& settings);

    /** @return false with `reason` when an address is not free. */
    bool start(Reason& reason);

    /** A planned stop; see GatewayCore::leave(). */
    void leave(std::function<void()> done);

private:
    const Address m_callers;
    const Address m_operators;
    GatewayCore m_core;
    CallerServer m_callerServer;
    OperatorServer m_operatorServer;
};

}  // namespace pierbank

#endif  // PIERBANK_GATEWAY_GATEWAY_H
