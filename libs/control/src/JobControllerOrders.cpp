// SPDX-License-Identifier: Apache-2.0
// Applies a JobController's plans and sends the resulting orders to the sidecars.
#include <cmath>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/JobController.h"

namespace pierbank {

/** Applies the planned placements to the jobs and queues the start orders. */
void JobController::place(const std::vector<Placement>& placements) {
    // The members of a gang share one run number.
    std::map<TaskKey, std::uint32_t> gangRuns;
    for (const Placement& placement : placements) {
        const TaskKey& key = placement.m_task;
        JobEntry& entry = m_jobs.find(key.m_job)->second;
        std::uint32_t run = getNextRunNumber(entry.m_record, entry.m_run, key);
        if (entry.m_record.m_spec.m_steps[key.m_step].m_isGang) {
            TaskKey gang = key;
            gang.m_index = 0;
            run = gangRuns.try_emplace(gang, run).first->second;
        }
        if (!entry.m_run.m_isTimed && isNeverPlaced(entry.m_run)) {
            m_statistics.m_timeToFirstPlacement.add(m_loop.wallNow() - entry.m_record.m_acceptedAt);
        }
        applyPlacement(entry.m_run, key, run, placement.m_worker, m_loop.wallNow());
        sendOrder(entry, *entry.m_run.findActiveRun(key, run));
    }
}

void JobController::placeSpeculativeCopy(const Placement& placement) {
    JobEntry& entry = m_jobs.find(placement.m_task.m_job)->second;
    const std::uint32_t run =
            applyCopy(entry.m_run, placement.m_task, placement.m_worker, m_loop.wallNow());
    sendOrder(entry, *entry.m_run.findActiveRun(placement.m_task, run));
}

/** Queues the start order of a run, to be sent once the job's change has been committed. */
void JobController::sendOrder(JobEntry& entry, const ActiveRun& run) {
    entry.m_isDirty = true;
    ++(run.m_isCopy ? m_statistics.m_copied : m_statistics.m_placed);
    m_learned.health().recordPlacement(run.m_worker.m_host, run.m_task.toText(), m_loop.now());
    entry.m_pendingMessages.push_back({run.m_worker.m_host, makeOrder(entry, run)});
    logEvent(Severity::INFO, "jobs", run.m_isCopy ? "copied" : "placed",
             {{"task", run.m_task.toText()},
              {"run", std::to_string(run.m_run)},
              {"host", run.m_worker.m_host},
              {"life", run.m_worker.m_incarnation},
              {"waited_ms",
               std::to_string((m_loop.wallNow() - entry.m_record.m_acceptedAt).count())}});
}

RunOrder JobController::makeOrder(const JobEntry& entry, const ActiveRun& run) const {
    const TaskKey& key = run.m_task;
    const StepSpec& step = entry.m_record.m_spec.m_steps[key.m_step];
    RunOrder order;
    order.m_epoch = m_epoch;
    order.m_incarnation = run.m_worker.m_incarnation;
    order.m_task = key.toText();
    order.m_run = run.m_run;
    order.m_payload = entry.m_record.m_spec.m_payload;
    order.m_checkpoint = entry.m_run.findTask(key)->m_checkpoint;
    order.m_ticket = m_ticketCache.getTicket({key.m_job, key.m_occurrence, key.m_step},
                                             run.m_worker.m_incarnation);
    order.m_latencyTargetMs = static_cast<std::uint64_t>(step.m_latencyTarget.count());
    order.m_isFilling = step.m_isFilling;
    return order;
}

long JobController::getRoundedCores(const JobRecord& record, const TaskKey& task) {
    const auto& steps = record.m_spec.m_steps;
    return task.m_step < steps.size() ? std::lround(getCoreEquivalent(steps[task.m_step].m_need))
                                      : 0;
}

/** Stops a run that is active and not being stopped yet. */
void JobController::stop(const Stop& stop) {
    JobEntry& entry = m_jobs.find(stop.m_task.m_job)->second;
    const auto activeRun = entry.m_run.findActiveRun(stop.m_task, stop.m_run);
    if (!activeRun.has_value() || activeRun->m_isStopping) {
        return;
    }
    markStopping(entry.m_run, *activeRun);
    ++m_statistics.m_stopped;
    entry.m_run.explain(stop.m_explanation, m_loop.wallNow());
    recordStop(entry, *activeRun, stop.m_cause, stop.m_explanation);
    sendOrQueueStop(entry, *activeRun);
}

/**
 * Sends a stop at once or, for some runs, queues it for the next commit.
 *
 * A stop need not be persisted: the next leader receives the end of the run from the worker, or
 * stops the run again. Sending the stop without a commit starts the preempting work one write to
 * the store earlier. Two kinds of stops wait for the commit: those of lasting steps, where the
 * number of unavailable tasks is bounded across leaders, and those of runs whose start order is
 * still queued.
 */
void JobController::sendOrQueueStop(JobEntry& entry, const ActiveRun& run) {
    const std::string name = run.m_task.toText();
    if (entry.m_record.m_spec.m_steps[run.m_task.m_step].m_isLongRunning ||
        entry.hasPendingMessage(name, run.m_run)) {
        queueStops(entry, {run});
        return;
    }
    m_workers.send(run.m_worker.m_host,
                   RunStop{m_epoch, run.m_worker.m_incarnation, name, run.m_run});
}

/** Queues the stops of runs that are marked as stopping; the next commit of the job sends them. */
void JobController::queueStops(JobEntry& entry, const std::vector<ActiveRun>& runs) {
    for (const ActiveRun& run : runs) {
        entry.m_isDirty = true;
        entry.m_pendingMessages.push_back(
                {run.m_worker.m_host,
                 RunStop{m_epoch, run.m_worker.m_incarnation, run.m_task.toText(), run.m_run}});
    }
}

/** Returns whether the host is avoided because of its failure score. */
bool JobController::isAvoided(const std::string& host) const {
    return m_settings.m_scoresHosts && m_learned.health().isAvoided(host, m_loop.now());
}

bool JobController::isStalled(const std::string& host) const {
    return m_settings.m_detectsStalls && m_progress.isStalled(host);
}

/**
 * Returns whether a run is to be stopped because it is stalled on a stalled host; see
 * JobControllerSettings::m_maxCheapLoss.
 */
bool JobController::mustStopStalledRun(const JobEntry& entry, const ActiveRun& run) const {
    const std::string& host = run.m_worker.m_host;
    if (run.m_isStopping || run.m_isCopy || !isStalled(host)) {
        return false;
    }
    const Millis stalledTime = m_progress.getStalledTime(host, run.m_task);
    const bool isRunStalled = m_progress.isStalled(host, run.m_task);
    const Millis runTime = m_loop.wallNow() - run.m_placedAt - stalledTime;
    const bool isCheap = entry.m_record.m_policy.m_priority == 0 ||
                         entry.m_record.m_spec.m_steps[run.m_task.m_step].m_savesProgress ||
                         runTime < m_settings.m_maxCheapLoss;
    return isRunStalled && (isCheap || stalledTime >= m_settings.m_stallTimeout);
}

/**
 * Stops stalled runs on stalled hosts, so that they restart on other hosts. The stall adds to the
 * host's failure score: once the runs are stopped, their progress reports no longer show the stall,
 * and the idle host would get the next work.
 */
void JobController::stopStalledRuns() {
    if (!m_settings.m_detectsStalls || !m_progress.hasStalled()) {
        return;
    }
    for (auto& [id, entry] : m_jobs) {
        for (const ActiveRun& run : listActiveRuns(id, entry.m_run)) {
            if (!mustStopStalledRun(entry, run)) {
                continue;
            }
            entry.m_run.findTask(run.m_task)->m_failedHosts.add(run.m_worker.m_host);
            const Millis stalledTime = m_progress.getStalledTime(run.m_worker.m_host, run.m_task);
            logEvent(Severity::WARNING, "health", "run-stalled",
                     {{"host", run.m_worker.m_host},
                      {"task", run.m_task.toText()},
                      {"still_ms", std::to_string(stalledTime.count())},
                      {"ran_ms", std::to_string((m_loop.wallNow() - run.m_placedAt).count())}});
            m_learned.health().recordStalled(run.m_worker.m_host, m_loop.now());
            m_handover.recordLearned(run.m_worker.m_host);
            stop({run.m_task, run.m_run, "nothing advances on " + run.m_worker.m_host,
                  WorkOutcome::STALLED});
        }
    }
}

}  // namespace pierbank
