// SPDX-License-Identifier: Apache-2.0
// Prepares the planner's input.
#include <algorithm>
#include <utility>

#include "pierbank/control/JobController.h"

namespace pierbank {

const std::vector<WorkerSnapshot>& JobController::getWorkerSnapshots() const {
    if (m_areSnapshotsStale) {
        rebuildWorkerSnapshots();
    }
    for (WorkerSnapshot& snapshot : m_snapshots) {
        updateSnapshot(snapshot, *m_workers.findHost(snapshot.m_id.m_host));
    }
    return m_snapshots;
}

/** Rebuilds the snapshots from the workers' notices; a new notice makes them stale. */
void JobController::rebuildWorkerSnapshots() const {
    m_snapshots.clear();
    m_areSnapshotsStale = false;
    for (const auto& [address, host] : m_workers.getHosts()) {
        if (!host.m_notice.has_value() || host.m_notice->m_incarnation.empty()) {
            continue;
        }
        const WorkerNotice& notice = *host.m_notice;
        WorkerSnapshot& snapshot = m_snapshots.emplace_back();
        snapshot.m_id = {address, notice.m_incarnation};
        snapshot.m_service = notice.m_service;
        snapshot.m_failureDomain = notice.m_failureDomain;
        snapshot.m_rack = notice.m_rack;
        snapshot.m_labels.insert(notice.m_labels.begin(), notice.m_labels.end());
        snapshot.m_capacity = {notice.m_cpuMillis, notice.m_memoryMb, notice.m_accelerators};
        snapshot.m_fullCapacity = {notice.m_fullCpuMillis, notice.m_fullMemoryMb,
                                   notice.m_fullAccelerators};
    }
}

/**
 * Refreshes the fields of a snapshot that change without a notice: whether the worker leaves or
 * accepts work, its slowness and how its host is rated.
 */
void JobController::updateSnapshot(WorkerSnapshot& snapshot, const WorkerPool::Host& host) const {
    const WorkerNotice& notice = *host.m_notice;
    const std::string& address = snapshot.m_id.m_host;
    const bool mustLeave =
            isLeaving(notice.m_incarnation) || getAdminState(address) == WorkerAdminState::DRAIN;
    snapshot.m_leavesIn.reset();
    if (notice.m_isDraining) {
        const Millis passed = m_loop.now() - host.m_noticeAt;
        snapshot.m_leavesIn = std::max(Millis(notice.m_remainingMs) - passed, Millis(0));
    } else if (mustLeave) {
        snapshot.m_leavesIn = Millis(0);
    }
    snapshot.m_isEvacuated = isEvacuated(snapshot.m_failureDomain);
    snapshot.m_acceptsWork =
            !snapshot.m_isEvacuated && host.isLinked() && host.m_hasReport && !notice.m_hasExited &&
            !host.m_isWorkerUnresponsive && !snapshot.m_leavesIn.has_value() &&
            getAdminState(address) == WorkerAdminState::RELEASE && !isAvoided(address) &&
            !isStalled(address) && !m_capacityRefusals.isPaused(address, m_loop.now()) &&
            !m_workerRefusals.isPaused(address, m_loop.now());
    const auto coldUntil = getColdUntil(address);
    const bool isCold = coldUntil.has_value() && m_loop.now() < *coldUntil;
    snapshot.m_slowness = m_settings.m_learnsSpeeds
                                  ? m_learned.speeds().getSlowness(snapshot.m_id.m_incarnation)
                                  : 1.0;
    snapshot.m_slowness *= m_settings.m_learnsSpeeds && isCold ? m_settings.m_coldSlowdown : 1.0;
    snapshot.m_slownessSamples =
            m_settings.m_learnsSpeeds ? m_learned.speeds().getEvidence(snapshot.m_id.m_incarnation)
                                      : 0.0;
    snapshot.m_isSuspect =
            m_settings.m_scoresHosts && m_learned.health().isSuspect(address, m_loop.now());
    snapshot.m_isProven =
            m_settings.m_scoresHosts && m_learned.health().isProven(snapshot.m_id, m_loop.now());
    snapshot.m_maxTasksPerJob = m_settings.m_scoresHosts ? m_learned.health().getMaxTasksPerJob(
                                                                   snapshot.m_id, m_loop.now())
                                                         : 0;
}

/**
 * The notice of a worker states the remaining warm-up time, which counts from the receipt of the
 * notice.
 */
std::optional<Millis> JobController::getColdUntil(const std::string& host) const {
    const WorkerPool::Host* const poolHost = m_workers.findHost(host);
    if (poolHost == nullptr || !poolHost->m_notice.has_value() ||
        poolHost->m_notice->m_warmUpRemainingMs == 0) {
        return std::nullopt;
    }
    return poolHost->m_noticeAt + Millis(poolHost->m_notice->m_warmUpRemainingMs);
}

/**
 * Returns whether a run was placed while its worker was cold, so that its progress is no sample of
 * the warmed-up worker's speed.
 */
bool JobController::wasPlacedWhileCold(const std::string& host, const TaskKey& task,
                                       std::uint32_t run) const {
    const auto coldUntil = getColdUntil(host);
    const auto found = m_jobs.find(task.m_job);
    if (!coldUntil.has_value() || found == m_jobs.end()) {
        return false;
    }
    const auto activeRun = found->second.m_run.findActiveRun(task, run);
    return activeRun.has_value() &&
           m_loop.now() - (m_loop.wallNow() - activeRun->m_placedAt) < *coldUntil;
}

/** @param advisedWorkers receives the objects that the result points to; must outlive it. */
std::vector<PlannedJob> JobController::listJobs(std::vector<AdvisedWorkers>& advisedWorkers) const {
    std::vector<PlannedJob> jobs;
    advisedWorkers.reserve(m_jobs.size());
    for (const auto& [id, entry] : m_jobs) {
        if (!entry.m_hasInput) {
            continue;
        }
        PlannedJob job{&entry.m_record, &entry.m_run, nullptr, entry.m_idleSince, &entry.m_lasting};
        if (entry.m_record.m_policy.m_advice.has_value()) {
            advisedWorkers.push_back(m_ticketCache.getAdvisedWorkers(id));
            job.m_advised = &advisedWorkers.back();
        }
        jobs.push_back(job);
    }
    return jobs;
}

namespace {

/** @return the organisations' guarantees; none before the configuration is known. */
const std::map<std::string, std::uint32_t>& getGuarantees(const ConfigurationFeed& feed) {
    static const std::map<std::string, std::uint32_t> NONE;
    return feed.get() == nullptr ? NONE : feed.get()->m_guarantees;
}

}  // namespace

TaskPlanner JobController::makePlanner() const {
    TaskPlannerSettings settings = m_settings.m_planner;
    settings.m_fragmentationWeight = m_currentFragmentationWeight;
    for (const std::string& service : m_learned.demand().listServices()) {
        if (m_settings.m_reservesHeadroom) {
            settings.m_urgentHeadroom[service] =
                    m_learned.demand().getHeadroom(service, m_loop.wallNow());
        }
    }
    return TaskPlanner(settings);
}

namespace {

/**
 * Forecasts the remaining time of runs from their reported progress, and run times from those of
 * earlier runs.
 */
class ProgressForecast final : public RunForecast {
public:
    ProgressForecast(const ProgressTracker& progress, const RunTimes& runTimes, Millis now)
            : m_progress(progress), m_runTimes(runTimes), m_now(now) {}

    std::optional<Millis> getRemaining(std::string_view host, const TaskRef& task) const override {
        return m_progress.getRemaining(host, task, m_now);
    }

    RunTimeEstimate getRunTime(const JobRecord& record, const StepSpec& step) const override {
        return m_runTimes.getRunTime(record.m_policy.m_queue, step.m_image, step.m_estimate);
    }

private:
    const ProgressTracker& m_progress;
    const RunTimes& m_runTimes;
    const Millis m_now;
};

}  // namespace

/**
 * Returns false while a new leader opens its initial links, for a limited time. The leader links
 * the workers with active runs first, and would otherwise preempt their runs for urgent work
 * although workers that are not linked yet are idle.
 */
bool JobController::mayPreempt() const {
    return !m_workers.isOpeningInitialLinks() ||
           m_loop.now() - m_loadedAt > m_settings.m_initialLinkTimeout;
}

TaskPlan JobController::makePlan(const std::vector<PlannedJob>& jobs, bool withExplanations) const {
    const ProgressForecast forecast(m_progress, m_learned.runTimes(), m_loop.now());
    return makePlanner().plan({getWorkerSnapshots(), jobs, forecast, getGuarantees(m_configuration),
                               m_loop.wallNow(), withExplanations, mayPreempt()});
}

TaskPlan JobController::makeTrialPlan(const JobRecord& record) const {
    std::vector<AdvisedWorkers> advisedWorkers;
    std::vector<PlannedJob> jobs = listJobs(advisedWorkers);
    const JobRun run = makeJobRun(record);
    jobs.push_back({&record, &run, nullptr, std::nullopt});
    return makePlan(jobs, true);
}

/**
 * Requests placement tickets for all unfinished steps, so that the tickets are there before
 * capacity becomes free.
 */
void JobController::requestTickets() {
    const bool usesAdvice = std::any_of(m_jobs.begin(), m_jobs.end(), [](const auto& job) {
        return job.second.m_record.m_policy.m_advice.has_value();
    });
    if (!usesAdvice) {
        m_ticketCache.setRequests({});
        return;
    }
    std::vector<TicketRequest> requests;
    const std::vector<WorkerSnapshot>& workers = getWorkerSnapshots();
    for (const auto& [id, entry] : m_jobs) {
        const QueuePolicy& policy = entry.m_record.m_policy;
        if (!entry.m_hasInput || entry.m_run.isFinished() || !policy.m_advice.has_value()) {
            continue;
        }
        for (const OccurrenceRun& occurrence : entry.m_run.m_occurrences) {
            for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
                if (occurrence.m_steps[step].isDone()) {
                    continue;
                }
                TicketRequest request{
                        {id, occurrence.m_number, step}, policy.m_priority, *policy.m_advice, {}};
                const StepSpec& spec = entry.m_record.m_spec.m_steps[step];
                for (const WorkerSnapshot& worker : workers) {
                    const bool hasLabel = spec.m_requiredLabel.empty() ||
                                          worker.m_labels.count(spec.m_requiredLabel) != 0;
                    if (worker.m_acceptsWork && worker.m_service == policy.m_service && hasLabel) {
                        request.m_incarnations.push_back(worker.m_id.m_incarnation);
                    }
                }
                requests.push_back(std::move(request));
            }
        }
    }
    m_ticketCache.setRequests(requests);
}

}  // namespace pierbank
