// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BENCH_REPLAY_WORKLOAD_H
#define PIERBANK_BENCH_REPLAY_WORKLOAD_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank::replay {

/** A job as it arrives, with its true run time, which no policy sees. */
struct Arrival {
    Millis m_at{0};
    JobRecord m_record;
    Millis m_trueRunTime{0};
    /** When its organisation withdraws it; zero: never. */
    Millis m_withdrawnAt{0};

    const StepSpec& getStep() const { return m_record.m_spec.m_steps.front(); }
    /** Accelerators of all its members. */
    std::uint32_t getTotal() const { return getStep().m_tasks * getStep().m_need.m_accelerators; }
    bool isUrgent() const { return m_record.m_policy.m_priority == 0; }
};

/** Workers, organisations with guarantees, and jobs. */
struct Workload {
    std::string m_name;
    std::vector<WorkerSnapshot> m_workers;
    /** Accelerators that belong to each organisation. */
    std::map<std::string, std::uint32_t> m_guarantees;
    std::vector<Arrival> m_arrivals;
    /** The gang by which fragmentation is measured: what large organisations are guaranteed. */
    StepSpec m_gauge;
    /** Every task fails on this worker; empty for none. */
    std::string m_failingWorker;
};

/** What a workload is made of. */
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
    /** Offered load as a part of the accelerators. */
    double m_load = 0.85;
    /** Part of the jobs that are large gangs within one rack. */
    double m_largeShare = 0.15;
    std::uint32_t m_largeMembers = 2;
    /** Members of the largest gangs; every other large job is one. */
    std::uint32_t m_largestMembers = 3;
    std::uint32_t m_largeAccelerators = 8;
    /** Declared run times are off by a factor up to this, either way. */
    double m_declaredError = 3.0;
    /** Arrivals come in bursts of this many; 1: evenly spread. */
    std::uint32_t m_burst = 1;
    bool m_burstOfLarge = false;
    double m_withdrawnShare = 0.0;
    bool m_hasFailingWorker = false;
    double m_urgentShare = 0.03;
};

Workload makeWorkload(const WorkloadPlan& plan);

/** The plans that the measurements use; the last has the letter's size. */
std::vector<WorkloadPlan> getPlans(std::uint64_t seed);

}  // namespace pierbank::replay

#endif  // PIERBANK_BENCH_REPLAY_WORKLOAD_H
