// SPDX-License-Identifier: Apache-2.0
// What a JobController reads from the store.
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

/** Pause before a call of the store that failed is made again. */
constexpr Millis RETRY_PAUSE{200};

}  // namespace

void JobController::load() {
    m_store.list(INPUT_PREFIX, [this, term = std::weak_ptr(m_term)](const StoreList& input) {
        if (term.expired()) {
            return;
        }
        if (input.m_status != StoreStatus::OK) {
            m_loop.callLater(RETRY_PAUSE, guarded([this] { load(); }));
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
            m_loop.callLater(RETRY_PAUSE, guarded([this] { load(); }));
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
        blameHosts();
        findOpenLosses();
        m_watchedTo = input.m_at;
        m_isLoaded = true;
        m_loadedAt = m_loop.now();
        logEvent(Severity::INFO, "jobs", "loaded",
                 {{"epoch", std::to_string(m_epoch)},
                  {"jobs", std::to_string(m_jobs.size())},
                  {"at", std::to_string(input.m_at)}});
        watch();
        tick();
        stepSoon();
    });
}

/**
 * A new leader knows of hosts only what the unfinished jobs say: on those that are named by a task
 * without a failure, it stood still. Hosts that failed a task are not blamed anew: most of these
 * failures are the tasks' own, and with them 8 of 60 plays fell and 2 rose on a fleet of 14 hosts
 * (-0.0067 +- 0.0038 of a day's worth; without, 2 fell and 2 rose).
 */
void JobController::blameHosts() {
    for (const auto& [id, entry] : m_jobs) {
        if (entry.m_run.isFinished()) {
            continue;
        }
        for (const std::string_view host : listStalledHosts(entry.m_run)) {
            m_health.recordStalled(std::string(host), m_loop.now());
        }
    }
}

void JobController::watch() {
    const auto onChanges = [this, term = std::weak_ptr(m_term)](const StoreChanges& changes) {
        if (term.expired()) {
            return;
        }
        if (changes.m_status != StoreStatus::OK) {
            m_loop.callLater(RETRY_PAUSE, guarded([this] { relist(); }));
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

/** After a watch that broke, nobody knows what it missed. */
void JobController::relist() {
    m_store.list(INPUT_PREFIX, [this, term = std::weak_ptr(m_term)](const StoreList& input) {
        if (term.expired()) {
            return;
        }
        if (input.m_status != StoreStatus::OK) {
            m_loop.callLater(RETRY_PAUSE, guarded([this] { relist(); }));
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
    } else if (key.starts_with(HOST_PREFIX)) {
        m_workers.addHost(std::string(key.substr(HOST_PREFIX.size())));
    } else if (key.starts_with(GATEWAY_PREFIX)) {
        m_workers.addHost(std::string(key.substr(GATEWAY_PREFIX.size())));
    } else if (key == WEIGHT_KEY) {
        updateWeight(item.m_value);
    } else if (key.starts_with(WORKER_PREFIX)) {
        updateAdminState(std::string(key.substr(WORKER_PREFIX.size())), item.m_value);
    } else if (key.starts_with(DOMAIN_PREFIX)) {
        updateDomain(std::string(key.substr(DOMAIN_PREFIX.size())), item.m_value);
    }
    stepSoon();
}

void JobController::updateWeight(std::string_view text) {
    constexpr std::uint32_t MOST = 100;
    std::uint32_t weight = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), weight);
    if (result.ec != std::errc() || weight > MOST) {
        noteUnreadable("jobs", "unreadable-weight", {{"value", std::string(text)}});
        return;
    }
    m_weight = weight;
}

void JobController::updateAdminState(const std::string& host, std::string_view word) {
    for (const WorkerAdminState hold :
         {WorkerAdminState::RELEASE, WorkerAdminState::QUARANTINE, WorkerAdminState::DRAIN}) {
        if (word == toText(hold)) {
            m_adminStates[host] = hold;
            return;
        }
    }
    noteUnreadable("jobs", "unreadable-hold", {{"host", host}, {"value", std::string(word)}});
}

/**
 * Sooner than the watch, and without a read, which on a slow store would come before each start.
 * The store's order does not matter here: a record never changes, and a withdrawal is one whenever
 * it is seen.
 */
void JobController::handleInputNotice(const InputNotice& notice) {
    if (m_isLoaded) {
        handleInput({notice.m_key, notice.m_value, 0});
    }
}

/** Their links are opened first: their leases are running. */
std::set<std::string, std::less<>> JobController::listHostsWithRuns() const {
    std::set<std::string, std::less<>> hosts;
    for (const auto& [id, entry] : m_jobs) {
        for (const ActiveRun& run : listActiveRuns(id, entry.m_run)) {
            hosts.insert(run.m_worker.m_host);
        }
    }
    return hosts;
}

void JobController::addJob(const StoreItem& item) {
    const std::string id = item.m_key.substr(JOB_PREFIX.size());
    if (m_jobs.count(id) != 0 || m_unreadable.count(id) != 0) {
        return;
    }
    auto record = decodeJobRecord(item.m_value);
    if (!record.has_value()) {
        noteUnreadable("jobs", "unreadable-job", {{"job", id}});
        return;
    }
    JobEntry entry;
    entry.m_run = makeJobRun(*record);
    entry.m_record = std::move(*record);
    entry.m_isCancelRequested = m_earlyCancels.erase(id) != 0;
    logEvent(
            Severity::INFO, "jobs", "known",
            {{"job", id},
             {"organisation", entry.m_record.m_organisation},
             {"queue", entry.m_record.m_policy.m_queue},
             {"priority", std::to_string(entry.m_record.m_policy.m_priority)},
             {"steps", std::to_string(entry.m_record.m_spec.m_steps.size())},
             {"objective_ms", std::to_string(getObjectiveSpan(entry.m_record).count())},
             {"age_ms", std::to_string((m_loop.wallNow() - entry.m_record.m_acceptedAt).count())}});
    m_demand.recordArrival(entry.m_record);
    m_jobs.emplace(id, std::move(entry));
}

void JobController::addRun(const StoreItem& item) {
    const std::string id = item.m_key.substr(RUN_PREFIX.size());
    auto run = decodeJobRun(item.m_value);
    if (!run.has_value()) {
        // It may run, or be done: nothing can be decided about it, and what is known stays as it
        // is.
        noteUnreadable("jobs", "unreadable-run", {{"job", id}});
        m_jobs.erase(id);
        m_unreadable.insert(id);
        return;
    }
    const auto [place, isNew] = m_jobs.try_emplace(id);
    JobEntry& entry = place->second;
    if (isNew) {
        entry.m_record.m_id = id;
        entry.m_hasInput = false;
    }
    if (isNew && !run->isFinished()) {
        logEvent(Severity::ERROR, "jobs", "run-without-job", {{"job", id}});
    }
    entry.m_run = std::move(*run);
    entry.m_runRevision = item.m_revision;
    // Its input should have gone with the write that ended it.
    entry.m_isDirty = entry.m_run.isFinished() && entry.m_hasInput && entry.m_run.isIdle();
}

void JobController::requestCancel(const std::string& id) {
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end()) {
        found->second.m_isCancelRequested = true;
    } else {
        // A list names withdrawals before the jobs that they belong to.
        m_earlyCancels.insert(id);
    }
}

}  // namespace pierbank
