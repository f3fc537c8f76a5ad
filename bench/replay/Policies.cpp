// SPDX-License-Identifier: Apache-2.0
#include "Policies.h"

#include <algorithm>
#include <numeric>

namespace pierbank::replay {

namespace {

Free getFree(const Scene& scene) {
    std::map<std::string, std::size_t> places;
    Free free;
    for (const WorkerSnapshot& worker : scene.m_workers) {
        places[worker.m_id.m_host] = free.size();
        free.push_back(worker.m_acceptsWork ? worker.m_capacity.m_accelerators : 0);
    }
    for (const PlannedJob& job : scene.m_jobs) {
        const std::uint32_t each = job.m_record->m_spec.m_steps.front().m_need.m_accelerators;
        for (const ActiveRun& run : listActiveRuns(job.m_record->m_id, *job.m_run)) {
            std::uint32_t& left = free[places.at(run.m_worker.m_host)];
            left -= std::min(left, each);
        }
    }
    return free;
}

bool isWaiting(const PlannedJob& job) {
    const auto& occurrences = job.m_run->m_occurrences;
    return !job.m_run->isFinished() && !occurrences.empty() &&
           occurrences.front().m_steps.front().m_tasks.front().m_state == TaskState::WAITING;
}

/** Takes workers in the given order until the job has room; gangs stay within one rack. */
std::optional<Choice> takeInOrder(const Scene& scene, const StepSpec& step, const Free& free,
                                  const std::vector<std::size_t>& order) {
    for (std::size_t first = 0; first < order.size(); ++first) {
        const std::string& rack = scene.m_workers[order[first]].m_rack;
        Choice choice;
        for (std::size_t i = first; i < order.size() && choice.size() < step.m_tasks; ++i) {
            const bool isSamePart = !step.m_isGang || scene.m_workers[order[i]].m_rack == rack;
            const std::uint32_t room = isSamePart ? free[order[i]] / step.m_need.m_accelerators : 0;
            for (std::uint32_t n = 0; n < room && choice.size() < step.m_tasks; ++n) {
                choice.push_back(order[i]);
            }
        }
        if (choice.size() == step.m_tasks) {
            return choice;
        }
    }
    return std::nullopt;
}

std::vector<std::size_t> getOrder(const Free& free) {
    std::vector<std::size_t> order(free.size());
    std::iota(order.begin(), order.end(), 0);
    return order;
}

std::optional<Choice> takeBest(const Scene& scene, const StepSpec& step, const Free& free) {
    std::vector<std::size_t> order = getOrder(free);
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return free[a] < free[b]; });
    return takeInOrder(scene, step, free, order);
}

}  // namespace

TaskPlan PierbankPolicy::plan(const Scene& scene) {
    return m_planner.plan(scene.m_workers, scene.m_jobs, scene.m_remaining, scene.m_guarantees,
                          scene.m_now);
}

TaskPlan InOrderOfArrival::plan(const Scene& scene) {
    std::vector<const PlannedJob*> queue;
    for (const PlannedJob& job : scene.m_jobs) {
        if (isWaiting(job)) {
            queue.push_back(&job);
        }
    }
    std::stable_sort(queue.begin(), queue.end(), [](const PlannedJob* a, const PlannedJob* b) {
        return a->m_record->m_acceptedAt < b->m_record->m_acceptedAt;
    });
    Free free = getFree(scene);
    TaskPlan plan;
    for (const PlannedJob* const job : queue) {
        const auto choice = choose(scene, *job->m_record, free);
        if (!choice.has_value()) {
            continue;
        }
        for (std::uint32_t i = 0; i < choice->size(); ++i) {
            const std::size_t worker = (*choice)[i];
            free[worker] -= job->m_record->m_spec.m_steps.front().m_need.m_accelerators;
            plan.m_placements.push_back(
                    {{job->m_record->m_id, 0, 0, i}, scene.m_workers[worker].m_id});
        }
    }
    return plan;
}

std::optional<Choice> FirstFitFifo::choose(const Scene& scene, const JobRecord& record,
                                           const Free& free) {
    return takeInOrder(scene, record.m_spec.m_steps.front(), free, getOrder(free));
}

std::optional<Choice> BestFit::choose(const Scene& scene, const JobRecord& record,
                                      const Free& free) {
    return takeBest(scene, record.m_spec.m_steps.front(), free);
}

std::optional<Choice> StaticPartitions::choose(const Scene& scene, const JobRecord& record,
                                               const Free& free) {
    if (m_ownerOf.empty()) {
        double total = 0;
        for (const auto& [name, guarantee] : scene.m_guarantees) {
            total += guarantee;
        }
        double sum = 0;
        auto owner = scene.m_guarantees.begin();
        const auto count = static_cast<double>(free.size());
        for (std::size_t i = 0; i < free.size(); ++i) {
            const double part = static_cast<double>(i) / count;
            while (std::next(owner) != scene.m_guarantees.end() &&
                   part >= (sum + owner->second) / total) {
                sum += owner->second;
                ++owner;
            }
            m_ownerOf.push_back(owner->first);
        }
    }
    Free own = free;
    for (std::size_t i = 0; i < own.size(); ++i) {
        own[i] = m_ownerOf[i] == record.m_organisation ? own[i] : 0;
    }
    return takeBest(scene, record.m_spec.m_steps.front(), own);
}

}  // namespace pierbank::replay
