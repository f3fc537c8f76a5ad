// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_TEST_BUSYREGION_H
#define PIERBANK_JOB_TEST_BUSYREGION_H

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

inline constexpr Millis PLAN_INTERVAL{100};
inline constexpr std::uint32_t ACCELERATORS = 8;

/** Hosts with work that ends when its time is over, planned at the interval of the leader. */
class BusyRegion : public ::testing::Test, protected RunForecast {
protected:
    struct TestJob {
        JobRecord m_record;
        JobRun m_run;
        std::optional<Millis> m_idleSince;
    };

    void addHosts(std::size_t count, std::size_t perRack) {
        constexpr std::array<double, 3> SLOWNESS{0.6, 1.0, 1.6};
        for (std::size_t i = 0; i < count; ++i) {
            WorkerSnapshot& worker = m_workers.emplace_back();
            worker.m_id = {"h" + std::to_string(i), "life"};
            worker.m_service = "s";
            worker.m_rack = "r" + std::to_string(i / perRack);
            worker.m_capacity = {32'000, 64'000, ACCELERATORS};
            worker.m_acceptsWork = true;
            worker.m_slowness = SLOWNESS.at(i % SLOWNESS.size());
        }
    }

    TestJob& submit(std::uint32_t priority, std::uint32_t tasks, std::uint32_t accelerators,
                    Millis estimate) {
        TestJob& entry = m_jobs.emplace_back();
        entry.m_record.m_id = "j" + std::to_string(++m_lastJob);
        entry.m_record.m_policy = {"q", "s", priority, 3, 3.0, Millis(1000), std::nullopt};
        entry.m_record.m_acceptedAt = m_now;
        StepSpec step;
        step.m_tasks = tasks;
        step.m_need = {4000 * accelerators, 8000 * accelerators, accelerators};
        step.m_estimate = estimate;
        entry.m_record.m_spec.m_steps = {step};
        entry.m_run = makeJobRun(entry.m_record);
        return entry;
    }

    TestJob& submitGang(std::uint32_t priority, std::uint32_t tasks, std::uint32_t accelerators,
                        Millis estimate = Millis(6000)) {
        TestJob& entry = submit(priority, tasks, accelerators, estimate);
        entry.m_record.m_spec.m_steps[0].m_isGang = true;
        entry.m_record.m_spec.m_steps[0].m_adjacency = Adjacency::RACK;
        entry.m_run = makeJobRun(entry.m_record);
        return entry;
    }

    /** Tasks of a step differ by up to a quarter, so that they do not all end at once. */
    Millis getDuration(const TestJob& entry, std::uint32_t index, std::string_view host) const {
        const auto worker = std::find_if(m_workers.begin(), m_workers.end(),
                                         [&](const auto& w) { return w.m_id.m_host == host; });
        const auto estimate = entry.m_record.m_spec.m_steps[0].m_estimate.count();
        const double share = 1.0 - 0.05 * (index % 6);
        return Millis(std::llround(static_cast<double>(estimate) * share * worker->m_slowness));
    }

    std::optional<Millis> getRemaining(std::string_view host, const TaskRef& task) const override {
        const auto entry = std::find_if(m_jobs.begin(), m_jobs.end(), [&](const TestJob& job) {
            return job.m_record.m_id == task.m_job;
        });
        const TaskRun& run = entry->m_run.m_occurrences[0].m_steps[0].m_tasks[task.m_index];
        return std::max(run.m_placedAt + getDuration(*entry, task.m_index, host) - m_now,
                        Millis(0));
    }

    RunTimeEstimate getRunTime(const JobRecord&, const StepSpec& step) const override {
        const auto high = static_cast<double>(step.m_estimate.count()) * m_highShare;
        return {step.m_estimate, Millis(std::llround(high))};
    }

    TaskPlan plan() const {
        std::vector<PlannedJob> jobs;
        for (const TestJob& entry : m_jobs) {
            jobs.push_back({&entry.m_record, &entry.m_run, nullptr, entry.m_idleSince});
        }
        return TaskPlanner(m_settings).plan({m_workers, jobs, *this, m_guarantees, m_now});
    }

    /** Adds small runs of one accelerator that end after `remaining`. */
    void addRunning(std::size_t host, std::uint32_t count, Millis remaining) {
        constexpr Millis RUN_TIME{20'000};
        for (std::uint32_t i = 0; i < count; ++i) {
            TestJob& entry = submit(2, 1, 1, RUN_TIME);
            applyPlacement(entry.m_run, {entry.m_record.m_id, 0, 0, 0}, 1, m_workers[host].m_id,
                           m_now + remaining - RUN_TIME);
        }
    }

    /** Places what the plan says, lets the time to the next plan pass, and ends what is over. */
    void pass() {
        const TaskPlan made = plan();
        m_waitingUnits = made.m_waitingUnits;
        for (const Placement& placement : made.m_placements) {
            TestJob& entry = *std::find_if(m_jobs.begin(), m_jobs.end(), [&](const TestJob& job) {
                return job.m_record.m_id == placement.m_task.m_job;
            });
            applyPlacement(entry.m_run, placement.m_task, 1, placement.m_worker, m_now);
        }
        m_now += PLAN_INTERVAL;
        for (TestJob& entry : m_jobs) {
            for (const ActiveRun& run : listActiveRuns(entry.m_record.m_id, entry.m_run)) {
                if (m_now - run.m_placedAt >=
                    getDuration(entry, run.m_task.m_index, run.m_worker.m_host)) {
                    applyEnd(entry.m_record, entry.m_run, run.m_task, run.m_run, RunEnd::DONE, "",
                             m_now);
                }
            }
        }
        std::erase_if(m_jobs, [](const TestJob& entry) { return entry.m_run.isFinished(); });
    }

    /** Returns how long a job waits while `arrive` submits other work before each pass. */
    template <typename Arrive>
    std::optional<Millis> measureWait(const std::string& id, Millis limit, Arrive arrive) {
        const Millis from = m_now;
        while (m_now - from <= limit) {
            arrive();
            pass();
            const auto job = std::find_if(m_jobs.begin(), m_jobs.end(), [&](const TestJob& entry) {
                return entry.m_record.m_id == id;
            });
            if (job == m_jobs.end() || job->m_run.m_phase == JobPhase::RUNNING) {
                return m_now - from - PLAN_INTERVAL;
            }
        }
        return std::nullopt;
    }

    TaskPlannerSettings m_settings;
    std::vector<WorkerSnapshot> m_workers;
    std::deque<TestJob> m_jobs;
    std::map<std::string, std::uint32_t> m_guarantees;
    Millis m_now{1'000'000};
    int m_lastJob = 0;
    /** Multiple of the declared run time that few tasks exceed. */
    double m_highShare = 1.0;
    /** Units that the last plan left waiting. */
    std::size_t m_waitingUnits = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_TEST_BUSYREGION_H
