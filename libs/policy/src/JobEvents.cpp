// SPDX-License-Identifier: Apache-2.0
#include "pierbank/policy/JobEvents.h"

#include <algorithm>
#include <set>

namespace pierbank {

namespace {

/** Weight of the newest job in an organisation's run time ratio. */
constexpr double RATIO_GAIN = 0.2;
/** Ratios beyond this are as good as unknown (the brief: declared run times are often far off). */
constexpr double MAX_RATIO = 10.0;

bool isFinal(AfterStop afterStop) {
    return afterStop != AfterStop::QUEUE_AGAIN;
}

JobState toState(AfterStop afterStop) {
    switch (afterStop) {
        case AfterStop::QUEUE_AGAIN:
            return JobState::QUEUED;
        case AfterStop::WITHDRAW:
            return JobState::WITHDRAWN;
        case AfterStop::FAIL:
            return JobState::FAILED;
        case AfterStop::END:
            break;
    }
    return JobState::ENDED;
}

void correctRunTimes(ClusterState& state, const Job& job, Millis runTime) {
    Organisation* const organisation = state.findOrganisation(job.m_organisation);
    if (organisation == nullptr || job.m_declaredRunTime.count() <= 0) {
        return;
    }
    const double seen = static_cast<double>(runTime.count()) /
                        static_cast<double>(job.m_declaredRunTime.count());
    const double bounded = std::clamp(seen, 1.0 / MAX_RATIO, MAX_RATIO);
    organisation->m_runTimeRatio += RATIO_GAIN * (bounded - organisation->m_runTimeRatio);
}

std::size_t countDistinct(const std::vector<std::string>& names) {
    return std::set<std::string>(names.begin(), names.end()).size();
}

void quarantineIfAtFault(Worker& worker, const PolicySettings& settings, Millis now) {
    const bool isProbe = worker.m_quarantines > 0;
    const bool hasFailedOften = worker.m_failedJobs.size() >= settings.m_workerFailures &&
                                countDistinct(worker.m_failedJobs) >= settings.m_workerFailureJobs;
    if (worker.m_state != WorkerState::LIVE || !(hasFailedOften || isProbe)) {
        return;
    }
    constexpr std::uint32_t MAX_DOUBLINGS = 16;
    const std::uint32_t doublings = std::min(worker.m_quarantines, MAX_DOUBLINGS);
    const Millis pause = settings.m_quarantinePause * (1LL << doublings);
    worker.m_state = WorkerState::QUARANTINED;
    worker.m_quarantinedUntil = now + std::min(pause, settings.m_maxQuarantinePause);
    ++worker.m_quarantines;
}

}  // namespace

void markRunning(Job& job, Millis now) {
    if (job.m_state != JobState::PREPARING) {
        return;
    }
    job.m_state = JobState::RUNNING;
    job.m_startedAt = now;
}

void beginStop(Job& job, AfterStop afterStop, const Explanation& why, Millis now) {
    if (job.isOver()) {
        return;
    }
    if (job.m_state == JobState::STOPPING) {
        if (isFinal(afterStop) && !isFinal(job.m_afterStop)) {
            job.m_afterStop = afterStop;
            job.m_why = why;
        }
        return;
    }
    job.m_why = why;
    job.m_afterStop = afterStop;
    if (!job.holdsAccelerators()) {
        finishStop(job, now);
        return;
    }
    if (job.m_state == JobState::RUNNING && why.m_verdict == Verdict::PREEMPTED) {
        // The checkpoint taken within the grace keeps what the attempt has run.
        job.m_progress += std::max(Millis(0), now - job.m_startedAt);
    }
    job.m_state = JobState::STOPPING;
}

void finishStop(Job& job, Millis now) {
    if (job.isOver()) {
        return;
    }
    job.m_state = toState(job.m_afterStop);
    job.m_members.clear();
    job.m_unit.reset();
    job.m_afterStop = AfterStop::QUEUE_AGAIN;
    if (job.isOver()) {
        job.m_endedAt = now;
    } else {
        job.m_queuedAt = now;
    }
}

void finishWell(ClusterState& state, Job& job, Millis now) {
    if (job.m_state != JobState::RUNNING && job.m_state != JobState::STOPPING) {
        return;
    }
    correctRunTimes(state, job, job.m_progress + (now - job.m_startedAt));
    for (const Member& member : job.m_members) {
        Worker& worker = state.m_workers[member.m_worker];
        worker.m_failedJobs.clear();
        worker.m_quarantines = 0;
    }
    job.m_why.m_verdict = Verdict::STOPPED;
    job.m_why.m_constraint = Constraint::ENDED;
    job.m_why.m_remedy = Remedy::NONE;
    job.m_why.m_decidedAt = now;
    job.m_afterStop = AfterStop::END;
    finishStop(job, now);
}

void noteFailure(ClusterState& state, Job& job, WorkerIndex worker, const PolicySettings& settings,
                 Millis now) {
    state.m_workers[worker].m_failedJobs.push_back(job.m_name);
    quarantineIfAtFault(state.m_workers[worker], settings, now);
    job.m_failedOn.push_back(worker);
    // A worker in quarantine fails everything: what failed there says nothing about the job.
    std::vector<WorkerIndex> counted;
    std::copy_if(job.m_failedOn.begin(), job.m_failedOn.end(), std::back_inserter(counted),
                 [&state](WorkerIndex index) {
                     return state.m_workers[index].m_state != WorkerState::QUARANTINED;
                 });
    const std::size_t workers = std::set<WorkerIndex>(counted.begin(), counted.end()).size();
    const bool isJobAtFault =
            workers >= settings.m_jobFailures || counted.size() >= settings.m_jobFailuresInAll;
    Explanation why;
    why.m_verdict = Verdict::STOPPED;
    why.m_decidedAt = now;
    why.m_subject = state.m_workers[worker].m_name;
    why.m_constraint = Constraint::MEMBER_FAILED;
    AfterStop afterStop = AfterStop::QUEUE_AGAIN;
    if (isJobAtFault) {
        why.m_constraint = Constraint::JOB_AT_FAULT;
        why.m_remedy = Remedy::FIX_JOB;
        afterStop = AfterStop::FAIL;
    }
    beginStop(job, afterStop, why, now);
}

void endQuarantines(ClusterState& state, Millis now) {
    for (Worker& worker : state.m_workers) {
        const bool isForFailing = worker.m_quarantinedUntil.count() != 0;
        const bool isOver = worker.m_quarantinedUntil <= now;
        if (worker.m_state == WorkerState::QUARANTINED && isForFailing && isOver) {
            worker.m_state = WorkerState::LIVE;
            worker.m_quarantinedUntil = Millis(0);
            worker.m_failedJobs.clear();
        }
    }
}

Millis getExpectedRemaining(const ClusterState& state, const Job& job) {
    const Organisation* const organisation = state.findOrganisation(job.m_organisation);
    const double ratio = organisation == nullptr ? 1.0 : organisation->m_runTimeRatio;
    const auto corrected = Millis(
            static_cast<std::int64_t>(static_cast<double>(job.m_declaredRunTime.count()) * ratio));
    return std::max(corrected - job.m_progress, Millis(1000));
}

}  // namespace pierbank
