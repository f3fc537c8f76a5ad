// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_PLATFORM_ENDPOINTPORT_H
#define PIERBANK_PLATFORM_ENDPOINTPORT_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/** A caller's request as the endpoint gets it. */
struct EndpointRequest {
    std::string m_method;
    std::string m_path;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
    Millis m_timeout{0};
    /** Sent on a connection of its own, so that no library sends it a second time. */
    bool m_neverRepeat = false;
};

/** How a request at the endpoint ended. */
enum class EndpointOutcome { ANSWERED, NOT_SENT, CUT };

/** NOT_SENT: the endpoint surely did not see the request. CUT: no whole answer came. */
struct EndpointReply {
    EndpointOutcome m_outcome = EndpointOutcome::CUT;
    std::uint32_t m_status = 0;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
    std::string m_reason;
};

/** The endpoint beside a sidecar. */
class EndpointPort {
public:
    using Callback = std::function<void(const EndpointReply&)>;

    virtual ~EndpointPort() = default;

    /** Sends one request; `done` is called once, on a later loop turn. */
    virtual void send(const EndpointRequest& request, Callback done) = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_PLATFORM_ENDPOINTPORT_H
