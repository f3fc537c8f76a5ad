// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_WORKERFENCE_H
#define PIERBANK_CONTROL_WORKERFENCE_H

#include <cstdint>

namespace pierbank {

/**
 * Computes the fence with which a sidecar calls its worker. A worker rejects calls with a lower
 * fence than the highest that it has received; a newly started process has received none.
 *
 * The fence rises with each leader, with each link of the same leader to this host, whenever
 * another process may have replaced the worker's (a call failed, or a heartbeat names another
 * process), and when a replacement is confirmed. Delayed calls can therefore not take effect
 * unnoticed. The first call that reaches a new process rejects late calls from before the previous
 * process stopped answering. The next call rejects late calls that were sent since then. The reply
 * to this second call therefore lists every run that late calls have started or can ever start in
 * the new process.
 *
 * The fence does not depend on a clock, and nothing is stored on the host. A restarted sidecar gets
 * a new link, and the leader counts the links.
 */
class WorkerFence {
public:
    /**
     * Raises the fence for a new link from a leader.
     *
     * @param epoch epoch of the leader.
     * @param link number of this link among the leader's links to this host, starting at 1.
     */
    void handleLink(std::uint64_t epoch, std::uint64_t link);
    /** Raises the fence because another process of the worker may be running. */
    void raise() { ++m_value; }
    /** Returns the current fence. */
    std::uint64_t get() const noexcept { return m_value; }

private:
    std::uint64_t m_value = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_WORKERFENCE_H
