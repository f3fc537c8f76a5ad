// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_HTTP_SRC_GUARDEDSTREAM_H
#define PIERBANK_HTTP_SRC_GUARDEDSTREAM_H

#include <gio/gio.h>

#include "pierbank/http/HttpServer.h"

namespace pierbank {

/**
 * Creates an input stream for a connection that enforces HeadLimits. libsoup resets a connection
 * whose head is too large, and waits indefinitely for an incomplete head. This stream sends the
 * error response itself. The stream then discards further input for up to a second before it closes
 * the connection, because closing a socket with unread input would discard the response too.
 *
 * The owner marks the heads with beginHead() and endHead(). The stream is a GObject, to be released
 * with g_object_unref().
 */
GInputStream* makeGuardedStream(GSocketConnection* connection, const HeadLimits& limits);

/** Marks the beginning of a head: the limits apply from the next byte on. */
void beginHead(GInputStream* stream);
/** Marks the end of a head. The body that follows is not limited. */
void endHead(GInputStream* stream);

}  // namespace pierbank

#endif  // PIERBANK_HTTP_SRC_GUARDEDSTREAM_H
