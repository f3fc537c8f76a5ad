// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_TASKWORKER_H
#define PIERBANK_CONTROL_TASKWORKER_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/job/JobRun.h"

namespace pierbank {

/** Outcome of a call to a worker. */
enum class WorkerStatus {
    OK,
    /** The worker has certainly not executed the call. */
    REFUSED,
    /** A worker with another id answered: the called worker has ended. */
    OTHER_INCARNATION,
    /**
     * No complete answer arrived: the worker may have executed the call, or may still execute it
     * seconds later.
     */
    UNKNOWN,
};

/**
 * Target worker and fence of a call. Processes that started under the same id are distinguished by
 * the fence only.
 */
struct WorkerCall {
    std::string m_id;
    std::uint64_t m_fence = 0;
};

/** Outcome of starting, stopping or throttling a run. */
struct RunReply {
    WorkerStatus m_status = WorkerStatus::UNKNOWN;
    /**
     * Reason for a refusal as the worker names it: `fence`, `old` (the run has been prevented from
     * starting), `late` (the lease end in the call has passed), `room` (insufficient capacity),
     * `ticket`.
     */
    std::string m_reason;
};

/** A run that a worker lists as running. */
struct ListedRun {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    std::string m_checkpoint;
    /** Progress in percent; for a task without an end, 100 once the task is in service. */
    std::uint32_t m_percent = 0;
    /**
     * Measurement over roughly the last half second. For a task that serves users, the tail latency
     * in milliseconds; for other tasks, the processor time in use in thousandths of a core.
     */
    std::uint32_t m_tailMsOrCpuMillis = 0;
};

/** A finished run. The worker lists the run until its number is acknowledged as persisted. */
struct ListedEnd {
    std::uint64_t m_number = 0;
    TaskKey m_task;
    std::uint32_t m_run = 0;
    RunEnd m_end = RunEnd::LAPSED;
    std::string m_checkpoint;
};

/** Outcome of hold(). */
struct HoldReply {
    WorkerStatus m_status = WorkerStatus::UNKNOWN;
    /** Start time that the answering process reports; zero if the process reports none. */
    std::uint64_t m_processStartedAt = 0;
    /** Steady clock of the worker when the answer was sent. */
    Millis m_clock{0};
    std::vector<ListedRun> m_running;
    std::vector<ListedEnd> m_ended;
    /**
     * Whether the worker may have finished runs that it does not list yet: it lists a limited
     * number at once, the oldest ones. Running runs are always listed.
     */
    bool m_isEndListCut = false;
    /** Whether a row that names a task could not be read, so that a run may be missing here. */
    bool m_hasUnreadableRun = false;
    std::string m_reason;
    /** Whether no process listens at the address of the worker. */
    bool m_isConnectionRefused = false;
};

/** Parameters of hold(). */
struct HoldCall {
    /**
     * Number up to which ends of runs are persisted, so that the worker may discard them; zero for
     * none. Discarded ends cannot be recovered, so the number must only be sent to the process that
     * listed them.
     */
    std::uint64_t m_lastPersisted = 0;
    /**
     * End of the lease on the steady clock of the called process. An earlier time than that of the
     * present lease has no effect.
     */
    std::optional<Millis> m_until;
    /**
     * How long the worker may delay the answer until a run ends (long poll); zero for an immediate
     * answer.
     */
    Millis m_wait{0};
};

/** A run to start. */
struct StartCall {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    std::string m_payload;
    std::string m_checkpoint;
    /** Placement ticket; empty on queues without placement advice. */
    std::string m_ticket;
    /** End of the lease on the steady clock of the worker. */
    Millis m_until{0};
};

/** A run to throttle. */
struct ThrottleCall {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    /** Share of its full speed at which the run works, from 0 to 100. */
    std::uint32_t m_percent = 100;
};

/**
 * Client of the worker beside a sidecar. Each call invokes its callback exactly once, on the event
 * loop.
 */
class TaskWorker {
public:
    virtual ~TaskWorker() = default;
    /** Starts a run. Repeating the call for a run that is already running succeeds. */
    virtual void start(const WorkerCall& call, const StartCall& start,
                       std::function<void(const RunReply&)> done) = 0;
    /** Stops a run, or prevents the run from starting if it has not started. */
    virtual void stop(const WorkerCall& call, const TaskKey& task, std::uint32_t run,
                      std::function<void(const RunReply&)> done) = 0;
    /**
     * Sets the share of its full speed at which a run works. The new share takes effect shortly
     * after the call, also on the interference with other runs.
     */
    virtual void pace(const WorkerCall& call, const ThrottleCall& pace,
                      std::function<void(const RunReply&)> done) = 0;
    /**
     * Renews the lease of the worker and polls its runs: running runs, and finished runs whose ends
     * are not acknowledged yet. The worker may delay the answer until a run ends (long poll).
     */
    virtual void hold(const WorkerCall& call, const HoldCall& hold,
                      std::function<void(const HoldReply&)> done) = 0;
    /** Makes later calls use no connection to the worker that is open now. */
    virtual void discardConnections() = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_TASKWORKER_H
