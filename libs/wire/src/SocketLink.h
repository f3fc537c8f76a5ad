// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_WIRE_SRC_SOCKETLINK_H
#define PIERBANK_WIRE_SRC_SOCKETLINK_H

#include <gio/gio.h>

#include <array>
#include <memory>
#include <string>

#include "pierbank/wire/Transport.h"
#include "pierbank/wire/WebSocketCodec.h"
#include "SocketPoller.h"

namespace pierbank {

/** Link over a GLib socket. Reads and writes without blocking, on the main context. */
class SocketLink final : public Link,
                         public std::enable_shared_from_this<SocketLink>,
                         private SocketPoller::Listener {
public:
    /** Called once, with whether the handshake succeeded. */
    using ReadyCallback = std::function<void(bool isOpen)>;

    SocketLink(std::shared_ptr<SocketPoller> poller, GSocketConnection* connection,
               WebSocketCodec::Role role, const std::string& peer);
    ~SocketLink() override;
    SocketLink(const SocketLink&) = delete;
    SocketLink& operator=(const SocketLink&) = delete;

    /** Starts the handshake; the link keeps itself alive until `onReady` has been called. */
    void start(ReadyCallback onReady);

    void setCallbacks(FrameCallback onFrame, CloseCallback onClose) override;
    bool send(const Frame& frame) override;
    void close() override;

private:
    void handleReady(bool canRead, bool canWrite) override;
    static gboolean onHandshakeTimeout(gpointer self);

    void readAvailable();
    void write(std::string_view bytes);
    void flush();
    /** Sets whether the poller reports that the socket is writable. */
    void updateWriteInterest(bool isInterested);
    void handleMessage(std::string_view message);
    void handleOpen();
    /** Closes the link and calls the close callback, unless already closed. */
    void fail();
    void finishHandshake(bool isOpen);

    /** Unsent bytes above which no more frames are accepted: two of the largest messages. */
    static constexpr std::size_t MAX_UNSENT_BYTES = 2 * WebSocketCodec::MAX_MESSAGE_BYTES;
    static constexpr guint HANDSHAKE_TIMEOUT_MS = 2000;
    static constexpr std::size_t READ_BUFFER_BYTES = 64 * 1024;

    GSocketConnection* m_connection;
    GSocket* m_socket;
    std::unique_ptr<WebSocketCodec> m_codec;
    ReadyCallback m_onReady;
    FrameCallback m_onFrame;
    CloseCallback m_onClose;
    /** Keeps the link alive during the handshake. */
    std::shared_ptr<SocketLink> m_selfWhileOpening;
    /** Send buffer, and the number of bytes at its start that are already sent. */
    std::string m_sendBuffer;
    std::size_t m_sentBytes = 0;
    const std::shared_ptr<SocketPoller> m_poller;
    SocketPoller::Id m_pollerId = SocketPoller::Id::NONE;
    bool m_hasWriteInterest = false;
    guint m_handshakeTimer = 0;
    /** Number of the first frame types that the peer knows; zero until the handshake is done. */
    std::size_t m_peerFrameTypes = 0;
    bool m_isClosed = false;
};

}  // namespace pierbank

#endif  // PIERBANK_WIRE_SRC_SOCKETLINK_H
