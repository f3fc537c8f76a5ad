// SPDX-License-Identifier: Apache-2.0
#include "GatewayClient.h"

#include <utility>

#include "pierbank/base/GlibEventLoop.h"

namespace pierbank {

namespace {

/** Exceeds the timeout of a gateway for a statement, including the forwarding to the leader. */
constexpr Millis STATEMENT_TIMEOUT{10'000};

}  // namespace

GatewayClient::GatewayClient(Address gateway, std::string token)
        : m_gateway(std::move(gateway)), m_token(std::move(token)) {}

HttpResult GatewayClient::execute(std::string_view statement) {
    HttpCall call;
    call.m_method = "POST";
    call.m_address = m_gateway;
    call.m_target = "/pierbank/v1/statements";
    call.m_headers = {{"Authorization", "Bearer " + m_token}};
    call.m_body = statement;
    call.m_timeout = STATEMENT_TIMEOUT;
    call.m_isIdempotent = false;
    HttpResult answer;
    GlibEventLoop loop;
    m_client.send(call, [&](const HttpResult& result) {
        answer = result;
        loop.quit();
    });
    loop.run();
    return answer;
}

}  // namespace pierbank
