// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_LEADERLINK_H
#define PIERBANK_CONTROL_LEADERLINK_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/ConfigurationFeed.h"
#include "pierbank/control/JobIntake.h"
#include "pierbank/control/LeaderPort.h"
#include "pierbank/control/LeadershipCandidacy.h"

namespace pierbank {

/**
 * A gateway's end of the link that the leader keeps to it. Over it the gateway tells the leader at
 * once what it wrote for it; the leader's watch, which may be deaf for seconds, is only the way
 * that can't be missed. Over it the leader also answers for a gateway that lost the store, and
 * tells how old the configuration is: its answer counts from the sending of the question.
 */
class LeaderLink {
public:
    /** Loop and bid must outlive the link; the bid hears what the leader tells of the fleet. */
    LeaderLink(EventLoop& loop, LeadershipCandidacy& bid);
    LeaderLink(const LeaderLink&) = delete;
    LeaderLink& operator=(const LeaderLink&) = delete;

    /** Called with the epoch of each leader that links and has the highest so far. */
    void onLeader(std::function<void(std::uint64_t epoch)> callback) {
        m_onLeader = std::move(callback);
    }

    /** A leader connected; it is obeyed if its epoch is the highest. */
    void handleLink(std::shared_ptr<Link> link) { m_port.handleLink(std::move(link)); }

    /** Called once when a leader that was heard of is not any more. */
    void onLeaderTimeout(std::function<void()> callback) {
        m_onLeaderTimeout = std::move(callback);
    }

    /** Called with what the leader says of the configuration without being asked for it. */
    void onNotice(std::function<void(const ConfigurationNotice&)> callback) {
        m_onNotice = std::move(callback);
    }

    using AnswerCallback = std::function<void(const RelayedAnswer&)>;

    /** Whether a leader is linked that has been heard of lately. */
    bool isUsable() const;

    using NoticeCallback = std::function<void(const std::optional<ConfigurationNotice>&)>;
    using PendingCallback = std::function<void(const std::optional<PendingJobs>&)>;

    /** Asks the leader how old the configuration is. `done` is called once; with nothing when no
     * answer came in time. */
    void ask(NoticeCallback done);
    /** The same for the jobs that have not begun; with nothing when the leader can't tell. */
    void queryPending(PendingCallback done);

    /**
     * Lets the leader answer a request. `done` is called once; with a status of zero when no
     * answer came in time.
     */
    void relay(RelayedRequest request, Millis patience, AnswerCallback done);

    /** Tells the leader, if one is linked, what was written under input/. */
    void notify(std::string_view key, std::string_view value);

private:
    void handleFrame(const Frame& frame);
    void handleLeader(const LeaderHello& hello);
    void keepAlive();
    void applyNotice(const std::optional<ConfigurationNotice>& notice);
    void noteUse();
    using ReplyCallback = std::function<void(const std::optional<GatewayReply>&, Millis sentAt)>;
    void sendQuestion(bool wantsPending, ReplyCallback done);
    void finishQuestion(std::uint64_t number, const std::optional<GatewayReply>& reply);
    void handleReply(const GatewayReply& reply);
    void finishRelay(std::uint64_t number, const RelayedAnswer& answer);

    EventLoop& m_loop;
    LeaderPort m_port;
    std::function<void(std::uint64_t)> m_onLeader = [](std::uint64_t) {
    };
    std::function<void()> m_onLeaderTimeout = [] {
    };
    std::function<void(const ConfigurationNotice&)> m_onNotice = [](const ConfigurationNotice&) {
    };
    LeadershipCandidacy& m_bid;
    struct Question {
        Millis m_sentAt{0};
        ReplyCallback m_done;
    };
    std::map<std::uint64_t, Question> m_questions;
    std::uint64_t m_lastQuestion = 0;
    /** As the leader last told. */
    Millis m_requestInterval;
    bool m_wasUsable = false;
    std::map<std::uint64_t, AnswerCallback> m_relayed;
    std::uint64_t m_nextRelay = 1;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LEADERLINK_H
