// SPDX-License-Identifier: Apache-2.0
#include "pierbank/wire/SocketTransport.h"

#include <utility>

#include "SocketLink.h"

namespace pierbank {

namespace {

GSocketAddress* makeSocketAddress(const Address& address) {
    return g_inet_socket_address_new_from_string(address.m_host.c_str(), address.m_port);
}

/** State of an asynchronous connect until its completion. */
struct PendingConnect {
    std::shared_ptr<SocketPoller> m_poller;
    std::string m_peer;
    Transport::LinkCallback m_done;
};

void finishConnect(GObject* client, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<PendingConnect> pending(static_cast<PendingConnect*>(data));
    GSocketConnection* connection =
            g_socket_client_connect_finish(G_SOCKET_CLIENT(client), result, nullptr);
    if (connection == nullptr) {
        pending->m_done(nullptr);
        return;
    }
    const auto link = std::make_shared<SocketLink>(pending->m_poller, connection,
                                                   WebSocketCodec::Role::CLIENT, pending->m_peer);
    g_object_unref(connection);
    link->start([link = link.get(), done = pending->m_done](bool isOpen) {
        done(isOpen ? link->shared_from_this() : nullptr);
    });
}

}  // namespace

class SocketTransport::Detail {
public:
    Detail() : m_client(g_socket_client_new()) {
        constexpr guint CONNECT_TIMEOUT_SECONDS = 2;
        g_socket_client_set_enable_proxy(m_client, FALSE);
        g_socket_client_set_timeout(m_client, CONNECT_TIMEOUT_SECONDS);
    }

    ~Detail() {
        stopListening();
        g_object_unref(m_client);
    }

    bool listen(const Address& address, LinkCallback onLink, Reason& reason) {
        m_onLink = std::move(onLink);
        m_service = g_socket_service_new();
        GSocketAddress* socketAddress = makeSocketAddress(address);
        GError* error = nullptr;
        const gboolean added = g_socket_listener_add_address(
                G_SOCKET_LISTENER(m_service), socketAddress, G_SOCKET_TYPE_STREAM,
                G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &error);
        g_object_unref(socketAddress);
        if (added == FALSE) {
            reason = error->message;
            g_error_free(error);
            return false;
        }
        g_signal_connect(m_service, "incoming", G_CALLBACK(&Detail::onIncoming), this);
        g_socket_service_start(m_service);
        return true;
    }

    void stopListening() {
        if (m_service == nullptr) {
            return;
        }
        g_signal_handlers_disconnect_by_data(m_service, this);
        g_socket_service_stop(m_service);
        g_socket_listener_close(G_SOCKET_LISTENER(m_service));
        g_object_unref(m_service);
        m_service = nullptr;
    }

    void connect(const Address& address, LinkCallback done) {
        GSocketAddress* socketAddress = makeSocketAddress(address);
        auto* pending = new PendingConnect{m_poller, address.toText(), std::move(done)};
        g_socket_client_connect_async(m_client, G_SOCKET_CONNECTABLE(socketAddress), nullptr,
                                      &finishConnect, pending);
        g_object_unref(socketAddress);
    }

private:
    static gboolean onIncoming(GSocketService*, GSocketConnection* connection, GObject*,
                               gpointer data) {
        auto* self = static_cast<Detail*>(data);
        const auto link = std::make_shared<SocketLink>(self->m_poller, connection,
                                                       WebSocketCodec::Role::SERVER, "");
        link->start([link = link.get(), onLink = self->m_onLink](bool isOpen) {
            if (isOpen) {
                onLink(link->shared_from_this());
            }
        });
        return TRUE;
    }

    const std::shared_ptr<SocketPoller> m_poller = std::make_shared<SocketPoller>();
    GSocketClient* m_client;
    GSocketService* m_service = nullptr;
    LinkCallback m_onLink;
};

SocketTransport::SocketTransport() : m_detail(std::make_unique<Detail>()) {}

SocketTransport::~SocketTransport() = default;

bool SocketTransport::listen(const Address& address, LinkCallback onLink, Reason& reason) {
    return m_detail->listen(address, std::move(onLink), reason);
}

void SocketTransport::connect(const Address& address, LinkCallback done) {
    m_detail->connect(address, std::move(done));
}

void SocketTransport::stopListening() {
    m_detail->stopListening();
}

}  // namespace pierbank
