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

/** What all workers of a test saw together, and what must never be. */
class RunWitness {
public:
    void recordRunStart(const TaskKey& task, std::uint32_t run, const std::string& worker);
    void noteStop(const TaskKey& task, const std::string& worker);
    /** A run ended well; until its worker was told to forget that, it may have to run again. */
    void noteDone(const TaskKey& task) { m_done.insert(task); }
    void recordPersisted(const TaskKey& task) { m_kept.insert(task); }
    /** A run ended; the number names this end, and rises. */
    std::size_t recordRunEnd() { return ++m_events; }
    /** That end was taken note of, in time: what it counts for counts from when it came. */
    void noteCounted(const TaskKey& task, RunEnd how, std::size_t end);
    /** Runs of a task that may end as failed before it is not started any more; zero: any. */
    unsigned m_attempts = 0;
    bool isDone(const TaskKey& task) const { return m_done.count(task) != 0; }
    std::size_t countStarts(const TaskKey& task) const;
    std::size_t countRunning() const { return m_running.size(); }
    bool isRunning(const TaskKey& task) const { return m_running.count(task) != 0; }
    const std::vector<std::string>& getViolations() const { return m_violations; }

private:
    /** Starts and counted ends of one task, in the order in which they came. */
    struct Story {
        std::vector<std::size_t> m_starts;
        std::vector<std::size_t> m_done;
        std::vector<std::size_t> m_failed;
    };
    void checkStory(const TaskKey& task);

    std::size_t m_events = 0;
    std::map<TaskKey, Story> m_stories;
    std::map<TaskKey, std::string> m_running;
    std::map<TaskKey, std::size_t> m_starts;
    std::set<TaskKey> m_done;
    std::set<TaskKey> m_kept;
    std::vector<std::string> m_violations;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_RUNWITNESS_H
