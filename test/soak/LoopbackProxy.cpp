// SPDX-License-Identifier: Apache-2.0
#include "LoopbackProxy.h"

#include <sys/socket.h>

#include <array>
#include <utility>

namespace pierbank::testing {

/** One direction of a pipe. At most one block is in flight: read, delayed, then written. */
struct LoopbackProxy::Direction {
    GInputStream* m_from = nullptr;
    GOutputStream* m_to = nullptr;
    std::array<char, 16'384> m_buffer{};
    gsize m_size = 0;
    /** The buffer holds bytes that wait for the end of the silence. */
    bool m_isBlocked = false;
};

/** An accepted connection and its connection to the target. */
struct LoopbackProxy::Pipe {
    GSocketConnection* m_caller = nullptr;
    GSocketConnection* m_target = nullptr;
    GCancellable* m_cancellable = g_cancellable_new();
    Direction m_request;
    Direction m_response;
    bool m_isClosed = false;

    ~Pipe() {
        g_clear_object(&m_caller);
        g_clear_object(&m_target);
        g_object_unref(m_cancellable);
    }
};

namespace {

/** Closes a connection, with a TCP reset instead of an orderly close if `isReset`. */
void closeConnection(GSocketConnection* connection, bool isReset) {
    if (connection == nullptr) {
        return;
    }
    if (isReset) {
        const linger resetOnClose{1, 0};
        setsockopt(g_socket_get_fd(g_socket_connection_get_socket(connection)), SOL_SOCKET,
                   SO_LINGER, &resetOnClose, sizeof resetOnClose);
    }
    g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
}

/** Adapts a std::function to an asynchronous GIO callback; passed as user data. */
struct AsyncCallback {
    std::function<void(GObject*, GAsyncResult*)> m_run;

    static void call(GObject* source, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<AsyncCallback> callback(static_cast<AsyncCallback*>(data));
        callback->m_run(source, result);
    }
};

}  // namespace

LoopbackProxy::LoopbackProxy(EventLoop& loop, Address target)
        : m_loop(loop), m_target(std::move(target)), m_client(g_socket_client_new()) {
    g_socket_client_set_enable_proxy(m_client, FALSE);
}

LoopbackProxy::~LoopbackProxy() {
    if (m_service != nullptr) {
        g_signal_handlers_disconnect_by_data(m_service, this);
        g_socket_service_stop(m_service);
        g_socket_listener_close(G_SOCKET_LISTENER(m_service));
        g_object_unref(m_service);
    }
    resetAll();
    g_object_unref(m_client);
}

bool LoopbackProxy::listen(const Address& address, Reason& reason) {
    m_service = g_socket_service_new();
    GSocketAddress* const listenAddress =
            g_inet_socket_address_new_from_string(address.m_host.c_str(), address.m_port);
    GError* error = nullptr;
    const gboolean isListening = g_socket_listener_add_address(
            G_SOCKET_LISTENER(m_service), listenAddress, G_SOCKET_TYPE_STREAM,
            G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &error);
    g_object_unref(listenAddress);
    if (isListening == FALSE) {
        reason = error->message;
        g_error_free(error);
        return false;
    }
    g_signal_connect(m_service, "incoming", G_CALLBACK(&LoopbackProxy::onIncoming), this);
    g_socket_service_start(m_service);
    return true;
}

gboolean LoopbackProxy::onIncoming(GSocketService*, GSocketConnection* connection, GObject*,
                                   gpointer self) {
    static_cast<LoopbackProxy*>(self)->connect(connection);
    return TRUE;
}

void LoopbackProxy::connect(GSocketConnection* caller) {
    const auto pipe = std::make_shared<Pipe>();
    pipe->m_caller = static_cast<GSocketConnection*>(g_object_ref(caller));
    m_pipes.push_back(pipe);
    auto* const callback = new AsyncCallback{
            [this, pipe, alive = std::weak_ptr(m_isAlive)](GObject* client, GAsyncResult* result) {
                GSocketConnection* const target =
                        g_socket_client_connect_finish(G_SOCKET_CLIENT(client), result, nullptr);
                if (alive.expired() || target == nullptr || pipe->m_isClosed) {
                    closeConnection(target, true);
                    if (target != nullptr) {
                        g_object_unref(target);
                    }
                    if (!alive.expired()) {
                        close(pipe);
                    }
                    return;
                }
                pipe->m_target = target;
                pipe->m_request.m_from = g_io_stream_get_input_stream(G_IO_STREAM(pipe->m_caller));
                pipe->m_request.m_to = g_io_stream_get_output_stream(G_IO_STREAM(target));
                pipe->m_response.m_from = g_io_stream_get_input_stream(G_IO_STREAM(target));
                pipe->m_response.m_to = g_io_stream_get_output_stream(G_IO_STREAM(pipe->m_caller));
                read(pipe, pipe->m_request);
                read(pipe, pipe->m_response);
            }};
    g_socket_client_connect_to_host_async(m_client, m_target.m_host.c_str(), m_target.m_port,
                                          pipe->m_cancellable, &AsyncCallback::call, callback);
}

void LoopbackProxy::read(const PipePtr& pipe, Direction& direction) {
    auto* const callback =
            new AsyncCallback{[this, pipe, &direction, alive = std::weak_ptr(m_isAlive)](
                                      GObject* stream, GAsyncResult* result) {
                const gssize count =
                        g_input_stream_read_finish(G_INPUT_STREAM(stream), result, nullptr);
                if (alive.expired() || pipe->m_isClosed) {
                    return;
                }
                if (count <= 0) {
                    close(pipe);
                    return;
                }
                direction.m_size = static_cast<gsize>(count);
                m_loop.callLater(m_delay, [this, pipe, &direction, alive] {
                    if (!alive.expired()) {
                        forward(pipe, direction);
                    }
                });
            }};
    g_input_stream_read_async(direction.m_from, direction.m_buffer.data(),
                              direction.m_buffer.size(), G_PRIORITY_DEFAULT, pipe->m_cancellable,
                              &AsyncCallback::call, callback);
}

void LoopbackProxy::forward(const PipePtr& pipe, Direction& direction) {
    if (pipe->m_isClosed) {
        return;
    }
    direction.m_isBlocked = m_isSilent;
    if (m_isSilent) {
        return;
    }
    auto* const callback =
            new AsyncCallback{[this, pipe, &direction, alive = std::weak_ptr(m_isAlive)](
                                      GObject* stream, GAsyncResult* result) {
                const gboolean isWritten = g_output_stream_write_all_finish(
                        G_OUTPUT_STREAM(stream), result, nullptr, nullptr);
                if (alive.expired() || pipe->m_isClosed) {
                    return;
                }
                if (isWritten == FALSE) {
                    close(pipe);
                    return;
                }
                read(pipe, direction);
            }};
    g_output_stream_write_all_async(direction.m_to, direction.m_buffer.data(), direction.m_size,
                                    G_PRIORITY_DEFAULT, pipe->m_cancellable, &AsyncCallback::call,
                                    callback);
}

void LoopbackProxy::setSilent(bool isSilent) {
    m_isSilent = isSilent;
    if (isSilent) {
        return;
    }
    for (const PipePtr& pipe : std::vector<PipePtr>(m_pipes)) {
        for (Direction* const direction : {&pipe->m_request, &pipe->m_response}) {
            if (std::exchange(direction->m_isBlocked, false)) {
                forward(pipe, *direction);
            }
        }
    }
}

void LoopbackProxy::close(const PipePtr& pipe) {
    if (std::exchange(pipe->m_isClosed, true)) {
        return;
    }
    g_cancellable_cancel(pipe->m_cancellable);
    closeConnection(pipe->m_caller, false);
    closeConnection(pipe->m_target, false);
    std::erase(m_pipes, pipe);
}

void LoopbackProxy::resetAll() {
    for (const PipePtr& pipe : std::exchange(m_pipes, {})) {
        pipe->m_isClosed = true;
        g_cancellable_cancel(pipe->m_cancellable);
        closeConnection(pipe->m_caller, true);
        closeConnection(pipe->m_target, true);
    }
}

}  // namespace pierbank::testing
