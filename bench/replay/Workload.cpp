// SPDX-License-Identifier: Apache-2.0
#include "Workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace pierbank::replay {

namespace {

using Engine = std::mt19937_64;

constexpr double MILLIS_PER_HOUR = 3'600'000.0;
/** Spread of run times: most are within a factor of three of the median, a few far longer. */
constexpr double RUN_TIME_SIGMA = 1.0;
constexpr Millis MIN_RUN_TIME{60'000};
// Processors and memory per accelerator.
constexpr std::uint32_t CPU_MILLIS = 1000;
constexpr std::uint32_t MEMORY_MB = 1000;

double uniform(Engine& engine, double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(engine);
}

Millis toMillis(double hours) {
    return Millis(static_cast<std::int64_t>(hours * MILLIS_PER_HOUR));
}

Resources makeResources(std::uint32_t accelerators) {
    return {accelerators * CPU_MILLIS, accelerators * MEMORY_MB, accelerators};
}

std::string getOrganisation(std::uint32_t index) {
    return "o" + std::to_string(index);
}

void addWorkers(const WorkloadPlan& plan, Workload& workload) {
    for (std::uint32_t i = 0; i < plan.m_workers; ++i) {
        WorkerSnapshot worker;
        const std::uint32_t rack = i / plan.m_perRack;
        worker.m_id = {"w" + std::to_string(1000 + i), "life"};
        worker.m_service = "work";
        worker.m_rack = "r" + std::to_string(rack);
        worker.m_failureDomain = "d" + std::to_string(rack / plan.m_racksPerDomain);
        worker.m_capacity = makeResources(plan.m_accelerators);
        worker.m_acceptsWork = true;
        workload.m_workers.push_back(worker);
    }
}

/** Guarantees each organisation half a worker, and the first ones, which are large, also a gang. */
void addOrganisations(const WorkloadPlan& plan, Workload& workload) {
    const std::uint32_t large = plan.m_largeMembers * plan.m_largeAccelerators;
    const std::uint32_t small = std::max(1U, plan.m_accelerators / 2);
    const std::uint32_t largeOwners = std::max(1U, plan.m_organisations / 4);
    for (std::uint32_t i = 0; i < plan.m_organisations; ++i) {
        workload.m_guarantees[getOrganisation(i)] = small + (i < largeOwners ? large : 0);
    }
}

StepSpec makeGang(const WorkloadPlan& plan, std::uint32_t members) {
    StepSpec step;
    step.m_savesProgress = true;
    step.m_tasks = members;
    step.m_need = makeResources(plan.m_largeAccelerators);
    step.m_isGang = true;
    step.m_adjacency = Adjacency::RACK;
    return step;
}

StepSpec drawStep(const WorkloadPlan& plan, bool isLarge, Engine& engine) {
    if (isLarge) {
        const bool isLargest = uniform(engine, 0, 1) < 0.5;
        return makeGang(plan, isLargest ? plan.m_largestMembers : plan.m_largeMembers);
    }
    StepSpec step;
    step.m_savesProgress = true;
    const std::uint32_t limit = std::max(1U, plan.m_accelerators / 2);
    const std::uint32_t drawn = 1U << std::uniform_int_distribution<unsigned>(0, 2)(engine);
    step.m_need = makeResources(std::min(drawn, limit));
    return step;
}

Arrival drawArrival(const WorkloadPlan& plan, std::uint32_t index, double hour, bool isLarge,
                    Engine& engine) {
    Arrival arrival;
    arrival.m_at = toMillis(hour);
    JobRecord& record = arrival.m_record;
    record.m_id = "j" + std::to_string(100'000 + index);
    record.m_acceptedAt = arrival.m_at;
    // The skew makes a few organisations submit most of the jobs.
    const double skewed = std::pow(uniform(engine, 0, 1), 2.0);
    const auto organisation = static_cast<std::uint32_t>(skewed * plan.m_organisations);
    record.m_organisation = getOrganisation(std::min(organisation, plan.m_organisations - 1));
    StepSpec step = drawStep(plan, isLarge, engine);
    record.m_policy.m_service = "work";
    record.m_policy.m_priority = uniform(engine, 0, 1) < plan.m_urgentShare ? 0 : 1;
    record.m_policy.m_queue = arrival.isUrgent() ? "urgent" : "batch";
    record.m_policy.m_attempts = 6;
    // Objective of a job: twice its declared run time plus ten minutes.
    record.m_policy.m_stretch = 2.0;
    record.m_policy.m_slack = Millis(600'000);
    const double hours = std::lognormal_distribution<double>(0.0, RUN_TIME_SIGMA)(engine);
    const double error = std::exp(uniform(engine, -1, 1) * std::log(plan.m_declaredError));
    arrival.m_trueRunTime = toMillis(hours);
    step.m_estimate = toMillis(hours * error);
    record.m_spec.m_steps = {step};
    if (uniform(engine, 0, 1) < plan.m_withdrawnShare) {
        arrival.m_withdrawnAt = arrival.m_at + toMillis(0.5);
    }
    return arrival;
}

/** Scales all run times so that the offered work equals the plan's load. */
void scaleToLoad(const WorkloadPlan& plan, std::vector<Arrival>& arrivals) {
    double work = 0;
    for (const Arrival& arrival : arrivals) {
        work += static_cast<double>(arrival.m_trueRunTime.count()) / MILLIS_PER_HOUR *
                arrival.getTotal();
    }
    const double capacity = plan.m_hours * plan.m_workers * plan.m_accelerators;
    const double factor = plan.m_load * capacity / work;
    const auto scale = [factor](Millis time) {
        const double scaled = static_cast<double>(time.count()) * factor;
        return std::max(MIN_RUN_TIME, Millis(static_cast<std::int64_t>(scaled)));
    };
    for (Arrival& arrival : arrivals) {
        arrival.m_trueRunTime = scale(arrival.m_trueRunTime);
        Millis& estimate = arrival.m_record.m_spec.m_steps.front().m_estimate;
        estimate = scale(estimate);
    }
}

}  // namespace

Workload makeWorkload(const WorkloadPlan& plan) {
    Engine engine(plan.m_seed);
    Workload workload;
    workload.m_name = plan.m_name;
    workload.m_referenceGang = makeGang(plan, plan.m_largeMembers);
    addWorkers(plan, workload);
    addOrganisations(plan, workload);
    if (plan.m_hasFailingWorker) {
        workload.m_failingWorker = workload.m_workers[plan.m_workers / 2].m_id.m_host;
    }
    double hour = 0;
    bool isLargeBurst = false;
    for (std::uint32_t i = 0; i < plan.m_jobs; ++i) {
        if (i % plan.m_burst == 0) {
            hour = uniform(engine, 0, plan.m_hours);
            isLargeBurst = plan.m_burstOfLarge && uniform(engine, 0, 1) < 0.3;
        }
        const bool isLarge = isLargeBurst || uniform(engine, 0, 1) < plan.m_largeShare;
        workload.m_arrivals.push_back(drawArrival(plan, i, hour, isLarge, engine));
    }
    std::stable_sort(workload.m_arrivals.begin(), workload.m_arrivals.end(),
                     [](const Arrival& a, const Arrival& b) { return a.m_at < b.m_at; });
    scaleToLoad(plan, workload.m_arrivals);
    return workload;
}

std::vector<WorkloadPlan> getPlans(std::uint64_t seed) {
    WorkloadPlan base;
    base.m_seed = seed;
    std::vector<WorkloadPlan> plans;
    const auto add = [&](const char* name, auto change) {
        WorkloadPlan plan = base;
        plan.m_name = name;
        change(plan);
        plans.push_back(plan);
    };
    add("factoring", [](WorkloadPlan& p) { p.m_largeShare = 0.2; });
    add("forecasting", [](WorkloadPlan& p) {
        p.m_largeShare = 0.08;
        p.m_urgentShare = 0.1;
    });
    add("small-bursts", [](WorkloadPlan& p) {
        p.m_burst = 25;
        p.m_largeShare = 0.08;
    });
    add("large-bursts", [](WorkloadPlan& p) {
        p.m_burst = 6;
        p.m_burstOfLarge = true;
    });
    add("wrong-times", [](WorkloadPlan& p) { p.m_declaredError = 10; });
    add("cancellations", [](WorkloadPlan& p) { p.m_withdrawnShare = 0.3; });
    add("failing-worker", [](WorkloadPlan& p) {
        p.m_hasFailingWorker = true;
        p.m_load = 0.7;
    });
    add("letter", [](WorkloadPlan& p) {
        p.m_workers = 690;
        p.m_perRack = 10;
        p.m_racksPerDomain = 14;
        p.m_accelerators = 16;
        p.m_organisations = 39;
        p.m_jobs = 1290;
        p.m_largeShare = 0.5;
        p.m_largeMembers = 32;
        p.m_largestMembers = 64;
        p.m_largeAccelerators = 1;
    });
    return plans;
}

}  // namespace pierbank::replay
