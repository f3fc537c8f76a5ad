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
 * Open connection between two processes of the system, which delivers whole frames in order. The
 * connection is closed when the last owner releases the link; the close callback is then not
 * called.
 */
class Link {
public:
    using FrameCallback = std::function<void(const Frame&)>;
    using CloseCallback = std::function<void()>;

    virtual ~Link() = default;

    /** Sets the callbacks. `onClose` is called at most once, on a later turn of the event loop. */
    virtual void setCallbacks(FrameCallback onFrame, CloseCallback onClose) = 0;

    /**
     * Queues a frame.
     * @return false when the link is closed, too much data is unsent, or the peer is of an older
     *     build that does not know this type of frame; the frame is dropped.
     */
    virtual bool send(const Frame& frame) = 0;

    /** Closes at once and drops unsent frames. The close callback is not called. */
    virtual void close() = 0;
};

/** Opens and accepts links between processes. Implemented by SocketTransport and a test fake. */
class Transport {
public:
    using LinkCallback = std::function<void(std::shared_ptr<Link>)>;

    virtual ~Transport() = default;

    /** Accepts links at an address. @return false with `reason` when listening fails. */
    virtual bool listen(const Address& address, LinkCallback onLink, Reason& reason) = 0;

    /** Opens a link; `done` is called with null when the peer can't be reached in time. */
    virtual void connect(const Address& address, LinkCallback done) = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_WIRE_TRANSPORT_H
