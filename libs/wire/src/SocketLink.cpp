// SPDX-License-Identifier: Apache-2.0
#include "SocketLink.h"

#include <charconv>
#include <utility>
#include <variant>

#include "pierbank/base/Log.h"
#include "pierbank/wire/FrameCodec.h"

namespace pierbank {

namespace {

/**
 * Returns the number of frame types that a peer knows. Builds that announce nothing know the types
 * that existed before announcements, up to GatewayReply.
 */
std::size_t parseFrameTypes(std::string_view announcement) {
    constexpr std::size_t FRAME_TYPES_WITHOUT_ANNOUNCEMENT = 14;
    std::size_t types = 0;
    const char* const end = announcement.data() + announcement.size();
    const auto result = std::from_chars(announcement.data(), end, types);
    const bool isNumber = result.ec == std::errc() && result.ptr == end;
    return isNumber ? types : FRAME_TYPES_WITHOUT_ANNOUNCEMENT;
}

}  // namespace

SocketLink::SocketLink(std::shared_ptr<SocketPoller> poller, GSocketConnection* connection,
                       WebSocketCodec::Role role, const std::string& peer)
        : m_connection(connection),
          m_socket(g_socket_connection_get_socket(connection)),
          m_poller(std::move(poller)) {
    g_object_ref(m_connection);
    g_socket_set_blocking(m_socket, FALSE);
    constexpr int TCP_LEVEL = 6;
    constexpr int TCP_NO_DELAY = 1;
    g_socket_set_option(m_socket, TCP_LEVEL, TCP_NO_DELAY, 1, nullptr);
    WebSocketCodec::Callbacks callbacks;
    callbacks.m_write = [this](std::string_view bytes) {
        write(bytes);
    };
    callbacks.m_open = [this] {
        handleOpen();
    };
    callbacks.m_message = [this](std::string_view message) {
        handleMessage(message);
    };
    callbacks.m_closed = [this] {
        fail();
    };
    m_codec = std::make_unique<WebSocketCodec>(
            role, peer, std::to_string(std::variant_size_v<Frame>), std::move(callbacks));
}

SocketLink::~SocketLink() {
    close();
    g_object_unref(m_connection);
}

void SocketLink::start(ReadyCallback onReady) {
    m_onReady = std::move(onReady);
    m_selfWhileOpening = shared_from_this();
    m_handshakeTimer = g_timeout_add(HANDSHAKE_TIMEOUT_MS, &onHandshakeTimeout, this);
    m_pollerId = m_poller->add(g_socket_get_fd(m_socket), *this);
    m_codec->start();
}

gboolean SocketLink::onHandshakeTimeout(gpointer self) {
    auto* link = static_cast<SocketLink*>(self);
    link->m_handshakeTimer = 0;
    link->fail();
    return G_SOURCE_REMOVE;
}

void SocketLink::setCallbacks(FrameCallback onFrame, CloseCallback onClose) {
    m_onFrame = std::move(onFrame);
    m_onClose = std::move(onClose);
}

bool SocketLink::send(const Frame& frame) {
    if (m_isClosed || m_sendBuffer.size() - m_sentBytes > MAX_UNSENT_BYTES) {
        return false;
    }
    if (frame.index() >= m_peerFrameTypes) {
        return false;
    }
    const std::string bytes = encodeFrame(frame);
    if (bytes.size() > WebSocketCodec::MAX_MESSAGE_BYTES) {
        return false;
    }
    return m_codec->send(bytes) && !m_isClosed;
}

void SocketLink::close() {
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_poller->remove(m_pollerId);
    if (m_handshakeTimer != 0) {
        g_source_remove(m_handshakeTimer);
        m_handshakeTimer = 0;
    }
    g_io_stream_close(G_IO_STREAM(m_connection), nullptr, nullptr);
}

void SocketLink::updateWriteInterest(bool isInterested) {
    if (!m_isClosed && std::exchange(m_hasWriteInterest, isInterested) != isInterested) {
        m_poller->setWriteInterest(m_pollerId, isInterested);
    }
}

void SocketLink::handleReady(bool canRead, bool canWrite) {
    // A callback may release the last other reference to this link.
    const auto link = shared_from_this();
    if (canWrite) {
        flush();
    }
    if (canRead && !m_isClosed) {
        readAvailable();
    }
}

void SocketLink::readAvailable() {
    std::array<char, READ_BUFFER_BYTES> buffer;
    GError* error = nullptr;
    const gssize count = g_socket_receive(m_socket, buffer.data(), buffer.size(), nullptr, &error);
    if (count > 0) {
        m_codec->feed(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
        return;
    }
    const bool wouldBlock =
            error != nullptr && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
    g_clear_error(&error);
    if (!wouldBlock) {
        fail();
    }
}

void SocketLink::write(std::string_view bytes) {
    if (m_isClosed) {
        return;
    }
    const bool wasIdle = m_sendBuffer.empty();
    m_sendBuffer.append(bytes);
    if (wasIdle) {
        flush();
    }
}

void SocketLink::flush() {
    while (m_sentBytes < m_sendBuffer.size()) {
        GError* error = nullptr;
        const gssize count = g_socket_send(m_socket, m_sendBuffer.data() + m_sentBytes,
                                           m_sendBuffer.size() - m_sentBytes, nullptr, &error);
        if (count < 0) {
            // A failed socket also becomes readable; readAvailable() then closes the link.
            g_clear_error(&error);
            updateWriteInterest(true);
            return;
        }
        m_sentBytes += static_cast<std::size_t>(count);
    }
    m_sendBuffer.clear();
    m_sentBytes = 0;
    updateWriteInterest(false);
}

void SocketLink::handleOpen() {
    m_peerFrameTypes = parseFrameTypes(m_codec->getPeerAnnouncement());
    finishHandshake(true);
}

void SocketLink::handleMessage(std::string_view message) {
    Reason reason;
    const auto frame = decodeFrame(message, reason);
    if (!frame.has_value()) {
        logEvent(Severity::WARNING, "link", "bad-frame", {{"reason", reason}});
        fail();
        return;
    }
    if (m_onFrame && !m_isClosed) {
        const FrameCallback onFrame = m_onFrame;
        onFrame(*frame);
    }
}

void SocketLink::fail() {
    if (m_isClosed) {
        return;
    }
    const auto keepAlive = shared_from_this();
    close();
    finishHandshake(false);
    const CloseCallback onClose = std::exchange(m_onClose, nullptr);
    m_onFrame = nullptr;
    if (onClose) {
        onClose();
    }
}

void SocketLink::finishHandshake(bool isOpen) {
    if (m_handshakeTimer != 0) {
        g_source_remove(m_handshakeTimer);
        m_handshakeTimer = 0;
    }
    const auto keepAlive = std::exchange(m_selfWhileOpening, nullptr);
    const ReadyCallback onReady = std::exchange(m_onReady, nullptr);
    if (onReady) {
        onReady(isOpen);
    }
}

}  // namespace pierbank
