// SPDX-License-Identifier: Apache-2.0
// Runs that turn out to be elsewhere than the record has them.
#include "pierbank/job/JobRun.h"

namespace pierbank {

void rebindRun(JobRun& run, const ActiveRun& held, const WorkerId& worker) {
    if (!held.m_isCopy) {
        run.findTask(held.m_task)->m_worker = worker;
        return;
    }
    StepRun& step = run.findOccurrence(held.m_task.m_occurrence)->m_steps[held.m_task.m_step];
    for (TaskCopy& copy : step.m_copies) {
        if (copy.m_index == held.m_task.m_index && copy.m_run == held.m_run) {
            copy.m_worker = worker;
        }
    }
}

bool trackOrphanedRun(const JobRecord& record, JobRun& run, const ActiveRun& stray) {
    const TaskKey& key = stray.m_task;
    TaskRun* const task = run.findTask(key);
    const auto& steps = record.m_spec.m_steps;
    const bool mayHold = task != nullptr && !run.isFinished() && key.m_step < steps.size() &&
                         !steps[key.m_step].m_isGang && stray.m_run <= task->m_lastRun &&
                         task->m_state != TaskState::DONE;
    if (!mayHold) {
        return false;
    }
    if (task->m_state == TaskState::WAITING) {
        task->m_state = TaskState::STOPPING;
        task->m_run = stray.m_run;
        task->m_worker = stray.m_worker;
        task->m_placedAt = stray.m_placedAt;
        return true;
    }
    run.findOccurrence(key.m_occurrence)
            ->m_steps[key.m_step]
            .m_copies.push_back({key.m_index, stray.m_run, stray.m_worker, stray.m_placedAt, true});
    return true;
}

}  // namespace pierbank
