// SPDX-License-Identifier: Apache-2.0
// pierbank-replay: the policy against baselines, in virtual time. Prints tab-separated lines.
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <memory>

#include "Baselines.h"
#include "Workload.h"

namespace {

using namespace pierbank;
using namespace pierbank::replay;
namespace po = boost::program_options;

void printHead() {
    std::puts(
            "workload\tseed\tpolicy\tmean_h\tp95_h\tslowdown\tslowdown95\tlarge_wait_h\tfrag\t"
            "urgent_s\tlost\tjain\tfinished\tunfinished\tpreempted\tbound_h");
}

void printLine(const Workload& workload, std::uint64_t seed, const char* policy,
               const Measures& m) {
    std::printf(
            "%s\t%llu\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.4f\t%.1f\t%.4f\t%.3f\t%u\t%u\t%u\t"
            "%.3f\n",
            workload.m_name.c_str(), static_cast<unsigned long long>(seed), policy,
            m.m_meanCompletion, m.m_95thCompletion, m.m_meanSlowdown, m.m_95thSlowdown,
            m.m_longestLargeWait, m.m_fragmentation, m.m_longestUrgentSeconds, m.m_lostWork,
            m.m_jain, m.m_finished, m.m_unfinished, m.m_preemptions, m.m_lowerBound);
    std::fflush(stdout);
}

void compare(const WorkloadPlan& plan, const PolicySettings& settings, bool withBaselines) {
    const Workload workload = makeWorkload(plan);
    PierbankPolicy own(settings);
    printLine(workload, plan.m_seed, "pierbank", replay::replay(workload, own, settings));
    if (!withBaselines) {
        return;
    }
    FirstFitFifo fifo;
    printLine(workload, plan.m_seed, "first-fit-fifo", replay::replay(workload, fifo, settings));
    BestFit best;
    printLine(workload, plan.m_seed, "best-fit", replay::replay(workload, best, settings));
    StaticPartitions partitions;
    printLine(workload, plan.m_seed, "static-partitions",
              replay::replay(workload, partitions, settings));
}

/** Median time of a pass with all workers busy and many jobs queued. */
void measurePass(std::uint32_t workers, std::uint32_t queued) {
    WorkloadPlan plan = getPlans(1).back();
    plan.m_workers = workers;
    plan.m_jobs = queued + workers;
    const Workload workload = makeWorkload(plan);
    ClusterState state = workload.m_cluster;
    for (const Arrival& arrival : workload.m_arrivals) {
        state.m_jobs[arrival.m_job.m_name] = arrival.m_job;
    }
    const Planner planner{PolicySettings()};
    Millis now{0};
    planner.plan(state, now);
    std::vector<double> times;
    constexpr int PASSES = 15;
    for (int i = 0; i < PASSES; ++i) {
        ClusterState copy = state;
        now += Millis(1000);
        const auto start = std::chrono::steady_clock::now();
        planner.plan(copy, now);
        const std::chrono::duration<double, std::milli> took =
                std::chrono::steady_clock::now() - start;
        times.push_back(took.count());
    }
    std::sort(times.begin(), times.end());
    std::size_t waiting = 0;
    for (const auto& [name, job] : state.m_jobs) {
        waiting += job.m_state == JobState::QUEUED ? 1 : 0;
    }
    std::printf("pass\t%u workers\t%zu queued\t%.2f ms median\t%.2f ms worst\n", workers, waiting,
                times[times.size() / 2], times.back());
}

}  // namespace

int main(int argc, char** argv) {
    std::uint64_t seeds = 3;
    std::string only;
    PolicySettings settings;
    std::int64_t starvationMinutes = settings.m_starvationBound.count() / 60'000;
    std::int64_t patienceMinutes = settings.m_claimPatience.count() / 60'000;
    bool isPass = false;
    bool isAlone = false;
    po::options_description description("pierbank-replay");
    description.add_options()("seeds", po::value(&seeds), "how many seeds")(
            "only", po::value(&only), "only this workload")(
            "fragmentation-weight", po::value(&settings.m_fragmentationWeight), "0 to 100")(
            "starvation-minutes", po::value(&starvationMinutes), "starvation bound")(
            "patience-minutes", po::value(&patienceMinutes), "claim patience")(
            "claims", po::value(&settings.m_maxStarvedClaims), "starved claims at a time")(
            "alone", po::bool_switch(&isAlone), "without the baselines")(
            "pass", po::bool_switch(&isPass), "measure the time of a pass instead");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << "\n" << description;
        return 2;
    }
    if (isPass) {
        for (const std::uint32_t workers : {86U, 172U, 345U, 690U}) {
            measurePass(workers, 2000);
        }
        for (const std::uint32_t queued : {250U, 500U, 1000U, 2000U, 4000U}) {
            measurePass(690, queued);
        }
        return 0;
    }
    printHead();
    settings.m_starvationBound = Millis(starvationMinutes * 60'000);
    settings.m_claimPatience = Millis(patienceMinutes * 60'000);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const WorkloadPlan& plan : getPlans(seed)) {
            if (only.empty() || plan.m_name == only) {
                compare(plan, settings, !isAlone);
            }
        }
    }
    return 0;
}
