// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LeaderPort.h"

#include <string>
#include <utility>

#include "pierbank/base/Log.h"

namespace pierbank {

LeaderPort::LeaderPort(EventLoop& loop, std::string_view component, HelloCallback onLeader,
                       FrameCallback onFrame)
        : m_loop(loop),
          m_component(component),
          m_onLeader(std::move(onLeader)),
          m_onFrame(std::move(onFrame)) {}

void LeaderPort::handleLink(std::shared_ptr<Link> link) {
    const std::weak_ptr<Link> weak = link;
    link->setCallbacks(
            [this, weak, alive = std::weak_ptr(m_isAlive)](const Frame& frame) {
                if (!alive.expired()) {
                    handleFrame(weak, frame);
                }
            },
            [this, weak, alive = std::weak_ptr(m_isAlive)] {
                if (!alive.expired()) {
                    handleClosed(weak);
                }
            });
    m_newLinks.push_back(std::move(link));
}

void LeaderPort::handleFrame(const std::weak_ptr<Link>& from, const Frame& frame) {
    const auto link = from.lock();
    if (link == nullptr) {
        return;
    }
    if (const auto* const hello = std::get_if<LeaderHello>(&frame)) {
        acceptLeader(link, *hello);
    } else if (link == m_leader) {
        m_lastReceivedAt = m_loop.now();
        m_onFrame(frame);
    }
}

void LeaderPort::handleClosed(const std::weak_ptr<Link>& closed) {
    const auto link = closed.lock();
    std::erase(m_newLinks, link);
    if (link != nullptr && link == m_leader) {
        m_leader.reset();
        logEvent(Severity::WARNING, m_component, "leader-link-lost",
                 {{"epoch", std::to_string(m_epoch)}});
        m_onLinkEnded();
    }
}

void LeaderPort::acceptLeader(const std::shared_ptr<Link>& link, const LeaderHello& hello) {
    std::erase(m_newLinks, link);
    if (hello.m_epoch < m_epoch) {
        logEvent(Severity::WARNING, m_component, "old-leader-refused",
                 {{"epoch", std::to_string(hello.m_epoch)},
                  {"highest", std::to_string(m_epoch)},
                  {"node", hello.m_node}});
        link->close();
        return;
    }
    if (m_leader != nullptr && m_leader != link) {
        m_leader->close();
        m_leader.reset();
        m_onLinkEnded();
    }
    m_leader = link;
    m_lastReceivedAt = m_loop.now();
    const bool isNewEpoch = hello.m_epoch != m_epoch;
    m_epoch = hello.m_epoch;
    m_linkNumber = hello.m_link;
    logEvent(Severity::INFO, m_component, "leader",
             {{"epoch", std::to_string(m_epoch)},
              {"node", hello.m_node},
              {"link", std::to_string(m_linkNumber)}});
    m_onLeader(hello, isNewEpoch);
}

bool LeaderPort::send(const Frame& frame) {
    return m_leader != nullptr && m_leader->send(frame);
}

void LeaderPort::drop(std::string_view reason) {
    if (m_leader == nullptr) {
        return;
    }
    m_leader->close();
    m_leader.reset();
    logEvent(Severity::WARNING, m_component, "leader-link-dropped",
             {{"epoch", std::to_string(m_epoch)}, {"reason", std::string(reason)}});
    m_onLinkEnded();
}

}  // namespace pierbank
