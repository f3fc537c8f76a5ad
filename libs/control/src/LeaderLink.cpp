// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LeaderLink.h"

#include <algorithm>
#include <utility>

namespace pierbank {

namespace {

/** The leader gives a link up over which nothing came for 2 s (WorkerPoolSettings::m_silence). */
constexpr Millis KEEP_ALIVE{500};
/** The leader answers each sign of life; after so long without one it is taken for gone. */
constexpr Millis SILENCE{1300};

}  // namespace

LeaderLink::LeaderLink(EventLoop& loop) : m_loop(loop) {
    keepAlive();
}

void LeaderLink::keepAlive() {
    if (m_leader != nullptr) {
        m_leader->send(LeaseAsk{++m_sequence});
    }
    m_loop.callLater(KEEP_ALIVE, [this, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            keepAlive();
        }
    });
}

void LeaderLink::handleLink(std::shared_ptr<Link> link) {
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

void LeaderLink::handleFrame(const std::weak_ptr<Link>& from, const Frame& frame) {
    const auto link = from.lock();
    if (link != nullptr && link == m_leader) {
        m_heardAt = m_loop.now();
        if (const auto* const answer = std::get_if<ForwardAnswer>(&frame)) {
            finishRelay(answer->m_id.m_number, *answer);
        }
    }
    const auto* const hello = std::get_if<LeaderHello>(&frame);
    if (link == nullptr || hello == nullptr) {
        return;
    }
    std::erase(m_newLinks, link);
    if (hello->m_epoch < m_epoch) {
        link->close();
        return;
    }
    if (m_leader != nullptr && m_leader != link) {
        m_leader->close();
    }
    m_epoch = hello->m_epoch;
    m_leader = link;
    m_heardAt = m_loop.now();
    m_onLeader(m_epoch);
}

void LeaderLink::handleClosed(const std::weak_ptr<Link>& closed) {
    const auto link = closed.lock();
    std::erase(m_newLinks, link);
    if (link == m_leader) {
        m_leader.reset();
    }
}

bool LeaderLink::isUsable() const {
    return m_leader != nullptr && m_loop.now() - m_heardAt <= SILENCE;
}

void LeaderLink::relay(ForwardRequest request, Millis patience, AnswerCallback done) {
    const std::uint64_t number = m_nextRelay++;
    request.m_id = {"", number};
    m_relayed[number] = std::move(done);
    m_loop.callLater(patience, [this, number, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            finishRelay(number, ForwardAnswer());
        }
    });
    if (m_leader == nullptr || !m_leader->send(request)) {
        m_loop.post([this, number, alive = std::weak_ptr(m_isAlive)] {
            if (!alive.expired()) {
                finishRelay(number, ForwardAnswer());
            }
        });
    }
}

void LeaderLink::finishRelay(std::uint64_t number, const ForwardAnswer& answer) {
    const auto found = m_relayed.find(number);
    if (found == m_relayed.end()) {
        return;
    }
    const AnswerCallback done = std::move(found->second);
    m_relayed.erase(found);
    done(answer);
}

void LeaderLink::notify(std::string_view key) {
    if (m_leader != nullptr) {
        m_leader->send(InputNotice{std::string(key)});
    }
}

}  // namespace pierbank
