// SPDX-License-Identifier: Apache-2.0
// Loads and watches a JobController's input in the store.
#include <algorithm>
#include <charconv>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/base/UnreadableInputs.h"
#include "pierbank/control/JobController.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/job/JobCodec.h"

namespace pierbank {

namespace {

/** Delay before a failed call to the store is repeated. */
constexpr Millis RETRY_DELAY{200};

}  // namespace

/** Lists the leader's input, then the jobs' runs; starts over if a call fails. */
void JobController::load() {
    m_store.list(INPUT_PREFIX, [this, term = std::weak_ptr(m_term)](const StoreList& input) {
        if (term.expired()) {
            return;
        }
        if (input.m_status != StoreStatus::OK) {
            m_loop.callLater(RETRY_DELAY, guarded([this] { load(); }));
            return;
        }
        loadRuns(input);
    });
}

void JobController::loadRuns(const StoreList& input) {
    m_store.list(RUN_PREFIX, [this, input, term = std::weak_ptr(m_term)](const StoreList& runs) {
        if (term.expired()) {
            return;
        }
        if (runs.m_status != StoreStatus::OK) {
            m_loop.callLater(RETRY_DELAY, guarded([this] { load(); }));
            return;
        }
        for (const StoreItem& item : input.m_items) {
            if (item.m_key.starts_with(JOB_PREFIX)) {
                addJob(item);
            }
        }
        for (const StoreItem& item : runs.m_items) {
            addRun(item);
        }
        m_workers.setPriorityHosts(listHostsWithRuns());
        for (const StoreItem& item : input.m_items) {
            if (!item.m_key.starts_with(JOB_PREFIX)) {
                handleInput(item);
            }
        }
        restoreStalledHosts();
        restoreUnresolvedLosses();
        m_watchedTo = input.m_at;
        m_isLoaded = true;
        m_loadedAt = m_loop.now();
        logEvent(Severity::INFO, "jobs", "loaded",
                 {{"epoch", std::to_string(m_epoch)},
                  {"jobs", std::to_string(m_jobs.size())},
                  {"at", std::to_string(input.m_at)}});
        watch();
        tick();
        invalidatePlan();
    });
}

/**
 * Restores the failure scores of hosts where runs stalled, for a new leader. The only source is the
 * records of unfinished jobs: a host that is listed for a task without a failure is a host on which
 * the task stalled. Hosts where tasks failed are not restored: most such failures are the tasks'
 * own, and counting them makes schedules slightly worse on a small fleet.
 */
void JobController::restoreStalledHosts() {
    for (const auto& [id, entry] : m_jobs) {
        if (entry.m_run.isFinished()) {
            continue;
        }
        for (const std::string_view host : listStalledHosts(entry.m_run)) {
            m_learned.health().recordStalled(std::string(host), m_loop.now());
        }
    }
}

void JobController::watch() {
    const auto onChanges = [this, term = std::weak_ptr(m_term)](const StoreChanges& changes) {
        if (term.expired()) {
            return;
        }
        if (changes.m_status != StoreStatus::OK) {
            m_loop.callLater(RETRY_DELAY, guarded([this] { relist(); }));
            return;
        }
        m_watchedTo = changes.m_at;
        for (const StoreEvent& event : changes.m_events) {
            if (!event.m_isDeleted) {
                handleInput(event.m_item);
            }
        }
        watch();
    };
    m_store.watch(INPUT_PREFIX, m_watchedTo, m_settings.m_watchWait, onChanges);
}

/** Lists the whole input again after a failed watch, which may have missed changes. */
void JobController::relist() {
    m_store.list(INPUT_PREFIX, [this, term = std::weak_ptr(m_term)](const StoreList& input) {
        if (term.expired()) {
            return;
        }
        if (input.m_status != StoreStatus::OK) {
            m_loop.callLater(RETRY_DELAY, guarded([this] { relist(); }));
            return;
        }
        for (const StoreItem& item : input.m_items) {
            handleInput(item);
        }
        m_watchedTo = input.m_at;
        watch();
    });
}

void JobController::handleInput(const StoreItem& item) {
    const std::string_view key = item.m_key;
    if (key.starts_with(JOB_PREFIX)) {
        addJob(item);
    } else if (key.starts_with(CANCEL_PREFIX)) {
        requestCancel(std::string(key.substr(CANCEL_PREFIX.size())));
    } else if (key.starts_with(EARLY_CANCEL_PREFIX)) {
        requestEarlyCancel(std::string(key.substr(EARLY_CANCEL_PREFIX.size())), item);
    } else if (key.starts_with(HOST_PREFIX)) {
        m_workers.addHost(std::string(key.substr(HOST_PREFIX.size())));
    } else if (key.starts_with(GATEWAY_PREFIX)) {
        m_workers.addHost(std::string(key.substr(GATEWAY_PREFIX.size())));
    } else {
        handleDecision(item);
    }
    invalidatePlan();
}

/** Applies an operator's decision, unless a later one about the same subject was applied before. */
void JobController::handleDecision(const StoreItem& item) {
    const std::string_view key = item.m_key;
    StoreRevision& applied = m_decisionRevisions[item.m_key];
    if (item.m_revision < applied) {
        return;
    }
    applied = item.m_revision;
    if (key == WEIGHT_KEY) {
        updateWeight(item.m_value);
    } else if (key.starts_with(WORKER_PREFIX)) {
        updateAdminState(std::string(key.substr(WORKER_PREFIX.size())), item.m_value);
    } else if (key.starts_with(DOMAIN_PREFIX)) {
        updateDomain(std::string(key.substr(DOMAIN_PREFIX.size())), item.m_value);
    }
}

/** Sets the fragmentation weight from a number of 0 to 100; reports and ignores any other text. */
void JobController::updateWeight(std::string_view text) {
    constexpr std::uint32_t MAX_WEIGHT = 100;
    std::uint32_t weight = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), weight);
    if (result.ec != std::errc() || weight > MAX_WEIGHT) {
        reportUnreadable("jobs", "unreadable-weight", {{"value", std::string(text)}});
        return;
    }
    m_currentFragmentationWeight = weight;
}

void JobController::updateAdminState(const std::string& host, std::string_view word) {
    for (const WorkerAdminState state :
         {WorkerAdminState::RELEASE, WorkerAdminState::QUARANTINE, WorkerAdminState::DRAIN}) {
        if (word == toText(state)) {
            m_adminStates[host] = state;
            return;
        }
    }
    reportUnreadable("jobs", "unreadable-hold", {{"host", host}, {"value", std::string(word)}});
}

/**
 * Handles input that another gateway has written to the store. The notice arrives before the watch
 * reports the input, and saves a read that would delay each start when the store is slow. The order
 * of notices and watch events does not matter: a job's record never changes, and a cancel is final.
 */
void JobController::handleInputNotice(const InputNotice& notice) {
    applyWritten({notice.m_key, notice.m_value, 0});
}

void JobController::applyWritten(const StoreItem& item) {
    if (m_isLoaded) {
        handleInput(item);
    }
}

/**
 * Returns the hosts with active runs. Their links are opened first, since their workers' leases
 * are running out.
 */
std::set<std::string, std::less<>> JobController::listHostsWithRuns() const {
    std::set<std::string, std::less<>> hosts;
    for (const auto& [id, entry] : m_jobs) {
        for (const ActiveRun& run : listActiveRuns(id, entry.m_run)) {
            hosts.insert(run.m_worker.m_host);
        }
    }
    return hosts;
}

/** Adds a job from its record in the store, unless it is known or can't be decoded. */
void JobController::addJob(const StoreItem& item) {
    const std::string id = item.m_key.substr(JOB_PREFIX.size());
    if (m_jobs.count(id) != 0 || m_unreadableJobs.count(id) != 0) {
        return;
    }
    auto record = decodeJobRecord(item.m_value);
    if (!record.has_value()) {
        reportUnreadable("jobs", "unreadable-job", {{"job", id}});
        m_unreadableJobs.insert(id);
        return;
    }
    JobEntry entry;
    entry.m_run = makeJobRun(*record);
    entry.m_record = std::move(*record);
    entry.m_isCancelRequested = m_earlyCancels.erase(id) != 0 ||
                                m_storedEarlyCancels.contains(id, entry.m_record.m_organisation);
    logEvent(
            Severity::INFO, "jobs", "known",
            {{"job", id},
             {"organisation", entry.m_record.m_organisation},
             {"queue", entry.m_record.m_policy.m_queue},
             {"priority", std::to_string(entry.m_record.m_policy.m_priority)},
             {"steps", std::to_string(entry.m_record.m_spec.m_steps.size())},
             {"objective_ms", std::to_string(getObjectiveSpan(entry.m_record).count())},
             {"age_ms", std::to_string((m_loop.wallNow() - entry.m_record.m_acceptedAt).count())}});
    m_learned.demand().recordArrival(entry.m_record);
    m_jobs.emplace(id, std::move(entry));
}

/**
 * Loads the committed run of a job. A run without a record belongs to a finished job whose input
 * has been removed. The job is left out of scheduling, and the stored run stays unchanged, if the
 * run can't be decoded, or if it is unfinished and has no record.
 */
void JobController::addRun(const StoreItem& item) {
    const std::string id = item.m_key.substr(RUN_PREFIX.size());
    auto run = decodeJobRun(item.m_value);
    if (!run.has_value()) {
        reportUnreadable("jobs", "unreadable-run", {{"job", id}});
        m_jobs.erase(id);
        m_unreadableJobs.insert(id);
        return;
    }
    if (m_jobs.count(id) == 0 && !run->isFinished()) {
        logEvent(Severity::ERROR, "jobs", "run-without-job", {{"job", id}});
        m_unreadableJobs.insert(id);
        return;
    }
    const auto [position, isNew] = m_jobs.try_emplace(id);
    JobEntry& entry = position->second;
    if (isNew) {
        entry.m_record.m_id = id;
        entry.m_hasInput = false;
    }
    entry.m_run = std::move(*run);
    entry.m_runRevision = item.m_revision;
    // The transaction that persisted the job's end should also have removed its input.
    entry.m_isDirty = entry.m_run.isFinished() && entry.m_hasInput && entry.m_run.isIdle();
}

void JobController::requestCancel(const std::string& id) {
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end()) {
        found->second.m_isCancelRequested = true;
    } else {
        // A list from the store returns a cancel before the job to which it belongs.
        m_earlyCancels.insert(id);
    }
}

void JobController::requestEarlyCancel(const std::string& id, const StoreItem& item) {
    const auto requests = decodeEarlyCancels(item.m_value);
    if (!requests.has_value()) {
        reportUnreadable("jobs", "unreadable-early-cancel", {{"job", id}});
        return;
    }
    m_storedEarlyCancels.add(id, *requests, item.m_revision);
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() &&
        m_storedEarlyCancels.contains(id, found->second.m_record.m_organisation)) {
        found->second.m_isCancelRequested = true;
    }
}

}  // namespace pierbank
