// SPDX-License-Identifier: Apache-2.0
// Handles runs that are lost with their workers.
#include <algorithm>
#include <cmath>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/JobController.h"

namespace pierbank {

std::string_view toText(LossCause cause) {
    switch (cause) {
        case LossCause::LEASE_LAPSED:
            return "the lease of the worker has lapsed";
        case LossCause::OTHER_INCARNATION:
            return "the worker has another life";
        case LossCause::WORKER_LEFT:
            break;
    }
    return "the worker has left";
}

template <typename Function>
void JobController::forEachUnresolvedLoss(Function function) {
    for (auto& [id, entry] : m_jobs) {
        if (entry.m_run.isFinished()) {
            continue;
        }
        forEachTask(id, entry.m_run, [&, &entry = entry](const TaskKey& key, TaskRun& task) {
            // A copy, since the function may remove losses from the list.
            const std::vector<RunLoss> losses(task.m_losses.list().begin(),
                                              task.m_losses.list().end());
            for (const RunLoss& loss : losses) {
                if (loss.m_category == LossCategory::UNRESOLVED) {
                    function(entry, key, loss);
                }
            }
        });
    }
}

void JobController::handleHostLost(const std::string& host) {
    releaseLostRuns(host, "", LossCause::LEASE_LAPSED);
    invalidatePlan();
}

namespace {

/** @return the crash of an incarnation as reported in the notice; null if there is none. */
const WorkerCrash* findCrash(const WorkerNotice& notice, const std::string& incarnation) {
    const auto found = std::find_if(
            notice.m_crashes.begin(), notice.m_crashes.end(),
            [&](const WorkerCrash& crash) { return crash.m_incarnation == incarnation; });
    return found == notice.m_crashes.end() ? nullptr : &*found;
}

}  // namespace

/**
 * Releases the runs of the host's worker that belong to other incarnations than
 * `exceptIncarnation`, all runs if that is empty. Each loss is recorded in the job: without a
 * record, a task that crashes its workers is started again and again, every few seconds.
 */
void JobController::releaseLostRuns(const std::string& host, const std::string& exceptIncarnation,
                                    LossCause cause) {
    for (auto& [id, entry] : m_jobs) {
        for (const ActiveRun& run : listActiveRunsOn(host, id, entry.m_run)) {
            if (!exceptIncarnation.empty() && run.m_worker.m_incarnation == exceptIncarnation) {
                continue;
            }
            ++m_statistics.m_lost;
            const Millis runTime = m_loop.wallNow() - run.m_placedAt;
            const RunWork work = accountForRun(entry, run, RunEnd::LAPSED, "");
            logEvent(Severity::WARNING, "jobs", "run-lost",
                     {{"task", run.m_task.toText()},
                      {"run", std::to_string(run.m_run)},
                      {"host", host},
                      {"life", run.m_worker.m_incarnation},
                      {"ran_ms", std::to_string(runTime.count())},
                      {"cores", std::to_string(getRoundedCores(entry.m_record, run.m_task))},
                      {"outcome", std::string(toText(work.m_outcome))},
                      {"core_s", std::to_string(std::lround(work.m_coreSeconds))},
                      {"reason", std::string(toText(cause))}});
            if (const auto category = classifyLoss(entry, run, cause)) {
                recordLoss(entry, run.m_task, {run.m_worker, run.m_run, *category, runTime});
            } else if (cause == LossCause::OTHER_INCARNATION && neverStarted(run)) {
                entry.m_run.findTask(run.m_task)->m_losses.recordNeverStarted(run.m_run);
            }
            applyEffect(entry, applyNotRunning(entry.m_record, entry.m_run, run.m_task, run.m_run,
                                               m_loop.wallNow()));
            retractStart(entry, toText(cause));
            applyEffect(entry, failIfProvenFaulty(entry.m_run, run.m_task, m_loop.wallNow()));
        }
    }
}

/**
 * Returns the category of a loss. Returns nothing if the loss is no evidence against a task or a
 * host (the worker had left or was leaving, or a start or stop of the run was still to be sent), or
 * if classifyCrash() handles the loss with the crash of the worker.
 */
std::optional<LossCategory> JobController::classifyLoss(const JobEntry& entry, const ActiveRun& run,
                                                        LossCause cause) const {
    const WorkerPool::Host* const host = m_workers.findHost(run.m_worker.m_host);
    const bool hasLeft = cause == LossCause::WORKER_LEFT || host == nullptr ||
                         host->m_leavingIncarnation == run.m_worker.m_incarnation ||
                         isLeaving(run.m_worker.m_incarnation);
    if (hasLeft || entry.hasPendingMessage(run.m_task.toText(), run.m_run)) {
        return std::nullopt;
    }
    if (cause == LossCause::LEASE_LAPSED) {
        return LossCategory::UNRESOLVED;
    }
    const bool hasCrashReport = findCrash(*host->m_notice, run.m_worker.m_incarnation) != nullptr;
    return hasCrashReport ? std::nullopt : std::optional(LossCategory::HOST_LOST);
}

/**
 * Returns whether a run surely had not started on a worker that crashed: the sidecar's report of
 * the crash lists each run whose start was sent to the worker.
 */
bool JobController::neverStarted(const ActiveRun& run) const {
    const WorkerPool::Host* const host = m_workers.findHost(run.m_worker.m_host);
    const WorkerCrash* const crash =
            host == nullptr || !host->m_notice.has_value()
                    ? nullptr
                    : findCrash(*host->m_notice, run.m_worker.m_incarnation);
    const std::string name = run.m_task.toText();
    return crash != nullptr && std::none_of(crash->m_runs.begin(), crash->m_runs.end(),
                                            [&](const CrashedRunEntry& crashedRun) {
                                                return crashedRun.m_run == run.m_run &&
                                                       crashedRun.m_task == name;
                                            });
}

/**
 * Classifies the crashes that have not been classified in this term; later notices report the same
 * crashes again.
 */
void JobController::classifyCrashes(const std::string& host, const WorkerNotice& notice) {
    for (const WorkerCrash& crash : notice.m_crashes) {
        if (m_classifiedIncarnations.insert(crash.m_incarnation).second) {
            classifyCrash(host, crash);
        }
    }
}

const TaskRun* JobController::findTask(const TaskKey& key) const {
    const auto found = m_jobs.find(key.m_job);
    return found == m_jobs.end() ? nullptr : found->second.m_run.findTask(key);
}

/**
 * Records a category for each run of an unfinished task that was on the crashed worker; the runs
 * count as bystanders if the worker was leaving, which may explain the crash. The crash may be
 * reported long after its runs were released, and to another leader than the one that released
 * them.
 */
void JobController::classifyCrash(const std::string& host, const WorkerCrash& crash) {
    std::vector<CrashedRun> runs;
    for (const CrashedRunEntry& entry : crash.m_runs) {
        if (auto key = TaskKey::parse(entry.m_task)) {
            const TaskRun* const task = findTask(*key);
            const bool wasSuspect = task != nullptr && task->m_losses.isSuspect();
            runs.push_back({std::move(*key), entry.m_run,
                            Millis(static_cast<std::int64_t>(entry.m_ranMs)), entry.m_isConfirmed,
                            wasSuspect});
        }
    }
    const std::vector<LossCategory> categories = pierbank::classifyCrash(runs);
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const CrashedRun& run = runs[i];
        const auto job = m_jobs.find(run.m_task.m_job);
        if (job != m_jobs.end() && run.m_isConfirmed) {
            confirmStart(job->second);
        }
        const TaskRun* const task = findTask(run.m_task);
        if (task != nullptr && task->m_state != TaskState::DONE && run.m_run <= task->m_lastRun) {
            const LossCategory category =
                    crash.m_wasLeaving ? LossCategory::BYSTANDER : categories[i];
            recordLoss(m_jobs.find(run.m_task.m_job)->second, run.m_task,
                       {{host, crash.m_incarnation}, run.m_run, category, run.m_ran});
        }
    }
}

/**
 * Adds a loss to a task's record, or changes its category, and fails the job if the losses prove
 * the task's fault.
 */
void JobController::recordLoss(JobEntry& entry, const TaskKey& key, const RunLoss& loss) {
    TaskRun* const task = entry.m_run.findTask(key);
    if (task == nullptr || entry.m_run.isFinished() || !task->m_losses.record(loss)) {
        return;
    }
    entry.m_isDirty = true;
    if (loss.m_category == LossCategory::UNRESOLVED) {
        m_hostsWithUnresolvedLosses.insert(loss.m_worker.m_host);
    }
    logEvent(Severity::WARNING, "jobs", "loss-judged",
             {{"task", key.toText()},
              {"run", std::to_string(loss.m_run)},
              {"host", loss.m_worker.m_host},
              {"life", loss.m_worker.m_incarnation},
              {"ran_ms", std::to_string(loss.m_ran.count())},
              {"verdict", std::string(toText(loss.m_category))},
              {"losses", std::to_string(task->m_losses.list().size())}});
    applyEffect(entry, failIfProvenFaulty(entry.m_run, key, m_loop.wallNow()));
}

/** Removes an unresolved loss that has turned out not to be evidence of a crash. */
void JobController::discardUnresolvedLoss(JobEntry& entry, const TaskKey& key,
                                          const RunLoss& loss) {
    entry.m_run.findTask(key)->m_losses.discardUnresolved(loss.m_worker);
    entry.m_isDirty = true;
}

/**
 * Resolves the unresolved losses of the previous incarnations of a host's worker. The notice of
 * another incarnation contains all that will ever be known about these losses.
 */
void JobController::resolveLosses(const std::string& host, const WorkerNotice& notice) {
    if (m_hostsWithUnresolvedLosses.count(host) == 0) {
        return;
    }
    const std::string leavingIncarnation = m_workers.findHost(host)->m_leavingIncarnation;
    bool hasUnresolved = false;
    forEachUnresolvedLoss([&](JobEntry& entry, const TaskKey& key, RunLoss loss) {
        const std::string& incarnation = loss.m_worker.m_incarnation;
        if (loss.m_worker.m_host != host) {
            return;
        }
        if (incarnation == notice.m_incarnation) {
            hasUnresolved = true;
        } else if (incarnation == leavingIncarnation || findCrash(notice, incarnation) != nullptr) {
            // The incarnation left in an orderly way, or the report of its crash does not list the
            // run, which therefore had not started.
            discardUnresolvedLoss(entry, key, loss);
        } else {
            loss.m_category = LossCategory::HOST_LOST;
            recordLoss(entry, key, loss);
        }
    });
    if (!hasUnresolved) {
        m_hostsWithUnresolvedLosses.erase(host);
    }
}

/**
 * Discards the unresolved losses of an incarnation that turns out to be still running, or of all
 * incarnations on the host if `incarnation` is empty because the host has expired.
 */
void JobController::discardUnresolvedLossesOn(const std::string& host,
                                              const std::string& incarnation) {
    if (m_hostsWithUnresolvedLosses.count(host) == 0) {
        return;
    }
    bool hasUnresolved = false;
    forEachUnresolvedLoss([&](JobEntry& entry, const TaskKey& key, const RunLoss& loss) {
        if (loss.m_worker.m_host != host) {
            return;
        }
        if (incarnation.empty() || loss.m_worker.m_incarnation == incarnation) {
            discardUnresolvedLoss(entry, key, loss);
        } else {
            hasUnresolved = true;
        }
    });
    if (!hasUnresolved) {
        m_hostsWithUnresolvedLosses.erase(host);
        invalidatePlan();
    }
}

/**
 * Clears a task's losses when its present run has lasted so long that the task can't be the cause
 * of the earlier crashes.
 */
void JobController::clearRefutedLosses(JobEntry& entry, const TaskKey& key, std::uint32_t run) {
    TaskRun* const task = entry.m_run.findTask(key);
    const bool isRefuted = task != nullptr && task->occupiesWorker() && task->m_run == run &&
                           task->m_losses.isRefutedByRunTime(m_loop.wallNow() - task->m_placedAt);
    if (isRefuted) {
        task->m_losses.clear();
        entry.m_isDirty = true;
    }
}

/**
 * Restores the hosts with unresolved losses from the jobs' records, for a new leader. Losses on
 * hosts that are no longer registered can't be resolved any more and are discarded.
 */
void JobController::restoreUnresolvedLosses() {
    std::set<std::string> unknownHosts;
    forEachUnresolvedLoss([&](JobEntry&, const TaskKey&, const RunLoss& loss) {
        const std::string& host = loss.m_worker.m_host;
        m_hostsWithUnresolvedLosses.insert(host);
        if (m_workers.findHost(host) == nullptr) {
            unknownHosts.insert(host);
        }
    });
    for (const std::string& host : unknownHosts) {
        discardUnresolvedLossesOn(host, "");
    }
}

}  // namespace pierbank
