// SPDX-License-Identifier: Apache-2.0
// What a JobController shows to the planner.
#include <algorithm>
#include <utility>

#include "pierbank/control/JobController.h"

namespace pierbank {

const std::vector<WorkerSnapshot>& JobController::getWorkerSnapshots() const {
    if (m_areSnapshotsStale) {
        rebuildWorkerSnapshots();
    }
    for (WorkerSnapshot& view : m_snapshots) {
        updateSnapshot(view, *m_workers.findHost(view.m_id.m_host));
    }
    return m_snapshots;
}

/** What the workers' notices say; a notice makes it stale. */
void JobController::rebuildWorkerSnapshots() const {
    m_snapshots.clear();
    m_areSnapshotsStale = false;
    for (const auto& [address, host] : m_workers.getHosts()) {
        if (!host.m_notice.has_value() || host.m_notice->m_incarnation.empty()) {
            continue;
        }
        const WorkerNotice& notice = *host.m_notice;
        WorkerSnapshot& view = m_snapshots.emplace_back();
        view.m_id = {address, notice.m_incarnation};
        view.m_service = notice.m_service;
        view.m_failureDomain = notice.m_failureDomain;
        view.m_rack = notice.m_rack;
        view.m_labels.insert(notice.m_labels.begin(), notice.m_labels.end());
        view.m_capacity = {notice.m_cpuMillis, notice.m_memoryMb, notice.m_accelerators};
        view.m_fullCapacity = {notice.m_fullCpuMillis, notice.m_fullMemoryMb,
                               notice.m_fullAccelerators};
    }
}

void JobController::updateSnapshot(WorkerSnapshot& view, const WorkerPool::Host& host) const {
    const WorkerNotice& notice = *host.m_notice;
    const std::string& address = view.m_id.m_host;
    const bool isEvacuatedByStatement =
            isLeaving(notice.m_incarnation) || getAdminState(address) == WorkerAdminState::DRAIN;
    view.m_leavesIn.reset();
    if (notice.m_isDraining) {
        const Millis passed = m_loop.now() - host.m_noticeAt;
        view.m_leavesIn = std::max(Millis(notice.m_remainingMs) - passed, Millis(0));
    } else if (isEvacuatedByStatement) {
        view.m_leavesIn = Millis(0);
    }
    view.m_isEvacuated = isEvacuated(view.m_failureDomain);
    view.m_acceptsWork =
            !view.m_isEvacuated && host.isLinked() && host.m_hasReport && !notice.m_hasExited &&
            !host.m_isWorkerUnresponsive && !view.m_leavesIn.has_value() &&
            getAdminState(address) == WorkerAdminState::RELEASE && !isAvoided(address) &&
            !isStalled(address) && !m_capacityRefusals.isPaused(address, m_loop.now());
    const auto coldUntil = getColdUntil(address);
    const bool isCold = coldUntil.has_value() && m_loop.now() < *coldUntil;
    view.m_slowness =
            m_settings.m_learnsSpeeds ? m_speeds.getSlowness(view.m_id.m_incarnation) : 1.0;
    view.m_slowness *= m_settings.m_learnsSpeeds && isCold ? m_settings.m_coldSlowness : 1.0;
    view.m_isSuspect = m_settings.m_scoresHosts && m_health.isSuspect(address, m_loop.now());
}

/** Empty for a worker that was not cold when it told of itself. */
std::optional<Millis> JobController::getColdUntil(const std::string& host) const {
    const WorkerPool::Host* const known = m_workers.findHost(host);
    if (known == nullptr || !known->m_notice.has_value() || known->m_notice->m_coldLeftMs == 0) {
        return std::nullopt;
    }
    return known->m_noticeAt + Millis(known->m_notice->m_coldLeftMs);
}

/** Whether a run was there while its worker was cold: it says nothing of the warm one's speed. */
bool JobController::wasCold(const std::string& host, const TaskKey& task, std::uint32_t run) const {
    const auto coldUntil = getColdUntil(host);
    const auto found = m_jobs.find(task.m_job);
    if (!coldUntil.has_value() || found == m_jobs.end()) {
        return false;
    }
    const auto held = found->second.m_run.findActiveRun(task, run);
    return held.has_value() && m_loop.now() - (m_loop.wallNow() - held->m_placedAt) < *coldUntil;
}

/** @param advised holds what the result points to. */
std::vector<PlannedJob> JobController::listJobs(std::vector<AdvisedWorkers>& advised) const {
    std::vector<PlannedJob> jobs;
    advised.reserve(m_jobs.size());
    for (const auto& [id, entry] : m_jobs) {
        if (!entry.m_hasInput) {
            continue;
        }
        PlannedJob job{&entry.m_record, &entry.m_run, nullptr};
        if (entry.m_record.m_policy.m_advice.has_value()) {
            advised.push_back(m_advice.getAdvised(id));
            job.m_advised = &advised.back();
        }
        jobs.push_back(job);
    }
    return jobs;
}

namespace {

const std::map<std::string, std::uint32_t>& getGuarantees(const ConfigurationFeed& feed) {
    static const std::map<std::string, std::uint32_t> NONE;
    return feed.get() == nullptr ? NONE : feed.get()->m_guarantees;
}

}  // namespace

TaskPlanner JobController::makePlanner() const {
    TaskPlannerSettings settings = m_settings.m_planner;
    settings.m_fragmentationWeight = m_weight;
    for (const std::string& service : m_demand.listServices()) {
        if (m_settings.m_reservesHeadroom) {
            settings.m_urgentHeadroom[service] = m_demand.getHeadroom(service, m_loop.wallNow());
        }
    }
    return TaskPlanner(settings);
}

namespace {

/** How long runs go on by the progress that their workers report. */
class ProgressForecast final : public RunForecast {
public:
    ProgressForecast(const ProgressTracker& progress, Millis now)
            : m_progress(progress), m_now(now) {}

    std::optional<Millis> getRemaining(std::string_view host, const TaskRef& task) const override {
        return m_progress.getRemaining(host, task, m_now);
    }

private:
    const ProgressTracker& m_progress;
    const Millis m_now;
};

}  // namespace

/**
 * A new leader links the workers with work first. As long as it knows of these alone, it would stop
 * their work for urgent work although others stand idle.
 */
bool JobController::mayPreempt() const {
    return !m_workers.isOpeningInitialLinks() ||
           m_loop.now() - m_loadedAt > m_settings.m_initialLinkTimeout;
}

TaskPlan JobController::makePlan(const std::vector<PlannedJob>& jobs, bool withExplanations) const {
    const ProgressForecast forecast(m_progress, m_loop.now());
    return makePlanner().plan({getWorkerSnapshots(), jobs, forecast, getGuarantees(m_configuration),
                               m_loop.wallNow(), withExplanations, mayPreempt()});
}

TaskPlan JobController::tryPlan(const JobRecord& record) const {
    std::vector<AdvisedWorkers> advised;
    std::vector<PlannedJob> jobs = listJobs(advised);
    const JobRun run = makeJobRun(record);
    jobs.push_back({&record, &run, nullptr});
    return makePlan(jobs, true);
}

/** For all steps that are not done, so that tickets are there before room is. */
void JobController::requestTickets() {
    const bool isWished = std::any_of(m_jobs.begin(), m_jobs.end(), [](const auto& job) {
        return job.second.m_record.m_policy.m_advice.has_value();
    });
    if (!isWished) {
        m_advice.setRequests({});
        return;
    }
    std::vector<TicketRequest> wishes;
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
                TicketRequest wish{
                        {id, occurrence.m_number, step}, policy.m_priority, *policy.m_advice, {}};
                const StepSpec& spec = entry.m_record.m_spec.m_steps[step];
                for (const WorkerSnapshot& worker : workers) {
                    const bool hasLabel = spec.m_requiredLabel.empty() ||
                                          worker.m_labels.count(spec.m_requiredLabel) != 0;
                    if (worker.m_acceptsWork && worker.m_service == policy.m_service && hasLabel) {
                        wish.m_incarnations.push_back(worker.m_id.m_incarnation);
                    }
                }
                wishes.push_back(std::move(wish));
            }
        }
    }
    m_advice.setRequests(wishes);
}

}  // namespace pierbank
