// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_LEADERLINK_H
#define PIERBANK_CONTROL_LEADERLINK_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/LeaderPort.h"

namespace pierbank {

/**
 * A gateway's end of the link that the leader keeps to it. Over it the gateway tells the leader at
 * once what it wrote for it; the leader's watch, which may be deaf for seconds, is only the way
 * that can't be missed. Over it the leader also answers for a gateway that lost the store.
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
    void handleLink(std::shared_ptr<Link> link) { m_port.handleLink(std::move(link)); }

    using AnswerCallback = std::function<void(const RelayedAnswer&)>;

    /** Whether a leader is linked that has been heard of lately. */
    bool isUsable() const;

    /**
     * Lets the leader answer a request. `done` is called once; with a status of zero when no
     * answer came in time.
     */
    void relay(RelayedRequest request, Millis patience, AnswerCallback done);

    /** Tells the leader, if one is linked, what was written under input/. */
    void notify(std::string_view key, std::string_view value);

private:
    void handleFrame(const Frame& frame);
    void keepAlive();
    void finishRelay(std::uint64_t number, const RelayedAnswer& answer);

    EventLoop& m_loop;
    LeaderPort m_port;
    std::function<void(std::uint64_t)> m_onLeader = [](std::uint64_t) {
    };
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, AnswerCallback> m_relayed;
    std::uint64_t m_nextRelay = 1;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LEADERLINK_H
