// SPDX-License-Identifier: Apache-2.0
#include "GuardedStream.h"

#include <string>
#include <string_view>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** Maximum number of bytes that are read and discarded after a rejection. */
constexpr std::size_t MAX_DISCARDED_BYTES = 1U << 20U;
/** Time from a rejection until the connection is closed. */
constexpr guint DISCARD_TIMEOUT_MS = 1000;

constexpr std::string_view TOO_LARGE = "431 Request Header Fields Too Large";
constexpr std::string_view TOO_SLOW = "408 Request Timeout";

}  // namespace

// The macros of GObject require these two type names.
struct GuardedStream {
    GFilterInputStream m_parent;
    /** Owned reference. */
    GSocketConnection* m_connection;
    HeadLimits m_limits;
    /** Bytes of the current head that have been read. */
    std::size_t m_headBytes;
    std::size_t m_discardedBytes;
    /** Timer of the current head, or of the closing after a rejection. */
    guint m_timer;
    bool m_isInHead;
    bool m_isRejected;
};

struct GuardedStreamClass {
    GFilterInputStreamClass m_parent;
};

namespace {

GuardedStream* toGuarded(gpointer stream) {
    return static_cast<GuardedStream*>(stream);
}

GInputStream* getBase(GuardedStream* self) {
    return g_filter_input_stream_get_base_stream(G_FILTER_INPUT_STREAM(self));
}

void stopTimer(GuardedStream* self) {
    if (self->m_timer != 0) {
        g_source_remove(self->m_timer);
        self->m_timer = 0;
    }
}

gboolean closeAfterRejection(gpointer data) {
    GuardedStream* const self = toGuarded(data);
    self->m_timer = 0;
    g_io_stream_close(G_IO_STREAM(self->m_connection), nullptr, nullptr);
    return G_SOURCE_REMOVE;
}

void rejectHead(GuardedStream* self, std::string_view status) {
    stopTimer(self);
    self->m_isRejected = true;
    const std::string answer =
            std::string("HTTP/1.1 ")
                    .append(status)
                    .append("\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    GSocket* const socket = g_socket_connection_get_socket(self->m_connection);
    const gssize sent = g_socket_send(socket, answer.data(), answer.size(), nullptr, nullptr);
    g_socket_shutdown(socket, FALSE, TRUE, nullptr);
    logEvent(Severity::WARNING, "http", "head-refused",
             {{"status", std::string(status)},
              {"bytes", std::to_string(self->m_headBytes)},
              {"told", sent > 0 ? "yes" : "no"}});
    self->m_timer = g_timeout_add(DISCARD_TIMEOUT_MS, &closeAfterRejection, self);
}

gboolean rejectSlowHead(gpointer data) {
    GuardedStream* const self = toGuarded(data);
    self->m_timer = 0;
    rejectHead(self, TOO_SLOW);
    return G_SOURCE_REMOVE;
}

/**
 * Applies the limits to the result of a read from the connection.
 * @param count number of bytes read; zero at the end of the input, negative on an error.
 * @return the result for the reader: no data after a rejection, and the end of the input after
 * MAX_DISCARDED_BYTES.
 */
gssize processRead(GuardedStream* self, gssize count, GError** error) {
    if (count <= 0) {
        return count;
    }
    const auto bytes = static_cast<std::size_t>(count);
    if (!self->m_isRejected && self->m_isInHead) {
        if (self->m_headBytes == 0) {
            stopTimer(self);
            self->m_timer = g_timeout_add(static_cast<guint>(self->m_limits.m_timeout.count()),
                                          &rejectSlowHead, self);
        }
        self->m_headBytes += bytes;
        if (self->m_headBytes > self->m_limits.m_maxBytes) {
            rejectHead(self, TOO_LARGE);
        }
    }
    if (!self->m_isRejected) {
        return count;
    }
    self->m_discardedBytes += bytes;
    if (self->m_discardedBytes > MAX_DISCARDED_BYTES) {
        return 0;
    }
    g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK, "the head was refused");
    return -1;
}

gssize readStream(GInputStream* stream, void* buffer, gsize count, GCancellable* cancellable,
                  GError** error) {
    GuardedStream* const self = toGuarded(stream);
    return processRead(self, g_input_stream_read(getBase(self), buffer, count, cancellable, error),
                       error);
}

gssize readNonblocking(GPollableInputStream* stream, void* buffer, gsize count, GError** error) {
    GuardedStream* const self = toGuarded(stream);
    GPollableInputStream* const base = G_POLLABLE_INPUT_STREAM(getBase(self));
    return processRead(
            self, g_pollable_input_stream_read_nonblocking(base, buffer, count, nullptr, error),
            error);
}

gboolean isReadable(GPollableInputStream* stream) {
    return g_pollable_input_stream_is_readable(G_POLLABLE_INPUT_STREAM(getBase(toGuarded(stream))));
}

GSource* createSource(GPollableInputStream* stream, GCancellable* cancellable) {
    GSource* const base = g_pollable_input_stream_create_source(
            G_POLLABLE_INPUT_STREAM(getBase(toGuarded(stream))), cancellable);
    GSource* const source = g_pollable_source_new_full(stream, base, cancellable);
    g_source_unref(base);
    return source;
}

gboolean closeStream(GInputStream* stream, GCancellable* cancellable, GError** error) {
    GuardedStream* const self = toGuarded(stream);
    stopTimer(self);
    return g_io_stream_close(G_IO_STREAM(self->m_connection), cancellable, error);
}

void initPollable(GPollableInputStreamInterface* pollable, gpointer) {
    pollable->is_readable = &isReadable;
    pollable->create_source = &createSource;
    pollable->read_nonblocking = &readNonblocking;
}

}  // namespace

// NOLINTBEGIN(readability-identifier-naming): the macro declares functions with the names of
// GObject.
G_DEFINE_TYPE_WITH_CODE(GuardedStream, guarded_stream, G_TYPE_FILTER_INPUT_STREAM,
                        G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_INPUT_STREAM, initPollable))

static void guarded_stream_finalize(GObject* object) {
    GuardedStream* const self = toGuarded(object);
    stopTimer(self);
    g_object_unref(self->m_connection);
    G_OBJECT_CLASS(guarded_stream_parent_class)->finalize(object);
}

static void guarded_stream_class_init(GuardedStreamClass* type) {
    G_OBJECT_CLASS(type)->finalize = &guarded_stream_finalize;
    G_INPUT_STREAM_CLASS(type)->read_fn = &readStream;
    G_INPUT_STREAM_CLASS(type)->close_fn = &closeStream;
}

static void guarded_stream_init(GuardedStream* self) {
    self->m_isInHead = true;
}
// NOLINTEND(readability-identifier-naming)

GInputStream* makeGuardedStream(GSocketConnection* connection, const HeadLimits& limits) {
    GInputStream* const base = g_io_stream_get_input_stream(G_IO_STREAM(connection));
    auto* const self = toGuarded(g_object_new(guarded_stream_get_type(), "base-stream", base,
                                              "close-base-stream", FALSE, nullptr));
    self->m_connection = static_cast<GSocketConnection*>(g_object_ref(connection));
    self->m_limits = limits;
    return G_INPUT_STREAM(self);
}

void beginHead(GInputStream* stream) {
    GuardedStream* const self = toGuarded(stream);
    self->m_isInHead = true;
    self->m_headBytes = 0;
}

void endHead(GInputStream* stream) {
    GuardedStream* const self = toGuarded(stream);
    self->m_isInHead = false;
    if (!self->m_isRejected) {
        stopTimer(self);
    }
}

}  // namespace pierbank
