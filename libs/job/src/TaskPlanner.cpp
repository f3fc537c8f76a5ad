// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/TaskPlanner.h"

#include <algorithm>
#include <functional>

#include "PlanningPass.h"

namespace pierbank {

namespace {

/** Forecast with remaining times that are given in advance. */
class FixedForecast final : public RunForecast {
public:
    explicit FixedForecast(const std::map<TaskKey, Millis>& remaining) : m_remaining(remaining) {}

    std::optional<Millis> getRemaining(std::string_view, const TaskRef& task) const override {
        const auto found = m_remaining.find(
                {std::string(task.m_job), task.m_occurrence, task.m_step, task.m_index});
        return found == m_remaining.end() ? std::nullopt : std::optional(found->second);
    }

private:
    const std::map<TaskKey, Millis>& m_remaining;
};

}  // namespace

RunTimeEstimate RunForecast::getRunTime(const JobRecord&, const StepSpec& step) const {
    return {step.m_estimate, step.m_estimate};
}

std::string_view toText(UrgentWait::Cause cause) {
    switch (cause) {
        case UrgentWait::Cause::STOPS:
            return "stops";
        case UrgentWait::Cause::ENDS:
            return "ends";
        case UrgentWait::Cause::CAPACITY:
            return "room";
        case UrgentWait::Cause::WORKERS:
            break;
    }
    return "workers";
}

std::string_view toText(UrgentWait::Outlook outlook) {
    switch (outlook) {
        case UrgentWait::Outlook::IN_TIME:
            return "in-time";
        case UrgentWait::Outlook::LATE:
            return "late";
        case UrgentWait::Outlook::UNKNOWN:
            break;
    }
    return "unknown";
}

TaskPlan TaskPlanner::plan(const PlanInput& input) const {
    return PlanningPass(m_settings, input).run();
}

TaskPlan TaskPlanner::plan(const std::vector<WorkerSnapshot>& workers,
                           const std::vector<PlannedJob>& jobs,
                           const std::map<TaskKey, Millis>& remaining,
                           const std::map<std::string, std::uint32_t>& guarantees,
                           Millis wallNow) const {
    const FixedForecast forecast(remaining);
    return plan({workers, jobs, forecast, guarantees, wallNow});
}

namespace {

/** Returns the length of the critical path, given the time of each step by index. */
Millis findCriticalPath(const JobSpec& spec, const std::function<Millis(std::size_t)>& getTime) {
    std::vector<Millis> ends;
    Millis longest{0};
    for (std::size_t i = 0; i < spec.m_steps.size(); ++i) {
        Millis start{0};
        for (const std::uint32_t predecessor : spec.m_steps[i].m_after) {
            if (predecessor < ends.size()) {
                start = std::max(start, ends[predecessor]);
            }
        }
        ends.push_back(start + getTime(i));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

}  // namespace

Millis estimateCriticalPath(const JobSpec& spec) {
    return findCriticalPath(spec, [&](std::size_t i) { return spec.m_steps[i].m_estimate; });
}

Millis estimateRemainingCriticalPath(const JobSpec& spec, const OccurrenceRun& occurrence) {
    return findCriticalPath(spec, [&](std::size_t i) {
        const bool isDone = i < occurrence.m_steps.size() && occurrence.m_steps[i].isDone();
        return isDone ? Millis(0) : spec.m_steps[i].m_estimate;
    });
}

Millis estimateTimeAfter(const JobSpec& spec, std::uint32_t step) {
    // Steps only follow steps with a lower index.
    std::vector<Millis> after(spec.m_steps.size());
    for (std::size_t i = spec.m_steps.size(); i-- > 0;) {
        for (const std::uint32_t predecessor : spec.m_steps[i].m_after) {
            if (predecessor < i) {
                after[predecessor] =
                        std::max(after[predecessor], spec.m_steps[i].m_estimate + after[i]);
            }
        }
    }
    return after[step];
}

Millis getObjectiveSpan(const JobRecord& record) {
    const auto chain = static_cast<double>(estimateCriticalPath(record.m_spec).count());
    return Millis(static_cast<std::int64_t>(record.m_policy.m_stretch * chain)) +
           record.m_policy.m_slack;
}

}  // namespace pierbank
