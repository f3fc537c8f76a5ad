// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_WIRE_WEBSOCKETCODEC_H
#define PIERBANK_WIRE_WEBSOCKETCODEC_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pierbank {

/**
 * Implements the WebSocket protocol (RFC 6455) for one connection without any input or output:
 * bytes from the peer are passed to feed(), bytes for the peer to a callback. Uses websocketpp.
 *
 * The source file is compiled as C++17, because websocketpp 0.8.2 does not compile as C++20. This
 * header has to compile as both.
 */
class WebSocketCodec {
public:
    enum class Role { CLIENT, SERVER };

    /** Called from feed(), start(), send() and close(); never after the codec was destroyed. */
    struct Callbacks {
        std::function<void(std::string_view bytes)> m_write;
        std::function<void()> m_open;
        std::function<void(std::string_view message)> m_message;
        std::function<void()> m_closed;
    };

    /** Maximum size of a message in bytes; receiving a larger message closes the connection. */
    static constexpr std::size_t MAX_MESSAGE_BYTES = 8U << 20U;

    /** Header of the opening handshake in which each side announces what it supports. */
    static constexpr const char* ANNOUNCEMENT_HEADER = "Pierbank-Frame-Types";

    /**
     * @param peer `IP:PORT` of the server; used only for a client's opening request.
     * @param announcement sent to the peer in the opening handshake, unless empty.
     */
    WebSocketCodec(Role role, const std::string& peer, const std::string& announcement,
                   Callbacks callbacks);
    ~WebSocketCodec();
    WebSocketCodec(const WebSocketCodec&) = delete;
    WebSocketCodec& operator=(const WebSocketCodec&) = delete;

    /** Starts the opening handshake. */
    void start();

    /** Processes bytes received from the peer. */
    void feed(std::string_view bytes);

    /**
     * Returns what the peer announced; empty before the handshake, and if it announced nothing.
     */
    std::string getPeerAnnouncement() const;

    /** Sends one binary message. @return false when the connection is not open. */
    bool send(std::string_view message);

    /** Sends a close frame. */
    void close();

private:
    class Detail;
    std::shared_ptr<Detail> m_detail;
};

}  // namespace pierbank

#endif  // PIERBANK_WIRE_WEBSOCKETCODEC_H
