// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_HEARTBEATORDER_H
#define PIERBANK_CONTROL_HEARTBEATORDER_H

#include <cstdint>
#include <optional>

#include "pierbank/base/Clock.h"
#include "pierbank/control/Documents.h"

namespace pierbank {

/** What a heartbeat of the present incarnation is worth, given the last accepted one. */
enum class HeartbeatAge : std::uint8_t {
    /** Newer than the last one; it describes the worker. */
    NEWER,
    /** Not newer than the last one; it was delayed. */
    OLDER,
    /** Not sent by the worker: its clock is ahead of the worker's, or missing. */
    IMPOSSIBLE,
};

/**
 * Compares a heartbeat with the last accepted one of the same incarnation.
 *
 * Another writer may send a heartbeat under the worker's id with any sequence number. If the number
 * alone decided, a large one would make all heartbeats of the worker appear older for the rest of
 * its life. The clock in a heartbeat can be verified, since the worker states its clock with each
 * answer to a poll. So the clock decides where it is known; a heartbeat of another writer is then
 * replaced by the next one of the worker.
 *
 * @param workerClock the worker's clock now, extrapolated from its last answer; empty before its
 *     first answer. It may be behind the true clock if this process was paused, never ahead by more
 *     than the drift of a clock within one poll.
 */
HeartbeatAge classifyHeartbeat(const WorkerHeartbeat& last, const WorkerHeartbeat& next,
                               std::optional<Millis> workerClock);

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_HEARTBEATORDER_H
