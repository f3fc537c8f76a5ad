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
 * Stands between two processes on loopback and passes bytes on, late, held up, or not at all. What
 * is held up is passed on when the proxy heals, as after a partition, unless connections are reset
 * meanwhile.
 */
class LoopbackProxy {
public:
    /** The loop must outlive the proxy. */
    LoopbackProxy(EventLoop& loop, Address target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy&) = delete;
    LoopbackProxy& operator=(const LoopbackProxy&) = delete;

    bool listen(const Address& address, Reason& reason);

    /** Each piece of bytes is passed on so much later. */
    void setDelay(Millis delay) { m_delay = delay; }
    /** Nothing is passed on; connections stay open, new ones are taken and hang. */
    void setSilent(bool isSilent);
    /** Connections that are open now end with a reset. */
    void resetAll();

private:
    struct Pipe;
    struct Direction;
    using PipePtr = std::shared_ptr<Pipe>;

    static gboolean onIncoming(GSocketService*, GSocketConnection* connection, GObject*,
                               gpointer self);
    void open(GSocketConnection* caller);
    void read(const PipePtr& pipe, Direction& direction);
    void pass(const PipePtr& pipe, Direction& direction);
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
