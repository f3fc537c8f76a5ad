// SPDX-License-Identifier: Apache-2.0
#include "pierbank/wire/WebSocketCodec.h"

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace pierbank {

namespace {

using Server = websocketpp::server<websocketpp::config::core>;
using Client = websocketpp::client<websocketpp::config::core_client>;
namespace opcode = websocketpp::frame::opcode;

}  // namespace

/** Common base for the two roles; the connection types of websocketpp have no common base. */
class WebSocketCodec::Detail {
public:
    explicit Detail(Callbacks callbacks) : m_callbacks(std::move(callbacks)) {}
    virtual ~Detail() = default;

    virtual void start() = 0;
    virtual void feed(std::string_view bytes) = 0;
    virtual bool send(std::string_view message) = 0;
    virtual void close() = 0;
    virtual std::string getPeerAnnouncement() const = 0;

    /** Ensures that no callback is called any more, whatever websocketpp still reports. */
    void detach() { m_callbacks = Callbacks(); }

    template <typename Endpoint>
    class EndpointDetail;

protected:
    Callbacks m_callbacks;
};

template <typename Endpoint>
class WebSocketCodec::Detail::EndpointDetail final : public WebSocketCodec::Detail {
public:
    EndpointDetail(const std::string& peer, const std::string& announcement, Callbacks callbacks)
            : Detail(std::move(callbacks)) {
        m_endpoint.clear_access_channels(websocketpp::log::alevel::all);
        m_endpoint.clear_error_channels(websocketpp::log::elevel::all);
        m_endpoint.set_max_message_size(MAX_MESSAGE_BYTES);
        makeConnection(m_endpoint, peer);
        setHandlers();
        announce(m_endpoint, announcement);
    }

    void start() override { startConnection(m_endpoint); }

    void feed(std::string_view bytes) override {
        m_connection->read_all(bytes.data(), bytes.size());
    }

    bool send(std::string_view message) override {
        if (m_connection->get_state() != websocketpp::session::state::open) {
            return false;
        }
        return !m_connection->send(message.data(), message.size(), opcode::binary);
    }

    void close() override {
        websocketpp::lib::error_code error;
        m_connection->close(websocketpp::close::status::normal, "", error);
        m_connection->eof();
    }

    std::string getPeerAnnouncement() const override { return readAnnouncement(m_endpoint); }

private:
    using ConnectionPtr = typename Endpoint::connection_ptr;

    void makeConnection(Server& server, const std::string&) {
        m_connection = server.get_connection();
    }

    void makeConnection(Client& client, const std::string& peer) {
        websocketpp::lib::error_code error;
        m_connection = client.get_connection("ws://" + peer + "/", error);
    }

    /** A server can add headers only while it processes the request of the client. */
    void announce(Server&, const std::string& announcement) {
        if (announcement.empty()) {
            return;
        }
        m_connection->set_validate_handler([this, announcement](websocketpp::connection_hdl) {
            m_connection->append_header(ANNOUNCEMENT_HEADER, announcement);
            return true;
        });
    }
    void announce(Client&, const std::string& announcement) {
        if (!announcement.empty()) {
            m_connection->append_header(ANNOUNCEMENT_HEADER, announcement);
        }
    }

    std::string readAnnouncement(const Server&) const {
        return m_connection->get_request_header(ANNOUNCEMENT_HEADER);
    }
    std::string readAnnouncement(const Client&) const {
        return m_connection->get_response_header(ANNOUNCEMENT_HEADER);
    }

    void startConnection(Server&) { m_connection->start(); }
    void startConnection(Client& client) { client.connect(m_connection); }

    void setHandlers() {
        using Handle = websocketpp::connection_hdl;
        m_connection->set_write_handler([this](Handle, const char* data, std::size_t size) {
            if (m_callbacks.m_write) {
                m_callbacks.m_write(std::string_view(data, size));
            }
            return websocketpp::lib::error_code();
        });
        m_connection->set_open_handler([this](Handle) {
            if (m_callbacks.m_open) {
                m_callbacks.m_open();
            }
        });
        m_connection->set_message_handler([this](Handle, typename Endpoint::message_ptr message) {
            if (m_callbacks.m_message) {
                m_callbacks.m_message(message->get_payload());
            }
        });
        const auto closed = [this](Handle) {
            if (m_callbacks.m_closed) {
                m_callbacks.m_closed();
            }
        };
        m_connection->set_close_handler(closed);
        m_connection->set_fail_handler(closed);
    }

    Endpoint m_endpoint;
    ConnectionPtr m_connection;
};

WebSocketCodec::WebSocketCodec(Role role, const std::string& peer, const std::string& announcement,
                               Callbacks callbacks) {
    if (role == Role::SERVER) {
        m_detail = std::make_shared<Detail::EndpointDetail<Server>>(peer, announcement,
                                                                    std::move(callbacks));
    } else {
        m_detail = std::make_shared<Detail::EndpointDetail<Client>>(peer, announcement,
                                                                    std::move(callbacks));
    }
}

WebSocketCodec::~WebSocketCodec() {
    m_detail->detach();
}

// A callback may destroy the codec, so each call keeps the detail alive until the call returns.

void WebSocketCodec::start() {
    const auto detail = m_detail;
    detail->start();
}

void WebSocketCodec::feed(std::string_view bytes) {
    const auto detail = m_detail;
    detail->feed(bytes);
}

std::string WebSocketCodec::getPeerAnnouncement() const {
    return m_detail->getPeerAnnouncement();
}

bool WebSocketCodec::send(std::string_view message) {
    const auto detail = m_detail;
    return detail->send(message);
}

void WebSocketCodec::close() {
    const auto detail = m_detail;
    detail->close();
}

}  // namespace pierbank
