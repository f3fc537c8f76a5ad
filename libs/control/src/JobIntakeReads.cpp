// SPDX-License-Identifier: Apache-2.0
// The part of JobIntake that reads states, cancels jobs and counts pending jobs.
#include <algorithm>
#include <utility>

#include "JobIntakeCall.h"
#include "pierbank/control/CommitResolver.h"
#include "pierbank/control/JobIntake.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/http/HttpStatus.h"
#include "pierbank/job/JobCodec.h"

namespace pierbank {

void JobIntake::readState(const CallPtr& call) {
    m_store.read(getRunKey(call->m_id), [this, call,
                                         alive = std::weak_ptr(m_isAlive)](const StoreRead& read) {
        if (alive.expired()) {
            return;
        }
        if (read.m_status == StoreStatus::NOT_FOUND) {
            readRecord(call, false);
            return;
        }
        const auto run =
                read.m_status == StoreStatus::OK ? decodeJobRun(read.m_item.m_value) : std::nullopt;
        if (!run.has_value()) {
            answerUnavailable(call, "the job's state can't be read");
            return;
        }
        answerRead(call, m_codec.writePhase(run->m_phase), run->m_explanation);
    });
}

/**
 * Reads the job's record or, with `isRecordAbsent`, the job's run. When a job finishes, its record
 * is removed and its run remains. If neither run nor record is found, the job may have started or
 * finished between these two reads, so the run is read once more.
 */
void JobIntake::readRecord(const CallPtr& call, bool isRecordAbsent) {
    const std::string key = isRecordAbsent ? getRunKey(call->m_id) : getJobKey(call->m_id);
    m_store.read(key, [this, call, isRecordAbsent,
                       alive = std::weak_ptr(m_isAlive)](const StoreRead& read) {
        if (alive.expired()) {
            return;
        }
        if (read.m_status == StoreStatus::NOT_FOUND) {
            if (isRecordAbsent) {
                answer(call, HTTP_GONE, "", "there is no such job");
            } else {
                readRecord(call, true);
            }
            return;
        }
        if (read.m_status != StoreStatus::OK) {
            answerUnavailable(call, "the job's state can't be read");
            return;
        }
        const auto run = isRecordAbsent ? decodeJobRun(read.m_item.m_value) : std::nullopt;
        if (isRecordAbsent && !run.has_value()) {
            answerUnavailable(call, "the job's state can't be read");
            return;
        }
        const JobPhase phase = run.has_value() ? run->m_phase : JobPhase::PENDING;
        answerRead(call, m_codec.writePhase(phase), "read from the store");
    });
}

void JobIntake::cancel(const CallPtr& call) {
    m_store.read(getRunKey(call->m_id),
                 [this, call, alive = std::weak_ptr(m_isAlive)](const StoreRead& read) {
                     if (alive.expired()) {
                         return;
                     }
                     const bool isAbsent = read.m_status == StoreStatus::NOT_FOUND;
                     if (read.m_status != StoreStatus::OK && !isAbsent) {
                         answerUnavailable(call, "the job's state can't be read");
                         return;
                     }
                     const auto run = isAbsent ? std::nullopt : decodeJobRun(read.m_item.m_value);
                     if (!isAbsent && !run.has_value()) {
                         answerUnavailable(call, "the job's state can't be read");
                         return;
                     }
                     if (run.has_value() && run->isFinished()) {
                         answer(call, HTTP_OK, "", "the job had already finished");
                         return;
                     }
                     cancelRecord(call, run.has_value());
                 });
}

void JobIntake::cancelRecord(const CallPtr& call, bool hasRun) {
    m_store.read(getJobKey(call->m_id),
                 [this, call, hasRun, alive = std::weak_ptr(m_isAlive)](const StoreRead& read) {
                     if (alive.expired()) {
                         return;
                     }
                     if (read.m_status == StoreStatus::OK) {
                         putCancel(call, read.m_item);
                     } else if (read.m_status != StoreStatus::NOT_FOUND) {
                         answerUnavailable(call, "the job can't be read");
                     } else if (hasRun) {
                         // The previous read found the job's run, so the job has finished since
                         // then.
                         answer(call, HTTP_OK, "", "the job has finished");
                     } else {
                         cancelUnknown(call);
                     }
                 });
}

/** Cancels a job of which nothing is known, unless there were too many such requests. */
void JobIntake::cancelUnknown(const CallPtr& call) {
    const auto wait = m_earlyCancelLimiter.acquire(call->m_organisation, m_loop.now());
    if (!wait.has_value()) {
        putEarlyCancel(call);
        return;
    }
    ++m_statistics.m_earlyCancelsRefused;
    call->m_minRetryDelay = *wait;
    // The leader is not asked: it would spend the same writes.
    answer(call, HTTP_UNAVAILABLE, "", "too many requests to cancel unknown jobs");
}

/**
 * Records that a job is cancelled of which nothing is known. Its submission may still be on its way
 * to another gateway or to the store; the job is then accepted as a cancelled one. The transaction
 * is conditional on the request that is already stored, if there is one, so that it replaces no
 * request of another organisation.
 */
void JobIntake::putEarlyCancel(const CallPtr& call) {
    EarlyCancels requests =
            decodeEarlyCancels(call->m_earlyCancel.m_value).value_or(EarlyCancels());
    requests.add({call->m_organisation, m_loop.wallNow()});
    const std::string value = encodeEarlyCancels(requests);
    StoreTransaction transaction;
    transaction.m_conditions = {{getJobKey(call->m_id), 0},
                                {getRunKey(call->m_id), 0},
                                {getEarlyCancelKey(call->m_id), call->m_earlyCancel.m_revision}};
    transaction.m_puts = {{getEarlyCancelKey(call->m_id), value, 0}};
    CommitRetryPolicy retryPolicy;
    retryPolicy.m_timeLimit = std::max(getTimeLeft(*call), Millis(1));
    CommitResolver::run(m_store, m_loop, std::move(transaction), retryPolicy, m_isAlive,
                        [this, call, value](const StoreCommit& commit) {
                            handleEarlyCancelWritten(call, value, commit);
                        });
}

void JobIntake::handleEarlyCancelWritten(const CallPtr& call, const std::string& value,
                                         const StoreCommit& commit) {
    switch (commit.m_status) {
        case StoreStatus::OK:
            ++m_statistics.m_earlyCancels;
            m_onWritten(getEarlyCancelKey(call->m_id), value);
            answer(call, HTTP_GONE, "", "there is no such job");
            return;
        case StoreStatus::CONFLICT:
            break;
        case StoreStatus::UNKNOWN:
            relayOr(call, HTTP_TIMEOUT, "the store did not confirm the cancellation");
            return;
        default:
            answerUnavailable(call, "the store refused: " + commit.m_reason);
            return;
    }
    if (++call->m_tries >= MAX_TRIES || getTimeLeft(*call) <= Millis(0)) {
        answerUnavailable(call, "the cancelling of the job keeps changing");
    } else if (updateEarlyCancel(*call, commit)) {
        putEarlyCancel(call);
    } else {
        // The job was accepted meanwhile.
        cancel(call);
    }
}

void JobIntake::putCancel(const CallPtr& call, const StoreItem& record) {
    StoreTransaction transaction;
    transaction.m_conditions = {{record.m_key, record.m_revision}};
    transaction.m_puts = {{getCancelKey(call->m_id), call->m_organisation, 0}};
    CommitRetryPolicy retryPolicy;
    retryPolicy.m_timeLimit = std::max(getTimeLeft(*call), Millis(1));
    CommitResolver::run(m_store, m_loop, std::move(transaction), retryPolicy, m_isAlive,
                        [this, call](const StoreCommit& commit) {
                            if (commit.m_status == StoreStatus::OK) {
                                m_onWritten(getCancelKey(call->m_id), "");
                                answer(call, HTTP_OK, "", "withdrawn");
                            } else if (commit.m_status == StoreStatus::CONFLICT) {
                                answer(call, HTTP_OK, "", "the job has just finished");
                            } else if (commit.m_status == StoreStatus::UNKNOWN) {
                                relayOr(call, HTTP_TIMEOUT,
                                        "the store did not confirm the cancellation");
                            } else {
                                answerUnavailable(call, "the store refused: " + commit.m_reason);
                            }
                        });
}

/**
 * Answers a read if the current configuration still allows the request. A read may take long enough
 * for the configuration to change. Without this check the answer would then show an older
 * configuration than that of a concurrent request that waited for the newer one.
 */
void JobIntake::answerRead(const CallPtr& call, std::string body, std::string_view reason) {
    if (isStillAllowed(*call)) {
        answer(call, HTTP_OK, std::move(body), reason);
    } else {
        route(call);
    }
}

bool JobIntake::isStillAllowed(const Call& call) const {
    if (call.m_configurationRevision == m_configuration.getRevision()) {
        return true;
    }
    const QueueConfiguration& configuration = *m_configuration.get();
    const QueueRoute* const route =
            configuration.findRoute(call.m_request.m_host, call.m_request.m_path);
    const auto organisation = configuration.m_organisationsByKey.find(call.m_request.m_key);
    const bool isKnown = organisation != configuration.m_organisationsByKey.end();
    return route != nullptr && route->m_policy.m_queue == call.m_policy.m_queue &&
           (route->m_isOpen || isKnown) &&
           call.m_organisation == (isKnown ? organisation->second : std::string());
}

void JobIntake::countPending(const CallPtr& call) {
    if (m_hasPending && m_loop.now() - m_pendingCountedAt <= m_settings.m_maxPendingAge) {
        answerPending(call);
        return;
    }
    m_pendingCalls.push_back(call);
    if (m_pendingCalls.size() == 1) {
        refreshPending();
    }
}

/**
 * Queries the leader, which has the numbers without listing all jobs and knows which runs the
 * workers have begun, or lists the jobs.
 */
void JobIntake::refreshPending() {
    if (m_relay == nullptr) {
        listPending();
        return;
    }
    m_relay->countPending([this, at = m_loop.now(), alive = std::weak_ptr(m_isAlive)](
                                  const std::optional<PendingJobs>& pending) {
        if (alive.expired()) {
            return;
        }
        if (!pending.has_value()) {
            listPending();
            return;
        }
        m_pending = *pending;
        m_pendingCountedAt = at;
        m_isPendingFromLeader = true;
        m_hasPending = true;
        finishPending(true);
    });
}

/**
 * Counts the accepted jobs whose run has not started, except timed jobs, from a list of the jobs
 * and then a list of the runs.
 */
void JobIntake::listPending() {
    const Millis at = m_loop.now();
    m_store.list(JOB_PREFIX, [this, at, alive = std::weak_ptr(m_isAlive)](const StoreList& jobs) {
        if (alive.expired()) {
            return;
        }
        if (jobs.m_status != StoreStatus::OK) {
            finishPending(false);
            return;
        }
        std::map<std::string, std::string> queues;
        for (const StoreItem& item : jobs.m_items) {
            const auto record = decodeJobRecord(item.m_value);
            if (record.has_value() && !record->m_spec.isTimed()) {
                queues[record->m_id] = record->m_policy.m_queue;
            }
        }
        m_store.list(RUN_PREFIX,
                     [this, at, queues = std::move(queues), alive](const StoreList& runs) mutable {
                         if (alive.expired()) {
                             return;
                         }
                         for (const StoreItem& item : runs.m_items) {
                             const auto run = decodeJobRun(item.m_value);
                             if (run.has_value() && (run->m_hasStarted || run->isFinished())) {
                                 queues.erase(item.m_key.substr(RUN_PREFIX.size()));
                             }
                         }
                         m_pending.clear();
                         for (const auto& [id, queue] : queues) {
                             ++m_pending[queue];
                         }
                         m_pendingCountedAt = at;
                         m_isPendingFromLeader = false;
                         m_hasPending = runs.m_status == StoreStatus::OK;
                         finishPending(m_hasPending);
                     });
    });
}

/** Answers with the last count. The reason in the log says who made the count, and its age. */
void JobIntake::answerPending(const CallPtr& call) {
    const Millis age = m_loop.now() - m_pendingCountedAt;
    answerRead(call, m_codec.writePending(m_pending[call->m_policy.m_queue]),
               std::string(m_isPendingFromLeader ? "counted by the leader "
                                                 : "counted from the store ") +
                       std::to_string(age.count()) + " ms ago");
}

void JobIntake::finishPending(bool isGood) {
    for (const CallPtr& call : std::exchange(m_pendingCalls, {})) {
        if (isGood) {
            answerPending(call);
        } else {
            answerUnavailable(call, "the jobs can't be listed");
        }
    }
}

}  // namespace pierbank
