// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_FAKETRANSPORT_H
#define PIERBANK_TEST_SUPPORT_FAKETRANSPORT_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/wire/Transport.h"

namespace pierbank::testing {

class FakeLink;

/**
 * The network between the processes of a test, owned by the test. Processes are named as their
 * FakeTransport is.
 */
class FakeNetwork {
public:
    /**
     * Drops all frames between two processes and refuses new links between them. Existing links
     * stay open until the processes' own timeouts close them.
     */
    void cut(const std::string& a, const std::string& b);
    /** Ends the effect of cut(). */
    void heal(const std::string& a, const std::string& b);
    bool isCut(const std::string& a, const std::string& b) const;

    /**
     * Makes a process's machine behave as without power: its links stay open but carry nothing, and
     * connections to it time out.
     */
    void hang(const std::string& process) { m_hung.insert(process); }

    /** Ends all links of a process, as its termination does, and removes its listener. */
    void kill(const std::string& process);

    /** Ends the links between two processes, which may connect again. */
    void breakLinks(const std::string& a, const std::string& b);

    /** Called with each frame before it is delivered; a result of false drops the frame. */
    using Tap = std::function<bool(const std::string& from, const std::string& to, const Frame&)>;
    void setTap(Tap tap) { m_tap = std::move(tap); }

private:
    friend class FakeTransport;
    friend class FakeLink;

    struct Listener {
        std::string m_process;
        EventLoop* m_loop = nullptr;
        Transport::LinkCallback m_onLink;
    };

    std::map<std::string, Listener> m_listeners;
    std::vector<std::weak_ptr<FakeLink>> m_links;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::string> m_hung;
    Tap m_tap;
};

/** Transport of one process. Every frame is encoded and decoded, as between real processes. */
class FakeTransport final : public Transport {
public:
    FakeTransport(FakeNetwork& network, EventLoop& loop, std::string process)
            : m_network(network), m_loop(loop), m_process(std::move(process)) {}

    bool listen(const Address& address, LinkCallback onLink, Reason& reason) override;
    void connect(const Address& address, LinkCallback done) override;

private:
    FakeNetwork& m_network;
    EventLoop& m_loop;
    std::string m_process;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_FAKETRANSPORT_H
