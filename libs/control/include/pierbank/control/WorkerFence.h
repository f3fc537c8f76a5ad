// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_WORKERFENCE_H
#define PIERBANK_CONTROL_WORKERFENCE_H

#include <cstdint>

namespace pierbank {

/**
 * The fence under which a sidecar calls its worker. A worker does nothing for a call with a lower
 * fence than the highest it has seen, and a process that starts anew has seen none.
 *
 * It rises with each leader, with each link of one leader to this host, whenever another process
 * may be there (a call failed, or a heartbeat names another one) and when one is. So the first call
 * that reaches a process keeps it from doing what was sent before the former one fell silent and
 * arrives late, and the next call what was sent since: what the answer to that one lists is all
 * that such calls have begun there, and will ever begin.
 *
 * No clock goes into it, and nothing is kept on the host: a sidecar that was restarted has another
 * link, whose number the leader counts.
 */
class WorkerFence {
public:
    /** A leader's link is there. @param link counts the links of that leader to this host, from 1.
     */
    void handleLink(std::uint64_t epoch, std::uint64_t link);
    /** Another process of the worker may be there. */
    void raise() { ++m_value; }
    std::uint64_t get() const noexcept { return m_value; }

private:
    std::uint64_t m_value = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_WORKERFENCE_H
