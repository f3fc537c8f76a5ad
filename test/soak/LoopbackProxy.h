// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SOAK_LOOPBACKPROXY_H
#define PIERBANK_TEST_SOAK_LOOPBACKPROXY_H

#include <gio/gio.h>

#include <memory>
#include <vector>

#include "pierbank/base/Address.h"
#include "pierbank/base/EventLoop.h"
#include "pierbank/base/Findings.h"

namespace pierbank::testing {

/**
 * TCP proxy that injects network faults between two processes on loopback: delay, blocked
 * connections and resets. Blocked bytes are forwarded when the block ends, as after a network
 * partition, unless the connections are reset in the meantime. Runs on the event loop.
 */
class LoopbackProxy {
public:
    /** Forwards to `target`. The loop must outlive the proxy. */
    LoopbackProxy(EventLoop& loop, Address target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy&) = delete;
    LoopbackProxy& operator=(const LoopbackProxy&) = delete;

    /** Accepts connections at the address. @return false, with a reason, if that fails. */
    bool listen(const Address& address, Reason& reason);

    /** Sets the delay of each block of bytes; zero for none. */
    void setDelay(Millis delay) { m_delay = delay; }
    /**
     * While silent, the proxy forwards nothing: open connections stay open, and new connections are
     * accepted and hang. The end of the silence forwards what was blocked.
     */
    void setSilent(bool isSilent);
    /** Closes all open connections with a TCP reset. */
    void resetAll();

private:
    struct Pipe;
    struct Direction;
    using PipePtr = std::shared_ptr<Pipe>;

    static gboolean onIncoming(GSocketService*, GSocketConnection* connection, GObject*,
                               gpointer self);
    /** Connects to the target on behalf of an accepted connection. */
    void connect(GSocketConnection* caller);
    /** Reads the next block in one direction and forwards it after the delay. */
    void read(const PipePtr& pipe, Direction& direction);
    /** Writes the block that was read, or keeps it blocked while the proxy is silent. */
    void forward(const PipePtr& pipe, Direction& direction);
    /** Closes both connections of a pipe. */
    void close(const PipePtr& pipe);

    EventLoop& m_loop;
    const Address m_target;
    GSocketService* m_service = nullptr;
    GSocketClient* m_client;
    Millis m_delay{0};
    bool m_isSilent = false;
    std::vector<PipePtr> m_pipes;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SOAK_LOOPBACKPROXY_H
