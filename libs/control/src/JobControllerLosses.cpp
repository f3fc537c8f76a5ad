// SPDX-License-Identifier: Apache-2.0
// Runs that are lost with their workers, and what a JobController makes of it.
#include <algorithm>
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
void JobController::forEachOpenLoss(Function function) {
    for (auto& [id, entry] : m_jobs) {
        if (entry.m_run.isFinished()) {
            continue;
        }
        forEachTask(id, entry.m_run, [&, &entry = entry](const TaskKey& key, TaskRun& task) {
            // A copy: what is done about one may take it off the list.
            const std::vector<RunLoss> known(task.m_losses.list().begin(),
                                             task.m_losses.list().end());
            for (const RunLoss& loss : known) {
                if (loss.m_category == LossCategory::UNRESOLVED) {
                    function(entry, key, loss);
                }
            }
        });
    }
}

void JobController::handleHostLost(const std::string& host) {
    loseRuns(host, "", LossCause::LEASE_LAPSED);
    stepSoon();
}

namespace {

const WorkerCrash* findCrash(const WorkerNotice& notice, const std::string& incarnation) {
    const auto found = std::find_if(
            notice.m_crashes.begin(), notice.m_crashes.end(),
            [&](const WorkerCrash& crash) { return crash.m_incarnation == incarnation; });
    return found == notice.m_crashes.end() ? nullptr : &*found;
}

}  // namespace

/**
 * What was committed to other lives of the host's worker runs no more. Each loss stays in the job's
 * record: with a run that just went back to waiting, a task that crashes its workers was started 27
 * times in 81 s.
 */
void JobController::loseRuns(const std::string& host, const std::string& exceptIncarnation,
                             LossCause cause) {
    for (auto& [id, entry] : m_jobs) {
        for (const ActiveRun& run : listActiveRunsOn(host, id, entry.m_run)) {
            if (!exceptIncarnation.empty() && run.m_worker.m_incarnation == exceptIncarnation) {
                continue;
            }
            ++m_statistics.m_lost;
            const Millis ran = m_loop.wallNow() - run.m_placedAt;
            logEvent(Severity::WARNING, "jobs", "run-lost",
                     {{"task", run.m_task.toText()},
                      {"run", std::to_string(run.m_run)},
                      {"host", host},
                      {"life", run.m_worker.m_incarnation},
                      {"ran_ms", std::to_string(ran.count())},
                      {"cores", std::to_string(getWeight(entry.m_record, run.m_task))},
                      {"reason", std::string(toText(cause))}});
            if (const auto category = classifyLoss(entry, run, cause)) {
                recordLoss(entry, run.m_task, {run.m_worker, run.m_run, *category, ran});
            } else if (cause == LossCause::OTHER_INCARNATION && neverStarted(run)) {
                entry.m_run.findTask(run.m_task)->m_losses.recordNeverStarted(run.m_run);
            }
            takeEffect(entry, applyNotRunning(entry.m_record, entry.m_run, run.m_task, run.m_run,
                                              m_loop.wallNow()));
            takeEffect(entry, failIfProvenFaulty(entry.m_run, run.m_task, m_loop.wallNow()));
        }
    }
}

/** @return nothing for a loss that speaks against nobody, or was judged already. */
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
    const bool isJudged = findCrash(*host->m_notice, run.m_worker.m_incarnation) != nullptr;
    return isJudged ? std::nullopt : std::optional(LossCategory::HOST_LOST);
}

/** The sidecar tells of each run whose start went out to a worker that crashed. */
bool JobController::neverStarted(const ActiveRun& run) const {
    const WorkerPool::Host* const host = m_workers.findHost(run.m_worker.m_host);
    const WorkerCrash* const crash =
            host == nullptr || !host->m_notice.has_value()
                    ? nullptr
                    : findCrash(*host->m_notice, run.m_worker.m_incarnation);
    const std::string name = run.m_task.toText();
    return crash != nullptr && std::none_of(crash->m_runs.begin(), crash->m_runs.end(),
                                            [&](const CrashedRunEntry& one) {
                                                return one.m_run == run.m_run && one.m_task == name;
                                            });
}

void JobController::classifyCrashes(const std::string& host, const WorkerNotice& notice) {
    for (const WorkerCrash& crash : notice.m_crashes) {
        if (m_judged.insert(crash.m_incarnation).second) {
            classifyCrash(host, crash);
        }
    }
}

const TaskRun* JobController::findTask(const TaskKey& key) const {
    const auto found = m_jobs.find(key.m_job);
    return found == m_jobs.end() ? nullptr : found->second.m_run.findTask(key);
}

/** The verdict may come long after the run was released, and under another leader. */
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
    const std::vector<LossCategory> verdicts = pierbank::classifyCrash(runs);
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const CrashedRun& run = runs[i];
        const TaskRun* const task = findTask(run.m_task);
        if (task != nullptr && task->m_state != TaskState::DONE && run.m_run <= task->m_lastRun) {
            const LossCategory category =
                    crash.m_wasLeaving ? LossCategory::BYSTANDER : verdicts[i];
            recordLoss(m_jobs.find(run.m_task.m_job)->second, run.m_task,
                       {{host, crash.m_incarnation}, run.m_run, category, run.m_ran});
        }
    }
}

void JobController::recordLoss(JobEntry& entry, const TaskKey& key, const RunLoss& loss) {
    TaskRun* const task = entry.m_run.findTask(key);
    if (task == nullptr || entry.m_run.isFinished() || !task->m_losses.record(loss)) {
        return;
    }
    entry.m_isDirty = true;
    if (loss.m_category == LossCategory::UNRESOLVED) {
        m_openHosts.insert(loss.m_worker.m_host);
    }
    logEvent(Severity::WARNING, "jobs", "loss-judged",
             {{"task", key.toText()},
              {"run", std::to_string(loss.m_run)},
              {"host", loss.m_worker.m_host},
              {"life", loss.m_worker.m_incarnation},
              {"ran_ms", std::to_string(loss.m_ran.count())},
              {"verdict", std::string(toText(loss.m_category))},
              {"losses", std::to_string(task->m_losses.list().size())}});
    takeEffect(entry, failIfProvenFaulty(entry.m_run, key, m_loop.wallNow()));
}

/** An open loss turns out to be none. */
void JobController::forgetOpenLoss(JobEntry& entry, const TaskKey& key, const RunLoss& loss) {
    entry.m_run.findTask(key)->m_losses.discardUnresolved(loss.m_worker);
    entry.m_isDirty = true;
}

/** Another life answers: what became of the former one is known as far as it ever will be. */
void JobController::settleOpenLosses(const std::string& host, const WorkerNotice& notice) {
    if (m_openHosts.count(host) == 0) {
        return;
    }
    const std::string leaving = m_workers.findHost(host)->m_leavingIncarnation;
    bool isOpen = false;
    forEachOpenLoss([&](JobEntry& entry, const TaskKey& key, RunLoss loss) {
        const std::string& incarnation = loss.m_worker.m_incarnation;
        if (loss.m_worker.m_host != host) {
            return;
        }
        if (incarnation == notice.m_incarnation) {
            isOpen = true;
        } else if (incarnation == leaving || findCrash(notice, incarnation) != nullptr) {
            // A crash that is told without the run: it had not begun there.
            forgetOpenLoss(entry, key, loss);
        } else {
            loss.m_category = LossCategory::HOST_LOST;
            recordLoss(entry, key, loss);
        }
    });
    if (!isOpen) {
        m_openHosts.erase(host);
    }
}

/** The worker's life goes on after all; or, without a life, its host is gone for good. */
void JobController::acquit(const std::string& host, const std::string& incarnation) {
    if (m_openHosts.count(host) == 0) {
        return;
    }
    bool isOpen = false;
    forEachOpenLoss([&](JobEntry& entry, const TaskKey& key, const RunLoss& loss) {
        if (loss.m_worker.m_host != host) {
            return;
        }
        if (incarnation.empty() || loss.m_worker.m_incarnation == incarnation) {
            forgetOpenLoss(entry, key, loss);
        } else {
            isOpen = true;
        }
    });
    if (!isOpen) {
        m_openHosts.erase(host);
        stepSoon();
    }
}

/** What goes on for long after it was lost several times did not crash its workers. */
void JobController::refuteLosses(JobEntry& entry, const TaskKey& key, std::uint32_t run) {
    TaskRun* const task = entry.m_run.findTask(key);
    const bool isRefuted = task != nullptr && task->occupiesWorker() && task->m_run == run &&
                           task->m_losses.isRefutedByRunTime(m_loop.wallNow() - task->m_placedAt);
    if (isRefuted) {
        task->m_losses.clear();
        entry.m_isDirty = true;
    }
}

/** A new leader finds in the records what is still open; a host that is forgotten settles it. */
void JobController::findOpenLosses() {
    std::set<std::string> unknown;
    forEachOpenLoss([&](JobEntry&, const TaskKey&, const RunLoss& loss) {
        const std::string& host = loss.m_worker.m_host;
        m_openHosts.insert(host);
        if (m_workers.findHost(host) == nullptr) {
            unknown.insert(host);
        }
    });
    for (const std::string& host : unknown) {
        acquit(host, "");
    }
}

}  // namespace pierbank
