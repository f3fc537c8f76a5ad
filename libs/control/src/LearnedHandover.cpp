// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LearnedHandover.h"

#include <algorithm>

#include "pierbank/base/Log.h"
#include "pierbank/control/HostRecordCodec.h"

namespace pierbank {

void LearnedHandover::start(std::uint64_t epoch) {
    m_epoch = epoch;
    m_scheduler.start(epoch);
    m_restored = Restored();
}

void LearnedHandover::recordLearned(const std::string& host) {
    if (m_isEnabled) {
        m_scheduler.recordChange(host, m_loop.now());
    }
}

void LearnedHandover::tick() {
    for (const std::string& address : m_scheduler.takeDue(m_loop.now())) {
        if (m_ends.hasPending(address)) {
            m_scheduler.recordChange(address, m_loop.now());
        } else {
            sendRecord(address);
        }
    }
    logRestored();
}

/** Sends the record of a host. A host without a link gets it after its next report. */
void LearnedHandover::sendRecord(const std::string& address) {
    const WorkerPool::Host* const host = m_workers.findHost(address);
    if (host == nullptr || !host->isLinked() || !host->m_notice.has_value() ||
        host->m_notice->m_incarnation.empty()) {
        return;
    }
    const HostRecord record = m_learned.getRecord(address, host->m_notice->m_incarnation,
                                                  host->m_notice->m_service, getMoment());
    const auto frame = m_scheduler.makeFrame(address, record, m_loop.now());
    if (frame.has_value() && m_workers.send(address, *frame)) {
        ++m_statistics.m_recordsSent;
    }
}

bool LearnedHandover::handleKeptRecord(const std::string& host, const KeptRecord& kept) {
    if (!m_isEnabled) {
        return false;
    }
    m_scheduler.recordKept(host);
    const ReturnedRecord returned = decodeKeptRecord(kept);
    const RestoreResult result = m_learned.restore(host, returned, m_epoch, getMoment());
    if (isRefusal(result)) {
        ++m_statistics.m_recordsRefused;
        logEvent(Severity::WARNING, "learned", "record-refused",
                 {{"host", host},
                  {"reason", std::string(toText(result))},
                  {"epoch", std::to_string(returned.m_version.first)},
                  {"sequence", std::to_string(returned.m_version.second)},
                  {"age_ms", std::to_string(returned.m_age.count())}});
    }
    if (result != RestoreResult::RESTORED) {
        return false;
    }
    ++m_statistics.m_recordsRestored;
    ++m_restored.m_hosts;
    m_restored.m_oldestAge = std::max(m_restored.m_oldestAge, returned.m_age);
    m_restored.m_lastAt = m_loop.now();
    return true;
}

/** Logs one line for the hosts of a take-over, once no more records arrive. */
void LearnedHandover::logRestored() {
    constexpr Millis QUIET_TIME{1000};
    if (m_restored.m_hosts == 0 || m_loop.now() - m_restored.m_lastAt < QUIET_TIME) {
        return;
    }
    logEvent(Severity::INFO, "learned", "restored",
             {{"epoch", std::to_string(m_epoch)},
              {"hosts", std::to_string(m_restored.m_hosts)},
              {"oldest_ms", std::to_string(m_restored.m_oldestAge.count())}});
    m_restored = Restored();
}

}  // namespace pierbank
