// SPDX-License-Identifier: Apache-2.0
#include "pierbank/platform/HttpEndpoint.h"

#include <utility>

namespace pierbank {

HttpEndpoint::HttpEndpoint(HttpClient& client, Address address)
        : m_client(client), m_address(std::move(address)) {}

void HttpEndpoint::send(const EndpointRequest& request, Callback done) {
    HttpCall call;
    call.m_method = request.m_method;
    call.m_address = m_address;
    call.m_target = request.m_path;
    call.m_headers = request.m_headers;
    call.m_body = request.m_body;
    call.m_timeout = request.m_timeout;
    call.m_mayRepeat = !request.m_neverRepeat;
    m_client.send(call, [done = std::move(done)](const HttpResult& result) {
        EndpointReply reply;
        reply.m_status = result.m_status;
        reply.m_headers = result.m_headers;
        reply.m_body = result.m_body;
        reply.m_reason = result.m_reason;
        if (result.m_status != 0) {
            reply.m_outcome = EndpointOutcome::ANSWERED;
        } else if (result.m_isRefused) {
            reply.m_outcome = EndpointOutcome::NOT_SENT;
        }
        done(reply);
    });
}

}  // namespace pierbank
