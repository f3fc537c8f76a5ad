// SPDX-License-Identifier: Apache-2.0
#include "Replay.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <set>
#include <tuple>

#include "pierbank/control/WorkerHealth.h"

namespace pierbank::replay {

namespace {

constexpr double MILLIS_PER_HOUR = 3'600'000.0;
constexpr double MILLIS_PER_SECOND = 1000.0;
/** Run time that each restart from a checkpoint repeats. */
constexpr Millis RESTART_COST{60'000};
/** Time that a stopped run takes to write its checkpoint. */
constexpr Millis CHECKPOINT_GRACE{3000};
/** Run time after which a task on the failing worker fails. */
constexpr Millis FAILURE_DELAY{30'000};
/** Maximum time between two plans: waiting times and the health of hosts depend on time. */
constexpr Millis MAX_PLAN_INTERVAL{300'000};
/** Time without a finished or new job after which the replay ends: the rest can never run. */
constexpr Millis NO_PROGRESS_TIMEOUT{14LL * 24 * 3'600'000};

double toHours(Millis time) {
    return static_cast<double>(time.count()) / MILLIS_PER_HOUR;
}

enum class EventKind { ARRIVAL, WITHDRAWAL, END, FAILURE, STOPPED, TICK };

/** Event in virtual time; events at the same time are ordered by kind, then by job. */
struct Event {
    Millis m_at{0};
    EventKind m_kind = EventKind::TICK;
    std::string m_job;
    /** ReplayedJob::m_attempt when the event was scheduled. */
    std::uint64_t m_attempt = 0;

    bool operator>(const Event& other) const {
        return std::tie(m_at, m_kind, m_job) > std::tie(other.m_at, other.m_kind, other.m_job);
    }
};

/** A job that has arrived and has not finished. */
struct ReplayedJob {
    const Arrival* m_arrival = nullptr;
    JobRun m_run;
    /** Run time that the checkpoint preserves. */
    Millis m_progress{0};
    Millis m_startedAt{0};
    /** Number of the current run; events of an earlier run are ignored. */
    std::uint64_t m_attempt = 0;
    std::uint32_t m_preemptions = 0;

    const JobRecord& getRecord() const { return m_arrival->m_record; }
    std::vector<ActiveRun> listRuns() const { return listActiveRuns(getRecord().m_id, m_run); }
    Millis getRestartCost() const { return RESTART_COST * m_preemptions; }
};

/** Returns the nearest lower quantile; zero without values. */
double quantile(std::vector<double> values, double probability) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(probability * static_cast<double>(values.size() - 1))];
}

double mean(const std::vector<double>& values) {
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

/** Simulation: handles events in order of time and applies a plan after each point in time. */
class Run {
public:
    Run(const Workload& workload, ReplayPolicy& policy)
            : m_workload(workload), m_policy(policy), m_workers(workload.m_workers) {
        for (const Arrival& arrival : workload.m_arrivals) {
            const std::string& id = arrival.m_record.m_id;
            m_arrivals[id] = &arrival;
            m_events.push({arrival.m_at, EventKind::ARRIVAL, id, 0});
            if (arrival.m_withdrawnAt > Millis(0)) {
                m_events.push({arrival.m_withdrawnAt, EventKind::WITHDRAWAL, id, 0});
            }
        }
        m_events.push({MAX_PLAN_INTERVAL, EventKind::TICK, "", 0});
    }

    Measures run() {
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            integrateTo(event.m_at);
            handle(event);
            const bool isLastOfInstant = m_events.empty() || m_events.top().m_at != event.m_at;
            if (isLastOfInstant) {
                planAndApply();
            }
        }
        return summarise();
    }

private:
    void handle(const Event& event) {
        if (event.m_kind == EventKind::ARRIVAL) {
            arrive(event.m_job);
            return;
        }
        if (event.m_kind == EventKind::TICK) {
            tick();
            return;
        }
        const auto found = m_jobs.find(event.m_job);
        if (found == m_jobs.end()) {
            return;
        }
        ReplayedJob& job = found->second;
        if (event.m_kind == EventKind::WITHDRAWAL) {
            withdraw(job);
        } else if (job.m_attempt != event.m_attempt) {
            return;
        } else if (event.m_kind == EventKind::END) {
            complete(job);
        } else if (event.m_kind == EventKind::FAILURE) {
            fail(job);
        } else {
            endRuns(job, RunEnd::STOPPED);
        }
        if (job.m_run.isFinished() && job.m_run.isIdle()) {
            m_jobs.erase(event.m_job);
        }
    }

    void tick() {
        const bool isFinished = m_jobs.empty() && m_events.empty();
        const bool isStalled = m_now > m_lastProgress + NO_PROGRESS_TIMEOUT;
        if (!isFinished && !isStalled) {
            m_events.push({m_now + MAX_PLAN_INTERVAL, EventKind::TICK, "", 0});
        }
    }

    void arrive(const std::string& id) {
        ReplayedJob job;
        job.m_arrival = m_arrivals.at(id);
        job.m_run = makeJobRun(job.getRecord());
        m_jobs[id] = job;
        m_lastProgress = m_now;
    }

    void withdraw(ReplayedJob& job) {
        const bool wasRunning = !job.m_run.isIdle();
        applyCancel(job.getRecord().m_id, job.m_run, m_now);
        if (wasRunning) {
            stopLater(job);
        }
    }

    /** Ends all active runs of a job in the same way. */
    void endRuns(ReplayedJob& job, RunEnd runEnd) {
        for (const ActiveRun& active : job.listRuns()) {
            applyEnd(job.getRecord(), job.m_run, active.m_task, active.m_run, runEnd, "c", m_now);
            recordRunEnd(job, active, runEnd);
        }
    }

    void recordRunEnd(const ReplayedJob& job, const ActiveRun& active, RunEnd runEnd) {
        const Millis ran = m_now - active.m_placedAt;
        m_health.recordRunEnd({active.m_worker.m_host, job.getRecord().m_id, runEnd, ran}, m_now);
    }

    void stopLater(ReplayedJob& job) {
        ++job.m_attempt;
        m_events.push({m_now + CHECKPOINT_GRACE, EventKind::STOPPED, job.getRecord().m_id,
                       job.m_attempt});
    }

    void complete(ReplayedJob& job) {
        const Arrival& arrival = *job.m_arrival;
        const double completion = toHours(m_now - arrival.m_at);
        const double bound = toHours(arrival.m_trueRunTime);
        m_completions.push_back(completion);
        m_bounds.push_back(bound);
        m_slowdowns.push_back(completion / bound);
        m_slowdownsOf[arrival.m_record.m_organisation].push_back(completion / bound);
        m_measures.m_preemptions += job.m_preemptions;
        m_work += bound * arrival.getTotal();
        m_repeatedWork += toHours(job.getRestartCost()) * arrival.getTotal();
        ++m_measures.m_finished;
        m_lastProgress = m_now;
        endRuns(job, RunEnd::DONE);
    }

    /** Fails the members on the failing worker and stops the others. */
    void fail(ReplayedJob& job) {
        for (const ActiveRun& active : job.listRuns()) {
            const bool isFailing = active.m_worker.m_host == m_workload.m_failingWorker;
            const RunEnd runEnd = isFailing ? RunEnd::FAILED : RunEnd::STOPPED;
            applyEnd(job.getRecord(), job.m_run, active.m_task, active.m_run, runEnd, "c", m_now);
            recordRunEnd(job, active, runEnd);
        }
        ++job.m_attempt;
        m_measures.m_unfinished += job.m_run.isFinished() ? 1 : 0;
    }

    /** Updates the health of workers, makes a plan, and applies its placements and stops. */
    void planAndApply() {
        for (WorkerSnapshot& worker : m_workers) {
            worker.m_acceptsWork = !m_health.isAvoided(worker.m_id.m_host, m_now);
            worker.m_isSuspect = m_health.isSuspect(worker.m_id.m_host, m_now);
        }
        const std::vector<PlannedJob> jobs = listJobs();
        const std::map<TaskKey, Millis> remaining = estimateRemaining();
        const TaskPlan plan =
                m_policy.plan({m_workers, jobs, remaining, m_workload.m_guarantees, m_now});
        std::set<std::string> started;
        for (const Placement& placement : plan.m_placements) {
            ReplayedJob& job = m_jobs.at(placement.m_task.m_job);
            const bool isFirst = started.insert(placement.m_task.m_job).second;
            const std::uint32_t number =
                    isFirst ? getNextRunNumber(job.getRecord(), job.m_run, placement.m_task)
                            : job.listRuns().front().m_run;
            applyPlacement(job.m_run, placement.m_task, number, placement.m_worker, m_now);
        }
        for (const std::string& id : started) {
            start(m_jobs.at(id));
        }
        std::set<std::string> stopped;
        for (const Stop& stop : plan.m_stops) {
            if (stopped.insert(stop.m_task.m_job).second) {
                preempt(m_jobs.at(stop.m_task.m_job));
            }
        }
    }

    std::vector<PlannedJob> listJobs() const {
        std::vector<PlannedJob> jobs;
        for (const auto& [id, job] : m_jobs) {
            jobs.push_back({&job.getRecord(), &job.m_run, nullptr});
        }
        return jobs;
    }

    /** Estimates by declared run times; a job beyond its declared time has zero remaining. */
    std::map<TaskKey, Millis> estimateRemaining() const {
        std::map<TaskKey, Millis> remaining;
        for (const auto& [id, job] : m_jobs) {
            const Millis done = job.m_progress + (m_now - job.m_startedAt);
            const Millis declared = job.m_arrival->getStep().m_estimate;
            for (const ActiveRun& active : job.listRuns()) {
                remaining[active.m_task] = std::max(declared - done, Millis(0));
            }
        }
        return remaining;
    }

    void start(ReplayedJob& job) {
        job.m_startedAt = m_now;
        const Millis work = job.m_arrival->m_trueRunTime + job.getRestartCost();
        const Millis left = std::max(work - job.m_progress, Millis(1000));
        const std::vector<ActiveRun> activeRuns = job.listRuns();
        const bool fails =
                std::any_of(activeRuns.begin(), activeRuns.end(), [this](const ActiveRun& run) {
                    return run.m_worker.m_host == m_workload.m_failingWorker;
                });
        ++job.m_attempt;
        m_events.push({m_now + (fails ? std::min(FAILURE_DELAY, left) : left),
                       fails ? EventKind::FAILURE : EventKind::END, job.getRecord().m_id,
                       job.m_attempt});
        recordRunStart(job);
    }

    /** Records the waiting time until the first start of a job. */
    void recordRunStart(const ReplayedJob& job) {
        if (!m_started.insert(job.getRecord().m_id).second) {
            return;
        }
        const Millis waited = m_now - job.m_arrival->m_at;
        if (job.m_arrival->getStep().m_isGang) {
            m_measures.m_longestLargeWait =
                    std::max(m_measures.m_longestLargeWait, toHours(waited));
        }
        if (job.m_arrival->isUrgent()) {
            const double seconds = static_cast<double>(waited.count()) / MILLIS_PER_SECOND;
            m_measures.m_longestUrgentSeconds =
                    std::max(m_measures.m_longestUrgentSeconds, seconds);
        }
    }

    void preempt(ReplayedJob& job) {
        for (const ActiveRun& active : job.listRuns()) {
            markStopping(job.m_run, active);
        }
        job.m_progress += m_now - job.m_startedAt;
        ++job.m_preemptions;
        stopLater(job);
    }

    /** Advances the time and adds the fragmentation of the time until then. */
    void integrateTo(Millis now) {
        const auto elapsed = static_cast<double>((now - m_now).count());
        m_now = now;
        const auto share = elapsed > 0 ? computeFragmentation() : std::nullopt;
        if (share.has_value()) {
            m_fragmentedTime += *share * elapsed;
            m_consideredTime += elapsed;
        }
    }

    /**
     * Returns the share of the idle accelerators that no reference gang can use; nothing if fewer
     * accelerators are idle than a reference gang needs.
     */
    std::optional<double> computeFragmentation() const {
        std::map<std::string, std::uint32_t> free;
        std::uint32_t idle = 0;
        for (const WorkerSnapshot& worker : m_workers) {
            const std::uint32_t count = worker.m_acceptsWork ? worker.m_capacity.m_accelerators : 0;
            free[worker.m_id.m_host] = count;
            idle += count;
        }
        for (const auto& [id, job] : m_jobs) {
            for (const ActiveRun& run : job.listRuns()) {
                std::uint32_t& left = free[run.m_worker.m_host];
                const std::uint32_t taken =
                        std::min(left, job.m_arrival->getStep().m_need.m_accelerators);
                left -= taken;
                idle -= taken;
            }
        }
        const StepSpec& referenceGang = m_workload.m_referenceGang;
        if (idle < referenceGang.m_tasks * referenceGang.m_need.m_accelerators) {
            return std::nullopt;
        }
        return 1.0 - static_cast<double>(countServable(free)) / idle;
    }

    /** Returns how many accelerators reference gangs, each in one rack, could use at most. */
    std::uint32_t countServable(const std::map<std::string, std::uint32_t>& free) const {
        const StepSpec& referenceGang = m_workload.m_referenceGang;
        std::map<std::string, std::uint32_t> membersOf;
        for (const WorkerSnapshot& worker : m_workers) {
            membersOf[worker.m_rack] +=
                    free.at(worker.m_id.m_host) / referenceGang.m_need.m_accelerators;
        }
        std::uint32_t served = 0;
        for (const auto& [rack, members] : membersOf) {
            served += members / referenceGang.m_tasks * referenceGang.m_tasks *
                      referenceGang.m_need.m_accelerators;
        }
        return served;
    }

    Measures summarise() {
        m_measures.m_meanCompletion = mean(m_completions);
        m_measures.m_95thCompletion = quantile(m_completions, 0.95);
        m_measures.m_meanSlowdown = mean(m_slowdowns);
        m_measures.m_95thSlowdown = quantile(m_slowdowns, 0.95);
        m_measures.m_lowerBound = mean(m_bounds);
        m_measures.m_fragmentation = m_consideredTime > 0 ? m_fragmentedTime / m_consideredTime : 0;
        m_measures.m_lostWork = m_work > 0 ? m_repeatedWork / m_work : 0;
        m_measures.m_unfinished += static_cast<std::uint32_t>(m_jobs.size());
        double sum = 0;
        double squares = 0;
        for (const auto& [organisation, slowdowns] : m_slowdownsOf) {
            const double speed = 1.0 / mean(slowdowns);
            sum += speed;
            squares += speed * speed;
        }
        const auto count = static_cast<double>(m_slowdownsOf.size());
        m_measures.m_jain = squares > 0 ? sum * sum / (count * squares) : 0;
        return m_measures;
    }

    const Workload& m_workload;
    ReplayPolicy& m_policy;
    std::vector<WorkerSnapshot> m_workers;
    WorkerHealth m_health{WorkerHealthSettings()};
    Millis m_now{0};
    Millis m_lastProgress{0};
    std::map<std::string, const Arrival*> m_arrivals;
    std::map<std::string, ReplayedJob> m_jobs;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::set<std::string> m_started;
    std::vector<double> m_completions;
    std::vector<double> m_bounds;
    std::vector<double> m_slowdowns;
    std::map<std::string, std::vector<double>> m_slowdownsOf;
    double m_fragmentedTime = 0;
    double m_consideredTime = 0;
    double m_work = 0;
    double m_repeatedWork = 0;
    Measures m_measures;
};

}  // namespace

Measures replay(const Workload& workload, ReplayPolicy& policy) {
    return Run(workload, policy).run();
}

}  // namespace pierbank::replay
