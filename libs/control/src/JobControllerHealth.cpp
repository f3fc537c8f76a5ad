// SPDX-License-Identifier: Apache-2.0
// Learns how fast and how reliable hosts are from what the sidecars report of the runs.
#include <algorithm>

#include "pierbank/control/JobController.h"

namespace pierbank {

/**
 * Records that the reported runs have begun, and their progress, from which stalls and the hosts'
 * speeds are derived. Runs of lasting steps make no progress and are left out there.
 */
void JobController::recordProgress(const std::string& host, const RunReport& report) {
    std::vector<ProgressReport> runs;
    for (const RunningEntry& entry : report.m_running) {
        const auto key = TaskKey::parse(entry.m_task);
        const auto found = key.has_value() ? m_jobs.find(key->m_job) : m_jobs.end();
        if (found == m_jobs.end() || !found->second.m_hasInput) {
            continue;
        }
        confirmStart(found->second);
        recordStart(host, found->second, *key, entry.m_run);
        clearRefutedLosses(found->second, *key, entry.m_run);
        const auto& steps = found->second.m_record.m_spec.m_steps;
        const bool isLongRunning =
                key->m_step >= steps.size() || steps[key->m_step].m_isLongRunning;
        if (isLongRunning) {
            found->second.m_lasting.recordProgress(*key, entry.m_run, entry.m_percent);
        } else {
            const bool isGangIncomplete = entry.m_percent == 0 && steps[key->m_step].m_isGang &&
                                          !isWholeGangRunning(found->second, *key, entry.m_run);
            const bool mayWait = isGangIncomplete || hasFailedOnSeveralHosts(found->second, *key);
            runs.push_back(
                    {*key, entry.m_run, entry.m_percent, mayWait, steps[key->m_step].m_estimate});
        }
    }
    const bool wasStalled = isStalled(host);
    for (const ProgressRate& rate : m_progress.recordReport(host, runs, m_loop.now())) {
        const auto reported = std::find_if(
                runs.begin(), runs.end(),
                [&](const auto& progressReport) { return progressReport.m_task == rate.m_task; });
        if (reported != runs.end() && wasPlacedWhileCold(host, rate.m_task, reported->m_run)) {
            continue;
        }
        recordRunTime(report.m_incarnation, rate);
        TaskKey step = rate.m_task;
        step.m_index = 0;
        m_learned.speeds().recordSample({report.m_incarnation, step.toText(), rate.m_rate},
                                        m_loop.now());
        m_handover.recordLearned(host);
    }
    const auto stalledAt = m_learned.health().getStalledAt(host);
    if (stalledAt.has_value() && m_progress.hasAdvancedSince(host, *stalledAt)) {
        m_learned.health().recordAdvanced(host, m_loop.now());
        m_handover.recordLearned(host);
        invalidatePlan();
    }
    if (!wasStalled && isStalled(host)) {
        invalidatePlan();
    }
}

/** Records that a host's worker has begun a run, which ends the memory of earlier refusals. */
void JobController::recordStart(const std::string& host, const JobEntry& entry, const TaskKey& key,
                                std::uint32_t run) {
    if (!m_workerRefusals.hasRefused(host)) {
        return;
    }
    const auto active = entry.m_run.findActiveRun(key, run);
    if (active.has_value()) {
        m_workerRefusals.recordStart(host, m_loop.now() - (m_loop.wallNow() - active->m_placedAt));
    }
}

/** Records how long a run takes compared with its declared time, the speed of its host taken out.
 */
void JobController::recordRunTime(const std::string& incarnation, const ProgressRate& rate) {
    const JobRecord& record = m_jobs.find(rate.m_task.m_job)->second.m_record;
    const StepSpec& step = record.m_spec.m_steps[rate.m_task.m_step];
    m_learned.runTimes().recordSample(
            {record.m_policy.m_queue, step.m_image, rate.m_rate,
             m_learned.speeds().getSlowness(incarnation), step.m_estimate},
            m_loop.now());
}

/**
 * Returns whether a task has stalled or failed on several hosts; its record does not distinguish
 * stalls from failures. Such a task takes longer than declared or is itself faulty, so a stall of
 * it is no evidence against its host and does not move it to yet another host.
 */
bool JobController::hasFailedOnSeveralHosts(const JobEntry& entry, const TaskKey& task) {
    constexpr std::size_t SEVERAL = 2;
    const TaskRun* const run = entry.m_run.findTask(task);
    return run != nullptr && run->m_failedHosts.count() >= SEVERAL;
}

/** Returns whether the workers of all members report a gang's run as running. */
bool JobController::isWholeGangRunning(const JobEntry& entry, const TaskKey& member,
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

/**
 * Looks for runs that have outlasted the failed runs of a host on probe, so that the host does not
 * have to wait for their ends.
 */
void JobController::recordActiveRuns(const WorkerId& worker, const RunReport& report) {
    if (!m_learned.health().awaitsProof(worker, m_loop.now())) {
        return;
    }
    for (const RunningEntry& running : report.m_running) {
        const auto key = TaskKey::parse(running.m_task);
        const auto found = key.has_value() ? m_jobs.find(key->m_job) : m_jobs.end();
        const auto active = found == m_jobs.end()
                                    ? std::nullopt
                                    : found->second.m_run.findActiveRun(*key, running.m_run);
        if (active.has_value() && active->m_worker == worker) {
            const Millis ran = m_loop.wallNow() - active->m_placedAt;
            m_learned.health().recordActive(worker, m_loop.now() - ran, m_loop.now());
        }
    }
    if (!m_learned.health().awaitsProof(worker, m_loop.now())) {
        invalidatePlan();
    }
}

}  // namespace pierbank
