// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/TaskPlanner.h"

#include <algorithm>

#include "PlanningPass.h"

namespace pierbank {

TaskPlan TaskPlanner::plan(const std::vector<WorkerView>& workers,
                           const std::vector<PlannedJob>& jobs,
                           const std::map<TaskKey, Millis>& remaining,
                           const std::map<std::string, std::uint32_t>& guarantees,
                           Millis wallNow) const {
    return PlanningPass(m_settings, workers, jobs, remaining, guarantees, wallNow).run();
}

Millis estimateChain(const JobSpec& spec) {
    std::vector<Millis> ends;
    Millis longest{0};
    for (const StepSpec& step : spec.m_steps) {
        Millis begin{0};
        for (const std::uint32_t earlier : step.m_after) {
            if (earlier < ends.size()) {
                begin = std::max(begin, ends[earlier]);
            }
        }
        ends.push_back(begin + step.m_estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

}  // namespace pierbank
