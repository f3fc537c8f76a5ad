// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_LEADERPORT_H
#define PIERBANK_CONTROL_LEADERPORT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/wire/Transport.h"

namespace pierbank {

/**
 * Accepts the links that leaders open to a gateway or a sidecar. Only the leader with the highest
 * epoch is obeyed; links of leaders with lower epochs are closed. Runs on the event loop.
 */
class LeaderPort {
public:
    using HelloCallback = std::function<void(const LeaderHello& hello, bool isNewEpoch)>;
    using FrameCallback = std::function<void(const Frame&)>;

    /**
     * The loop must outlive the port.
     * @param component names the owner in the log; the text must outlive the port.
     * @param onLeader called when a leader's link has been accepted.
     * @param onFrame called with each further frame of that link.
     */
    LeaderPort(EventLoop& loop, std::string_view component, HelloCallback onLeader,
               FrameCallback onFrame);
    LeaderPort(const LeaderPort&) = delete;
    LeaderPort& operator=(const LeaderPort&) = delete;

    /** Sets the callback for the end of the obeyed leader's link, also if another one replaces it.
     */
    void onLinkEnded(std::function<void()> callback) { m_onLinkEnded = std::move(callback); }

    /** Accepts a new connection; the leader identifies itself in its first frame. */
    void handleLink(std::shared_ptr<Link> link);

    bool isLinked() const noexcept { return m_leader != nullptr; }
    /** Highest epoch seen; zero before the first. */
    std::uint64_t getEpoch() const noexcept { return m_epoch; }
    /** Number that the obeyed leader gave the present link; zero without a link or a number. */
    std::uint64_t getLinkNumber() const noexcept { return m_leader == nullptr ? 0 : m_linkNumber; }
    /** Time since the last frame of the obeyed leader. */
    Millis getIdleTime() const { return m_loop.now() - m_lastReceivedAt; }
    /** Sends a frame to the leader. @return false when no leader is linked or the send failed. */
    bool send(const Frame& frame);
    /** Closes the leader's link; the leader may connect again. @param reason for the log. */
    void drop(std::string_view reason);

private:
    void handleFrame(const std::weak_ptr<Link>& from, const Frame& frame);
    void handleClosed(const std::weak_ptr<Link>& closed);
    void acceptLeader(const std::shared_ptr<Link>& link, const LeaderHello& hello);

    EventLoop& m_loop;
    const std::string_view m_component;
    const HelloCallback m_onLeader;
    const FrameCallback m_onFrame;
    std::function<void()> m_onLinkEnded = [] {
    };
    std::shared_ptr<Link> m_leader;
    /** Links whose first frame has not arrived yet. */
    std::vector<std::shared_ptr<Link>> m_newLinks;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_linkNumber = 0;
    Millis m_lastReceivedAt{0};
    /** Expires with this object; asynchronous callbacks check it. */
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LEADERPORT_H
