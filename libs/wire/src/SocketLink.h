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

/** A Link on a GLib socket. It reads and writes without blocking, on the main context. */
class SocketLink final : public Link,
                         public std::enable_shared_from_this<SocketLink>,
                         private SocketPoller::Listener {
public:
    /** Called once: with true when the handshake is done, with false when it failed. */
    using ReadyCallback = std::function<void(bool isOpen)>;

    SocketLink(std::shared_ptr<SocketPoller> poller, GSocketConnection* connection,
               WebSocketCodec::Role role, const std::string& peer);
    ~SocketLink() override;
    SocketLink(const SocketLink&) = delete;
    SocketLink& operator=(const SocketLink&) = delete;

    /** Begins the handshake; the link keeps itself alive until `onReady` was called. */
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
    void waitForRoom(bool waits);
    void handleMessage(std::string_view message);
    void handleOpen();
    void fail();
    void finishHandshake(bool isOpen);

    /** Bytes that may wait for a slow peer: two of the largest messages. */
    static constexpr std::size_t MAX_WAITING_BYTES = 2 * WebSocketCodec::MAX_MESSAGE_BYTES;
    static constexpr guint HANDSHAKE_TIMEOUT_MS = 2000;
    static constexpr std::size_t READ_BYTES = 64 * 1024;

    GSocketConnection* m_connection;
    GSocket* m_socket;
    std::unique_ptr<WebSocketCodec> m_codec;
    ReadyCallback m_onReady;
    FrameCallback m_onFrame;
    CloseCallback m_onClose;
    std::shared_ptr<SocketLink> m_selfWhileOpening;
    std::string m_waiting;
    std::size_t m_sent = 0;
    const std::shared_ptr<SocketPoller> m_poller;
    SocketPoller::Id m_polled = SocketPoller::Id::NONE;
    bool m_waitsForRoom = false;
    guint m_handshakeTimer = 0;
    bool m_isClosed = false;
};

}  // namespace pierbank

#endif  // PIERBANK_WIRE_SRC_SOCKETLINK_H
