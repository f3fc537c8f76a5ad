// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_RUNWITNESS_H
#define PIERBANK_TEST_SUPPORT_RUNWITNESS_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pierbank/job/JobRun.h"

namespace pierbank::testing {

/**
 * Records the starts and ends of runs on all workers of a test, and the violations of the promise
 * that a task never runs twice at once or again after its end counts.
 */
class RunWitness {
public:
    /** Records a start. A start while the task runs, or after its success was persisted, is a
     * violation. */
    void recordRunStart(const TaskKey& task, std::uint32_t run, const std::string& worker);
    void recordStop(const TaskKey& task, const std::string& worker);
    /** Records a success. The task may run again until that end is persisted. */
    void recordSuccess(const TaskKey& task) { m_done.insert(task); }
    /** Records that a success is persisted: the task must not start again. */
    void recordSuccessPersisted(const TaskKey& task) { m_persisted.insert(task); }
    /** Records the end of a run. Returns the number of this end, which increases. */
    std::size_t recordRunEnd() { return ++m_events; }
    /**
     * Records that an end was persisted before its worker's lease expired. It counts from the time
     * of the end, not of this call.
     */
    void recordEndPersisted(const TaskKey& task, RunEnd how, std::size_t end);
    /** Maximum number of failed runs of a task, after which it must not start; zero: no limit. */
    unsigned m_attempts = 0;
    bool isDone(const TaskKey& task) const { return m_done.count(task) != 0; }
    std::size_t countStarts(const TaskKey& task) const;
    std::size_t countRunning() const { return m_running.size(); }
    bool isRunning(const TaskKey& task) const { return m_running.count(task) != 0; }
    const std::vector<std::string>& getViolations() const { return m_violations; }

private:
    /** Numbers of the starts and of the persisted ends of one task, in order of occurrence. */
    struct TaskHistory {
        std::vector<std::size_t> m_starts;
        std::vector<std::size_t> m_done;
        std::vector<std::size_t> m_failed;
    };
    /** Adds a violation if the last start came after an end that forbids it. */
    void checkHistory(const TaskKey& task);

    std::size_t m_events = 0;
    std::map<TaskKey, TaskHistory> m_histories;
    std::map<TaskKey, std::string> m_running;
    std::map<TaskKey, std::size_t> m_starts;
    std::set<TaskKey> m_done;
    std::set<TaskKey> m_persisted;
    std::vector<std::string> m_violations;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_RUNWITNESS_H
