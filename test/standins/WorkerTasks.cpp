// SPDX-License-Identifier: Apache-2.0
#include "WorkerTasks.h"

#include <algorithm>

namespace pierbank::standin {

std::string WorkerTasks::start(const TaskSpec& task) {
    update();
    const auto known = m_tasks.find(task.m_name);
    if (known != m_tasks.end()) {
        return known->second.m_state == TaskState::RUNNING ? "" : "was started before";
    }
    if (m_refused.count(task.m_name) != 0) {
        return "was stopped before its start";
    }
    for (const auto& [name, other] : m_tasks) {
        const auto isTaken = [&other = other](std::uint32_t accelerator) {
            const auto& taken = other.m_spec.m_accelerators;
            return std::find(taken.begin(), taken.end(), accelerator) != taken.end();
        };
        const bool overlaps =
                std::any_of(task.m_accelerators.begin(), task.m_accelerators.end(), isTaken);
        if (other.m_state == TaskState::RUNNING && overlaps) {
            return "accelerators are in use by " + name;
        }
    }
    const Millis now = m_loop.now();
    const bool hasRunning = countRunning() > 0;
    m_leaseUntil = hasRunning ? m_leaseUntil : std::max(m_leaseUntil, now + FIRST_LEASE);
    m_tasks[task.m_name] = {task, TaskState::RUNNING,
                            now + (m_isFailing ? FAIL_AFTER : task.m_runTime), m_isFailing};
    m_journal.push_back({now, task.m_name, TaskState::RUNNING});
    return "";
}

void WorkerTasks::stop(const std::string& name) {
    update();
    const auto found = m_tasks.find(name);
    if (found == m_tasks.end()) {
        m_refused.insert(name);
        return;
    }
    if (found->second.m_state == TaskState::RUNNING) {
        finish(found->second, TaskState::STOPPED, m_loop.now());
    }
}

std::vector<TaskStatus> WorkerTasks::renewAndList(Millis timeToLive) {
    update();
    if (timeToLive > Millis(0)) {
        m_leaseUntil = m_loop.now() + timeToLive;
    }
    std::vector<TaskStatus> list;
    for (const auto& [name, task] : m_tasks) {
        list.push_back({name, task.m_state, task.m_spec.m_accelerators});
    }
    return list;
}

void WorkerTasks::update() {
    const Millis now = m_loop.now();
    for (auto& [name, task] : m_tasks) {
        if (task.m_state != TaskState::RUNNING) {
            continue;
        }
        const bool hasLapsed = m_leaseUntil <= now;
        if (hasLapsed && m_leaseUntil < task.m_endsAt) {
            finish(task, TaskState::STOPPED, m_leaseUntil);
        } else if (task.m_endsAt <= now) {
            finish(task, task.m_willFail ? TaskState::FAILED : TaskState::ENDED, task.m_endsAt);
        }
    }
}

void WorkerTasks::finish(Task& task, TaskState state, Millis at) {
    task.m_state = state;
    m_journal.push_back({at, task.m_spec.m_name, state});
}

std::size_t WorkerTasks::countRunning() const {
    return static_cast<std::size_t>(std::count_if(m_tasks.begin(), m_tasks.end(), [](auto& e) {
        return e.second.m_state == TaskState::RUNNING;
    }));
}

}  // namespace pierbank::standin
