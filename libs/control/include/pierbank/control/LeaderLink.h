// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_LEADERLINK_H
#define PIERBANK_CONTROL_LEADERLINK_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/wire/Transport.h"

namespace pierbank {

/**
 * A gateway's end of the link that the leader keeps to it. Over it the gateway tells the leader at
 * once what it wrote for it; the leader's watch, which may be deaf for seconds, is only the way
 * that can't be missed.
 */
class LeaderLink {
public:
    /** The loop must outlive the link. */
    explicit LeaderLink(EventLoop& loop);
    LeaderLink(const LeaderLink&) = delete;
    LeaderLink& operator=(const LeaderLink&) = delete;

    /** Called with the epoch of each leader that links and has the highest so far. */
    void onLeader(std::function<void(std::uint64_t epoch)> callback) {
        m_onLeader = std::move(callback);
    }

    /** A leader connected; it is obeyed if its epoch is the highest. */
    void handleLink(std::shared_ptr<Link> link);

    using AnswerCallback = std::function<void(const ForwardAnswer&)>;

    /** Whether a leader is linked that has been heard of lately. */
    bool isUsable() const;

    /**
     * Lets the leader answer a request. `done` is called once; with a status of zero when no
     * answer came in time.
     */
    void relay(ForwardRequest request, Millis patience, AnswerCallback done);

    /** Tells the leader, if one is linked, that a key under input/ was written. */
    void notify(std::string_view key);

private:
    void handleFrame(const std::weak_ptr<Link>& from, const Frame& frame);
    void handleClosed(const std::weak_ptr<Link>& closed);
    void keepAlive();
    void finishRelay(std::uint64_t number, const ForwardAnswer& answer);

    EventLoop& m_loop;
    std::shared_ptr<Link> m_leader;
    std::vector<std::shared_ptr<Link>> m_newLinks;
    std::function<void(std::uint64_t)> m_onLeader = [](std::uint64_t) {
    };
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    Millis m_heardAt{0};
    std::map<std::uint64_t, AnswerCallback> m_relayed;
    std::uint64_t m_nextRelay = 1;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LEADERLINK_H
