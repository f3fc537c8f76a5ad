// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_PLATFORM_WORKERPORT_H
#define PIERBANK_PLATFORM_WORKERPORT_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** State of a task on its worker. */
enum class TaskState { RUNNING, ENDED, FAILED, STOPPED };

/** A task to start. The name is unique for ever; a worker starts a name at most once. */
struct TaskSpec {
    std::string m_name;
    std::vector<std::uint32_t> m_accelerators;
    /** Stand-in workers end the task after this time; real ones ignore it. */
    Millis m_runTime{0};
};

/** What the worker says of one task. */
struct TaskStatus {
    std::string m_name;
    TaskState m_state = TaskState::RUNNING;
    std::vector<std::uint32_t> m_accelerators;
};

/**
 * The platform's worker, seen from its sidecar. Tasks run under one lease of the worker's own:
 * when it is not renewed in time, the worker stops them all.
 */
class WorkerPort {
public:
    using DoneCallback = std::function<void(bool isDone, const std::string& reason)>;
    /** Empty when the worker could not be asked; the lease may then not have been renewed. */
    using ListCallback = std::function<void(const std::optional<std::vector<TaskStatus>>&)>;

    virtual ~WorkerPort() = default;

    virtual void startTask(const TaskSpec& task, DoneCallback done) = 0;

    /** Checkpoints the task for up to `grace`, then stops it. Done when it has stopped. */
    virtual void stopTask(std::string_view name, Millis grace, DoneCallback done) = 0;

    /** Renews the lease of all tasks for `timeToLive` and lists them; zero only lists. */
    virtual void renewAndList(Millis timeToLive, ListCallback done) = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_PLATFORM_WORKERPORT_H
