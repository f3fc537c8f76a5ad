// SPDX-License-Identifier: Apache-2.0
// Keeps evacuated failure domains free of new runs.
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/base/UnreadableInputs.h"
#include "pierbank/control/JobController.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank {

bool JobController::isEvacuatedByStatement(std::string_view domain) const {
    return m_statementEvacuations.count(domain) != 0;
}

bool JobController::isEvacuated(std::string_view domain) const {
    return m_evacuations.getDomains().count(domain) != 0 || isEvacuatedByStatement(domain);
}

bool JobController::isHostEvacuated(const std::string& host) const {
    const WorkerPool::Host* const poolHost = m_workers.findHost(host);
    return poolHost != nullptr && poolHost->m_notice.has_value() &&
           isEvacuated(poolHost->m_notice->m_failureDomain);
}

void JobController::updateDomain(const std::string& domain, std::string_view word) {
    if (word == EVACUATE_WORD) {
        m_statementEvacuations.insert(domain);
    } else if (word == RELEASE_WORD) {
        m_statementEvacuations.erase(domain);
    } else {
        reportUnreadable("jobs", "unreadable-domain",
                         {{"domain", domain}, {"value", std::string(word)}});
        return;
    }
    if (m_isLoaded) {
        handleEvacuations();
    }
}

/**
 * Called when the list of evacuations has changed or is certain again. Sends the orders that were
 * withheld while the list was uncertain, and schedules the revocation of runs that have not
 * started.
 */
void JobController::handleEvacuations() {
    for (const auto& [host, report] : m_reports) {
        if (!isHostEvacuated(host)) {
            resendOrders(host);
        }
    }
    if (m_revokeTimer == TimerId::NONE) {
        m_revokeTimer = m_loop.callLater(m_settings.m_startTimeout, guarded([this] {
                                             m_revokeTimer = TimerId::NONE;
                                             revokeUnstarted();
                                         }));
    }
    invalidatePlan();
}

/**
 * Revokes the runs in evacuated failure domains that no report lists. Such runs were ordered before
 * the evacuation became known and could still start at any time: a lost order would be sent again,
 * a sidecar may have an order that its worker has not answered, or a link may be down. A run that
 * has ended, and that its worker doesn't list yet, is revoked as well: the stop changes nothing
 * there, and its end is applied once it is listed.
 */
void JobController::revokeUnstarted() {
    for (auto& [id, entry] : m_jobs) {
        if (!entry.m_hasInput) {
            continue;
        }
        for (const ActiveRun& run : listActiveRuns(id, entry.m_run)) {
            const auto report = m_reports.find(run.m_worker.m_host);
            const bool hasBeenReported =
                    report != m_reports.end() && isInReport(run, report->second.m_report);
            if (!run.m_isStopping && !hasBeenReported && isHostEvacuated(run.m_worker.m_host)) {
                revoke(entry, run);
            }
        }
    }
}

/** Stops a run that has not started, and counts it as revoked. */
void JobController::revoke(JobEntry& entry, const ActiveRun& run) {
    const auto activeRun = entry.m_run.findActiveRun(run.m_task, run.m_run);
    if (!activeRun.has_value() || activeRun->m_isStopping) {
        return;
    }
    ++m_statistics.m_revoked;
    stop({run.m_task, run.m_run,
          "taken back: the failure domain of " + run.m_worker.m_host + " is under evacuation",
          WorkOutcome::REVOKED});
}

/**
 * Sends a message whose decision has been committed. A commit that the store does not answer is
 * retried for seconds, so the target may have come under evacuation since the decision, and the
 * order is then revoked. If the list of evacuations has become too old, the order is withheld until
 * handleEvacuations() sends it.
 */
void JobController::sendCommitted(const PendingMessage& message) {
    const auto* const order = std::get_if<RunOrder>(&message.m_frame);
    if (order == nullptr) {
        m_workers.send(message.m_host, message.m_frame);
        return;
    }
    if (isHostEvacuated(message.m_host)) {
        const auto key = TaskKey::parse(order->m_task);
        JobEntry& entry = m_jobs.find(key->m_job)->second;
        const auto activeRun = entry.m_run.findActiveRun(*key, order->m_run);
        if (activeRun.has_value()) {
            revoke(entry, *activeRun);
        }
    } else if (m_evacuations.isUpToDate()) {
        m_workers.send(message.m_host, message.m_frame);
    }
}

}  // namespace pierbank
