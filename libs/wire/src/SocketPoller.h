// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_WIRE_SRC_SOCKETPOLLER_H
#define PIERBANK_WIRE_SRC_SOCKETPOLLER_H

#include <glib.h>

#include <cstdint>
#include <map>

namespace pierbank {

/**
 * Waits for any number of sockets as one source of the main context. As sources of their own, each
 * turn of the loop looks at all of them: with a thousand links that is most of what a turn costs,
 * and it is paid for each message that arrives.
 */
class SocketPoller {
public:
    /** Told that a socket can be read or written, or has failed (then it can be read). */
    class Listener {
    public:
        virtual ~Listener() = default;
        /** May remove any listener, this one too. */
        virtual void handleReady(bool canRead, bool canWrite) = 0;
    };

    /** Names a socket that is waited for. */
    enum class Id : std::uint64_t { NONE = 0 };

    SocketPoller();
    ~SocketPoller();
    SocketPoller(const SocketPoller&) = delete;
    SocketPoller& operator=(const SocketPoller&) = delete;

    /** Waits until `descriptor` can be read. Poller and descriptor must outlive the wait. */
    Id add(int descriptor, Listener& listener);
    /** Whether to wait until it can be written, too. */
    void setWaitsForRoom(Id id, bool waits);
    /** Before the descriptor is closed. */
    void remove(Id id);

private:
    struct Entry {
        int m_descriptor;
        Listener* m_listener;
    };

    static gboolean onReady(gint, GIOCondition, gpointer self);
    void dispatch();
    void control(int operation, Id id, std::uint32_t events) const;

    int m_epoll;
    guint m_source;
    std::uint64_t m_last = 0;
    std::map<Id, Entry> m_entries;
};

}  // namespace pierbank

#endif  // PIERBANK_WIRE_SRC_SOCKETPOLLER_H
