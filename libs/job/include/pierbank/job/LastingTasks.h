// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_LASTINGTASKS_H
#define PIERBANK_JOB_LASTINGTASKS_H

#include <cstdint>
#include <map>
#include <optional>

#include "pierbank/job/JobRun.h"

namespace pierbank {

/**
 * What a leader has observed of the lasting tasks of one job: since when a task has no run, and
 * whether its run is at work. Each of these tasks counts by itself, whatever the others do. Kept in
 * memory only; a new leader observes anew.
 */
class LastingTasks {
public:
    /** Takes over which tasks have a run now. Does nothing for a job without lasting steps. */
    void update(const JobRecord& record, const JobRun& run, Millis wallNow);
    /**
     * Takes over the progress of a run that its worker has reported.
     * @param percent from 0 to 100; a lasting task is at work when it has reached 100.
     */
    void recordProgress(const TaskKey& task, std::uint32_t run, std::uint32_t percent);

    /** Returns the wall time since which a task has had no run; empty while it has one. */
    std::optional<Millis> getIdleSince(const TaskKey& task) const;
    /** Returns whether the worker of this run reported it at work the last time. */
    bool isAtWork(const TaskKey& task, std::uint32_t run) const;

private:
    std::map<TaskKey, Millis> m_idleSince;
    /** Numbers of the runs that are at work. */
    std::map<TaskKey, std::uint32_t> m_atWork;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_LASTINGTASKS_H
