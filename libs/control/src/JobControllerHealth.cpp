// SPDX-License-Identifier: Apache-2.0
// Rates hosts by what the sidecars report of their runs.
#include "pierbank/control/JobController.h"

namespace pierbank {

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
