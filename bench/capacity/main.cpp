// SPDX-License-Identifier: Apache-2.0
// pierbank-capacity: slopes for docs/CAPACITY.md. Sizes and times of the schedule record and of a
// pass by size, bytes of the frames that go all the time, and processor time of one renewal.
#include <chrono>
#include <cstdio>

#include "../replay/Workload.h"
#include "pierbank/policy/JobEvents.h"
#include "pierbank/policy/Planner.h"
#include "pierbank/schedule/ScheduleRecord.h"
#include "pierbank/wire/FrameCodec.h"

namespace {

using namespace pierbank;
using namespace pierbank::replay;

template <typename Work>
double measureMillis(int rounds, Work work) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        work();
    }
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - start;
    return took.count() / rounds;
}

/** A region in which all that fits runs, and some jobs wait. */
ScheduleRecord makeRecord(std::uint32_t workers, std::uint32_t jobs) {
    WorkloadPlan plan = getPlans(1).back();
    plan.m_workers = workers;
    plan.m_jobs = jobs;
    const Workload workload = makeWorkload(plan);
    ScheduleRecord record;
    record.m_state = workload.m_cluster;
    for (const Arrival& arrival : workload.m_arrivals) {
        record.m_state.m_jobs[arrival.m_job.m_name] = arrival.m_job;
    }
    const Planner planner{PolicySettings()};
    planner.plan(record.m_state, Millis(1'700'000'000'000));
    for (auto& [name, job] : record.m_state.m_jobs) {
        markRunning(job, Millis(1'700'000'000'000));
    }
    return record;
}

void measureRecord(std::uint32_t workers, std::uint32_t jobs) {
    const ScheduleRecord record = makeRecord(workers, jobs);
    std::size_t running = 0;
    std::size_t tasks = 0;
    for (const auto& [name, job] : record.m_state.m_jobs) {
        running += job.m_state == JobState::RUNNING ? 1 : 0;
        tasks += job.m_members.size();
    }
    const std::string bytes = encodeRecord(record);
    constexpr int ROUNDS = 20;
    const double encode = measureMillis(ROUNDS, [&] { encodeRecord(record); });
    const double decode = measureMillis(ROUNDS, [&] { decodeRecord(bytes); });
    const double plan = measureMillis(ROUNDS, [&] {
        ClusterState copy = record.m_state;
        Planner(PolicySettings()).plan(copy, Millis(1'700'000'001'000));
    });
    std::printf(
            "record\t%u workers\t%zu jobs (%zu running, %zu tasks)\t%zu bytes\tencode %.2f ms\t"
            "decode %.2f ms\tcopy and pass %.2f ms\n",
            workers, record.m_state.m_jobs.size(), running, tasks, bytes.size(), encode, decode,
            plan);
}

void measureFrame(const char* name, const Frame& frame) {
    const std::string bytes = encodeFrame(frame);
    constexpr int ROUNDS = 20'000;
    const double both = measureMillis(ROUNDS, [&] {
        Reason reason;
        decodeFrame(encodeFrame(frame), reason);
    });
    std::printf("frame\t%s\t%zu bytes\tencode and decode %.4f ms\n", name, bytes.size(), both);
}

}  // namespace

int main() {
    for (const std::uint32_t workers : {86U, 172U, 345U, 690U}) {
        measureRecord(workers, workers / 2);
    }
    for (const std::uint32_t jobs : {100U, 200U, 400U, 800U, 1600U}) {
        measureRecord(690, jobs);
    }
    measureFrame("LeaseAsk", LeaseAsk{1'000'000});
    measureFrame("LeaseRenewal", LeaseRenewal{20, 1'000'000, 6000, true});
    measureFrame("LoadReport", LoadReport{8, 4, 0, false, 100'000});
    measureFrame("GangPrepare",
                 GangPrepare{20, {"score-1234", 100'000}, 3, {0, 1, 2, 3}, 3'600'000});
    measureFrame("GangStart", GangStart{20, {"score-1234", 100'000}, 3});
    measureFrame("MemberReport",
                 MemberReport{{"score-1234", 100'000}, 3, MemberState::RUNNING, ""});
    return 0;
}
