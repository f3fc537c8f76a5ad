// SPDX-License-Identifier: Apache-2.0
// Hands over what a leader has learned to the next one, by way of the sidecars.
#include <algorithm>

#include "pierbank/base/Log.h"
#include "pierbank/control/HostRecordCodec.h"
#include "pierbank/control/JobController.h"

namespace pierbank {

void JobController::recordLearned(const std::string& host) {
    if (m_settings.m_keepsLearned) {
        m_recordScheduler.recordChange(host, m_loop.now());
    }
}

/** Sends the records that are due. A host without a link gets its record after its next report. */
void JobController::sendLearnedRecords() {
    for (const std::string& address : m_recordScheduler.takeDue(m_loop.now())) {
        const WorkerPool::Host* const host = m_workers.findHost(address);
        if (host == nullptr || !host->isLinked() || !host->m_notice.has_value() ||
            host->m_notice->m_incarnation.empty()) {
            continue;
        }
        const HostRecord record =
                m_learned.getRecord(address, host->m_notice->m_incarnation,
                                    host->m_notice->m_service, {m_loop.now(), m_loop.wallNow()});
        const auto frame = m_recordScheduler.makeFrame(address, record, m_loop.now());
        if (frame.has_value() && m_workers.send(address, *frame)) {
            ++m_statistics.m_recordsSent;
        }
    }
}

void JobController::handleKeptRecord(const std::string& host, const KeptRecord& kept) {
    if (!m_settings.m_keepsLearned) {
        return;
    }
    const ReturnedRecord returned = decodeKeptRecord(kept);
    const RestoreResult result =
            m_learned.restore(host, returned, m_epoch, {m_loop.now(), m_loop.wallNow()});
    if (isRefusal(result)) {
        ++m_statistics.m_recordsRefused;
        logEvent(Severity::WARNING, "learned", "record-refused",
                 {{"host", host},
                  {"reason", std::string(toText(result))},
                  {"epoch", std::to_string(returned.m_version.first)},
                  {"sequence", std::to_string(returned.m_version.second)},
                  {"age_ms", std::to_string(returned.m_age.count())}});
    } else if (result == RestoreResult::RESTORED) {
        ++m_statistics.m_recordsRestored;
        ++m_restoredRecords.m_hosts;
        m_restoredRecords.m_oldestAge = std::max(m_restoredRecords.m_oldestAge, returned.m_age);
        m_restoredRecords.m_lastAt = m_loop.now();
        invalidatePlan();
    }
}

/** Logs one line for the hosts of a take-over, once no more records arrive. */
void JobController::logRestoredRecords() {
    constexpr Millis QUIET_TIME{1000};
    if (m_restoredRecords.m_hosts == 0 || m_loop.now() - m_restoredRecords.m_lastAt < QUIET_TIME) {
        return;
    }
    logEvent(Severity::INFO, "learned", "restored",
             {{"epoch", std::to_string(m_epoch)},
              {"hosts", std::to_string(m_restoredRecords.m_hosts)},
              {"oldest_ms", std::to_string(m_restoredRecords.m_oldestAge.count())}});
    m_restoredRecords = RestoredRecords();
}

}  // namespace pierbank
