// SPDX-License-Identifier: Apache-2.0
#include "RunWitness.h"

#include <algorithm>

namespace pierbank::testing {

void RunWitness::recordRunStart(const TaskKey& task, std::uint32_t run, const std::string& worker) {
    ++m_starts[task];
    if (m_running.count(task) != 0) {
        m_violations.push_back(task.toText() + " run " + std::to_string(run) + " on " + worker +
                               " while it runs on " + m_running[task]);
    }
    if (m_persisted.count(task) != 0) {
        m_violations.push_back(task.toText() + " started on " + worker + " after it was done");
    }
    m_running[task] = worker;
    m_histories[task].m_starts.push_back(++m_events);
    checkHistory(task);
}

void RunWitness::recordEndPersisted(const TaskKey& task, RunEnd how, std::size_t end) {
    TaskHistory& history = m_histories[task];
    if (how == RunEnd::DONE) {
        history.m_done.push_back(end);
    } else if (how == RunEnd::FAILED) {
        history.m_failed.push_back(end);
        std::sort(history.m_failed.begin(), history.m_failed.end());
    }
    checkHistory(task);
}

/** Called after ends too, since an end may be persisted only after the start that it forbids. */
void RunWitness::checkHistory(const TaskKey& task) {
    const TaskHistory& history = m_histories[task];
    const std::size_t last = history.m_starts.empty() ? 0 : history.m_starts.back();
    const auto isBefore = [last](std::size_t end) {
        return end < last;
    };
    if (std::any_of(history.m_done.begin(), history.m_done.end(), isBefore)) {
        m_violations.push_back(task.toText() + " started after an end that counts as done");
    }
    const auto failed = std::count_if(history.m_failed.begin(), history.m_failed.end(), isBefore);
    if (m_attempts > 0 && failed >= static_cast<std::ptrdiff_t>(m_attempts)) {
        m_violations.push_back(task.toText() + " started after " + std::to_string(failed) +
                               " failed runs");
    }
}

void RunWitness::recordStop(const TaskKey& task, const std::string& worker) {
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second == worker) {
        m_running.erase(found);
    }
}

std::size_t RunWitness::countStarts(const TaskKey& task) const {
    const auto found = m_starts.find(task);
    return found == m_starts.end() ? 0 : found->second;
}

}  // namespace pierbank::testing
