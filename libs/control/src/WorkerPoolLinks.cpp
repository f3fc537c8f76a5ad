// SPDX-License-Identifier: Apache-2.0
// How a WorkerPool opens its links, and gives them up.
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/WorkerPool.h"

namespace pierbank {

/**
 * A host registers when it starts, and when it has no leader. A link to its former process may say
 * nothing of that for `m_linkTimeout`, and a connection that was begun while it was without power
 * only goes on when the first packet is sent again, after a second.
 */
void WorkerPool::reconnect(Host& host) {
    const Millis quiet = getRequestInterval() + m_settings.m_idleSlack;
    const bool isQuiet = m_loop.now() - host.m_lastReceivedAt > quiet;
    if (host.isLinked() && isQuiet) {
        dropLink(host.m_address, "registered anew");
    }
    host.m_isConnecting = false;
    noteOpened(host.m_address);
    connectSoon(host.m_address);
}

void WorkerPool::connectSoon(const std::string& address) {
    if (m_priorityHosts.count(address) != 0) {
        m_toOpen.push_front(address);
    } else {
        m_toOpen.push_back(address);
    }
    openNext();
}

void WorkerPool::openNext() {
    while (!m_toOpen.empty() && m_opening.size() < m_settings.m_maxOpeningLinks) {
        const std::string address = std::move(m_toOpen.front());
        m_toOpen.pop_front();
        const auto found = m_hosts.find(address);
        const bool isWanted = found != m_hosts.end() && !found->second.isLinked() &&
                              !found->second.m_isConnecting && m_opening.count(address) == 0;
        if (!isWanted) {
            continue;
        }
        m_opening[address] = m_loop.callLater(m_settings.m_linkOpenTimeout,
                                              [this, address, term = std::weak_ptr(m_term)] {
                                                  if (!term.expired()) {
                                                      noteOpened(address);
                                                  }
                                              });
        connect(address);
    }
    m_isOpeningInitialLinks = m_isOpeningInitialLinks && !(m_toOpen.empty() && m_opening.empty());
}

/** A link was opened and its host has told what runs there, or it has had its time. */
void WorkerPool::noteOpened(const std::string& address) {
    const auto found = m_opening.find(address);
    if (found != m_opening.end()) {
        m_loop.cancel(found->second);
        m_opening.erase(found);
        openNext();
    }
}

void WorkerPool::connect(const std::string& address) {
    const auto found = m_hosts.find(address);
    const auto target = Address::parse(address);
    if (found == m_hosts.end() || !target.has_value() || found->second.isLinked() ||
        found->second.m_isConnecting) {
        return;
    }
    found->second.m_isConnecting = true;
    m_transport.connect(*target,
                        [this, address, term = std::weak_ptr(m_term)](std::shared_ptr<Link> link) {
                            if (term.expired()) {
                                return;
                            }
                            handleConnected(address, std::move(link));
                        });
}

void WorkerPool::handleConnected(const std::string& address, std::shared_ptr<Link> link) {
    const auto found = m_hosts.find(address);
    if (found == m_hosts.end()) {
        // Forgotten meanwhile.
        if (link != nullptr) {
            link->close();
        }
        return;
    }
    found->second.m_isConnecting = false;
    if (found->second.isLinked()) {
        // Another try was quicker.
        if (link != nullptr) {
            link->close();
        }
        return;
    }
    if (link == nullptr) {
        noteOpened(address);
        connectLater(address);
        return;
    }
    handleLink(address, std::move(link));
}

void WorkerPool::connectLater(const std::string& address) {
    m_loop.callLater(m_settings.m_reconnectPause, [this, address, term = std::weak_ptr(m_term)] {
        if (!term.expired()) {
            connectSoon(address);
        }
    });
}

void WorkerPool::handleLink(const std::string& address, std::shared_ptr<Link> link) {
    Host& host = m_hosts[address];
    host.m_link = std::move(link);
    host.m_hasReport = false;
    host.m_lastReceivedAt = m_loop.now();
    const auto term = std::weak_ptr(m_term);
    host.m_link->setCallbacks(
            [this, address, term](const Frame& frame) {
                if (!term.expired()) {
                    handleFrame(address, frame);
                }
            },
            [this, address, term] {
                if (!term.expired()) {
                    dropLink(address, "closed");
                }
            });
    host.m_link->send(LeaderHello{m_epoch, m_settings.m_node, ++m_linkCounts[address]});
    logEvent(Severity::INFO, "workers", "linked", {{"host", address}});
}

void WorkerPool::dropLink(const std::string& address, std::string_view why) {
    Host& host = m_hosts[address];
    if (host.m_link == nullptr) {
        return;
    }
    host.m_link->close();
    host.m_link.reset();
    host.m_hasReport = false;
    logEvent(Severity::WARNING, "workers", "unlinked",
             {{"host", address}, {"reason", std::string(why)}});
    connectLater(address);
    m_listener.handleWorkerChanged(address);
}

}  // namespace pierbank
