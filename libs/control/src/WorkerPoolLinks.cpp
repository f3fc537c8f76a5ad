// SPDX-License-Identifier: Apache-2.0
// WorkerPool: opening and closing of links.
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/WorkerPool.h"

namespace pierbank {

/**
 * Connects again to a host that registered. A host registers when it starts, and while no leader is
 * linked. A link to its previous process may show no failure for `m_linkTimeout`, so an idle link
 * is closed. A connection attempt that began while the host was without power continues only with
 * the retransmission of its first packet, after a second, so another attempt is queued.
 */
void WorkerPool::reconnect(Host& host) {
    const Millis maxIdleTime = getRequestInterval() + m_settings.m_idleSlack;
    const bool isIdle = m_loop.now() - host.m_lastReceivedAt > maxIdleTime;
    if (host.isLinked() && isIdle) {
        dropLink(host.m_address, "registered anew");
    }
    host.m_isConnecting = false;
    finishOpening(host.m_address);
    enqueueConnect(host.m_address);
}

/** Queues a host to be connected. */
void WorkerPool::enqueueConnect(const std::string& address) {
    if (m_priorityHosts.count(address) != 0) {
        m_openQueue.push_front(address);
    } else {
        m_openQueue.push_back(address);
    }
    openQueuedLinks();
}

/** Connects to queued hosts, up to the maximum number of links that are opened concurrently. */
void WorkerPool::openQueuedLinks() {
    while (!m_openQueue.empty() && m_opening.size() < m_settings.m_maxOpeningLinks) {
        const std::string address = std::move(m_openQueue.front());
        m_openQueue.pop_front();
        const auto found = m_hosts.find(address);
        const bool isWanted = found != m_hosts.end() && !found->second.isLinked() &&
                              !found->second.m_isConnecting && m_opening.count(address) == 0;
        if (!isWanted) {
            continue;
        }
        m_opening[address] = m_loop.callLater(m_settings.m_linkOpenTimeout,
                                              [this, address, term = std::weak_ptr(m_term)] {
                                                  if (!term.expired()) {
                                                      finishOpening(address);
                                                  }
                                              });
        connect(address);
    }
    m_isOpeningInitialLinks =
            m_isOpeningInitialLinks && !(m_openQueue.empty() && m_opening.empty());
}

/**
 * Ends the opening of a link, because the host has sent its first run report or gateway query,
 * m_linkOpenTimeout has passed, the attempt has failed or the host has registered again. Then opens
 * the next links.
 */
void WorkerPool::finishOpening(const std::string& address) {
    const auto found = m_opening.find(address);
    if (found != m_opening.end()) {
        m_loop.cancel(found->second);
        m_opening.erase(found);
        openQueuedLinks();
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
        // The host was removed while the connection was being established.
        if (link != nullptr) {
            link->close();
        }
        return;
    }
    found->second.m_isConnecting = false;
    if (found->second.isLinked()) {
        // Another connection attempt succeeded first.
        if (link != nullptr) {
            link->close();
        }
        return;
    }
    if (link == nullptr) {
        finishOpening(address);
        scheduleReconnect(address);
        return;
    }
    handleLink(address, std::move(link));
}

void WorkerPool::scheduleReconnect(const std::string& address) {
    m_loop.callLater(m_settings.m_reconnectDelay, [this, address, term = std::weak_ptr(m_term)] {
        if (!term.expired()) {
            enqueueConnect(address);
        }
    });
}

void WorkerPool::handleLink(const std::string& address, std::shared_ptr<Link> link) {
    Host& host = m_hosts[address];
    host.m_link = std::move(link);
    host.m_linkNumber = ++m_linkCounts[address];
    host.m_hasReport = false;
    host.m_lastReceivedAt = m_loop.now();
    const auto term = std::weak_ptr(m_term);
    host.m_link->setCallbacks(
            [this, address, term, from = std::weak_ptr(host.m_link)](const Frame& frame) {
                if (!term.expired()) {
                    handleFrame(address, from.lock(), frame);
                }
            },
            [this, address, term] {
                if (!term.expired()) {
                    dropLink(address, "closed");
                }
            });
    host.m_link->send(LeaderHello{m_epoch, m_settings.m_node, host.m_linkNumber});
    logEvent(Severity::INFO, "workers", "linked",
             {{"host", address}, {"link", std::to_string(host.m_linkNumber)}});
}

void WorkerPool::dropLink(const std::string& address, std::string_view reason) {
    Host& host = m_hosts[address];
    if (host.m_link == nullptr) {
        return;
    }
    host.m_link->close();
    host.m_link.reset();
    host.m_hasReport = false;
    logEvent(Severity::WARNING, "workers", "unlinked",
             {{"host", address}, {"reason", std::string(reason)}});
    scheduleReconnect(address);
    m_listener.handleWorkerChanged(address);
}

}  // namespace pierbank
