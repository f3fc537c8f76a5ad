// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_WIRE_SRC_SOCKETPOLLER_H
#define PIERBANK_WIRE_SRC_SOCKETPOLLER_H

#include <glib.h>

#include <cstdint>
#include <map>

namespace pierbank {

/**
 * Waits for any number of sockets as one source of the main context, by means of epoll. With one
 * source for each socket, every turn of the loop, and so every received message, would check all
 * sockets; with a thousand links that is most of the cost of a turn.
 */
class SocketPoller {
public:
    /** Receives the readiness of a socket. A failed socket is reported as readable. */
    class Listener {
    public:
        virtual ~Listener() = default;
        /** May remove any listener, including this one. */
        virtual void handleReady(bool canRead, bool canWrite) = 0;
    };

    /** Identifies a registered socket. */
    enum class Id : std::uint64_t { NONE = 0 };

    SocketPoller();
    ~SocketPoller();
    SocketPoller(const SocketPoller&) = delete;
    SocketPoller& operator=(const SocketPoller&) = delete;

    /**
     * Registers a socket and waits until it is readable. The descriptor must remain open and the
     * listener alive until remove().
     */
    Id add(int descriptor, Listener& listener);
    /** Sets whether to wait until the socket is writable, too. */
    void setWriteInterest(Id id, bool isInterested);
    /** Unregisters a socket; must be called before the descriptor is closed. */
    void remove(Id id);

private:
    struct Entry {
        int m_descriptor;
        Listener* m_listener;
    };

    static gboolean onReady(gint, GIOCondition, gpointer self);
    void dispatch();
    void updateEpoll(int operation, Id id, std::uint32_t events) const;

    int m_epoll;
    guint m_source;
    std::uint64_t m_lastId = 0;
    std::map<Id, Entry> m_entries;
};

}  // namespace pierbank

#endif  // PIERBANK_WIRE_SRC_SOCKETPOLLER_H
