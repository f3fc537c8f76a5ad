// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_PLATFORM_HTTPENDPOINT_H
#define PIERBANK_PLATFORM_HTTPENDPOINT_H

#include "pierbank/platform/EndpointPort.h"
#include "pierbank/platform/HttpClient.h"

namespace pierbank {

/** EndpointPort over plain HTTP to the endpoint's own address. */
class HttpEndpoint final : public EndpointPort {
public:
    HttpEndpoint(HttpClient& client, Address address);

    void send(const EndpointRequest& request, Callback done) override;

private:
    HttpClient& m_client;
    Address m_address;
};

}  // namespace pierbank

#endif  // PIERBANK_PLATFORM_HTTPENDPOINT_H
