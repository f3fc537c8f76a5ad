// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LeaderLink.h"

#include <string>
#include <utility>

namespace pierbank {

namespace {

/** Time between two questions, unless the leader tells another. */
constexpr Millis ASK_INTERVAL{500};
/** The leader answers each question; so long after the next was due it is taken for gone. */
constexpr Millis ANSWER_PATIENCE{800};
/** After this time a question is answered by a read of the own. */
constexpr Millis WORD_PATIENCE{300};

}  // namespace

LeaderLink::LeaderLink(EventLoop& loop, LeadershipBid& bid)
        : m_loop(loop),
          m_port(
                  loop, "gateway", [this](const LeaderHello& hello, bool) { handleLeader(hello); },
                  [this](const Frame& frame) { handleFrame(frame); }),
          m_bid(bid),
          m_askInterval(ASK_INTERVAL) {
    keepAlive();
}

/** A new leader knows neither how many gateways there are nor how well they could lead. */
void LeaderLink::handleLeader(const LeaderHello& hello) {
    m_askInterval = ASK_INTERVAL;
    ask([this](const auto& word) { learnWord(word); });
    m_onLeader(hello.m_epoch);
}

void LeaderLink::keepAlive() {
    noteUse();
    if (m_port.isLinked()) {
        ask([this](const auto& word) { learnWord(word); });
    }
    const Millis dueAt = m_loop.now() + m_askInterval;
    m_loop.callLater(m_askInterval, [this, dueAt, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            m_bid.noteLag(m_loop.now() - dueAt);
            keepAlive();
        }
    });
}

void LeaderLink::learnWord(const std::optional<ConfigurationWord>& word) {
    if (word.has_value()) {
        m_onWord(*word);
    }
}

void LeaderLink::noteUse() {
    const bool isNow = isUsable();
    if (std::exchange(m_wasUsable, isNow) && !isNow) {
        m_onSilence();
    }
}

void LeaderLink::ask(WordCallback done) {
    const std::uint64_t number = ++m_lastQuestion;
    m_questions[number] = {m_loop.now(), std::move(done)};
    const bool isSent = m_port.send(ConfigurationAsk{number, m_bid.getFitness()});
    m_loop.callLater(isSent ? WORD_PATIENCE : Millis(0),
                     [this, number, alive = std::weak_ptr(m_isAlive)] {
                         if (!alive.expired()) {
                             finishQuestion(number, std::nullopt);
                         }
                     });
}

void LeaderLink::finishQuestion(std::uint64_t number,
                                const std::optional<ConfigurationWord>& word) {
    const auto found = m_questions.find(number);
    if (found == m_questions.end()) {
        return;
    }
    const WordCallback done = std::move(found->second.m_done);
    m_questions.erase(found);
    done(word);
}

void LeaderLink::handleTold(const ConfigurationTold& told) {
    m_bid.noteFleet(told.m_gateways, told.m_bestFitness);
    if (told.m_askAfterMs != 0) {
        m_askInterval = Millis(told.m_askAfterMs);
    }
    const auto asked = m_questions.find(told.m_number);
    if (asked == m_questions.end()) {
        // What nobody asked for has no date: it only says that there may be a newer one.
        m_onWord({told.m_revision, Millis(0)});
        return;
    }
    const Millis confirmedAt = asked->second.m_sentAt - Millis(told.m_ageMs);
    finishQuestion(told.m_number, ConfigurationWord{told.m_revision, confirmedAt});
}

void LeaderLink::handleFrame(const Frame& frame) {
    m_wasUsable = true;
    if (const auto* const answer = std::get_if<RelayedAnswer>(&frame)) {
        finishRelay(answer->m_number, *answer);
    } else if (const auto* const told = std::get_if<ConfigurationTold>(&frame)) {
        handleTold(*told);
    }
}

bool LeaderLink::isUsable() const {
    return m_port.isLinked() && m_port.getSilence() <= m_askInterval + ANSWER_PATIENCE;
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
