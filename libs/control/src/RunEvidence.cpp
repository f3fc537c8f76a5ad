// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/RunEvidence.h"

#include <algorithm>

namespace pierbank {

RunEvidence makeRunEvidence(const JobRecord& record, const JobRun& run, const ActiveRun& ended,
                            RunEnd end, Millis wallNow) {
    const TaskKey& key = ended.m_task;
    RunEvidence evidence{ended.m_worker.m_host, key.m_job, end, wallNow - ended.m_placedAt};
    evidence.m_incarnation = ended.m_worker.m_incarnation;
    const OccurrenceRun* const occurrence = run.findOccurrence(key.m_occurrence);
    const bool isWide = occurrence != nullptr && key.m_step < record.m_spec.m_steps.size() &&
                        record.m_spec.m_steps[key.m_step].isWide();
    if (!isWide) {
        return evidence;
    }
    TaskKey step = key;
    step.m_index = 0;
    evidence.m_wideStep = step.toText();
    if (end != RunEnd::FAILED) {
        return evidence;
    }
    const Millis minAge = evidence.m_ran + std::min(evidence.m_ran, MAX_OUTLASTING_MARGIN);
    for (const TaskRun& task : occurrence->m_steps[key.m_step].m_tasks) {
        const bool hasOutlasted = task.m_state == TaskState::PLACED &&
                                  task.m_worker.m_host != evidence.m_host &&
                                  wallNow - task.m_placedAt >= minAge;
        if (hasOutlasted) {
            evidence.m_outlastingHosts.push_back(task.m_worker.m_host);
        }
    }
    return evidence;
}

}  // namespace pierbank
