// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_WIRE_TRANSPORT_H
#define PIERBANK_WIRE_TRANSPORT_H

#include <functional>
#include <memory>
#include <string_view>

#include "pierbank/base/Address.h"
#include "pierbank/base/Findings.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/**
 * One open connection between two processes of the system, which carries whole frames in order.
 * Dropping the last owner closes it without a call of the close callback.
 */
class Link {
public:
    using FrameCallback = std::function<void(const Frame&)>;
    using CloseCallback = std::function<void()>;

    virtual ~Link() = default;

    /** Sets who is told of frames and of the end. The end is told once, on a later loop turn. */
    virtual void setCallbacks(FrameCallback onFrame, CloseCallback onClose) = 0;

    /**
     * Queues a frame.
     * @return false when the link is closed or the peer has too much unread: nothing was sent.
     */
    virtual bool send(const Frame& frame) = 0;

    /** Closes at once; frames not yet sent are lost. The close callback is not called. */
    virtual void close() = 0;
};

/** How processes of the system reach each other. SocketTransport in programs, a fake in tests. */
class Transport {
public:
    using LinkCallback = std::function<void(std::shared_ptr<Link>)>;

    virtual ~Transport() = default;

    /** Accepts links at an address. @return false with `reason` when the address is not free. */
    virtual bool listen(const Address& address, LinkCallback onLink, Reason& reason) = 0;

    /** Opens a link; `done` gets an empty pointer when the peer cannot be reached in time. */
    virtual void connect(const Address& address, LinkCallback done) = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_WIRE_TRANSPORT_H
