// SPDX-License-Identifier: Apache-2.0
// What a JobController learns from the sidecars.
#include <algorithm>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/JobController.h"

namespace pierbank {

void JobController::handleWorkerChanged(const std::string& host) {
    m_areSnapshotsStale = true;
    m_capacityRefusals.forget(host);
    const WorkerPool::Host* const known = m_workers.findHost(host);
    if (known == nullptr || !known->isLinked()) {
        m_progress.forgetHost(host);
    }
    if (known != nullptr && known->isLinked() && known->m_notice.has_value() &&
        !known->m_notice->m_incarnation.empty()) {
        const WorkerNotice notice = *known->m_notice;
        // A crash is judged before its runs are released: the next plan has to know of it.
        classifyCrashes(host, notice);
        if (notice.m_hasExited) {
            loseRuns(host, "", LossCause::WORKER_LEFT);
        } else if (known->m_hasReport && getReportedIncarnation(host) == notice.m_incarnation) {
            // Not before the new life has told what runs there: it may have done what its former
            // process was called for, and placed anew that would run twice at once.
            loseRuns(host, notice.m_incarnation, LossCause::OTHER_INCARNATION);
        }
        settleOpenLosses(host, notice);
        if (known->m_hasReport) {
            resendOrders(host);
        }
    }
    stepSoon();
}

/** @return empty before the first report. */
std::string_view JobController::getReportedIncarnation(const std::string& host) const {
    const auto report = m_reports.find(host);
    return report == m_reports.end() ? std::string_view() : report->second.m_report.m_incarnation;
}

void JobController::handleRunReport(const std::string& host, const RunReport& report) {
    const WorkerId worker{host, report.m_incarnation};
    const bool isOtherLife = getReportedIncarnation(host) != report.m_incarnation;
    bool isNews = false;
    for (const EndedEntry& end : report.m_ended) {
        if (m_ledger.recordReported(worker, end.m_number)) {
            applyRunEnd(worker, end);
            isNews = true;
        }
    }
    m_reports[host] = {report, m_loop.now()};
    acquit(host, report.m_incarnation);
    noteProgress(host, report);
    stopOrphanedRuns(worker, report);
    sendEndsPersisted(worker);
    if (isOtherLife) {
        handleWorkerChanged(host);
    }
    // What runs only goes on: the next plan that is due sees how far.
    if (isNews) {
        m_capacityRefusals.forget(host);
        stepSoon();
    }
}

/** What runs without being held by a job, whatever it comes from, takes room and may run twice. */
void JobController::stopOrphanedRuns(const WorkerId& worker, const RunReport& report) {
    for (const RunningEntry& running : report.m_running) {
        const auto key = TaskKey::parse(running.m_task);
        const auto found = key.has_value() ? m_jobs.find(key->m_job) : m_jobs.end();
        if (found != m_jobs.end() && findRunAt(found->second, *key, running.m_run, worker)) {
            continue;
        }
        const bool isHeld =
                found != m_jobs.end() && found->second.m_hasInput &&
                trackOrphanedRun(found->second.m_record, found->second.m_run,
                                 {*key, running.m_run, worker, m_loop.wallNow(), true, false});
        if (isHeld) {
            found->second.m_isDirty = true;
        }
        logEvent(Severity::WARNING, "jobs", "stray-run",
                 {{"task", running.m_task},
                  {"run", std::to_string(running.m_run)},
                  {"host", worker.m_host},
                  {"held", isHeld ? "yes" : "no"}});
        m_workers.send(worker.m_host,
                       RunStop{m_epoch, worker.m_incarnation, running.m_task, running.m_run});
    }
}

/**
 * The run with this number, if it holds this worker. One that holds a former life of the worker was
 * begun by the present one, on a call that came late: it is the same run, and goes on there.
 */
std::optional<ActiveRun> JobController::findRunAt(JobEntry& entry, const TaskKey& key,
                                                  std::uint32_t run, const WorkerId& worker) {
    auto held = entry.m_run.findActiveRun(key, run);
    if (!held.has_value() || held->m_worker.m_host != worker.m_host) {
        return std::nullopt;
    }
    if (held->m_worker != worker) {
        logEvent(Severity::WARNING, "jobs", "run-adopted",
                 {{"task", key.toText()},
                  {"run", std::to_string(run)},
                  {"host", worker.m_host},
                  {"life", worker.m_incarnation},
                  {"former", held->m_worker.m_incarnation}});
        rebindRun(entry.m_run, *held, worker);
        entry.m_isDirty = true;
        held->m_worker = worker;
    }
    return held;
}

void JobController::noteProgress(const std::string& host, const RunReport& report) {
    std::vector<ProgressReport> runs;
    for (const RunningEntry& entry : report.m_running) {
        const auto key = TaskKey::parse(entry.m_task);
        const auto found = key.has_value() ? m_jobs.find(key->m_job) : m_jobs.end();
        if (found == m_jobs.end() || !found->second.m_hasInput) {
            continue;
        }
        refuteLosses(found->second, *key, entry.m_run);
        const auto& steps = found->second.m_record.m_spec.m_steps;
        const bool isLasting = key->m_step >= steps.size() || steps[key->m_step].m_isLasting;
        if (!isLasting) {
            const bool isHalfThere = entry.m_percent == 0 && steps[key->m_step].m_isGang &&
                                     !isGangThere(found->second, *key, entry.m_run);
            const bool mayWait = isHalfThere || hasStoodOnSeveralHosts(found->second, *key);
            runs.push_back(
                    {*key, entry.m_run, entry.m_percent, mayWait, steps[key->m_step].m_estimate});
        }
    }
    const bool wasStalled = isStalled(host);
    for (const ProgressRate& rate : m_progress.recordReport(host, runs, m_loop.now())) {
        const auto reported = std::find_if(runs.begin(), runs.end(), [&](const auto& one) {
            return one.m_task == rate.m_task;
        });
        if (reported != runs.end() && wasCold(host, rate.m_task, reported->m_run)) {
            continue;
        }
        TaskKey step = rate.m_task;
        step.m_index = 0;
        m_speeds.recordSample({report.m_incarnation, step.toText(), rate.m_rate}, m_loop.now());
    }
    const auto stalledAt = m_health.getStalledAt(host);
    if (stalledAt.has_value() && m_progress.hasAdvancedSince(host, *stalledAt)) {
        m_health.recordAdvanced(host, m_loop.now());
        stepSoon();
    }
    if (!wasStalled && isStalled(host)) {
        stepSoon();
    }
}

/**
 * A run that stands still, or fails, wherever it is put takes longer than declared or is itself to
 * blame: it is not moved without end, and says nothing of its host. The record does not tell the
 * two apart.
 */
bool JobController::hasStoodOnSeveralHosts(const JobEntry& entry, const TaskKey& task) {
    constexpr std::size_t SEVERAL = 2;
    const TaskRun* const run = entry.m_run.findTask(task);
    return run != nullptr && run->m_failedHosts.count() >= SEVERAL;
}

/** Whether the workers of all members of a gang's run say that they run it. */
bool JobController::isGangThere(const JobEntry& entry, const TaskKey& member,
                                std::uint32_t run) const {
    const OccurrenceRun* const occurrence = entry.m_run.findOccurrence(member.m_occurrence);
    if (occurrence == nullptr) {
        return false;
    }
    TaskKey key = member;
    const auto& tasks = occurrence->m_steps[member.m_step].m_tasks;
    return std::all_of(tasks.begin(), tasks.end(), [&](const TaskRun& task) {
        key.m_index = static_cast<std::uint32_t>(&task - tasks.data());
        const auto report = m_reports.find(task.m_worker.m_host);
        if (task.m_run != run || report == m_reports.end()) {
            return false;
        }
        const auto& running = report->second.m_report.m_running;
        const std::string name = key.toText();
        return std::any_of(running.begin(), running.end(), [&](const RunningEntry& listed) {
            return listed.m_run == run && listed.m_task == name;
        });
    });
}

void JobController::applyRunEnd(const WorkerId& worker, const EndedEntry& end) {
    const auto key = TaskKey::parse(end.m_task);
    const auto found = key.has_value() ? m_jobs.find(key->m_job) : m_jobs.end();
    if (found == m_jobs.end()) {
        m_ledger.markPersisted(worker, end.m_number);
        return;
    }
    JobEntry& entry = found->second;
    const auto how =
            static_cast<RunEnd>(std::min(end.m_end, static_cast<std::uint32_t>(lastOf(RunEnd()))));
    const auto held = findRunAt(entry, *key, end.m_run, worker);
    const bool isHere = held.has_value();
    const EndEffect effect =
            isHere ? applyEnd(entry.m_record, entry.m_run, *key, end.m_run, how, end.m_checkpoint,
                              m_loop.wallNow())
                   : applyLateEnd(entry.m_record, entry.m_run, {*key, end.m_run, worker}, how,
                                  m_loop.wallNow());
    logEvent(Severity::INFO, "jobs", "run-ended",
             {{"task", end.m_task},
              {"run", std::to_string(end.m_run)},
              {"host", worker.m_host},
              {"number", std::to_string(end.m_number)},
              {"how", std::string(toText(how))},
              {"ran_ms",
               isHere ? std::to_string((m_loop.wallNow() - held->m_placedAt).count()) : "-"},
              {"cores", std::to_string(getWeight(entry.m_record, *key))},
              {"current", effect.m_isCurrent ? "yes" : "no"}});
    if (isHere) {
        const Millis ran = m_loop.wallNow() - held->m_placedAt;
        m_health.recordRunEnd({worker.m_host, key->m_job, how, ran}, m_loop.now());
    }
    if (effect.m_isCurrent) {
        entry.m_ends.emplace_back(worker, end.m_number);
        takeEffect(entry, effect);
        takeEffect(entry, failIfProvenFaulty(entry.m_run, *key, m_loop.wallNow()));
    } else if (entry.m_isDirty || entry.m_isCommitting) {
        // A gang's other members: what makes this end old is not committed yet.
        entry.m_ends.emplace_back(worker, end.m_number);
        entry.m_isDirty = true;
    } else {
        m_ledger.markPersisted(worker, end.m_number);
    }
}

void JobController::takeEffect(JobEntry& entry, const EndEffect& effect) {
    if (!effect.m_isCurrent) {
        return;
    }
    entry.m_isDirty = true;
    stopRuns(entry, effect.m_toStop);
    if (effect.m_endsJob) {
        logEvent(Severity::INFO, "jobs", "over",
                 {{"job", entry.m_record.m_id},
                  {"phase", std::string(toText(entry.m_run.m_phase))},
                  {"why", entry.m_run.m_explanation}});
    }
}

void JobController::handleRunAbsent(const std::string& host, const RunAbsent& absent) {
    const auto key = TaskKey::parse(absent.m_task);
    const auto found = key.has_value() ? m_jobs.find(key->m_job) : m_jobs.end();
    if (found == m_jobs.end()) {
        return;
    }
    JobEntry& entry = found->second;
    const auto held = entry.m_run.findActiveRun(*key, absent.m_run);
    const WorkerPool::Host* const known = m_workers.findHost(host);
    // Before the worker's report it is not known whether another life of it runs the run.
    const bool isReported = known != nullptr && known->m_hasReport;
    if (!isReported || !held.has_value() ||
        held->m_worker != WorkerId{host, absent.m_incarnation}) {
        return;
    }
    logEvent(Severity::INFO, "jobs", "run-absent",
             {{"task", absent.m_task},
              {"run", std::to_string(absent.m_run)},
              {"host", host},
              {"reason", absent.m_reason}});
    if (absent.m_reason == "room") {
        m_capacityRefusals.recordRefusal(host, m_loop.now());
    }
    if (absent.m_reason == "ticket") {
        m_advice.dropTicket({key->m_job, key->m_occurrence, key->m_step}, absent.m_incarnation);
    }
    takeEffect(entry,
               applyNotRunning(entry.m_record, entry.m_run, *key, absent.m_run, m_loop.wallNow()));
    takeEffect(entry, failIfProvenFaulty(entry.m_run, *key, m_loop.wallNow()));
    stepSoon();
}

/** After a new link: what was ordered may not have arrived. */
void JobController::resendOrders(const std::string& host) {
    const auto report = m_reports.find(host);
    if (report == m_reports.end()) {
        return;
    }
    for (auto& [id, entry] : m_jobs) {
        for (const ActiveRun& run : listActiveRunsOn(host, id, entry.m_run)) {
            resendRun(entry, run, report->second.m_report);
        }
    }
}

/**
 * A link that lives loses nothing as a rule; but what an order met on its way, nobody tells. One
 * that a later report does not show is sent again: the sidecar takes it for the same.
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
            const bool isTold =
                    report != m_reports.end() && host != nullptr && host->m_hasReport &&
                    report->second.m_report.m_incarnation == run.m_worker.m_incarnation &&
                    m_loop.now() - report->second.m_at < m_settings.m_orderReportTimeout;
            if (isTold && (run.m_isStopping || age > 2 * m_settings.m_orderReportTimeout)) {
                resendRun(entry, run, report->second.m_report);
            }
        }
    }
}

/** Whether a host's report lists a run, as one that runs or that has ended. */
bool JobController::isShown(const ActiveRun& run, const RunReport& report) {
    const std::string name = run.m_task.toText();
    const auto isIt = [&](const auto& entry) {
        return entry.m_task == name && entry.m_run == run.m_run;
    };
    return std::any_of(report.m_running.begin(), report.m_running.end(), isIt) ||
           std::any_of(report.m_ended.begin(), report.m_ended.end(), isIt);
}

void JobController::resendRun(JobEntry& entry, const ActiveRun& run, const RunReport& report) {
    const std::string name = run.m_task.toText();
    if (!entry.m_hasInput || entry.hasPendingMessage(name, run.m_run)) {
        // Goes out when it is committed.
        return;
    }
    if (run.m_isStopping) {
        m_workers.send(run.m_worker.m_host,
                       RunStop{m_epoch, run.m_worker.m_incarnation, name, run.m_run});
        return;
    }
    const StepSpec& step = entry.m_record.m_spec.m_steps[run.m_task.m_step];
    const bool isOfKind = step.m_isFilling || step.m_latencyTarget > Millis(0);
    const bool isHere = isShown(run, report);
    if (!isHere && isHostEvacuated(run.m_worker.m_host)) {
        revoke(entry, run);
    } else if (isHere ? isOfKind : m_evacuations.isCertain()) {
        m_workers.send(run.m_worker.m_host, makeOrder(entry, run));
    }
}

}  // namespace pierbank
