// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BENCH_REPLAY_POLICIES_H
#define PIERBANK_BENCH_REPLAY_POLICIES_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank::replay {

/** What a policy sees. */
struct Scene {
    const std::vector<WorkerSnapshot>& m_workers;
    const std::vector<PlannedJob>& m_jobs;
    /** Until running tasks end, as they were declared. */
    const std::map<TaskKey, Millis>& m_remaining;
    const std::map<std::string, std::uint32_t>& m_guarantees;
    Millis m_now{0};
};

/** A policy that a replay asks after each event. */
class ReplayPolicy {
public:
    virtual ~ReplayPolicy() = default;
    virtual TaskPlan plan(const Scene& scene) = 0;
};

/** The project's own planner. */
class PierbankPolicy final : public ReplayPolicy {
public:
    explicit PierbankPolicy(const TaskPlannerSettings& settings) : m_planner(settings) {}
    TaskPlan plan(const Scene& scene) override;

private:
    const TaskPlanner m_planner;
};

/** Free accelerators by worker, in the order of the workers. */
using Free = std::vector<std::uint32_t>;
/** Workers' places, one a member. */
using Choice = std::vector<std::size_t>;

/** Jobs in order of arrival, each wherever `choose` finds room; those that fit may pass. */
class InOrderOfArrival : public ReplayPolicy {
public:
    TaskPlan plan(const Scene& scene) final;

protected:
    /** Workers for a job; empty when there is no room for it. */
    virtual std::optional<Choice> choose(const Scene& scene, const JobRecord& record,
                                         const Free& free) = 0;
};

/** The first workers in their order that hold the job. */
class FirstFitFifo final : public InOrderOfArrival {
    std::optional<Choice> choose(const Scene& scene, const JobRecord& record,
                                 const Free& free) override;
};

/** The workers of which least is left; no guarantees, reservations or preemption. */
class BestFit final : public InOrderOfArrival {
    std::optional<Choice> choose(const Scene& scene, const JobRecord& record,
                                 const Free& free) override;
};

/** Each organisation has workers of its own, as many as its part of the guarantees. */
class StaticPartitions final : public InOrderOfArrival {
    std::optional<Choice> choose(const Scene& scene, const JobRecord& record,
                                 const Free& free) override;

    std::vector<std::string> m_ownerOf;
};

}  // namespace pierbank::replay

#endif  // PIERBANK_BENCH_REPLAY_POLICIES_H
