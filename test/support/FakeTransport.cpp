// SPDX-License-Identifier: Apache-2.0
#include "FakeTransport.h"

#include <stdexcept>

#include "pierbank/wire/FrameCodec.h"

namespace pierbank::testing {

namespace {

constexpr Millis LATENCY{1};
constexpr Millis CONNECT_TIMEOUT{2000};

}  // namespace

/** One end of a link. The ends refer to each other weakly: destroying one closes both. */
class FakeLink final : public Link, public std::enable_shared_from_this<FakeLink> {
public:
    FakeLink(FakeNetwork& network, EventLoop& loop, std::string own, std::string peer)
            : m_network(network), m_loop(loop), m_own(std::move(own)), m_peer(std::move(peer)) {}

    ~FakeLink() override { close(); }

    void setCallbacks(FrameCallback onFrame, CloseCallback onClose) override {
        m_onFrame = std::move(onFrame);
        m_onClose = std::move(onClose);
    }

    bool send(const Frame& frame) override {
        const auto other = m_other.lock();
        if (m_isClosed || other == nullptr) {
            return false;
        }
        const bool isHung =
                m_network.m_hung.count(m_own) != 0 || m_network.m_hung.count(m_peer) != 0;
        const bool passes = !isHung && !m_network.isCut(m_own, m_peer) &&
                            (!m_network.m_tap || m_network.m_tap(m_own, m_peer, frame));
        if (passes) {
            const std::weak_ptr<FakeLink> target = other;
            other->m_loop.callLater(LATENCY, [target, bytes = encodeFrame(frame)] {
                const auto link = target.lock();
                if (link != nullptr) {
                    link->deliver(bytes);
                }
            });
        }
        return true;
    }

    void close() override {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        const std::weak_ptr<FakeLink> target = m_other;
        const auto other = target.lock();
        if (other != nullptr) {
            other->m_loop.callLater(LATENCY, [target] {
                const auto link = target.lock();
                if (link != nullptr) {
                    link->handlePeerClosed();
                }
            });
        }
    }

    /** Closes this end because the other end has closed. */
    void handlePeerClosed() {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        const CloseCallback onClose = std::exchange(m_onClose, nullptr);
        if (onClose) {
            onClose();
        }
    }

    /** Closes this end without callbacks, since its process has terminated. */
    void disconnect() {
        m_isClosed = true;
        m_onFrame = nullptr;
        m_onClose = nullptr;
    }

    /** Closes this end from the network, on the loop of its process. */
    void closeLater() {
        m_loop.callLater(LATENCY, [weak = weak_from_this()] {
            const auto link = weak.lock();
            if (link != nullptr) {
                link->handlePeerClosed();
            }
        });
    }

    bool belongsTo(const std::string& process) const { return m_own == process; }

    void deliver(const std::string& bytes) {
        if (m_isClosed || !m_onFrame) {
            return;
        }
        Reason reason;
        const auto frame = decodeFrame(bytes, reason);
        if (!frame.has_value()) {
            throw std::logic_error("a frame did not survive its codec: " + reason);
        }
        const FrameCallback onFrame = m_onFrame;
        onFrame(*frame);
    }

    bool isBetween(const std::string& a, const std::string& b) const {
        return (m_own == a && m_peer == b) || (m_own == b && m_peer == a);
    }
    bool involves(const std::string& process) const {
        return m_own == process || m_peer == process;
    }

    std::weak_ptr<FakeLink> m_other;

private:
    FakeNetwork& m_network;
    EventLoop& m_loop;
    const std::string m_own;
    const std::string m_peer;
    FrameCallback m_onFrame;
    CloseCallback m_onClose;
    bool m_isClosed = false;
};

void FakeNetwork::cut(const std::string& a, const std::string& b) {
    m_cuts.insert({a, b});
    m_cuts.insert({b, a});
}

void FakeNetwork::heal(const std::string& a, const std::string& b) {
    m_cuts.erase({a, b});
    m_cuts.erase({b, a});
}

bool FakeNetwork::isCut(const std::string& a, const std::string& b) const {
    return m_cuts.count({a, b}) != 0;
}

void FakeNetwork::kill(const std::string& process) {
    std::erase_if(m_listeners, [&](const auto& e) { return e.second.m_process == process; });
    for (const auto& weak : m_links) {
        const auto link = weak.lock();
        if (link == nullptr || !link->involves(process)) {
            continue;
        }
        if (link->belongsTo(process)) {
            link->disconnect();
        } else {
            link->closeLater();
        }
    }
}

void FakeNetwork::breakLinks(const std::string& a, const std::string& b) {
    for (const auto& weak : m_links) {
        const auto link = weak.lock();
        if (link != nullptr && link->isBetween(a, b)) {
            link->closeLater();
        }
    }
}

bool FakeTransport::listen(const Address& address, LinkCallback onLink, Reason& reason) {
    const std::string key = address.toText();
    if (m_network.m_listeners.count(key) != 0) {
        reason = "address in use";
        return false;
    }
    m_network.m_listeners[key] = {m_process, &m_loop, std::move(onLink)};
    return true;
}

void FakeTransport::connect(const Address& address, LinkCallback done) {
    m_loop.callLater(LATENCY, [this, key = address.toText(), done] {
        const auto found = m_network.m_listeners.find(key);
        const bool isHung = found != m_network.m_listeners.end() &&
                            m_network.m_hung.count(found->second.m_process) != 0;
        if (isHung) {
            m_loop.callLater(CONNECT_TIMEOUT, [done] { done(nullptr); });
            return;
        }
        const bool isReachable = found != m_network.m_listeners.end() &&
                                 !m_network.isCut(m_process, found->second.m_process);
        if (!isReachable) {
            done(nullptr);
            return;
        }
        const FakeNetwork::Listener& listener = found->second;
        const auto own =
                std::make_shared<FakeLink>(m_network, m_loop, m_process, listener.m_process);
        const auto other = std::make_shared<FakeLink>(m_network, *listener.m_loop,
                                                      listener.m_process, m_process);
        own->m_other = other;
        other->m_other = own;
        m_network.m_links.push_back(own);
        m_network.m_links.push_back(other);
        listener.m_loop->callLater(Millis(0),
                                   [onLink = listener.m_onLink, other] { onLink(other); });
        done(own);
    });
}

}  // namespace pierbank::testing
