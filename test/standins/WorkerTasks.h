// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_STANDINS_WORKERTASKS_H
#define PIERBANK_TEST_STANDINS_WORKERTASKS_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/platform/WorkerPort.h"

namespace pierbank::standin {

/** One line of what a stand-in worker did, for tests that look for doubles and gaps. */
struct WorkerEvent {
    Millis m_at{0};
    std::string m_task;
    TaskState m_state = TaskState::RUNNING;
};

/** The tasks of a stand-in worker. They end by themselves after their run time. */
class WorkerTasks {
public:
    explicit WorkerTasks(EventLoop& loop) : m_loop(loop) {}

    /** @return empty when the task runs now, else why not. */
    std::string start(const TaskSpec& task);
    /** Stops a task; one that never started never will. */
    void stop(const std::string& name);
    /** Renews the lease of all tasks (zero: leaves it) and lists them. */
    std::vector<TaskStatus> renewAndList(Millis timeToLive);

    /** From now on every task fails soon after its start. */
    void setFailing(bool isFailing) { m_isFailing = isFailing; }

    const std::vector<WorkerEvent>& getJournal() const { return m_journal; }
    std::size_t countRunning() const;

private:
    struct Task {
        TaskSpec m_spec;
        TaskState m_state = TaskState::RUNNING;
        Millis m_endsAt{0};
        bool m_willFail = false;
    };

    void update();
    void finish(Task& task, TaskState state, Millis at);

    /** A failing task fails after this time. */
    static constexpr Millis FAIL_AFTER{50};
    /** Lease that the first start of a task gets, until it is renewed. */
    static constexpr Millis FIRST_LEASE{4000};

    EventLoop& m_loop;
    std::map<std::string, Task> m_tasks;
    std::set<std::string> m_refused;
    std::vector<WorkerEvent> m_journal;
    Millis m_leaseUntil{0};
    bool m_isFailing = false;
};

}  // namespace pierbank::standin

#endif  // PIERBANK_TEST_STANDINS_WORKERTASKS_H
