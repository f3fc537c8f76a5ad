// SPDX-License-Identifier: Apache-2.0
// Corrections of the record for runs that are not reported by the incarnation for which they are
// recorded.
#include "pierbank/job/JobRun.h"

namespace pierbank {

void rebindRun(JobRun& run, const ActiveRun& active, const WorkerId& worker) {
    if (!active.m_isCopy) {
        run.findTask(active.m_task)->m_worker = worker;
        return;
    }
    StepRun& step = run.findOccurrence(active.m_task.m_occurrence)->m_steps[active.m_task.m_step];
    for (TaskCopy& copy : step.m_copies) {
        if (copy.m_index == active.m_task.m_index && copy.m_run == active.m_run) {
            copy.m_worker = worker;
        }
    }
}

bool trackOrphanedRun(const JobRecord& record, JobRun& run, const ActiveRun& orphan) {
    const TaskKey& key = orphan.m_task;
    TaskRun* const task = run.findTask(key);
    const auto& steps = record.m_spec.m_steps;
    const bool mayTrack = task != nullptr && !run.isFinished() && key.m_step < steps.size() &&
                          !steps[key.m_step].m_isGang && orphan.m_run <= task->m_lastRun &&
                          task->m_state != TaskState::DONE;
    if (!mayTrack) {
        return false;
    }
    if (task->m_state == TaskState::WAITING) {
        task->m_state = TaskState::STOPPING;
        task->m_run = orphan.m_run;
        task->m_worker = orphan.m_worker;
        task->m_placedAt = orphan.m_placedAt;
        return true;
    }
    run.findOccurrence(key.m_occurrence)
            ->m_steps[key.m_step]
            .m_copies.push_back(
                    {key.m_index, orphan.m_run, orphan.m_worker, orphan.m_placedAt, true});
    return true;
}

}  // namespace pierbank
