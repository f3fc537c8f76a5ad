// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LeaderLink.h"

#include <string>
#include <utility>

namespace pierbank {

namespace {

/** The leader gives a link up over which nothing came for 2 s (WorkerPoolSettings::m_silence). */
constexpr Millis KEEP_ALIVE{500};
/** The leader answers each sign of life; after so long without one it is taken for gone. */
constexpr Millis SILENCE{1300};

}  // namespace

LeaderLink::LeaderLink(EventLoop& loop)
        : m_loop(loop),
          m_port(
                  loop, "gateway",
                  [this](const LeaderHello& hello, bool) { m_onLeader(hello.m_epoch); },
                  [this](const Frame& frame) { handleFrame(frame); }) {
    keepAlive();
}

void LeaderLink::keepAlive() {
    m_port.send(LeaseAsk{++m_sequence});
    m_loop.callLater(KEEP_ALIVE, [this, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            keepAlive();
        }
    });
}

void LeaderLink::handleFrame(const Frame& frame) {
    if (const auto* const answer = std::get_if<RelayedAnswer>(&frame)) {
        finishRelay(answer->m_number, *answer);
    }
}

bool LeaderLink::isUsable() const {
    return m_port.isLinked() && m_port.getSilence() <= SILENCE;
}

void LeaderLink::relay(RelayedRequest request, Millis patience, AnswerCallback done) {
    const std::uint64_t number = m_nextRelay++;
    request.m_number = number;
    m_relayed[number] = std::move(done);
    const bool isSent = m_port.send(request);
    // A request that could not be sent fails on the next turn, any other when its time is over.
    m_loop.callLater(isSent ? patience : Millis(0),
                     [this, number, alive = std::weak_ptr(m_isAlive)] {
                         if (!alive.expired()) {
                             finishRelay(number, RelayedAnswer());
                         }
                     });
}

void LeaderLink::finishRelay(std::uint64_t number, const RelayedAnswer& answer) {
    const auto found = m_relayed.find(number);
    if (found == m_relayed.end()) {
        return;
    }
    const AnswerCallback done = std::move(found->second);
    m_relayed.erase(found);
    done(answer);
}

void LeaderLink::notify(std::string_view key, std::string_view value) {
    m_port.send(InputNotice{std::string(key), std::string(value)});
}

}  // namespace pierbank
