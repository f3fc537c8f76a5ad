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

/** How a call of a worker ended. */
enum class WorkerStatus {
    OK,
    /** Surely nothing was done. */
    REFUSED,
    /** A worker of another id answered: the one that was called is over. */
    OTHER_INCARNATION,
    /** No whole answer: it may have been done, or may be done seconds later. */
    UNKNOWN,
};

/**
 * Which worker is called, and under which fence. The id does not tell two processes apart that
 * started under it: only the fence does.
 */
struct WorkerCall {
    std::string m_id;
    std::uint64_t m_fence = 0;
};

/** Outcome of starting or stopping a run. */
struct RunReply {
    WorkerStatus m_status = WorkerStatus::UNKNOWN;
    /** Why it was refused, in the worker's word: `fence`, `old`, `late`, `room`,
     * `ticket`. */
    std::string m_reason;
};

/** A run that a worker lists as running. */
struct ListedRun {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    std::string m_checkpoint;
    /** Progress of the work; for a task that lasts, 100 when it is at work. */
    std::uint32_t m_percent = 0;
    /** Over the last half second, roughly: for a task that serves users the tail of their answer
     * times in milliseconds, for others the processor time in use in thousandths of a core. */
    std::uint32_t m_figure = 0;
};

/** An ended run that a worker lists until its number is known to be kept. */
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
    /** When the process that answered started, as it says; zero: it says nothing. */
    std::uint64_t m_processStartedAt = 0;
    /** The worker's steady clock as it answered. */
    Millis m_clock{0};
    std::vector<ListedRun> m_running;
    std::vector<ListedEnd> m_ended;
    std::string m_reason;
    /** Nothing listens at the worker's address. */
    bool m_isConnectionRefused = false;
};

/** What a sidecar asks of hold(). */
struct HoldCall {
    /** Ends up to this number may be forgotten; zero for none. They are gone for good, so that it
     * is named only to the process that listed them. */
    std::uint64_t m_lastPersisted = 0;
    /** Until when everything may run, on the clock of that process; never shortens. */
    std::optional<Millis> m_until;
    /** The answer may wait so long for an end; zero for at once. */
    Millis m_wait{0};
};

/** A run to start. */
struct StartCall {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    std::string m_payload;
    std::string m_checkpoint;
    /** Empty on queues without advice. */
    std::string m_ticket;
    Millis m_until{0};
};

/** A run to be paced. */
struct ThrottleCall {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    /** Share at which it works, 0 to 100. */
    std::uint32_t m_percent = 100;
};

/** The worker beside a sidecar. Callbacks are called exactly once, on the loop. */
class TaskWorker {
public:
    virtual ~TaskWorker() = default;
    virtual void start(const WorkerCall& call, const StartCall& start,
                       std::function<void(const RunReply&)> done) = 0;
    virtual void stop(const WorkerCall& call, const TaskKey& task, std::uint32_t run,
                      std::function<void(const RunReply&)> done) = 0;
    /** Sets the share at which a run works, and disturbs others, from soon after. */
    virtual void pace(const WorkerCall& call, const ThrottleCall& pace,
                      std::function<void(const RunReply&)> done) = 0;
    virtual void hold(const WorkerCall& call, const HoldCall& hold,
                      std::function<void(const HoldReply&)> done) = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_TASKWORKER_H
