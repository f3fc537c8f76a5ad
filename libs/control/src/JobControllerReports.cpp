// SPDX-License-Identifier: Apache-2.0
// Handles the sidecars' reports.
#include <algorithm>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/JobController.h"

namespace pierbank {

void JobController::handleWorkerChanged(const std::string& host) {
    m_areSnapshotsStale = true;
    m_capacityRefusals.forget(host);
    m_workerRefusals.forget(host);
    const WorkerPool::Host* const poolHost = m_workers.findHost(host);
    if (poolHost == nullptr || !poolHost->isLinked()) {
        m_progress.forgetHost(host);
        m_handover.handleUnlinked(host);
    }
    if (poolHost != nullptr && poolHost->isLinked() && poolHost->m_notice.has_value() &&
        !poolHost->m_notice->m_incarnation.empty()) {
        const WorkerNotice notice = *poolHost->m_notice;
        // Crashes are classified before their runs are released, so that the next plan considers
        // the result.
        classifyCrashes(host, notice);
        if (notice.m_hasExited) {
            releaseLostRuns(host, "", LossCause::WORKER_LEFT);
        } else if (poolHost->m_hasReport && getReportedIncarnation(host) == notice.m_incarnation) {
            // The lost runs are not released before the new incarnation has reported its runs: that
            // incarnation may have carried out an order to the previous incarnation, and a run that
            // is placed again would then run twice.
            releaseLostRuns(host, notice.m_incarnation, LossCause::OTHER_INCARNATION);
        }
        resolveLosses(host, notice);
        if (poolHost->m_hasReport) {
            resendOrders(host);
            m_handover.recordLearned(host);
        }
    }
    invalidatePlan();
}

/** @return the incarnation in the host's last report; empty before the first report. */
std::string_view JobController::getReportedIncarnation(const std::string& host) const {
    const auto report = m_reports.find(host);
    return report == m_reports.end() ? std::string_view() : report->second.m_report.m_incarnation;
}

void JobController::handleKeptRecord(const std::string& host, const KeptRecord& kept) {
    if (m_handover.handleKeptRecord(host, kept)) {
        invalidatePlan();
    }
}

void JobController::handleRunReport(const std::string& host, const RunReport& report) {
    const WorkerId worker{host, report.m_incarnation};
    const bool isOtherIncarnation = getReportedIncarnation(host) != report.m_incarnation;
    bool hasNewEnds = false;
    for (const EndedEntry& end : report.m_ended) {
        if (m_persistedEnds.recordReported(worker, end.m_number)) {
            applyRunEnd(worker, end);
            hasNewEnds = true;
        }
    }
    m_reports[host] = {report, m_loop.now()};
    discardUnresolvedLossesOn(host, report.m_incarnation);
    recordProgress(host, report);
    recordActiveRuns(worker, report);
    stopOrphanedRuns(worker, report);
    sendEndsPersisted(worker);
    if (isOtherIncarnation) {
        handleWorkerChanged(host);
    }
    // A report with progress only needs no new plan: the next regular plan considers it.
    if (hasNewEnds) {
        m_capacityRefusals.forget(host);
        invalidatePlan();
    }
}

/**
 * Stops the reported runs that belong to no active run of a job. Whatever their origin, such runs
 * occupy capacity, and their task may run twice.
 */
void JobController::stopOrphanedRuns(const WorkerId& worker, const RunReport& report) {
    for (const RunningEntry& running : report.m_running) {
        const auto key = TaskKey::parse(running.m_task);
        const auto found = key.has_value() ? m_jobs.find(key->m_job) : m_jobs.end();
        if (found != m_jobs.end() && findOrRebindRun(found->second, *key, running.m_run, worker)) {
            continue;
        }
        const bool isTracked =
                found != m_jobs.end() && found->second.m_hasInput &&
                trackOrphanedRun(found->second.m_record, found->second.m_run,
                                 {*key, running.m_run, worker, m_loop.wallNow(), true, false});
        if (isTracked) {
            found->second.m_isDirty = true;
        }
        logEvent(Severity::WARNING, "jobs", "stray-run",
                 {{"task", running.m_task},
                  {"run", std::to_string(running.m_run)},
                  {"host", worker.m_host},
                  {"held", isTracked ? "yes" : "no"}});
        m_workers.send(worker.m_host,
                       RunStop{m_epoch, worker.m_incarnation, running.m_task, running.m_run});
    }
}

/**
 * Returns the active run with this number if it occupies this worker. If the run is recorded for a
 * previous incarnation of the worker, the present incarnation started that same run on a late call,
 * and the run is rebound to the present incarnation.
 */
std::optional<ActiveRun> JobController::findOrRebindRun(JobEntry& entry, const TaskKey& key,
                                                        std::uint32_t run, const WorkerId& worker) {
    auto activeRun = entry.m_run.findActiveRun(key, run);
    if (!activeRun.has_value() || activeRun->m_worker.m_host != worker.m_host) {
        return std::nullopt;
    }
    if (activeRun->m_worker != worker) {
        logEvent(Severity::WARNING, "jobs", "run-adopted",
                 {{"task", key.toText()},
                  {"run", std::to_string(run)},
                  {"host", worker.m_host},
                  {"life", worker.m_incarnation},
                  {"former", activeRun->m_worker.m_incarnation}});
        rebindRun(entry.m_run, *activeRun, worker);
        entry.m_isDirty = true;
        activeRun->m_worker = worker;
    }
    return activeRun;
}

/**
 * Applies a reported end of a run to its job. An end that changes nothing counts as persisted. The
 * end of a run whose job can't be read never does, so that it is reported to a leader that can read
 * the job.
 */
void JobController::applyRunEnd(const WorkerId& worker, const EndedEntry& end) {
    const auto key = TaskKey::parse(end.m_task);
    const auto found = key.has_value() ? m_jobs.find(key->m_job) : m_jobs.end();
    if (found == m_jobs.end()) {
        if (!key.has_value() || m_unreadableJobs.count(key->m_job) == 0) {
            m_persistedEnds.markPersisted(worker, end.m_number);
        }
        return;
    }
    JobEntry& entry = found->second;
    confirmStart(entry);
    const auto endKind =
            static_cast<RunEnd>(std::min(end.m_end, static_cast<std::uint32_t>(lastOf(RunEnd()))));
    const auto activeRun = findOrRebindRun(entry, *key, end.m_run, worker);
    const bool isActive = activeRun.has_value();
    const auto work =
            isActive ? std::optional(accountForRun(entry, *activeRun, endKind, end.m_checkpoint))
                     : std::nullopt;
    if (isActive) {
        m_learned.health().recordRunEnd(
                makeRunEvidence(entry.m_record, entry.m_run, *activeRun, endKind, m_loop.wallNow()),
                m_loop.now());
        m_handover.recordLearned(worker.m_host);
    }
    const EndEffect effect =
            isActive ? applyEnd(entry.m_record, entry.m_run, *key, end.m_run, endKind,
                                end.m_checkpoint, m_loop.wallNow())
                     : applyLateEnd(entry.m_record, entry.m_run, {*key, end.m_run, worker}, endKind,
                                    m_loop.wallNow());
    logRunEnd(worker, end, entry, work, effect);
    m_statistics.m_failedRuns += effect.m_isCounted ? 1 : 0;
    m_statistics.m_endsWithoutEffect += effect.m_isApplied ? 0 : 1;
    if (effect.m_isApplied) {
        entry.m_endsToPersist.emplace_back(worker, end.m_number);
        applyEffect(entry, effect);
        applyEffect(entry, failIfProvenFaulty(entry.m_run, *key, m_loop.wallNow()));
    } else if (entry.m_isDirty || entry.m_isCommitting) {
        // The end is obsolete due to a change that is not committed yet, such as the end of another
        // member of the gang. It counts as persisted only after that commit.
        entry.m_endsToPersist.emplace_back(worker, end.m_number);
        entry.m_isDirty = true;
    } else {
        m_persistedEnds.markPersisted(worker, end.m_number);
    }
}

/**
 * Records that a worker has begun a task of the job. Only after a retraction does the store have to
 * be told.
 */
void JobController::confirmStart(JobEntry& entry) {
    if (std::exchange(entry.m_isStartConfirmed, true) || !pierbank::confirmStart(entry.m_run)) {
        return;
    }
    logEvent(Severity::INFO, "jobs", "start-confirmed", {{"job", entry.m_record.m_id}});
    entry.m_isDirty = true;
    scheduleStep();
}

/**
 * Records that a placed run of the job was released although no worker reported it. The job counts
 * as pending unless a worker has reported another run of it.
 */
void JobController::retractStart(JobEntry& entry, std::string_view reason) {
    if (entry.m_isStartConfirmed || !pierbank::retractStart(entry.m_run)) {
        return;
    }
    ++m_statistics.m_retractedStarts;
    logEvent(Severity::INFO, "jobs", "start-retracted",
             {{"job", entry.m_record.m_id}, {"reason", std::string(reason)}});
}

/** Queues the stops that follow from the end of a run, and logs the end of its job. */
void JobController::applyEffect(JobEntry& entry, const EndEffect& effect) {
    if (!effect.m_isApplied) {
        return;
    }
    entry.m_isDirty = true;
    recordConsequentStops(entry, effect.m_toStop);
    queueStops(entry, effect.m_toStop);
    if (effect.m_endsJob) {
        logEvent(Severity::INFO, "jobs", "over",
                 {{"job", entry.m_record.m_id},
                  {"phase", std::string(toText(entry.m_run.m_phase))},
                  {"why", entry.m_run.m_explanation}});
    }
}

/**
 * Returns whether the sidecar of a host may take a run that has ended for one that never started.
 * Sidecars of earlier versions do while their worker has more ends than it lists at once.
 */
bool JobController::mayReportFalseAbsence(const std::string& host) const {
    const auto report = m_reports.find(host);
    return report != m_reports.end() &&
           report->second.m_report.m_coverage == ReportCoverage::UNSTATED;
}

/**
 * Releases a run that its worker does not execute and will not start; the message states the
 * reason. If the message may be wrong, the run stays active, and its order is sent again once a
 * report lists all runs.
 */
void JobController::handleRunAbsent(const std::string& host, const RunAbsent& absent) {
    const auto key = TaskKey::parse(absent.m_task);
    const auto found = key.has_value() ? m_jobs.find(key->m_job) : m_jobs.end();
    if (found == m_jobs.end()) {
        return;
    }
    JobEntry& entry = found->second;
    const auto activeRun = entry.m_run.findActiveRun(*key, absent.m_run);
    const WorkerPool::Host* const poolHost = m_workers.findHost(host);
    // Until the worker has sent a report, another incarnation of the worker may execute the run.
    const bool isReported = poolHost != nullptr && poolHost->m_hasReport;
    if (!isReported || !activeRun.has_value() ||
        activeRun->m_worker != WorkerId{host, absent.m_incarnation}) {
        return;
    }
    logEvent(Severity::INFO, "jobs", "run-absent",
             {{"task", absent.m_task},
              {"run", std::to_string(absent.m_run)},
              {"host", host},
              {"reason", absent.m_reason},
              {"believed", mayReportFalseAbsence(host) ? "no" : "yes"}});
    if (mayReportFalseAbsence(host)) {
        return;
    }
    recordRefusal(host, absent.m_reason);
    if (absent.m_reason == absence::NO_TICKET) {
        m_ticketCache.dropTicket({key->m_job, key->m_occurrence, key->m_step},
                                 absent.m_incarnation);
    }
    entry.m_stopCauses.erase({*key, absent.m_run});
    applyEffect(entry,
                applyNotRunning(entry.m_record, entry.m_run, *key, absent.m_run, m_loop.wallNow()));
    retractStart(entry, absent.m_reason);
    applyEffect(entry, failIfProvenFaulty(entry.m_run, *key, m_loop.wallNow()));
    invalidatePlan();
}

/** Pauses placements on a host whose worker keeps refusing starts. */
void JobController::recordRefusal(const std::string& host, std::string_view reason) {
    Millis pause{0};
    if (reason == absence::NO_CAPACITY) {
        pause = m_capacityRefusals.recordRefusal(host, m_loop.now());
    } else if (isWorkerRefusal(reason)) {
        ++m_statistics.m_refusedStarts;
        pause = m_workerRefusals.recordRefusal(host, m_loop.now());
    }
    if (pause > Millis(0)) {
        logEvent(Severity::WARNING, "jobs", "host-paused",
                 {{"host", host},
                  {"reason", std::string(reason)},
                  {"pause_ms", std::to_string(pause.count())}});
    }
}

/**
 * Sends the orders and stops for a host's runs again, for example after a new link, since some may
 * not have arrived.
 */
void JobController::resendOrders(const std::string& host) {
    const auto report = m_reports.find(host);
    if (report == m_reports.end()) {
        return;
    }
    for (auto& [id, entry] : m_jobs) {
        for (const ActiveRun& run : listActiveRunsOn(host, id, entry.m_run)) {
            resendOrderOrStop(entry, run, report->second.m_report);
        }
    }
}

/**
 * Sends orders and stops again that recent reports do not reflect. An intact link normally loses
 * nothing, but the failure of an order on its way is not reported. The sidecar recognises a
 * repeated order.
 */
void JobController::resendLostOrders() {
    if (m_loop.now() - m_ordersCheckedAt < m_settings.m_orderReportTimeout) {
        return;
    }
    m_ordersCheckedAt = m_loop.now();
    for (auto& [id, entry] : m_jobs) {
        for (const ActiveRun& run : listActiveRuns(id, entry.m_run)) {
            const auto report = m_reports.find(run.m_worker.m_host);
            const WorkerPool::Host* const host = m_workers.findHost(run.m_worker.m_host);
            const Millis age = m_loop.wallNow() - run.m_placedAt;
            const bool hasRecentReport =
                    report != m_reports.end() && host != nullptr && host->m_hasReport &&
                    report->second.m_report.m_incarnation == run.m_worker.m_incarnation &&
                    m_loop.now() - report->second.m_at < m_settings.m_orderReportTimeout;
            if (hasRecentReport &&
                (run.m_isStopping || age > 2 * m_settings.m_orderReportTimeout)) {
                resendOrderOrStop(entry, run, report->second.m_report);
            }
        }
    }
}

/** Returns whether a host's report lists a run, as running or as ended. */
bool JobController::isInReport(const ActiveRun& run, const RunReport& report) {
    const std::string name = run.m_task.toText();
    const auto isSameRun = [&](const auto& entry) {
        return entry.m_task == name && entry.m_run == run.m_run;
    };
    return std::any_of(report.m_running.begin(), report.m_running.end(), isSameRun) ||
           std::any_of(report.m_ended.begin(), report.m_ended.end(), isSameRun);
}

/** Returns whether a report proves that a run is not on its host. */
bool JobController::isAbsentFrom(const ActiveRun& run, const RunReport& report) {
    return report.m_coverage == ReportCoverage::ALL_RUNS && !isInReport(run, report);
}

/**
 * Sends a run's order or stop again, or revokes the run if the report does not list it and its
 * failure domain is under evacuation. The order of a listed run is sent again only if the sidecar
 * needs its parameters to throttle tasks. The order of a run that may have ended unlisted waits for
 * a report that lists all runs. Its stop does not wait: it changes nothing for a run that has
 * ended.
 */
void JobController::resendOrderOrStop(JobEntry& entry, const ActiveRun& run,
                                      const RunReport& report) {
    const std::string name = run.m_task.toText();
    if (!entry.m_hasInput || entry.hasPendingMessage(name, run.m_run)) {
        // The pending order or stop is sent after the commit.
        return;
    }
    if (run.m_isStopping) {
        m_workers.send(run.m_worker.m_host,
                       RunStop{m_epoch, run.m_worker.m_incarnation, name, run.m_run});
        return;
    }
    const StepSpec& step = entry.m_record.m_spec.m_steps[run.m_task.m_step];
    const bool isThrottleRelevant = step.m_isFilling || step.m_latencyTarget > Millis(0);
    const bool isListed = isInReport(run, report);
    if (!isListed && isHostEvacuated(run.m_worker.m_host)) {
        revoke(entry, run);
    } else if (isListed ? isThrottleRelevant
                        : isAbsentFrom(run, report) && m_evacuations.isUpToDate()) {
        m_workers.send(run.m_worker.m_host, makeOrder(entry, run));
    }
}

}  // namespace pierbank
