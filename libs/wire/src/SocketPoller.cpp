// SPDX-License-Identifier: Apache-2.0
#include "SocketPoller.h"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** Maximum number of sockets that are handled before timers and other sources get their turn. */
constexpr int MAX_EVENTS_PER_TURN = 64;

}  // namespace

SocketPoller::SocketPoller()
        : m_epoll(epoll_create1(EPOLL_CLOEXEC)),
          m_source(g_unix_fd_add(m_epoll, G_IO_IN, &SocketPoller::onReady, this)) {}

SocketPoller::~SocketPoller() {
    g_source_remove(m_source);
    ::close(m_epoll);
}

SocketPoller::Id SocketPoller::add(int descriptor, Listener& listener) {
    const Id id{++m_lastId};
    m_entries[id] = {descriptor, &listener};
    updateEpoll(EPOLL_CTL_ADD, id, EPOLLIN);
    return id;
}

void SocketPoller::setWriteInterest(Id id, bool isInterested) {
    updateEpoll(EPOLL_CTL_MOD, id, isInterested ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

void SocketPoller::remove(Id id) {
    updateEpoll(EPOLL_CTL_DEL, id, 0);
    m_entries.erase(id);
}

void SocketPoller::updateEpoll(int operation, Id id, std::uint32_t events) const {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    epoll_event event{};
    event.events = events;
    event.data.u64 = static_cast<std::uint64_t>(id);
    if (epoll_ctl(m_epoll, operation, found->second.m_descriptor, &event) != 0) {
        logEvent(Severity::ERROR, "link", "poll-failed", {{"reason", std::strerror(errno)}});
    }
}

gboolean SocketPoller::onReady(gint, GIOCondition, gpointer self) {
    static_cast<SocketPoller*>(self)->dispatch();
    return G_SOURCE_CONTINUE;
}

void SocketPoller::dispatch() {
    std::array<epoll_event, MAX_EVENTS_PER_TURN> events;
    const int count = epoll_wait(m_epoll, events.data(), MAX_EVENTS_PER_TURN, 0);
    for (int i = 0; i < count; ++i) {
        const epoll_event& event = events[static_cast<std::size_t>(i)];
        // A listener that was called earlier in this loop may have removed this entry.
        const auto found = m_entries.find(Id{event.data.u64});
        if (found != m_entries.end()) {
            const bool canWrite = (event.events & EPOLLOUT) != 0;
            const bool canRead = (event.events & ~std::uint32_t(EPOLLOUT)) != 0;
            found->second.m_listener->handleReady(canRead, canWrite);
        }
    }
}

}  // namespace pierbank
