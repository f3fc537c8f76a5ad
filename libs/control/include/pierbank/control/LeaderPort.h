// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_LEADERPORT_H
#define PIERBANK_CONTROL_LEADERPORT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/wire/Transport.h"

namespace pierbank {

/**
 * Where leaders connect, at a gateway as at a sidecar. Of several leaders the one with the highest
 * epoch is obeyed; links of lower epochs are closed.
 */
class LeaderPort {
public:
    using HelloCallback = std::function<void(const LeaderHello& hello, bool isNewEpoch)>;
    using FrameCallback = std::function<void(const Frame&)>;

    /**
     * @param component names the owner in the log. The loop must outlive the port.
     * @param onLeader called when a leader's link begins to be obeyed.
     * @param onFrame called with each further frame of that link.
     */
    LeaderPort(EventLoop& loop, std::string_view component, HelloCallback onLeader,
               FrameCallback onFrame);
    LeaderPort(const LeaderPort&) = delete;
    LeaderPort& operator=(const LeaderPort&) = delete;

    /** A leader connected; it names itself in its first frame. */
    void handleLink(std::shared_ptr<Link> link);

    bool isLinked() const noexcept { return m_leader != nullptr; }
    /** Highest epoch seen; zero before the first. */
    std::uint64_t getEpoch() const noexcept { return m_epoch; }
    /** Time since something came from the leader. */
    Millis getIdleTime() const { return m_loop.now() - m_lastReceivedAt; }
    /** @return false when no leader is linked. */
    bool send(const Frame& frame);
    /** Closes the leader's link; the leader may connect again. */
    void drop(std::string_view why);

private:
    void handleFrame(const std::weak_ptr<Link>& from, const Frame& frame);
    void handleClosed(const std::weak_ptr<Link>& closed);
    void adopt(const std::shared_ptr<Link>& link, const LeaderHello& hello);

    EventLoop& m_loop;
    const std::string_view m_component;
    const HelloCallback m_onLeader;
    const FrameCallback m_onFrame;
    std::shared_ptr<Link> m_leader;
    /** Links whose first frame has not come. */
    std::vector<std::shared_ptr<Link>> m_newLinks;
    std::uint64_t m_epoch = 0;
    Millis m_lastReceivedAt{0};
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LEADERPORT_H
