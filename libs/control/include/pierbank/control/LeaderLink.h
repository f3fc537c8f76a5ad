// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_LEADERLINK_H
#define PIERBANK_CONTROL_LEADERLINK_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/ConfigurationFeed.h"
#include "pierbank/control/JobIntake.h"
#include "pierbank/control/LeaderPort.h"
#include "pierbank/control/LeadershipCandidacy.h"

namespace pierbank {

/** Returns the numbers that the leader's answer contains, by queue. */
PendingJobs toPendingJobs(std::span<const PendingEntry> entries);

/**
 * A gateway's end of the link that the leader opens to every gateway. Runs on the event loop.
 *
 * Over this link the gateway notifies the leader at once of input that it has written to the store.
 * The leader's watch of the store can't miss such input, but may deliver it seconds late.
 *
 * The leader also answers requests for a gateway that can't reach the store, and reports the age of
 * the configuration. That age counts from the moment at which the gateway sent its query.
 *
 * A relayed request and its answer belong to one link. The number of a request contains the number
 * of its link, which the leader assigns, so that the answer to a request of this gateway's previous
 * process matches no request of the present one, even if the leader sends it over the present link
 * as leaders of earlier versions do.
 */
class LeaderLink {
public:
    /**
     * Both references must outlive the link.
     * @param candidacy receives the leader's reports about the fleet.
     */
    LeaderLink(EventLoop& loop, LeadershipCandidacy& candidacy);
    LeaderLink(const LeaderLink&) = delete;
    LeaderLink& operator=(const LeaderLink&) = delete;

    /** Sets the callback for each accepted link of a leader; its epoch is the highest so far. */
    void onLeader(std::function<void(std::uint64_t epoch)> callback) {
        m_onLeader = std::move(callback);
    }

    /** Accepts a connection from a leader; the leader is obeyed if its epoch is the highest. */
    void handleLink(std::shared_ptr<Link> link) { m_port.handleLink(std::move(link)); }

    /**
     * Sets the callback for a leader that has become unresponsive; called once each time this
     * happens.
     */
    void onLeaderTimeout(std::function<void()> callback) {
        m_onLeaderTimeout = std::move(callback);
    }

    /**
     * Sets the callback for the leader's notices about the configuration, apart from those passed
     * to a callback of queryConfiguration().
     */
    void onNotice(std::function<void(const ConfigurationNotice&)> callback) {
        m_onNotice = std::move(callback);
    }

    using AnswerCallback = std::function<void(const RelayedAnswer&)>;

    /** Returns whether a leader is linked and has sent a message recently. */
    bool isUsable() const;

    using NoticeCallback = std::function<void(const std::optional<ConfigurationNotice>&)>;
    using PendingCallback = std::function<void(const std::optional<PendingJobs>&)>;

    /**
     * Queries the age of the leader's configuration. `done` is called once, with an empty value if
     * no answer arrived in time.
     */
    void queryConfiguration(NoticeCallback done);
    /**
     * Queries the number of pending jobs by queue. `done` is called once, with an empty value if no
     * answer arrived in time or the leader does not have the numbers.
     */
    void queryPending(PendingCallback done);

    /**
     * Passes a caller's request on to the leader. `done` is called once, with a status of zero if
     * no answer arrived within `timeout` or the link to the leader has ended.
     */
    void relay(RelayedRequest request, Millis timeout, AnswerCallback done);

    /** Notifies the leader, if one is linked, of a key that was written under input/. */
    void notify(std::string_view key, std::string_view value);

    /** Counters since the start of the process. */
    struct Statistics {
        /** Requests that were to be relayed to a leader. */
        std::uint64_t m_relayed = 0;
        /** Relayed requests whose link ended before their answer. */
        std::uint64_t m_lostWithLink = 0;
        /** Answers to no open request; most come after the timeout of their request. */
        std::uint64_t m_unmatchedAnswers = 0;
    };
    const Statistics& getStatistics() const noexcept { return m_statistics; }

private:
    void handleFrame(const Frame& frame);
    void handleLeader(const LeaderHello& hello);
    void keepAlive();
    void applyNotice(const std::optional<ConfigurationNotice>& notice);
    /** Calls the timeout callback if the link has become unusable since the last check. */
    void checkLeaderTimeout();
    using ReplyCallback = std::function<void(const std::optional<GatewayReply>&, Millis sentAt)>;
    void sendQuery(bool wantsPending, ReplyCallback done);
    void finishQuery(std::uint64_t number, const std::optional<GatewayReply>& reply);
    void handleReply(const GatewayReply& reply);
    std::uint64_t makeRelayNumber();
    void handleAnswer(const RelayedAnswer& answer);
    bool finishRelay(std::uint64_t number, const RelayedAnswer& answer);
    void endRelays();

    EventLoop& m_loop;
    LeaderPort m_port;
    std::function<void(std::uint64_t)> m_onLeader = [](std::uint64_t) {
    };
    std::function<void()> m_onLeaderTimeout = [] {
    };
    std::function<void(const ConfigurationNotice&)> m_onNotice = [](const ConfigurationNotice&) {
    };
    LeadershipCandidacy& m_candidacy;
    struct OpenQuery {
        Millis m_sentAt{0};
        ReplyCallback m_done;
    };
    /** Queries without a reply, by their number. */
    std::map<std::uint64_t, OpenQuery> m_openQueries;
    std::uint64_t m_lastQueryNumber = 0;
    /** Time between two queries; the leader sets it with its replies. */
    Millis m_requestInterval;
    bool m_wasUsable = false;
    /** Callbacks of requests that were relayed over the present link, by the request's number. */
    std::map<std::uint64_t, AnswerCallback> m_openRelays;
    Statistics m_statistics;
    /** Expires with this object; asynchronous callbacks check it. */
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LEADERLINK_H
