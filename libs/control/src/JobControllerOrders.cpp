// SPDX-License-Identifier: Apache-2.0
// How a JobController's plans become orders to the sidecars.
#include <cmath>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/JobController.h"

namespace pierbank {

void JobController::place(const std::vector<Placement>& placements) {
    // Members of one gang share the number of their run.
    std::map<TaskKey, std::uint32_t> gangRuns;
    for (const Placement& placement : placements) {
        const TaskKey& key = placement.m_task;
        JobEntry& entry = m_jobs.find(key.m_job)->second;
        std::uint32_t run = getNextRun(entry.m_record, entry.m_run, key);
        if (entry.m_record.m_spec.m_steps[key.m_step].m_isGang) {
            TaskKey gang = key;
            gang.m_index = 0;
            run = gangRuns.try_emplace(gang, run).first->second;
        }
        if (!entry.m_run.m_hasStarted && !entry.m_run.m_isTimed) {
            m_statistics.m_untilPlaced.add(m_loop.wallNow() - entry.m_record.m_acceptedAt);
        }
        applyPlacement(entry.m_run, key, run, placement.m_worker, m_loop.wallNow());
        sendOrder(entry, *entry.m_run.findActiveRun(key, run));
    }
}

void JobController::placeCopy(const Placement& placement) {
    JobEntry& entry = m_jobs.find(placement.m_task.m_job)->second;
    const std::uint32_t run =
            applyCopy(entry.m_run, placement.m_task, placement.m_worker, m_loop.wallNow());
    sendOrder(entry, *entry.m_run.findActiveRun(placement.m_task, run));
}

/** The order goes out when the job's change is committed. */
void JobController::sendOrder(JobEntry& entry, const ActiveRun& run) {
    entry.m_isDirty = true;
    ++(run.m_isCopy ? m_statistics.m_copied : m_statistics.m_placed);
    entry.m_messages.push_back({run.m_worker.m_host, makeOrder(entry, run)});
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
    order.m_ticket = m_advice.getTicket({key.m_job, key.m_occurrence, key.m_step},
                                        run.m_worker.m_incarnation);
    order.m_latencyTargetMs = static_cast<std::uint64_t>(step.m_latencyTarget.count());
    order.m_isFilling = step.m_isFilling;
    return order;
}

long JobController::getWeight(const JobRecord& record, const TaskKey& task) {
    const auto& steps = record.m_spec.m_steps;
    return task.m_step < steps.size() ? std::lround(getCores(steps[task.m_step].m_need)) : 0;
}

void JobController::stop(const Stop& stop) {
    JobEntry& entry = m_jobs.find(stop.m_task.m_job)->second;
    const auto held = entry.m_run.findActiveRun(stop.m_task, stop.m_run);
    if (!held.has_value() || held->m_isStopping) {
        return;
    }
    markStopping(entry.m_run, *held);
    ++m_statistics.m_stopped;
    entry.m_run.explain(stop.m_explanation, m_loop.wallNow());
    logEvent(Severity::INFO, "jobs", "stopped",
             {{"task", stop.m_task.toText()},
              {"run", std::to_string(stop.m_run)},
              {"host", held->m_worker.m_host},
              {"ran_ms", std::to_string((m_loop.wallNow() - held->m_placedAt).count())},
              {"cores", std::to_string(getWeight(entry.m_record, stop.m_task))},
              {"why", stop.m_explanation}});
    stopNow(entry, *held);
}

/**
 * That a run is being stopped need not be stored: the next leader learns of the end from the
 * worker, or stops it again. So a stop does not wait for the store, nor is it written, and the
 * start of what others give way to comes one write sooner (0.41 instead of 0.82 s with writes of
 * 0.4 s, test). Of a lasting step only so many may be away, whoever stops them; there, and for runs
 * whose order still waits, the stop waits for the commit.
 */
void JobController::stopNow(JobEntry& entry, const ActiveRun& run) {
    const std::string name = run.m_task.toText();
    if (entry.m_record.m_spec.m_steps[run.m_task.m_step].m_isLasting ||
        entry.hasPendingMessage(name, run.m_run)) {
        stopRuns(entry, {run});
        return;
    }
    m_workers.send(run.m_worker.m_host,
                   RunStop{m_epoch, run.m_worker.m_incarnation, name, run.m_run});
}

/** The runs are marked as stopping already. */
void JobController::stopRuns(JobEntry& entry, const std::vector<ActiveRun>& runs) {
    for (const ActiveRun& run : runs) {
        entry.m_isDirty = true;
        entry.m_messages.push_back(
                {run.m_worker.m_host,
                 RunStop{m_epoch, run.m_worker.m_incarnation, run.m_task.toText(), run.m_run}});
    }
}

bool JobController::isAvoided(const std::string& host) const {
    return m_settings.m_scoresHosts && m_health.isAvoided(host, m_loop.now());
}

bool JobController::isStalled(const std::string& host) const {
    return m_settings.m_detectsStalls && m_progress.isStalled(host);
}

bool JobController::mustMove(const JobEntry& entry, const ActiveRun& run) const {
    const std::string& host = run.m_worker.m_host;
    if (run.m_isStopping || run.m_isCopy || !isStalled(host)) {
        return false;
    }
    const Millis still = m_progress.getStalledTime(host, run.m_task);
    const bool isStill = m_progress.isStalled(host, run.m_task);
    const Millis ran = m_loop.wallNow() - run.m_placedAt - still;
    const bool isCheap = entry.m_record.m_policy.m_priority == 0 ||
                         entry.m_record.m_spec.m_steps[run.m_task.m_step].m_savesProgress ||
                         ran < m_settings.m_cheapLoss;
    return isStill && (isCheap || still >= m_settings.m_stallTimeout);
}

/**
 * Runs on hosts where nothing advances are stopped, so that they begin elsewhere. The host is
 * blamed: with the runs goes what their reports tell, and the host, empty now, would get the next
 * work.
 */
void JobController::moveStalled() {
    if (!m_settings.m_detectsStalls || !m_progress.hasStalled()) {
        return;
    }
    for (auto& [id, entry] : m_jobs) {
        for (const ActiveRun& run : listActiveRuns(id, entry.m_run)) {
            if (!mustMove(entry, run)) {
                continue;
            }
            entry.m_run.findTask(run.m_task)->m_failedHosts.add(run.m_worker.m_host);
            const Millis still = m_progress.getStalledTime(run.m_worker.m_host, run.m_task);
            logEvent(Severity::WARNING, "health", "run-stalled",
                     {{"host", run.m_worker.m_host},
                      {"task", run.m_task.toText()},
                      {"still_ms", std::to_string(still.count())},
                      {"ran_ms", std::to_string((m_loop.wallNow() - run.m_placedAt).count())}});
            m_health.recordStalled(run.m_worker.m_host, m_loop.now());
            stop({run.m_task, run.m_run, "nothing advances on " + run.m_worker.m_host});
        }
    }
}

}  // namespace pierbank
