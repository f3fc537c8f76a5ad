// SPDX-License-Identifier: Apache-2.0
// How a JobController's decisions get into the store.
#include <algorithm>
#include <utility>

#include "pierbank/control/JobController.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/job/JobCodec.h"

namespace pierbank {

bool JobController::addToTransaction(const std::string& id, JobEntry& entry,
                                     StoreTransaction& transaction) {
    const bool endsInput = entry.m_run.isFinished() && entry.m_hasInput && entry.m_run.isIdle();
    constexpr std::size_t ENTRIES = 2;
    constexpr std::size_t ENTRIES_AT_END = 4;
    if (transaction.countEntries() + (endsInput ? ENTRIES_AT_END : ENTRIES) >
        RecordStore::MAX_ENTRIES) {
        return false;
    }
    transaction.m_conditions.push_back({getRunKey(id), entry.m_runRevision});
    transaction.m_puts.push_back({getRunKey(id), encodeJobRun(entry.m_run), 0});
    if (endsInput) {
        transaction.m_removals.push_back(getJobKey(id));
        transaction.m_removals.push_back(getCancelKey(id));
        entry.m_hasInput = false;
    }
    return true;
}

void JobController::commitDirty() {
    StoreTransaction transaction;
    transaction.m_conditions = {{std::string(LEADER_KEY), m_epoch}};
    std::vector<std::pair<std::uint32_t, std::string>> dirty;
    for (const auto& [id, entry] : m_jobs) {
        if (entry.m_isDirty) {
            dirty.emplace_back(entry.m_record.m_policy.m_priority, id);
        }
    }
    std::sort(dirty.begin(), dirty.end());
    std::vector<std::string> ids;
    for (const auto& [priority, id] : dirty) {
        JobEntry& entry = m_jobs.find(id)->second;
        if (!addToTransaction(id, entry, transaction)) {
            break;
        }
        entry.m_isDirty = false;
        entry.m_isCommitting = true;
        ids.push_back(id);
    }
    if (ids.empty()) {
        return;
    }
    m_isCommitting = true;
    ++m_statistics.m_commits;
    CommitRetryPolicy patience;
    patience.m_retriesRefusals = true;
    // What is decided while the transaction is under way has to wait for the next one.
    for (const std::string& id : ids) {
        JobEntry& entry = m_jobs.find(id)->second;
        entry.m_messagesUnderWay = std::exchange(entry.m_messages, {});
        entry.m_endsUnderWay = std::exchange(entry.m_ends, {});
    }
    CommitResolver::run(m_store, m_loop, std::move(transaction), patience, m_term,
                        [this, ids](const StoreCommit& commit) { handleCommitted(ids, commit); });
}

void JobController::handleCommitted(const std::vector<std::string>& ids,
                                    const StoreCommit& commit) {
    m_isCommitting = false;
    if (commit.m_status != StoreStatus::OK) {
        abandonLeadership("the store did not take a decision: " +
                          std::string(toText(commit.m_status)) + " " + commit.m_reason);
        return;
    }
    for (const std::string& id : ids) {
        JobEntry& entry = m_jobs.find(id)->second;
        entry.m_isCommitting = false;
        entry.m_runRevision = commit.m_revision;
        for (const PendingMessage& message : std::exchange(entry.m_messagesUnderWay, {})) {
            sendDecided(message);
        }
        for (const auto& [worker, number] : std::exchange(entry.m_endsUnderWay, {})) {
            m_ledger.markPersisted(worker, number);
            sendEndsPersisted(worker);
        }
    }
    step();
}

void JobController::sendEndsPersisted(const WorkerId& worker) {
    const std::uint64_t kept = m_ledger.getPersisted(worker);
    const auto report = m_reports.find(worker.m_host);
    if (kept == 0 || report == m_reports.end() ||
        report->second.m_report.m_incarnation != worker.m_incarnation) {
        return;
    }
    const auto& ended = report->second.m_report.m_ended;
    const bool isListed = std::any_of(ended.begin(), ended.end(), [kept](const EndedEntry& end) {
        return end.m_number <= kept;
    });
    if (isListed) {
        m_workers.send(worker.m_host, EndsPersisted{worker.m_incarnation, kept});
    }
}

/** Jobs that have been over for long go, a few at a time. */
void JobController::removeFinishedJobs() {
    StoreTransaction transaction;
    transaction.m_conditions = {{std::string(LEADER_KEY), m_epoch}};
    std::vector<std::string> ids;
    for (const auto& [id, entry] : m_jobs) {
        const bool isOld =
                entry.m_run.isFinished() && !entry.m_hasInput && !entry.m_isDirty &&
                !entry.m_isCommitting &&
                m_loop.wallNow() - entry.m_run.m_endedAt > m_settings.m_finishedJobRetention;
        if (isOld && transaction.countEntries() + 1 <= RecordStore::MAX_ENTRIES) {
            transaction.m_removals.push_back(getRunKey(id));
            ids.push_back(id);
        }
    }
    if (ids.empty()) {
        return;
    }
    for (const std::string& id : ids) {
        m_jobs.erase(id);
    }
    // If it is lost, the next leader does it again.
    constexpr Millis PATIENCE{1000};
    m_store.commit(transaction, PATIENCE, [](const StoreCommit&) {});
}

void JobController::handleHostExpired(const std::string& host) {
    m_reports.erase(host);
    acquit(host, "");
    m_areSnapshotsStale = true;
    StoreTransaction transaction;
    transaction.m_conditions = {{std::string(LEADER_KEY), m_epoch}};
    transaction.m_removals = {getHostKey(host), getGatewayKey(host)};
    // If it is lost, the next leader does it again.
    constexpr Millis PATIENCE{1000};
    m_store.commit(transaction, PATIENCE, [](const StoreCommit&) {});
}

}  // namespace pierbank
