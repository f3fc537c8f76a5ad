// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TOOLS_COMMAND_GATEWAYCLIENT_H
#define PIERBANK_TOOLS_COMMAND_GATEWAYCLIENT_H

#include <string>
#include <string_view>

#include "pierbank/base/Address.h"
#include "pierbank/http/HttpClient.h"

namespace pierbank {

/** Client of a gateway's operator interface. */
class GatewayClient {
public:
    /** @param token bearer token of the operator. */
    GatewayClient(Address gateway, std::string token);

    /**
     * Sends a statement and blocks until the answer has arrived.
     * @return a result with the status zero when no complete answer was received.
     */
    HttpResult execute(std::string_view statement);

private:
    Address m_gateway;
    std::string m_token;
    HttpClient m_client;
};

}  // namespace pierbank

#endif  // PIERBANK_TOOLS_COMMAND_GATEWAYCLIENT_H
