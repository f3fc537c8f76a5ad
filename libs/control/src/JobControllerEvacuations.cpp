// SPDX-License-Identifier: Apache-2.0
// How a JobController keeps failure domains under evacuation empty.
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
    const WorkerPool::Host* const known = m_workers.findHost(host);
    return known != nullptr && known->m_notice.has_value() &&
           isEvacuated(known->m_notice->m_failureDomain);
}

void JobController::updateDomain(const std::string& domain, std::string_view word) {
    if (word == EVACUATE_WORD) {
        m_statementEvacuations.insert(domain);
    } else if (word == RELEASE_WORD) {
        m_statementEvacuations.erase(domain);
    } else {
        noteUnreadable("jobs", "unreadable-domain",
                       {{"domain", domain}, {"value", std::string(word)}});
        return;
    }
    if (m_isLoaded) {
        handleEvacuations();
    }
}

/**
 * The list of evacuations has changed, or is known again. What was not sent while it was not known
 * goes out now.
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
    stepSoon();
}

/**
 * Runs that were ordered before the evacuation became known, and that no report shows yet, may
 * begin at any time: an order got lost and would be sent again, a sidecar holds one that its worker
 * has not answered, a link is down.
 */
void JobController::revokeUnstarted() {
    for (auto& [id, entry] : m_jobs) {
        if (!entry.m_hasInput) {
            continue;
        }
        for (const ActiveRun& run : listActiveRuns(id, entry.m_run)) {
            const auto report = m_reports.find(run.m_worker.m_host);
            const bool hasBegun =
                    report != m_reports.end() && isShown(run, report->second.m_report);
            if (!run.m_isStopping && !hasBegun && isHostEvacuated(run.m_worker.m_host)) {
                revoke(entry, run);
            }
        }
    }
}

void JobController::revoke(JobEntry& entry, const ActiveRun& run) {
    const auto held = entry.m_run.findActiveRun(run.m_task, run.m_run);
    if (!held.has_value() || held->m_isStopping) {
        return;
    }
    ++m_statistics.m_revoked;
    stop({run.m_task, run.m_run,
          "taken back: the failure domain of " + run.m_worker.m_host + " is under evacuation"});
}

/**
 * Sends what waited for its commit. The evacuation may have become known meanwhile, or the list be
 * too old by now: a commit that the store did not answer is repeated for seconds. An order that is
 * kept back for its age goes out when the list is known again.
 */
void JobController::sendDecided(const PendingMessage& message) {
    const auto* const order = std::get_if<RunOrder>(&message.m_frame);
    if (order == nullptr) {
        m_workers.send(message.m_host, message.m_frame);
        return;
    }
    if (isHostEvacuated(message.m_host)) {
        const auto key = TaskKey::parse(order->m_task);
        JobEntry& entry = m_jobs.find(key->m_job)->second;
        const auto held = entry.m_run.findActiveRun(*key, order->m_run);
        if (held.has_value()) {
            revoke(entry, *held);
        }
    } else if (m_evacuations.isCertain()) {
        m_workers.send(message.m_host, message.m_frame);
    }
}

}  // namespace pierbank
