// SPDX-License-Identifier: Apache-2.0
#include "Policies.h"

#include <algorithm>
#include <numeric>

namespace pierbank::replay {

namespace {

FreeAccelerators getFreeAccelerators(const PolicyInput& input) {
    std::map<std::string, std::size_t> indexByHost;
    FreeAccelerators free;
    for (const WorkerSnapshot& worker : input.m_workers) {
        indexByHost[worker.m_id.m_host] = free.size();
        free.push_back(worker.m_acceptsWork ? worker.m_capacity.m_accelerators : 0);
    }
    for (const PlannedJob& job : input.m_jobs) {
        const std::uint32_t demand = job.m_record->m_spec.m_steps.front().m_need.m_accelerators;
        for (const ActiveRun& run : listActiveRuns(job.m_record->m_id, *job.m_run)) {
            std::uint32_t& freeOnWorker = free[indexByHost.at(run.m_worker.m_host)];
            freeOnWorker -= std::min(freeOnWorker, demand);
        }
    }
    return free;
}

bool isWaiting(const PlannedJob& job) {
    const auto& occurrences = job.m_run->m_occurrences;
    return !job.m_run->isFinished() && !occurrences.empty() &&
           occurrences.front().m_steps.front().m_tasks.front().m_state == TaskState::WAITING;
}

/** Chooses workers in the given order until all members fit; a gang stays within one rack. */
std::optional<WorkerChoice> chooseInOrder(const PolicyInput& input, const StepSpec& step,
                                          const FreeAccelerators& free,
                                          const std::vector<std::size_t>& order) {
    for (std::size_t first = 0; first < order.size(); ++first) {
        const std::string& rack = input.m_workers[order[first]].m_rack;
        WorkerChoice choice;
        for (std::size_t i = first; i < order.size() && choice.size() < step.m_tasks; ++i) {
            const bool isSameRack = !step.m_isGang || input.m_workers[order[i]].m_rack == rack;
            const std::uint32_t fitting =
                    isSameRack ? free[order[i]] / step.m_need.m_accelerators : 0;
            for (std::uint32_t n = 0; n < fitting && choice.size() < step.m_tasks; ++n) {
                choice.push_back(order[i]);
            }
        }
        if (choice.size() == step.m_tasks) {
            return choice;
        }
    }
    return std::nullopt;
}

std::vector<std::size_t> getIndexOrder(const FreeAccelerators& free) {
    std::vector<std::size_t> order(free.size());
    std::iota(order.begin(), order.end(), 0);
    return order;
}

std::optional<WorkerChoice> chooseBestFit(const PolicyInput& input, const StepSpec& step,
                                          const FreeAccelerators& free) {
    std::vector<std::size_t> order = getIndexOrder(free);
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return free[a] < free[b]; });
    return chooseInOrder(input, step, free, order);
}

}  // namespace

TaskPlan PierbankPolicy::plan(const PolicyInput& input) {
    return m_planner.plan(input.m_workers, input.m_jobs, input.m_remaining, input.m_guarantees,
                          input.m_now);
}

TaskPlan ArrivalOrderPolicy::plan(const PolicyInput& input) {
    std::vector<const PlannedJob*> queue;
    for (const PlannedJob& job : input.m_jobs) {
        if (isWaiting(job)) {
            queue.push_back(&job);
        }
    }
    std::stable_sort(queue.begin(), queue.end(), [](const PlannedJob* a, const PlannedJob* b) {
        return a->m_record->m_acceptedAt < b->m_record->m_acceptedAt;
    });
    FreeAccelerators free = getFreeAccelerators(input);
    TaskPlan plan;
    for (const PlannedJob* const job : queue) {
        const auto choice = choose(input, *job->m_record, free);
        if (!choice.has_value()) {
            continue;
        }
        for (std::uint32_t i = 0; i < choice->size(); ++i) {
            const std::size_t worker = (*choice)[i];
            free[worker] -= job->m_record->m_spec.m_steps.front().m_need.m_accelerators;
            plan.m_placements.push_back(
                    {{job->m_record->m_id, 0, 0, i}, input.m_workers[worker].m_id});
        }
    }
    return plan;
}

std::optional<WorkerChoice> FirstFitFifo::choose(const PolicyInput& input, const JobRecord& record,
                                                 const FreeAccelerators& free) {
    return chooseInOrder(input, record.m_spec.m_steps.front(), free, getIndexOrder(free));
}

std::optional<WorkerChoice> BestFit::choose(const PolicyInput& input, const JobRecord& record,
                                            const FreeAccelerators& free) {
    return chooseBestFit(input, record.m_spec.m_steps.front(), free);
}

std::optional<WorkerChoice> StaticPartitions::choose(const PolicyInput& input,
                                                     const JobRecord& record,
                                                     const FreeAccelerators& free) {
    if (m_ownerOf.empty()) {
        double total = 0;
        for (const auto& [name, guarantee] : input.m_guarantees) {
            total += guarantee;
        }
        double sum = 0;
        auto owner = input.m_guarantees.begin();
        const auto count = static_cast<double>(free.size());
        for (std::size_t i = 0; i < free.size(); ++i) {
            const double part = static_cast<double>(i) / count;
            while (std::next(owner) != input.m_guarantees.end() &&
                   part >= (sum + owner->second) / total) {
                sum += owner->second;
                ++owner;
            }
            m_ownerOf.push_back(owner->first);
        }
    }
    FreeAccelerators own = free;
    for (std::size_t i = 0; i < own.size(); ++i) {
        own[i] = m_ownerOf[i] == record.m_organisation ? own[i] : 0;
    }
    return chooseBestFit(input, record.m_spec.m_steps.front(), own);
}

}  // namespace pierbank::replay
