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
/** Who asked goes to the store after this time. */
constexpr Millis ANSWER_TIMEOUT{300};

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
    sendQuestion(false, [done = std::move(done)](const auto& told, Millis sentAt) {
        if (!told.has_value()) {
            done(std::nullopt);
            return;
        }
        done(ConfigurationWord{told->m_revision, sentAt - Millis(told->m_ageMs)});
    });
}

void LeaderLink::askPending(PendingCallback done) {
    sendQuestion(true, [done = std::move(done)](const auto& told, Millis) {
        if (!told.has_value() || !told->m_knowsPending) {
            done(std::nullopt);
            return;
        }
        PendingJobs pending;
        for (const PendingEntry& entry : told->m_pending) {
            pending[entry.m_queue] = entry.m_jobs;
        }
        done(pending);
    });
}

void LeaderLink::sendQuestion(bool asksPending, ToldCallback done) {
    const std::uint64_t number = ++m_lastQuestion;
    m_questions[number] = {m_loop.now(), std::move(done)};
    const bool isSent = m_port.send(GatewayAsk{number, m_bid.getFitness(), asksPending});
    m_loop.callLater(isSent ? ANSWER_TIMEOUT : Millis(0),
                     [this, number, alive = std::weak_ptr(m_isAlive)] {
                         if (!alive.expired()) {
                             finishQuestion(number, std::nullopt);
                         }
                     });
}

void LeaderLink::finishQuestion(std::uint64_t number, const std::optional<GatewayTold>& told) {
    const auto found = m_questions.find(number);
    if (found == m_questions.end()) {
        return;
    }
    const Question question = std::move(found->second);
    m_questions.erase(found);
    question.m_done(told, question.m_sentAt);
}

void LeaderLink::handleTold(const GatewayTold& told) {
    m_bid.noteFleet(told.m_gateways, told.m_bestFitness);
    if (told.m_askAfterMs != 0) {
        m_askInterval = Millis(told.m_askAfterMs);
    }
    if (m_questions.count(told.m_number) != 0) {
        finishQuestion(told.m_number, told);
    } else {
        // Nobody asked, or not any more: it has no date, and only says that there may be a newer
        // one.
        m_onWord({told.m_revision, Millis(0)});
    }
}

void LeaderLink::handleFrame(const Frame& frame) {
    m_wasUsable = true;
    if (const auto* const answer = std::get_if<RelayedAnswer>(&frame)) {
        finishRelay(answer->m_number, *answer);
    } else if (const auto* const told = std::get_if<GatewayTold>(&frame)) {
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
