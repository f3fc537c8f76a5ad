// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LeaderLink.h"

#include <string>
#include <utility>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** Time between two queries until the leader sets another interval. */
constexpr Millis QUERY_INTERVAL{500};
/**
 * The leader replies to each query. A leader that has sent nothing for the interval between two
 * queries plus this time is unresponsive.
 */
constexpr Millis MAX_REPLY_DELAY{800};
/** Timeout for the reply to one query; the caller of the query then uses the store instead. */
constexpr Millis QUERY_TIMEOUT{300};

}  // namespace

LeaderLink::LeaderLink(EventLoop& loop, LeadershipCandidacy& candidacy)
        : m_loop(loop),
          m_port(
                  loop, "gateway", [this](const LeaderHello& hello, bool) { handleLeader(hello); },
                  [this](const Frame& frame) { handleFrame(frame); }),
          m_candidacy(candidacy),
          m_requestInterval(QUERY_INTERVAL) {
    m_port.onLinkEnded([this] { endRelays(); });
    keepAlive();
}

/**
 * Sends a query at once, because a new leader has neither the number of gateways nor their fitness
 * yet.
 */
void LeaderLink::handleLeader(const LeaderHello& hello) {
    m_requestInterval = QUERY_INTERVAL;
    queryConfiguration([this](const auto& notice) { applyNotice(notice); });
    m_onLeader(hello.m_epoch);
}

/** Sends a query at each interval as a heartbeat, and measures the lag of the event loop. */
void LeaderLink::keepAlive() {
    checkLeaderTimeout();
    if (m_port.isLinked()) {
        queryConfiguration([this](const auto& notice) { applyNotice(notice); });
    }
    const Millis dueAt = m_loop.now() + m_requestInterval;
    m_loop.callLater(m_requestInterval, [this, dueAt, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            m_candidacy.recordLag(m_loop.now() - dueAt);
            keepAlive();
        }
    });
}

void LeaderLink::applyNotice(const std::optional<ConfigurationNotice>& notice) {
    if (notice.has_value()) {
        m_onNotice(*notice);
    }
}

void LeaderLink::checkLeaderTimeout() {
    const bool isNow = isUsable();
    if (std::exchange(m_wasUsable, isNow) && !isNow) {
        m_onLeaderTimeout();
    }
}

void LeaderLink::queryConfiguration(NoticeCallback done) {
    sendQuery(false, [done = std::move(done)](const auto& reply, Millis sentAt) {
        if (!reply.has_value()) {
            done(std::nullopt);
            return;
        }
        done(ConfigurationNotice{reply->m_revision, sentAt - Millis(reply->m_ageMs)});
    });
}

PendingJobs toPendingJobs(std::span<const PendingEntry> entries) {
    PendingJobs pending;
    for (const PendingEntry& entry : entries) {
        pending[entry.m_queue] = entry.m_jobs;
    }
    return pending;
}

void LeaderLink::queryPending(PendingCallback done) {
    sendQuery(true, [done = std::move(done)](const auto& reply, Millis) {
        if (!reply.has_value() || !reply->m_knowsPending) {
            done(std::nullopt);
            return;
        }
        done(toPendingJobs(reply->m_pending));
    });
}

void LeaderLink::sendQuery(bool wantsPending, ReplyCallback done) {
    const std::uint64_t number = ++m_lastQueryNumber;
    m_openQueries[number] = {m_loop.now(), std::move(done)};
    const bool isSent = m_port.send(GatewayQuery{number, m_candidacy.getFitness(), wantsPending});
    m_loop.callLater(isSent ? QUERY_TIMEOUT : Millis(0),
                     [this, number, alive = std::weak_ptr(m_isAlive)] {
                         if (!alive.expired()) {
                             finishQuery(number, std::nullopt);
                         }
                     });
}

void LeaderLink::finishQuery(std::uint64_t number, const std::optional<GatewayReply>& reply) {
    const auto found = m_openQueries.find(number);
    if (found == m_openQueries.end()) {
        return;
    }
    const OpenQuery query = std::move(found->second);
    m_openQueries.erase(found);
    query.m_done(reply, query.m_sentAt);
}

void LeaderLink::handleReply(const GatewayReply& reply) {
    m_candidacy.recordFleet(reply.m_gateways, reply.m_bestFitness);
    if (reply.m_nextRequestMs != 0) {
        m_requestInterval = Millis(reply.m_nextRequestMs);
    }
    if (m_openQueries.count(reply.m_number) != 0) {
        finishQuery(reply.m_number, reply);
    } else {
        // The reply is unsolicited, or came after the timeout. Without the time of a query the
        // notice confirms nothing, but it may report a newer revision.
        m_onNotice({reply.m_revision, Millis(0)});
    }
}

void LeaderLink::handleFrame(const Frame& frame) {
    m_wasUsable = true;
    if (const auto* const answer = std::get_if<RelayedAnswer>(&frame)) {
        handleAnswer(*answer);
    } else if (const auto* const reply = std::get_if<GatewayReply>(&frame)) {
        handleReply(*reply);
    }
}

bool LeaderLink::isUsable() const {
    return m_port.isLinked() && m_port.getIdleTime() <= m_requestInterval + MAX_REPLY_DELAY;
}

/** Returns the next number: that of the link, followed by that of the request in this process. */
std::uint64_t LeaderLink::makeRelayNumber() {
    constexpr unsigned REQUEST_BITS = 32;
    constexpr std::uint64_t REQUEST_MASK = (std::uint64_t{1} << REQUEST_BITS) - 1;
    return (m_port.getLinkNumber() << REQUEST_BITS) | (++m_statistics.m_relayed & REQUEST_MASK);
}

void LeaderLink::relay(RelayedRequest request, Millis timeout, AnswerCallback done) {
    const std::uint64_t number = makeRelayNumber();
    request.m_number = number;
    m_openRelays[number] = std::move(done);
    // Without a link number, the answer could not be told from one to the previous process.
    const bool isSent = m_port.getLinkNumber() != 0 && m_port.send(request);
    logEvent(Severity::INFO, "gateway", "relayed",
             {{"relay", std::to_string(number)},
              {"method", request.m_method},
              {"path", request.m_path},
              {"epoch", std::to_string(m_port.getEpoch())},
              {"link", std::to_string(m_port.getLinkNumber())},
              {"sent", isSent ? "yes" : "no"}});
    // A request that could not be sent fails on the next turn of the loop, other requests fail by
    // timeout or with the link.
    m_loop.callLater(isSent ? timeout : Millis(0),
                     [this, number, alive = std::weak_ptr(m_isAlive)] {
                         if (!alive.expired()) {
                             finishRelay(number, RelayedAnswer());
                         }
                     });
}

void LeaderLink::handleAnswer(const RelayedAnswer& answer) {
    const bool isOpen = finishRelay(answer.m_number, answer);
    m_statistics.m_unmatchedAnswers += isOpen ? 0 : 1;
    logEvent(Severity::INFO, "gateway", "relay-answered",
             {{"relay", std::to_string(answer.m_number)},
              {"status", std::to_string(answer.m_status)},
              {"link", std::to_string(m_port.getLinkNumber())},
              {"outcome", isOpen ? "passed on" : "dropped, no such request is open"}});
}

/** Calls the callback of an open request. Returns false if no such request is open. */
bool LeaderLink::finishRelay(std::uint64_t number, const RelayedAnswer& answer) {
    const auto found = m_openRelays.find(number);
    if (found == m_openRelays.end()) {
        return false;
    }
    const AnswerCallback done = std::move(found->second);
    m_openRelays.erase(found);
    done(answer);
    return true;
}

/** Ends the requests that were relayed over a link that has ended: no answer can arrive. */
void LeaderLink::endRelays() {
    for (const auto& [number, done] : std::exchange(m_openRelays, {})) {
        ++m_statistics.m_lostWithLink;
        logEvent(Severity::WARNING, "gateway", "relay-lost",
                 {{"relay", std::to_string(number)}, {"reason", "the link has ended"}});
        done(RelayedAnswer());
    }
}

void LeaderLink::notify(std::string_view key, std::string_view value) {
    m_port.send(InputNotice{std::string(key), std::string(value)});
}

}  // namespace pierbank
