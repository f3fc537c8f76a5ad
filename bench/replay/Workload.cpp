// SPDX-License-Identifier: Apache-2.0
#include "Workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace pierbank::replay {

namespace {

using Engine = std::mt19937_64;

constexpr double MILLIS_PER_HOUR = 3'600'000.0;
/** Spread of run times: most within a factor of three of the median, a few far longer. */
constexpr double RUN_TIME_SIGMA = 1.0;

double uniform(Engine& engine, double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(engine);
}

Millis toMillis(double hours) {
    return Millis(static_cast<std::int64_t>(hours * MILLIS_PER_HOUR));
}

void addWorkers(const WorkloadPlan& plan, ClusterState& cluster) {
    for (std::uint32_t i = 0; i < plan.m_workers; ++i) {
        Worker worker;
        const std::uint32_t rack = i / plan.m_perRack;
        worker.m_name = "w" + std::to_string(i);
        worker.m_rack = "r" + std::to_string(rack);
        worker.m_failureDomain = "d" + std::to_string(rack / plan.m_racksPerDomain);
        worker.m_accelerators = plan.m_accelerators;
        cluster.m_workers.push_back(worker);
    }
}

void addUnits(ClusterState& cluster, Organisation& organisation, const Shape& shape,
              std::uint32_t count) {
    if (count == 0) {
        return;
    }
    organisation.m_guarantees.push_back({shape, count});
    for (std::uint32_t i = 0; i < count; ++i) {
        GuaranteeUnit unit;
        unit.m_id = cluster.m_nextUnit++;
        unit.m_organisation = organisation.m_name;
        unit.m_shape = shape;
        cluster.m_units.push_back(unit);
    }
}

/** The first organisations are large: they have a gang shape guaranteed; all have a small one. */
void addOrganisations(const WorkloadPlan& plan, ClusterState& cluster) {
    const Shape large{plan.m_largeMembers, plan.m_largeAccelerators, plan.m_largeAdjacency};
    const Shape small{1, std::max(1U, plan.m_accelerators / 2), Adjacency::REGION};
    const std::uint32_t largeOwners = std::max(1U, plan.m_organisations / 4);
    for (std::uint32_t i = 0; i < plan.m_organisations; ++i) {
        Organisation organisation;
        organisation.m_name = "o" + std::to_string(i);
        addUnits(cluster, organisation, large, i < largeOwners ? 1 : 0);
        addUnits(cluster, organisation, small, 1);
        cluster.m_organisations.push_back(organisation);
    }
}

Shape drawShape(const WorkloadPlan& plan, bool isLarge, Engine& engine) {
    if (isLarge) {
        const bool isLargest = uniform(engine, 0, 1) < 0.5;
        return {isLargest ? plan.m_largestMembers : plan.m_largeMembers, plan.m_largeAccelerators,
                plan.m_largeAdjacency};
    }
    const std::uint32_t limit = std::max(1U, plan.m_accelerators / 2);
    std::uint32_t accelerators = 1U << std::uniform_int_distribution<unsigned>(0, 2)(engine);
    return {1, std::min(accelerators, limit), Adjacency::REGION};
}

Arrival drawArrival(const WorkloadPlan& plan, std::uint32_t index, double hour, bool isLarge,
                    Engine& engine) {
    Arrival arrival;
    arrival.m_at = toMillis(hour);
    Job& job = arrival.m_job;
    job.m_name = "j" + std::to_string(100'000 + index);
    // A few organisations send most of the work.
    const double skewed = std::pow(uniform(engine, 0, 1), 2.0);
    const auto organisation = static_cast<std::uint32_t>(skewed * plan.m_organisations);
    job.m_organisation = "o" + std::to_string(std::min(organisation, plan.m_organisations - 1));
    job.m_shape = drawShape(plan, isLarge, engine);
    job.m_isUrgent = uniform(engine, 0, 1) < plan.m_urgentShare;
    const double hours = std::lognormal_distribution<double>(0.0, RUN_TIME_SIGMA)(engine);
    const double error = std::exp(uniform(engine, -1, 1) * std::log(plan.m_declaredError));
    arrival.m_trueRunTime = std::max(toMillis(hours), Millis(60'000));
    job.m_declaredRunTime = std::max(toMillis(hours * error), Millis(60'000));
    if (uniform(engine, 0, 1) < plan.m_withdrawnShare) {
        arrival.m_withdrawnAt = arrival.m_at + toMillis(0.5);
    }
    return arrival;
}

/** Scales all run times so that the work offered is the load that the plan asks for. */
void scaleToLoad(const WorkloadPlan& plan, std::vector<Arrival>& arrivals) {
    double work = 0;
    for (const Arrival& arrival : arrivals) {
        work += static_cast<double>(arrival.m_trueRunTime.count()) / MILLIS_PER_HOUR *
                arrival.m_job.m_shape.getTotal();
    }
    const double capacity = plan.m_hours * plan.m_workers * plan.m_accelerators;
    const double factor = plan.m_load * capacity / work;
    for (Arrival& arrival : arrivals) {
        const auto scale = [factor](Millis time) {
            const double scaled = static_cast<double>(time.count()) * factor;
            return Millis(std::max<std::int64_t>(60'000, static_cast<std::int64_t>(scaled)));
        };
        arrival.m_trueRunTime = scale(arrival.m_trueRunTime);
        arrival.m_job.m_declaredRunTime = scale(arrival.m_job.m_declaredRunTime);
    }
}

}  // namespace

Workload makeWorkload(const WorkloadPlan& plan) {
    Engine engine(plan.m_seed);
    Workload workload;
    workload.m_name = plan.m_name;
    addWorkers(plan, workload.m_cluster);
    addOrganisations(plan, workload.m_cluster);
    if (plan.m_hasFailingWorker) {
        workload.m_failingWorker = plan.m_workers / 2;
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
        p.m_largeAdjacency = Adjacency::RACK;
        p.m_load = 0.85;
    });
    return plans;
}

}  // namespace pierbank::replay
