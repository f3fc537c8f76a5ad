// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BENCH_REPLAY_WORKLOAD_H
#define PIERBANK_BENCH_REPLAY_WORKLOAD_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank::replay {

/** A job with its arrival time and its true run time, which is hidden from policies. */
struct Arrival {
    Millis m_at{0};
    JobRecord m_record;
    Millis m_trueRunTime{0};
    /** Time at which its organisation withdraws the job; zero for never. */
    Millis m_withdrawnAt{0};

    const StepSpec& getStep() const { return m_record.m_spec.m_steps.front(); }
    /** Returns the accelerators of all members. */
    std::uint32_t getTotal() const { return getStep().m_tasks * getStep().m_need.m_accelerators; }
    bool isUrgent() const { return m_record.m_policy.m_priority == 0; }
};

/** Input of a replay: workers, organisations with guarantees, and jobs. */
struct Workload {
    std::string m_name;
    std::vector<WorkerSnapshot> m_workers;
    /** Accelerators guaranteed to each organisation. */
    std::map<std::string, std::uint32_t> m_guarantees;
    std::vector<Arrival> m_arrivals;
    /** Gang guaranteed to large organisations, by which fragmentation is measured. */
    StepSpec m_referenceGang;
    /** Worker on which every task fails; empty for none. */
    std::string m_failingWorker;
};

/** Parameters of a generated workload. Shares are from 0 to 1. */
struct WorkloadPlan {
    std::string m_name;
    std::uint64_t m_seed = 1;
    std::uint32_t m_workers = 10;
    std::uint32_t m_perRack = 3;
    std::uint32_t m_racksPerDomain = 2;
    std::uint32_t m_accelerators = 8;
    std::uint32_t m_organisations = 4;
    std::uint32_t m_jobs = 300;
    double m_hours = 72;
    /** Offered load as a share of the accelerators. */
    double m_load = 0.85;
    /** Share of the jobs that are large gangs within one rack. */
    double m_largeShare = 0.15;
    std::uint32_t m_largeMembers = 2;
    /** Members of the largest gangs, which are half of the large jobs on average. */
    std::uint32_t m_largestMembers = 3;
    std::uint32_t m_largeAccelerators = 8;
    /** Maximum factor by which declared run times are too long or too short. */
    double m_declaredError = 3.0;
    /** Number of jobs that arrive at the same time; 1 for independent arrivals. */
    std::uint32_t m_burst = 1;
    /** Some bursts consist of large jobs only. */
    bool m_burstOfLarge = false;
    /** Share of the jobs that are withdrawn half an hour after their arrival. */
    double m_withdrawnShare = 0.0;
    bool m_hasFailingWorker = false;
    double m_urgentShare = 0.03;
};

/** Generates a workload; the same plan gives the same workload. */
Workload makeWorkload(const WorkloadPlan& plan);

/** Returns the plans of the benchmark; the last has the size of a whole region. */
std::vector<WorkloadPlan> getPlans(std::uint64_t seed);

}  // namespace pierbank::replay

#endif  // PIERBANK_BENCH_REPLAY_WORKLOAD_H
