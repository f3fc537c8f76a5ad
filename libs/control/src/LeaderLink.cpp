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

LeaderLink::LeaderLink(EventLoop& loop, LeadershipCandidacy& bid)
        : m_loop(loop),
          m_port(
                  loop, "gateway", [this](const LeaderHello& hello, bool) { handleLeader(hello); },
                  [this](const Frame& frame) { handleFrame(frame); }),
          m_bid(bid),
          m_requestInterval(ASK_INTERVAL) {
    keepAlive();
}

/** A new leader knows neither how many gateways there are nor how well they could lead. */
void LeaderLink::handleLeader(const LeaderHello& hello) {
    m_requestInterval = ASK_INTERVAL;
    ask([this](const auto& notice) { applyNotice(notice); });
    m_onLeader(hello.m_epoch);
}

void LeaderLink::keepAlive() {
    noteUse();
    if (m_port.isLinked()) {
        ask([this](const auto& notice) { applyNotice(notice); });
    }
    const Millis dueAt = m_loop.now() + m_requestInterval;
    m_loop.callLater(m_requestInterval, [this, dueAt, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            m_bid.recordLag(m_loop.now() - dueAt);
            keepAlive();
        }
    });
}

void LeaderLink::applyNotice(const std::optional<ConfigurationNotice>& notice) {
    if (notice.has_value()) {
        m_onNotice(*notice);
    }
}

void LeaderLink::noteUse() {
    const bool isNow = isUsable();
    if (std::exchange(m_wasUsable, isNow) && !isNow) {
        m_onLeaderTimeout();
    }
}

void LeaderLink::ask(NoticeCallback done) {
    sendQuestion(false, [done = std::move(done)](const auto& reply, Millis sentAt) {
        if (!reply.has_value()) {
            done(std::nullopt);
            return;
        }
        done(ConfigurationNotice{reply->m_revision, sentAt - Millis(reply->m_ageMs)});
    });
}

void LeaderLink::queryPending(PendingCallback done) {
    sendQuestion(true, [done = std::move(done)](const auto& reply, Millis) {
        if (!reply.has_value() || !reply->m_knowsPending) {
            done(std::nullopt);
            return;
        }
        PendingJobs pending;
        for (const PendingEntry& entry : reply->m_pending) {
            pending[entry.m_queue] = entry.m_jobs;
        }
        done(pending);
    });
}

void LeaderLink::sendQuestion(bool wantsPending, ReplyCallback done) {
    const std::uint64_t number = ++m_lastQuestion;
    m_questions[number] = {m_loop.now(), std::move(done)};
    const bool isSent = m_port.send(GatewayQuery{number, m_bid.getFitness(), wantsPending});
    m_loop.callLater(isSent ? ANSWER_TIMEOUT : Millis(0),
                     [this, number, alive = std::weak_ptr(m_isAlive)] {
                         if (!alive.expired()) {
                             finishQuestion(number, std::nullopt);
                         }
                     });
}

void LeaderLink::finishQuestion(std::uint64_t number, const std::optional<GatewayReply>& reply) {
    const auto found = m_questions.find(number);
    if (found == m_questions.end()) {
        return;
    }
    const Question question = std::move(found->second);
    m_questions.erase(found);
    question.m_done(reply, question.m_sentAt);
}

void LeaderLink::handleReply(const GatewayReply& reply) {
    m_bid.recordFleet(reply.m_gateways, reply.m_bestFitness);
    if (reply.m_nextRequestMs != 0) {
        m_requestInterval = Millis(reply.m_nextRequestMs);
    }
    if (m_questions.count(reply.m_number) != 0) {
        finishQuestion(reply.m_number, reply);
    } else {
        // Nobody asked, or not any more: it has no date, and only says that there may be a newer
        // one.
        m_onNotice({reply.m_revision, Millis(0)});
    }
}

void LeaderLink::handleFrame(const Frame& frame) {
    m_wasUsable = true;
    if (const auto* const answer = std::get_if<RelayedAnswer>(&frame)) {
        finishRelay(answer->m_number, *answer);
    } else if (const auto* const reply = std::get_if<GatewayReply>(&frame)) {
        handleReply(*reply);
    }
}

bool LeaderLink::isUsable() const {
    return m_port.isLinked() && m_port.getIdleTime() <= m_requestInterval + ANSWER_PATIENCE;
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
