// SPDX-License-Identifier: Apache-2.0
#include "pierbank/policy/Planner.h"

#include <algorithm>

#include "pierbank/policy/JobEvents.h"
#include "PlanPass.h"

namespace pierbank {

namespace {

/** Copies of the state that findRemedy() may plan on; each costs about one pass. */
constexpr int MAX_TRIALS = 12;

bool startsAfter(const PolicySettings& settings, ClusterState& trial, const std::string& job,
                 Millis now) {
    PlanPass(settings, trial, now).run();
    const Job* const found = trial.findJob(job);
    return found != nullptr && found->isPlaced();
}

/** Jobs that hold accelerators, smallest first: withdrawing them costs least. */
std::vector<const Job*> getHolders(const ClusterState& state) {
    std::vector<const Job*> holders;
    for (const auto& [name, job] : state.m_jobs) {
        if (job.holdsAccelerators() && job.m_state != JobState::STOPPING) {
            holders.push_back(&job);
        }
    }
    std::stable_sort(holders.begin(), holders.end(), [](const Job* a, const Job* b) {
        return a->m_shape.getTotal() < b->m_shape.getTotal();
    });
    return holders;
}

}  // namespace

Plan Planner::plan(ClusterState& state, Millis now) const {
    endQuarantines(state, now);
    return PlanPass(m_settings, state, now).run();
}

Explanation Planner::findRemedy(const ClusterState& state, const std::string& job,
                                Millis now) const {
    Explanation why;
    const Job* const waiting = state.findJob(job);
    if (waiting == nullptr) {
        return why;
    }
    why = waiting->m_why;
    if (waiting->m_state != JobState::QUEUED) {
        return why;
    }
    int trials = 0;
    for (WorkerIndex i = 0; i < state.m_workers.size() && trials < MAX_TRIALS; ++i) {
        const WorkerState workerState = state.m_workers[i].m_state;
        if (workerState != WorkerState::QUARANTINED && workerState != WorkerState::DRAINED) {
            continue;
        }
        ++trials;
        ClusterState trial = state;
        trial.m_workers[i].m_state = WorkerState::LIVE;
        if (startsAfter(m_settings, trial, job, now)) {
            why.m_remedy = Remedy::RELEASE_WORKER;
            why.m_subject = state.m_workers[i].m_name;
            return why;
        }
    }
    for (const Job* holder : getHolders(state)) {
        if (trials >= MAX_TRIALS) {
            break;
        }
        ++trials;
        ClusterState trial = state;
        trial.m_jobs.erase(holder->m_name);
        if (startsAfter(m_settings, trial, job, now)) {
            why.m_remedy = Remedy::WITHDRAW_JOB;
            why.m_subject = holder->m_name;
            return why;
        }
    }
    why.m_remedy = Remedy::WAIT;
    why.m_subject.clear();
    return why;
}

}  // namespace pierbank
