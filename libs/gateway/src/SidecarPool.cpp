// SPDX-License-Identifier: Apache-2.0
#include "pierbank/gateway/SidecarPool.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "pierbank/base/Log.h"

namespace pierbank {

SidecarPool::SidecarPool(EventLoop& loop, Random& random, Transport& transport,
                         std::function<Hello()> makeHello)
        : m_loop(loop),
          m_random(random),
          m_transport(transport),
          m_makeHello(std::move(makeHello)) {
    checkSilence();
}

SidecarPool::~SidecarPool() {
    *m_isAlive = false;
}

void SidecarPool::setHosts(std::span<const Host> hosts) {
    for (auto& [name, peer] : m_peers) {
        peer.m_isListed = false;
    }
    std::vector<std::string> toConnect;
    for (const Host& host : hosts) {
        if (host.m_role == HostRole::GATEWAY) {
            continue;
        }
        const auto [found, isNew] = m_peers.try_emplace(host.m_name);
        Peer& peer = found->second;
        const bool hasMoved = !isNew && !(peer.m_host.m_address == host.m_address);
        peer.m_host = host;
        peer.m_isListed = true;
        if (hasMoved) {
            dropLink(peer);
        }
        if (isNew || hasMoved) {
            toConnect.push_back(host.m_name);
        }
    }
    for (const std::string& name : toConnect) {
        connect(name);
    }
}

void SidecarPool::connect(const std::string& name) {
    const auto found = m_peers.find(name);
    if (found == m_peers.end() || found->second.m_link != nullptr) {
        return;
    }
    Peer& peer = found->second;
    const std::uint64_t generation = ++peer.m_generation;
    m_transport.connect(peer.m_host.m_address, [this, alive = m_isAlive, name,
                                                generation](const std::shared_ptr<Link>& link) {
        if (*alive) {
            handleConnected(name, generation, link);
        }
    });
}

void SidecarPool::handleConnected(const std::string& name, std::uint64_t generation,
                                  const std::shared_ptr<Link>& link) {
    const auto found = m_peers.find(name);
    if (found == m_peers.end() || found->second.m_generation != generation) {
        return;
    }
    if (link == nullptr) {
        connectLater(name);
        return;
    }
    Peer& peer = found->second;
    peer.m_link = link;
    peer.m_heardAt = m_loop.now();
    link->setCallbacks(
            [this, alive = m_isAlive, name, generation](const Frame& frame) {
                if (*alive) {
                    handleFrame(name, generation, frame);
                }
            },
            [this, alive = m_isAlive, name, generation] {
                if (*alive) {
                    handleClosed(name, generation);
                }
            });
    link->send(m_makeHello());
}

void SidecarPool::handleFrame(const std::string& name, std::uint64_t generation,
                              const Frame& frame) {
    const auto found = m_peers.find(name);
    if (found == m_peers.end() || found->second.m_generation != generation) {
        return;
    }
    Peer& peer = found->second;
    peer.m_heardAt = m_loop.now();
    const Host host = peer.m_host;
    if (const auto* const hello = std::get_if<Hello>(&frame)) {
        peer.m_isReady = true;
        peer.m_pause = Millis(0);
        logEvent(Severity::INFO, "links", "linked",
                 {{"host", name}, {"instance", hello->m_instance}});
        m_callbacks.m_linked(host, *hello);
    } else if (peer.m_isReady) {
        m_callbacks.m_frame(host, frame);
    }
}

void SidecarPool::handleClosed(const std::string& name, std::uint64_t generation) {
    const auto found = m_peers.find(name);
    if (found == m_peers.end() || found->second.m_generation != generation) {
        return;
    }
    dropLink(found->second);
    connectLater(name);
}

void SidecarPool::dropLink(Peer& peer) {
    ++peer.m_generation;
    if (peer.m_link != nullptr) {
        peer.m_link->close();
        peer.m_link.reset();
    }
    if (std::exchange(peer.m_isReady, false)) {
        logEvent(Severity::WARNING, "links", "unlinked", {{"host", peer.m_host.m_name}});
        const Host host = peer.m_host;
        m_callbacks.m_unlinked(host);
    }
}

void SidecarPool::connectLater(const std::string& name) {
    const auto found = m_peers.find(name);
    if (found == m_peers.end()) {
        return;
    }
    Peer& peer = found->second;
    if (!peer.m_isListed) {
        m_peers.erase(found);
        return;
    }
    peer.m_pause = std::clamp<Millis>(peer.m_pause * 2, FIRST_PAUSE, LAST_PAUSE);
    const auto half = static_cast<std::uint64_t>(peer.m_pause.count() / 2);
    const Millis pause = peer.m_pause / 2 + Millis(m_random.below(half + 1));
    m_loop.callLater(pause, [this, alive = m_isAlive, name] {
        if (*alive) {
            connect(name);
        }
    });
}

void SidecarPool::checkSilence() {
    m_loop.callLater(SILENCE_CHECK, [this, alive = m_isAlive] {
        if (!*alive) {
            return;
        }
        // After a pause of this very process nobody can have been heard: their frames still wait.
        const bool wasPaused = m_loop.now() - m_checkedAt > 2 * SILENCE_CHECK;
        m_checkedAt = m_loop.now();
        std::vector<std::string> silent;
        for (auto& [name, peer] : m_peers) {
            peer.m_heardAt = wasPaused ? m_checkedAt : peer.m_heardAt;
            const bool isSilent =
                    peer.m_link != nullptr && m_loop.now() - peer.m_heardAt > SILENCE_TIMEOUT;
            if (isSilent) {
                silent.push_back(name);
            }
        }
        for (const std::string& name : silent) {
            handleClosed(name, m_peers[name].m_generation);
        }
        checkSilence();
    });
}

bool SidecarPool::send(std::string_view name, const Frame& frame) {
    const auto found = m_peers.find(name);
    if (found == m_peers.end() || !found->second.m_isReady) {
        return false;
    }
    return found->second.m_link->send(frame);
}

bool SidecarPool::sendToWorker(std::string_view worker, const Frame& frame) {
    return send(worker, frame);
}

bool SidecarPool::sendToEndpoint(std::string_view endpoint, const Frame& frame) {
    return send(endpoint, frame);
}

void SidecarPool::broadcast(const Frame& frame) {
    for (const auto& [name, peer] : m_peers) {
        if (peer.m_isReady) {
            peer.m_link->send(frame);
        }
    }
}

std::size_t SidecarPool::countLinked() const {
    return static_cast<std::size_t>(std::count_if(
            m_peers.begin(), m_peers.end(), [](const auto& e) { return e.second.m_isReady; }));
}

}  // namespace pierbank
