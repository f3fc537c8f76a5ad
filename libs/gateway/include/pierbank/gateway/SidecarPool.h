// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_GATEWAY_SIDECARPOOL_H
#define PIERBANK_GATEWAY_SIDECARPOOL_H

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "pierbank/base/EventLoop.h"
#include "pierbank/base/Random.h"
#include "pierbank/platform/HostList.h"
#include "pierbank/request/Forwarder.h"
#include "pierbank/schedule/GangDriver.h"
#include "pierbank/wire/Transport.h"

namespace pierbank {

/**
 * Links to the sidecars of all endpoints and workers on the host list. A link that ends is opened
 * again, with a growing, jittered pause. A host that is missing from the list stays linked as long
 * as it answers: the list lags, and says nothing about a process that still answers.
 */
class SidecarPool final : public WorkerChannel, public EndpointChannel {
public:
    struct Callbacks {
        std::function<void(const Host&, const Hello&)> m_linked;
        std::function<void(const Host&)> m_unlinked;
        std::function<void(const Host&, const Frame&)> m_frame;
    };

    /** `makeHello` gives this gateway's first frame, with its present configuration version. */
    SidecarPool(EventLoop& loop, Random& random, Transport& transport,
                std::function<Hello()> makeHello);
    ~SidecarPool() override;
    SidecarPool(const SidecarPool&) = delete;
    SidecarPool& operator=(const SidecarPool&) = delete;

    void setCallbacks(Callbacks callbacks) { m_callbacks = std::move(callbacks); }

    /** Takes a new host list. */
    void setHosts(std::span<const Host> hosts);

    bool sendToWorker(std::string_view worker, const Frame& frame) override;
    bool sendToEndpoint(std::string_view endpoint, const Frame& frame) override;
    /** Sends to every sidecar that is linked. */
    void broadcast(const Frame& frame);

    std::size_t countLinked() const;

    /** A sidecar that says nothing for this time is taken as cut off, and linked anew. */
    static constexpr Millis SILENCE_TIMEOUT{3500};

private:
    struct Peer {
        Host m_host;
        bool m_isListed = true;
        std::shared_ptr<Link> m_link;
        bool m_isReady = false;
        Millis m_heardAt{0};
        Millis m_pause{0};
        /** Raised with each link, so that callbacks of an earlier one do nothing. */
        std::uint64_t m_generation = 0;
    };

    void connect(const std::string& name);
    void handleConnected(const std::string& name, std::uint64_t generation,
                         const std::shared_ptr<Link>& link);
    void handleFrame(const std::string& name, std::uint64_t generation, const Frame& frame);
    void handleClosed(const std::string& name, std::uint64_t generation);
    void connectLater(const std::string& name);
    void dropLink(Peer& peer);
    void checkSilence();
    bool send(std::string_view name, const Frame& frame);

    static constexpr Millis FIRST_PAUSE{100};
    static constexpr Millis LAST_PAUSE{3000};
    static constexpr Millis SILENCE_CHECK{500};

    EventLoop& m_loop;
    Random& m_random;
    Transport& m_transport;
    std::function<Hello()> m_makeHello;
    Callbacks m_callbacks;
    Millis m_checkedAt{0};
    std::map<std::string, Peer, std::less<>> m_peers;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_GATEWAY_SIDECARPOOL_H
