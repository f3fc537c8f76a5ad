// SPDX-License-Identifier: Apache-2.0
#include "Replay.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <queue>
#include <set>
#include <tuple>

#include "pierbank/policy/CellFinder.h"
#include "pierbank/policy/JobEvents.h"

namespace pierbank::replay {

namespace {

constexpr double MILLIS_PER_HOUR = 3'600'000.0;
constexpr double MILLIS_PER_SECOND = 1000.0;
/** Run time that each restart from a checkpoint costs again. */
constexpr Millis RESTART_COST{60'000};
constexpr Millis FAILS_AFTER{30'000};
constexpr Millis TICK{60'000};

double toHours(Millis time) {
    return static_cast<double>(time.count()) / MILLIS_PER_HOUR;
}

enum class EventKind { ARRIVAL, WITHDRAWAL, END, FAILURE, STOPPED, TICK };

struct Event {
    Millis m_at{0};
    EventKind m_kind = EventKind::TICK;
    std::string m_job;
    std::uint64_t m_attempt = 0;

    bool operator>(const Event& other) const {
        return std::tie(m_at, m_kind, m_job) > std::tie(other.m_at, other.m_kind, other.m_job);
    }
};

double quantile(std::vector<double> values, double part) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    return values[index];
}

double mean(const std::vector<double>& values) {
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

class Run {
public:
    Run(const Workload& workload, ReplayPolicy& policy, const PolicySettings& settings)
            : m_workload(workload),
              m_policy(policy),
              m_settings(settings),
              m_state(workload.m_cluster) {
        for (const Arrival& arrival : workload.m_arrivals) {
            m_arrivals[arrival.m_job.m_name] = &arrival;
            m_events.push({arrival.m_at, EventKind::ARRIVAL, arrival.m_job.m_name, 0});
            if (arrival.m_withdrawnAt > Millis(0)) {
                m_events.push(
                        {arrival.m_withdrawnAt, EventKind::WITHDRAWAL, arrival.m_job.m_name, 0});
            }
        }
        m_events.push({TICK, EventKind::TICK, "", 0});
    }

    Measures run() {
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            integrateTo(event.m_at);
            handle(event);
            const bool isLastOfInstant = m_events.empty() || m_events.top().m_at != event.m_at;
            if (isLastOfInstant) {
                pass();
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
            const bool isOver = m_state.m_jobs.empty() && m_events.empty();
            const bool isStuck = m_now > m_lastProgress + Millis(14LL * 24 * 3'600'000);
            if (!isOver && !isStuck) {
                m_events.push({m_now + TICK, EventKind::TICK, "", 0});
            }
            return;
        }
        Job* const job = m_state.findJob(event.m_job);
        if (job == nullptr) {
            return;
        }
        const bool isCurrent = job->m_attempt == event.m_attempt;
        if (event.m_kind == EventKind::WITHDRAWAL) {
            Explanation why;
            beginStop(*job, AfterStop::WITHDRAW, why, m_now);
            afterChange(*job);
        } else if (event.m_kind == EventKind::END && isCurrent &&
                   job->m_state == JobState::RUNNING) {
            finishWell(m_state, *job, m_now);
            complete(*job);
        } else if (event.m_kind == EventKind::FAILURE && isCurrent &&
                   job->m_state == JobState::RUNNING) {
            noteFailure(m_state, *job, m_workload.m_failingWorker, m_settings, m_now);
            afterChange(*job);
        } else if (event.m_kind == EventKind::STOPPED && isCurrent &&
                   job->m_state == JobState::STOPPING) {
            finishStop(*job, m_now);
            afterChange(*job);
        }
    }

    void arrive(const std::string& name) {
        Job job = m_arrivals.at(name)->m_job;
        job.m_submittedAt = m_now;
        job.m_queuedAt = m_now;
        m_state.m_jobs[name] = job;
        m_lastProgress = m_now;
    }

    /** A job that is over leaves the state; one that is stopping is freed after the grace. */
    void afterChange(const Job& job) {
        if (job.m_state == JobState::STOPPING) {
            m_events.push({m_now + m_settings.m_checkpointGrace, EventKind::STOPPED, job.m_name,
                           job.m_attempt});
        } else if (job.isOver()) {
            if (job.m_state == JobState::FAILED) {
                ++m_measures.m_unfinished;
            }
            m_state.m_jobs.erase(std::string(job.m_name));
        }
    }

    void complete(const Job& job) {
        const Arrival& arrival = *m_arrivals.at(job.m_name);
        const Millis took = m_now - arrival.m_at;
        m_completions.push_back(toHours(took));
        m_bounds.push_back(toHours(arrival.m_trueRunTime));
        m_slowdowns.push_back(toHours(took) / toHours(arrival.m_trueRunTime));
        m_slowdownsOf[job.m_organisation].push_back(m_slowdowns.back());
        m_measures.m_preemptions += job.m_preemptions;
        m_work += toHours(arrival.m_trueRunTime) * job.m_shape.getTotal();
        m_lost += toHours(RESTART_COST) * job.m_preemptions * job.m_shape.getTotal();
        ++m_measures.m_finished;
        m_lastProgress = m_now;
        m_state.m_jobs.erase(std::string(job.m_name));
    }

    void pass() {
        m_policy.plan(m_state, m_now);
        for (auto& [name, job] : m_state.m_jobs) {
            if (job.m_state == JobState::PREPARING) {
                start(job);
            } else if (job.m_state == JobState::STOPPING &&
                       m_stopping.insert({name, job.m_attempt}).second) {
                afterChange(job);
            }
        }
    }

    void start(Job& job) {
        markRunning(job, m_now);
        const Arrival& arrival = *m_arrivals.at(job.m_name);
        const Millis again = RESTART_COST * job.m_preemptions;
        const Millis left = std::max(arrival.m_trueRunTime + again - job.m_progress, Millis(1000));
        const auto isOnFailing = [this](const Member& m) {
            return m.m_worker == m_workload.m_failingWorker;
        };
        const bool fails = std::any_of(job.m_members.begin(), job.m_members.end(), isOnFailing);
        m_events.push({m_now + (fails ? std::min(FAILS_AFTER, left) : left),
                       fails ? EventKind::FAILURE : EventKind::END, job.m_name, job.m_attempt});
        noteStart(job);
    }

    void noteStart(const Job& job) {
        const Millis waited = m_now - m_arrivals.at(job.m_name)->m_at;
        const bool isFirst = m_started.insert(job.m_name).second;
        if (!isFirst) {
            return;
        }
        if (job.m_shape.m_members > 1) {
            m_measures.m_longestLargeWait =
                    std::max(m_measures.m_longestLargeWait, toHours(waited));
        }
        const double seconds = static_cast<double>(waited.count()) / MILLIS_PER_SECOND;
        if (job.m_isUrgent) {
            m_measures.m_longestUrgentSeconds =
                    std::max(m_measures.m_longestUrgentSeconds, seconds);
        }
    }

    void integrateTo(Millis now) {
        const auto passed = static_cast<double>((now - m_now).count());
        m_now = now;
        if (passed <= 0) {
            return;
        }
        const auto share = findFragmentation();
        if (share.has_value()) {
            m_fragmentedTime += *share * passed;
            m_consideredTime += passed;
        }
    }

    std::optional<double> findFragmentation() const {
        std::vector<std::uint32_t> free;
        std::uint32_t idle = 0;
        for (const Worker& worker : m_state.m_workers) {
            free.push_back(worker.m_state == WorkerState::LIVE ? worker.m_accelerators : 0);
        }
        Shape largest;
        for (const auto& [name, job] : m_state.m_jobs) {
            for (const Member& member : job.m_members) {
                const auto held = static_cast<std::uint32_t>(std::popcount(member.m_accelerators));
                free[member.m_worker] -= std::min(free[member.m_worker], held);
            }
            const bool isWaiting =
                    job.m_state == JobState::QUEUED || job.m_state == JobState::CLAIMING;
            if (isWaiting && job.m_shape.getTotal() > largest.getTotal()) {
                largest = job.m_shape;
            }
        }
        for (const GuaranteeUnit& unit : m_state.m_units) {
            largest = unit.m_shape.getTotal() > largest.getTotal() ? unit.m_shape : largest;
        }
        for (const std::uint32_t count : free) {
            idle += count;
        }
        if (idle < largest.getTotal()) {
            return std::nullopt;
        }
        return 1.0 - static_cast<double>(countServable(free, largest)) / idle;
    }

    std::uint32_t countServable(std::vector<std::uint32_t> free, const Shape& shape) const {
        const CellFinder finder(m_state.m_workers);
        std::uint32_t served = 0;
        while (true) {
            const auto choice = finder.find(shape, {free, free, {}});
            if (!choice.has_value()) {
                return served;
            }
            for (const WorkerIndex worker : choice->m_workers) {
                free[worker] -= shape.m_accelerators;
            }
            served += shape.getTotal();
        }
    }

    Measures summarise() {
        m_measures.m_meanCompletion = mean(m_completions);
        m_measures.m_95thCompletion = quantile(m_completions, 0.95);
        m_measures.m_meanSlowdown = mean(m_slowdowns);
        m_measures.m_95thSlowdown = quantile(m_slowdowns, 0.95);
        m_measures.m_lowerBound = mean(m_bounds);
        m_measures.m_fragmentation = m_consideredTime > 0 ? m_fragmentedTime / m_consideredTime : 0;
        m_measures.m_lostWork = m_work > 0 ? m_lost / m_work : 0;
        m_measures.m_unfinished += static_cast<std::uint32_t>(m_state.m_jobs.size());
        double sum = 0;
        double squares = 0;
        for (const auto& [organisation, slowdowns] : m_slowdownsOf) {
            const double value = 1.0 / mean(slowdowns);
            sum += value;
            squares += value * value;
        }
        const auto count = static_cast<double>(m_slowdownsOf.size());
        m_measures.m_jain = squares > 0 ? sum * sum / (count * squares) : 0;
        return m_measures;
    }

    const Workload& m_workload;
    ReplayPolicy& m_policy;
    const PolicySettings& m_settings;
    ClusterState m_state;
    Millis m_now{0};
    Millis m_lastProgress{0};
    std::map<std::string, const Arrival*> m_arrivals;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::set<std::pair<std::string, std::uint64_t>> m_stopping;
    std::set<std::string> m_started;
    std::vector<double> m_completions;
    std::vector<double> m_bounds;
    std::vector<double> m_slowdowns;
    std::map<std::string, std::vector<double>> m_slowdownsOf;
    double m_fragmentedTime = 0;
    double m_consideredTime = 0;
    double m_work = 0;
    double m_lost = 0;
    Measures m_measures;
};

}  // namespace

Measures replay(const Workload& workload, ReplayPolicy& policy, const PolicySettings& settings) {
    return Run(workload, policy, settings).run();
}

}  // namespace pierbank::replay
