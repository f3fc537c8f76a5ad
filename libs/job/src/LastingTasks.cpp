// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/LastingTasks.h"

#include <algorithm>

namespace pierbank {

void LastingTasks::update(const JobRecord& record, const JobRun& run, Millis wallNow) {
    const auto& steps = record.m_spec.m_steps;
    const bool hasLasting = std::any_of(steps.begin(), steps.end(),
                                        [](const StepSpec& step) { return step.m_isLongRunning; });
    if (!hasLasting) {
        return;
    }
    forEachTask(record.m_id, run, [&](const TaskKey& key, const TaskRun& task) {
        if (task.m_state == TaskState::WAITING && steps[key.m_step].m_isLongRunning) {
            m_idleSince.try_emplace(key, wallNow);
        } else {
            m_idleSince.erase(key);
        }
    });
}

void LastingTasks::recordProgress(const TaskKey& task, std::uint32_t run, std::uint32_t percent) {
    constexpr std::uint32_t AT_WORK_PERCENT = 100;
    if (percent >= AT_WORK_PERCENT) {
        m_atWork[task] = run;
    } else {
        m_atWork.erase(task);
    }
}

std::optional<Millis> LastingTasks::getIdleSince(const TaskKey& task) const {
    const auto found = m_idleSince.find(task);
    return found == m_idleSince.end() ? std::nullopt : std::optional(found->second);
}

bool LastingTasks::isAtWork(const TaskKey& task, std::uint32_t run) const {
    const auto found = m_atWork.find(task);
    return found != m_atWork.end() && found->second == run;
}

}  // namespace pierbank
