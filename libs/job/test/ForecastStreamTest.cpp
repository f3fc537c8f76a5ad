// SPDX-License-Identifier: Apache-2.0
// A stream of urgent gangs on hosts of three speeds that are full of small tasks and of gangs, with
// declared times that are wrong by half: how many callers get their result in time, and how much
// work of others is thrown away for it.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <list>
#include <map>
#include <random>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank {
namespace {

constexpr Millis TICK{100};
constexpr Millis STOP_TIME{500};
constexpr Millis LENGTH{60'000};
/** Urgent gangs; each member takes a whole host. */
constexpr std::uint32_t GANG_MEMBERS = 4;
constexpr Resources GANG_NEED{4000, 1000, 8};
constexpr Millis GANG_ESTIMATE{2000};
/** Small tasks that are waiting or running: more than the hosts can run at a time. */
constexpr std::size_t SMALL_TASKS = 250;

/** Plays a stream through the planner; runs advance with the speed of their slowest host. */
class Stream final : public RunForecast {
public:
    Stream(unsigned seed, bool forecasts) : m_engine(seed) {
        m_settings.m_forecastsCompletion = forecasts;
        for (int i = 0; i < 24; ++i) {
            WorkerSnapshot& worker = m_workers.emplace_back();
            worker.m_id = {"h" + std::to_string(i), "life"};
            worker.m_service = "s";
            worker.m_rack = "r" + std::to_string(i / 12);
            worker.m_capacity = {64'000, 64'000, 8};
            worker.m_acceptsWork = true;
            worker.m_slowness = std::array<double, 3>{1.6, 1.0, 0.62}.at(i % 3);
            worker.m_slownessSamples = 5;
            m_slowness[worker.m_id.m_host] = worker.m_slowness;
        }
        while (m_now < Millis(1'000'000) + LENGTH) {
            step();
        }
    }

    /** Observed remaining time of runs that have advanced for a while. */
    std::optional<Millis> getRemaining(std::string_view, const TaskRef& task) const override {
        const Job& job = *m_byId.at(std::string(task.m_job));
        const double left = (job.m_runTime - job.m_done) * getSlowness(job);
        return job.m_done < 500 ? std::nullopt
                                : std::optional(Millis(static_cast<std::int64_t>(left)));
    }

    /** Declared times are wrong in the same way for each image. */
    RunTimeEstimate getRunTime(const JobRecord&, const StepSpec& step) const override {
        const double time = static_cast<double>(step.m_estimate.count()) * getRatio(step.m_image);
        return {Millis(static_cast<std::int64_t>(time)),
                Millis(static_cast<std::int64_t>(time * 1.2))};
    }

    /** Urgent gangs that met their objective. */
    int m_inTime = 0;
    /** Core-seconds of work that was stopped. */
    double m_lost = 0;

private:
    struct Job {
        JobRecord m_record;
        JobRun m_run;
        /** Run time on a normal host, in ms. */
        double m_runTime = 0;
        double m_done = 0;
        Millis m_stopsAt{0};
    };

    static double getRatio(const std::string& image) { return image == "short" ? 0.6 : 1.4; }

    double draw(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(m_engine);
    }

    void submit(std::uint32_t priority, std::uint32_t members, const Resources& need,
                Millis estimate) {
        Job& job = m_jobs.emplace_back();
        job.m_record.m_id = "j" + std::to_string(++m_lastId);
        job.m_record.m_organisation = "o";
        job.m_record.m_policy = {"q", "s", priority, 3, 1.5, Millis(250), std::nullopt};
        job.m_record.m_acceptedAt = m_now;
        StepSpec& step = job.m_record.m_spec.m_steps.emplace_back();
        step.m_tasks = members;
        step.m_isGang = members > 1;
        step.m_need = need;
        step.m_estimate = estimate;
        step.m_image = draw(0, 1) < 0.5 ? "short" : "long";
        job.m_runTime =
                static_cast<double>(estimate.count()) * getRatio(step.m_image) * draw(0.9, 1.1);
        job.m_run = makeJobRun(job.m_record);
        m_byId[job.m_record.m_id] = &job;
    }

    double getSlowness(const Job& job) const {
        double slowness = 0;
        for (const ActiveRun& run : listActiveRuns(job.m_record.m_id, job.m_run)) {
            slowness = std::max(slowness, m_slowness.at(run.m_worker.m_host));
        }
        return slowness;
    }

    void endAll(Job& job, RunEnd end) {
        for (const ActiveRun& run : listActiveRuns(job.m_record.m_id, job.m_run)) {
            applyEnd(job.m_record, job.m_run, run.m_task, run.m_run, end, "", m_now);
        }
        job.m_done = 0;
    }

    void advance(Job& job) {
        const auto runs = listActiveRuns(job.m_record.m_id, job.m_run);
        if (runs.empty()) {
            return;
        }
        if (runs.front().m_isStopping) {
            if (m_now >= job.m_stopsAt) {
                endAll(job, RunEnd::STOPPED);
            }
            return;
        }
        job.m_done += static_cast<double>(TICK.count()) / getSlowness(job);
        if (job.m_done >= job.m_runTime) {
            endAll(job, RunEnd::DONE);
            const bool isInTime =
                    m_now <= job.m_record.m_acceptedAt + getObjectiveSpan(job.m_record);
            m_inTime += isInTime && job.m_record.m_policy.m_priority == 0 ? 1 : 0;
        }
    }

    void step() {
        m_now += TICK;
        for (Job& job : m_jobs) {
            advance(job);
        }
        std::erase_if(m_jobs, [](const Job& job) { return job.m_run.isFinished(); });
        for (std::size_t jobs = m_jobs.size(); jobs < SMALL_TASKS; ++jobs) {
            submit(2, 1, {4000, 1000, 1}, Millis(4000));
        }
        if (m_now.count() % 1000 == 0) {
            submit(1, 4, {4000, 1000, 8}, Millis(5000));
        }
        if (m_now.count() % 800 == 0) {
            submit(0, GANG_MEMBERS, GANG_NEED, GANG_ESTIMATE);
        }
        plan();
    }

    void plan() {
        std::vector<PlannedJob> jobs;
        for (const Job& job : m_jobs) {
            if (!job.m_run.isFinished()) {
                jobs.push_back({&job.m_record, &job.m_run, nullptr});
            }
        }
        const TaskPlan plan =
                TaskPlanner(m_settings).plan({m_workers, jobs, *this, m_guarantees, m_now, false});
        for (const Placement& placement : plan.m_placements) {
            Job& job = *m_byId.at(placement.m_task.m_job);
            const std::uint32_t run = job.m_run.m_occurrences[0].m_steps[0].m_tasks[0].m_lastRun +
                                      (placement.m_task.m_index == 0 ? 1 : 0);
            applyPlacement(job.m_run, placement.m_task, run, placement.m_worker, m_now);
        }
        for (const Stop& stop : plan.m_stops) {
            Job& job = *m_byId.at(stop.m_task.m_job);
            const ActiveRun run = *job.m_run.findActiveRun(stop.m_task, stop.m_run);
            markStopping(job.m_run, run);
            job.m_stopsAt = m_now + STOP_TIME;
            m_lost += getCoreEquivalent(job.m_record.m_spec.m_steps[0].m_need) *
                      static_cast<double>((m_now - run.m_placedAt).count()) / 1000;
        }
    }

    std::mt19937 m_engine;
    TaskPlannerSettings m_settings;
    std::vector<WorkerSnapshot> m_workers;
    std::map<std::string, double> m_slowness;
    std::list<Job> m_jobs;
    std::map<std::string, Job*> m_byId;
    const std::map<std::string, std::uint32_t> m_guarantees;
    int m_lastId = 0;
    Millis m_now{1'000'000};
};

TEST(StreamOfUrgentGangsTest, MoreCallersAreServedInTimeForNoMoreLostWorkThanTheLimit) {
    int moreInTime = 0;
    double moreLost = 0;
    for (unsigned seed = 1; seed <= 5; ++seed) {
        const Stream with(seed, true);
        const Stream without(seed, false);
        moreInTime += with.m_inTime - without.m_inTime;
        moreLost += with.m_lost - without.m_lost;
    }
    EXPECT_GT(moreInTime, 0);
    // What the limit on lost work allows for each urgent gang.
    const TaskPlannerSettings settings;
    const double own = GANG_MEMBERS * getCoreEquivalent(GANG_NEED) *
                       static_cast<double>(GANG_ESTIMATE.count()) / 1000;
    const double limit = settings.m_maxWastedWork + settings.m_maxWastePerOwnWork * own;
    EXPECT_LE(moreLost, moreInTime * limit);
}

}  // namespace
}  // namespace pierbank
