// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_WIRE_SOCKETTRANSPORT_H
#define PIERBANK_WIRE_SOCKETTRANSPORT_H

#include <memory>

#include "pierbank/wire/Transport.h"

namespace pierbank {

/**
 * Transport over TCP: GLib sockets on the main context carry WebSocket messages, and each message
 * is one frame in CBOR. A link is closed when a frame can't be decoded.
 */
class SocketTransport final : public Transport {
public:
    SocketTransport();
    ~SocketTransport() override;

    bool listen(const Address& address, LinkCallback onLink, Reason& reason) override;
    void connect(const Address& address, LinkCallback done) override;

    /** Stops accepting links; open links remain open. */
    void stopListening();

private:
    class Detail;
    std::unique_ptr<Detail> m_detail;
};

}  // namespace pierbank

#endif  // PIERBANK_WIRE_SOCKETTRANSPORT_H
