// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/TaskPlanner.h"

#include <algorithm>
#include <functional>

#include "PlanningPass.h"

namespace pierbank {

namespace {

/** Forecasts that were worked out beforehand. */
class KnownForecast final : public RunForecast {
public:
    explicit KnownForecast(const std::map<TaskKey, Millis>& remaining) : m_remaining(remaining) {}

    std::optional<Millis> getRemaining(std::string_view, const TaskRef& task) const override {
        const auto found = m_remaining.find(
                {std::string(task.m_job), task.m_occurrence, task.m_step, task.m_index});
        return found == m_remaining.end() ? std::nullopt : std::optional(found->second);
    }

private:
    const std::map<TaskKey, Millis>& m_remaining;
};

}  // namespace

std::string_view toText(UrgentWait::Cause what) {
    switch (what) {
        case UrgentWait::Cause::STOPS:
            return "stops";
        case UrgentWait::Cause::ENDS:
            return "ends";
        case UrgentWait::Cause::ROOM:
            return "room";
        case UrgentWait::Cause::WORKERS:
            break;
    }
    return "workers";
}

TaskPlan TaskPlanner::plan(const PlanInput& input) const {
    return PlanningPass(m_settings, input).run();
}

TaskPlan TaskPlanner::plan(const std::vector<WorkerSnapshot>& workers,
                           const std::vector<PlannedJob>& jobs,
                           const std::map<TaskKey, Millis>& remaining,
                           const std::map<std::string, std::uint32_t>& guarantees,
                           Millis wallNow) const {
    const KnownForecast forecast(remaining);
    return plan({workers, jobs, forecast, guarantees, wallNow});
}

namespace {

/** Longest chain of the steps whose own time is given. */
Millis findLongestChain(const JobSpec& spec, const std::function<Millis(std::size_t)>& getTime) {
    std::vector<Millis> ends;
    Millis longest{0};
    for (std::size_t i = 0; i < spec.m_steps.size(); ++i) {
        Millis begin{0};
        for (const std::uint32_t earlier : spec.m_steps[i].m_after) {
            if (earlier < ends.size()) {
                begin = std::max(begin, ends[earlier]);
            }
        }
        ends.push_back(begin + getTime(i));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

}  // namespace

Millis estimateChain(const JobSpec& spec) {
    return findLongestChain(spec, [&](std::size_t i) { return spec.m_steps[i].m_estimate; });
}

Millis estimateRemainingChain(const JobSpec& spec, const OccurrenceRun& occurrence) {
    return findLongestChain(spec, [&](std::size_t i) {
        const bool isDone = i < occurrence.m_steps.size() && occurrence.m_steps[i].isDone();
        return isDone ? Millis(0) : spec.m_steps[i].m_estimate;
    });
}

Millis getObjectiveSpan(const JobRecord& record) {
    const auto chain = static_cast<double>(estimateChain(record.m_spec).count());
    return Millis(static_cast<std::int64_t>(record.m_policy.m_stretch * chain)) +
           record.m_policy.m_slack;
}

}  // namespace pierbank
