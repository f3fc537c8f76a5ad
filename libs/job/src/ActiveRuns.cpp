// SPDX-License-Identifier: Apache-2.0
// Finds the runs of a job that occupy workers.
#include "ActiveRuns.h"

namespace pierbank {

ActiveRun makeActiveRun(const TaskKey& key, const TaskRun& task) {
    return {key,  task.m_run, task.m_worker, task.m_placedAt, task.m_state == TaskState::STOPPING,
            false};
}

ActiveRun makeActiveRun(const TaskKey& key, const TaskCopy& copy) {
    return {key, copy.m_run, copy.m_worker, copy.m_placedAt, copy.m_isStopping, true};
}

std::optional<ActiveRun> JobRun::findActiveRun(const TaskKey& key, std::uint32_t number) const {
    const TaskRun* const task = findTask(key);
    if (task == nullptr) {
        return std::nullopt;
    }
    if (task->occupiesWorker() && task->m_run == number) {
        return makeActiveRun(key, *task);
    }
    for (const TaskCopy& copy : findOccurrence(key.m_occurrence)->m_steps[key.m_step].m_copies) {
        if (copy.m_index == key.m_index && copy.m_run == number) {
            return makeActiveRun(key, copy);
        }
    }
    return std::nullopt;
}

namespace {

/** Returns the active runs on workers for which `isWanted` returns true. The condition takes only
 * the worker, so that no other run has to be copied. */
template <typename Condition>
std::vector<ActiveRun> listActiveRunsIf(const std::string& id, const JobRun& run,
                                        Condition isWanted) {
    std::vector<ActiveRun> activeRuns;
    for (const OccurrenceRun& occurrence : run.m_occurrences) {
        for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
            const StepRun& stepRun = occurrence.m_steps[step];
            for (std::uint32_t i = 0; i < stepRun.m_tasks.size(); ++i) {
                const TaskRun& task = stepRun.m_tasks[i];
                if (task.occupiesWorker() && isWanted(task.m_worker)) {
                    activeRuns.push_back(makeActiveRun({id, occurrence.m_number, step, i}, task));
                }
            }
            for (const TaskCopy& copy : stepRun.m_copies) {
                if (isWanted(copy.m_worker)) {
                    activeRuns.push_back(
                            makeActiveRun({id, occurrence.m_number, step, copy.m_index}, copy));
                }
            }
        }
    }
    return activeRuns;
}

}  // namespace

std::vector<ActiveRun> listActiveRuns(const std::string& id, const JobRun& run) {
    return listActiveRunsIf(id, run, [](const WorkerId&) { return true; });
}

std::vector<ActiveRun> listActiveRunsOn(std::string_view host, const std::string& id,
                                        const JobRun& run) {
    return listActiveRunsIf(id, run,
                            [host](const WorkerId& worker) { return worker.m_host == host; });
}

}  // namespace pierbank
