// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BENCH_REPLAY_POLICIES_H
#define PIERBANK_BENCH_REPLAY_POLICIES_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank::replay {

/** Input of a policy: the state of workers and jobs at one point of virtual time. */
struct PolicyInput {
    const std::vector<WorkerSnapshot>& m_workers;
    const std::vector<PlannedJob>& m_jobs;
    /** Remaining time of active tasks, by their declared run times. */
    const std::map<TaskKey, Millis>& m_remaining;
    const std::map<std::string, std::uint32_t>& m_guarantees;
    Millis m_now{0};
};

/** Scheduling policy under replay; plan() is called once after all events of one time. */
class ReplayPolicy {
public:
    virtual ~ReplayPolicy() = default;
    virtual TaskPlan plan(const PolicyInput& input) = 0;
};

/** Runs pierbank's TaskPlanner. */
class PierbankPolicy final : public ReplayPolicy {
public:
    explicit PierbankPolicy(const TaskPlannerSettings& settings) : m_planner(settings) {}
    TaskPlan plan(const PolicyInput& input) override;

private:
    const TaskPlanner m_planner;
};

/** Number of free accelerators of each worker, in the order of the workers. */
using FreeAccelerators = std::vector<std::uint32_t>;
/** Index of the worker chosen for each member. */
using WorkerChoice = std::vector<std::size_t>;

/**
 * Places jobs in order of arrival on the workers that choose() returns. A job that does not fit
 * waits, and later jobs may start before it.
 */
class ArrivalOrderPolicy : public ReplayPolicy {
public:
    TaskPlan plan(const PolicyInput& input) final;

protected:
    /** Chooses workers for a job; returns nothing if the free capacity is insufficient. */
    virtual std::optional<WorkerChoice> choose(const PolicyInput& input, const JobRecord& record,
                                               const FreeAccelerators& free) = 0;
};

/** Chooses the first workers in their order that fit the job. */
class FirstFitFifo final : public ArrivalOrderPolicy {
    std::optional<WorkerChoice> choose(const PolicyInput& input, const JobRecord& record,
                                       const FreeAccelerators& free) override;
};

/** Chooses the workers with the least free capacity; no guarantees, reservations or preemption. */
class BestFit final : public ArrivalOrderPolicy {
    std::optional<WorkerChoice> choose(const PolicyInput& input, const JobRecord& record,
                                       const FreeAccelerators& free) override;
};

/** Gives each organisation a fixed set of workers in proportion to its guarantee. */
class StaticPartitions final : public ArrivalOrderPolicy {
    std::optional<WorkerChoice> choose(const PolicyInput& input, const JobRecord& record,
                                       const FreeAccelerators& free) override;

    /** Organisation of each worker, set by the first choice. */
    std::vector<std::string> m_ownerOf;
};

}  // namespace pierbank::replay

#endif  // PIERBANK_BENCH_REPLAY_POLICIES_H
