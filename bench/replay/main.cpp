// SPDX-License-Identifier: Apache-2.0
// pierbank-replay: compares the planner with baselines in virtual time. Prints tab-separated lines.
#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>

#include "pierbank/base/Log.h"
#include "Replay.h"

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

/** Replays a workload under the planner and, unless disabled, under all baselines. */
void compare(const WorkloadPlan& plan, const TaskPlannerSettings& settings,
             bool includesBaselines) {
    const Workload workload = makeWorkload(plan);
    PierbankPolicy pierbankPolicy(settings);
    printLine(workload, plan.m_seed, "pierbank", replay::replay(workload, pierbankPolicy));
    if (!includesBaselines) {
        return;
    }
    FirstFitFifo fifo;
    printLine(workload, plan.m_seed, "first-fit-fifo", replay::replay(workload, fifo));
    BestFit bestFit;
    printLine(workload, plan.m_seed, "best-fit", replay::replay(workload, bestFit));
    StaticPartitions partitions;
    printLine(workload, plan.m_seed, "static-partitions", replay::replay(workload, partitions));
}

/** Forecast without any data about run times. */
class EmptyForecast final : public RunForecast {
public:
    std::optional<Millis> getRemaining(std::string_view, const TaskRef&) const override {
        return std::nullopt;
    }
};

/** Times of repeated plans, in milliseconds. */
struct PlanTimes {
    double m_median = 0;
    double m_worst = 0;
};

PlanTimes timePlans(const TaskPlanner& planner, const PlanInput& input) {
    std::vector<double> times;
    constexpr int PASSES = 15;
    for (int i = 0; i < PASSES; ++i) {
        const auto start = std::chrono::steady_clock::now();
        planner.plan(input);
        const std::chrono::duration<double, std::milli> took =
                std::chrono::steady_clock::now() - start;
        times.push_back(took.count());
    }
    std::sort(times.begin(), times.end());
    return {times[times.size() / 2], times.back()};
}

/** Measures planning with busy workers and many waiting jobs, with and without explanations. */
void measurePlanTime(std::uint32_t workers, std::uint32_t jobs) {
    WorkloadPlan plan = getPlans(1).back();
    plan.m_workers = workers;
    plan.m_jobs = jobs;
    const Workload workload = makeWorkload(plan);
    std::map<std::string, JobRun> runs;
    std::vector<PlannedJob> planned;
    for (const Arrival& arrival : workload.m_arrivals) {
        JobRun& run = runs[arrival.m_record.m_id];
        run = makeJobRun(arrival.m_record);
        planned.push_back({&arrival.m_record, &run, nullptr});
    }
    const TaskPlanner planner{TaskPlannerSettings()};
    const EmptyForecast forecast;
    PlanInput input{workload.m_workers, planned, forecast, workload.m_guarantees, Millis(1000)};
    const TaskPlan first = planner.plan(input);
    for (const Placement& placement : first.m_placements) {
        applyPlacement(runs.at(placement.m_task.m_job), placement.m_task, 1, placement.m_worker,
                       input.m_wallNow);
    }
    const auto waiting = std::count_if(runs.begin(), runs.end(), [](const auto& entry) {
        return entry.second.m_phase == JobPhase::PENDING;
    });
    const PlanTimes explained = timePlans(planner, input);
    input.m_withExplanations = false;
    const PlanTimes plain = timePlans(planner, input);
    std::printf(
            "pass\t%u workers\t%zu tasks run\t%td jobs wait\t%.2f ms median\t%.2f ms worst\t"
            "with reasons %.2f\n",
            workers, first.m_placements.size(), waiting, plain.m_median, plain.m_worst,
            explained.m_median);
}

}  // namespace

int main(int argc, char** argv) {
    std::uint64_t seeds = 3;
    std::string only;
    TaskPlannerSettings settings;
    bool measuresPlanTime = false;
    bool excludesBaselines = false;
    po::options_description description("pierbank-replay");
    description.add_options()("seeds", po::value(&seeds), "how many seeds")(
            "only", po::value(&only), "only this workload")(
            "fragmentation-weight", po::value(&settings.m_fragmentationWeight), "0 to 100")(
            "starvation-factor", po::value(&settings.m_starvationFactor),
            "declared times that a job waits before it is starved")(
            "claims", po::value(&settings.m_maxReservations),
            "starved units with claims at a time")("alone", po::bool_switch(&excludesBaselines),
                                                   "without the baselines")(
            "pass", po::bool_switch(&measuresPlanTime), "measure the time of a pass instead")(
            "help", "this text");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << "\n" << description;
        return 2;
    }
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    setLogLevel(Severity::ERROR);
    if (measuresPlanTime) {
        for (const std::uint32_t workers : {86U, 172U, 345U, 690U}) {
            measurePlanTime(workers, 2000);
        }
        for (const std::uint32_t jobs : {250U, 500U, 1000U, 4000U}) {
            measurePlanTime(690, jobs);
        }
        return 0;
    }
    printHead();
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const WorkloadPlan& plan : getPlans(seed)) {
            const bool isRegionSized = plan.m_name == "letter";
            if (only.empty() ? !isRegionSized : plan.m_name == only) {
                compare(plan, settings, !excludesBaselines);
            }
        }
    }
    return 0;
}
