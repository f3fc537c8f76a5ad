// SPDX-License-Identifier: Apache-2.0
// Commits a JobController's decisions to the store.
#include <algorithm>
#include <utility>

#include "pierbank/control/JobController.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/job/JobCodec.h"

namespace pierbank {

namespace {

/** Interval between removals of old requests to cancel jobs that were not accepted. */
constexpr Millis EARLY_CANCELS_REMOVAL_INTERVAL{500};

}  // namespace

/**
 * Adds a job's run, and the removal of the input of a finished job, to a transaction.
 * @return false if the transaction has too little space left.
 */
bool JobController::addToTransaction(const std::string& id, JobEntry& entry,
                                     StoreTransaction& transaction) {
    const bool removesInput = entry.m_run.isFinished() && entry.m_hasInput && entry.m_run.isIdle();
    constexpr std::size_t ENTRIES_PER_JOB = 2;
    constexpr std::size_t ENTRIES_PER_FINISHED_JOB = 4;
    if (transaction.countEntries() + (removesInput ? ENTRIES_PER_FINISHED_JOB : ENTRIES_PER_JOB) >
        RecordStore::MAX_ENTRIES) {
        return false;
    }
    transaction.m_conditions.push_back({getRunKey(id), entry.m_runRevision});
    transaction.m_puts.push_back({getRunKey(id), encodeJobRun(entry.m_run), 0});
    if (removesInput) {
        transaction.m_removals.push_back(getJobKey(id));
        transaction.m_removals.push_back(getCancelKey(id));
        entry.m_hasInput = false;
    }
    return true;
}

/**
 * Commits the changed jobs, highest priority first; jobs beyond the maximum size of a transaction
 * follow in the next transaction.
 */
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
    CommitRetryPolicy retryPolicy;
    retryPolicy.m_retriesRefusals = true;
    // Messages and ends that are added while this transaction is pending belong to the next
    // transaction.
    for (const std::string& id : ids) {
        JobEntry& entry = m_jobs.find(id)->second;
        entry.m_committingMessages = std::exchange(entry.m_pendingMessages, {});
        entry.m_committingEnds = std::exchange(entry.m_endsToPersist, {});
    }
    CommitResolver::run(m_store, m_loop, std::move(transaction), retryPolicy, m_term,
                        [this, ids](const StoreCommit& commit) { handleCommitted(ids, commit); });
}

/**
 * Sends the messages that waited for the transaction and marks its ends as persisted. Any failure
 * ends the leadership, since the state in memory then differs from the store.
 */
void JobController::handleCommitted(const std::vector<std::string>& ids,
                                    const StoreCommit& commit) {
    m_isCommitting = false;
    if (commit.m_status != StoreStatus::OK) {
        abandonLeadership("a decision could not be committed: " +
                          std::string(toText(commit.m_status)) + " " + commit.m_reason);
        return;
    }
    for (const std::string& id : ids) {
        JobEntry& entry = m_jobs.find(id)->second;
        entry.m_isCommitting = false;
        entry.m_runRevision = commit.m_revision;
        for (const PendingMessage& message : std::exchange(entry.m_committingMessages, {})) {
            sendCommitted(message);
        }
        for (const auto& [worker, number] : std::exchange(entry.m_committingEnds, {})) {
            m_persistedEnds.markPersisted(worker, number);
            sendEndsPersisted(worker);
        }
    }
    step();
}

/**
 * Sends a worker the number up to which its ends are persisted, if its last report still lists any
 * of these ends.
 */
void JobController::sendEndsPersisted(const WorkerId& worker) {
    const std::uint64_t persisted = m_persistedEnds.getPersisted(worker);
    const auto report = m_reports.find(worker.m_host);
    if (persisted == 0 || report == m_reports.end() ||
        report->second.m_report.m_incarnation != worker.m_incarnation) {
        return;
    }
    const auto& ended = report->second.m_report.m_ended;
    const bool isListed =
            std::any_of(ended.begin(), ended.end(),
                        [persisted](const EndedEntry& end) { return end.m_number <= persisted; });
    if (isListed) {
        m_workers.send(worker.m_host, EndsPersisted{worker.m_incarnation, persisted});
    }
}

/**
 * Removes jobs that have been finished for longer than the retention, at most one transaction of
 * them per call.
 */
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
    // The result is not needed: if the commit fails, the next leader repeats the removal.
    constexpr Millis COMMIT_TIMEOUT{1000};
    m_store.commit(transaction, COMMIT_TIMEOUT, [](const StoreCommit&) {});
}

/**
 * Removes requests to cancel jobs that were not accepted, once no submission can be on its way any
 * more; at most one transaction of them per call. The transaction is conditional on their
 * revisions, since a gateway may just have repeated one of the requests.
 */
void JobController::removeOldEarlyCancels() {
    if (m_loop.now() < m_earlyCancelsRemovalDueAt) {
        return;
    }
    m_earlyCancelsRemovalDueAt = m_loop.now() + EARLY_CANCELS_REMOVAL_INTERVAL;
    constexpr std::size_t ENTRIES_PER_REMOVAL = 2;
    constexpr std::size_t MAX_REMOVALS = (RecordStore::MAX_ENTRIES - 1) / ENTRIES_PER_REMOVAL;
    const auto entries = m_storedEarlyCancels.listBefore(
            m_loop.wallNow() - m_settings.m_finishedJobRetention, MAX_REMOVALS);
    if (entries.empty()) {
        return;
    }
    StoreTransaction transaction;
    transaction.m_conditions = {{std::string(LEADER_KEY), m_epoch}};
    for (const EarlyCancelTable::Entry& entry : entries) {
        transaction.m_conditions.push_back({getEarlyCancelKey(entry.m_id), entry.m_revision});
        transaction.m_removals.push_back(getEarlyCancelKey(entry.m_id));
    }
    // Shorter than the interval, so that one removal ends before the next one begins.
    constexpr Millis COMMIT_TIMEOUT = EARLY_CANCELS_REMOVAL_INTERVAL / 2;
    m_store.commit(transaction, COMMIT_TIMEOUT,
                   [this, entries, term = std::weak_ptr(m_term)](const StoreCommit& commit) {
                       if (!term.expired()) {
                           handleEarlyCancelsRemoved(entries, commit);
                       }
                   });
}

/** Forgets the removed requests. Those that are still stored are removed at a later call. */
void JobController::handleEarlyCancelsRemoved(const std::vector<EarlyCancelTable::Entry>& entries,
                                              const StoreCommit& commit) {
    if (commit.m_status == StoreStatus::OK) {
        for (const EarlyCancelTable::Entry& entry : entries) {
            m_storedEarlyCancels.remove(entry.m_id);
        }
        return;
    }
    // After a conflict the items tell which keys were removed before, or written anew.
    for (const StoreItem& item : commit.m_items) {
        if (!item.m_key.starts_with(EARLY_CANCEL_PREFIX)) {
            continue;
        }
        const std::string id = item.m_key.substr(EARLY_CANCEL_PREFIX.size());
        if (item.m_revision == 0) {
            m_storedEarlyCancels.remove(id);
        } else {
            requestEarlyCancel(id, item);
        }
    }
}

/** Discards the state of a host that has been unreachable for too long, and its registration. */
void JobController::handleHostExpired(const std::string& host) {
    m_reports.erase(host);
    m_handover.forget(host);
    discardUnresolvedLossesOn(host, "");
    m_areSnapshotsStale = true;
    StoreTransaction transaction;
    transaction.m_conditions = {{std::string(LEADER_KEY), m_epoch}};
    transaction.m_removals = {getHostKey(host), getGatewayKey(host)};
    // The result is not needed: if the commit fails, the next leader repeats the removal.
    constexpr Millis COMMIT_TIMEOUT{1000};
    m_store.commit(transaction, COMMIT_TIMEOUT, [](const StoreCommit&) {});
}

}  // namespace pierbank
