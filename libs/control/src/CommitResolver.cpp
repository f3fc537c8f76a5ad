// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/CommitResolver.h"

#include <algorithm>
#include <utility>

namespace pierbank {

namespace {

/** Timeout of the first attempt; the timeout doubles with each further attempt. */
constexpr Millis INITIAL_TIMEOUT{300};
constexpr Millis MAX_TIMEOUT{2000};
/** Delay before a refused transaction is retried. */
constexpr Millis REFUSAL_RETRY_DELAY{100};

/** State of one transaction until its outcome is known; kept alive by its callbacks. */
struct Resolution : std::enable_shared_from_this<Resolution> {
    RecordStore* m_store = nullptr;
    EventLoop* m_loop = nullptr;
    StoreTransaction m_transaction;
    CommitRetryPolicy m_policy;
    CommitResolver::Guard m_guard;
    CommitResolver::Callback m_done;
    Millis m_startedAt{0};
    Millis m_timeout = INITIAL_TIMEOUT;
    /** Whether an earlier attempt without an answer may have taken effect. */
    bool m_mayBeCommitted = false;

    bool mayRetry() const {
        return m_policy.m_timeLimit == Millis(0) ||
               m_loop->now() - m_startedAt < m_policy.m_timeLimit;
    }

    void run() {
        if (m_guard.expired()) {
            return;
        }
        Millis timeout = m_timeout;
        if (m_policy.m_timeLimit > Millis(0)) {
            const Millis left = m_policy.m_timeLimit - (m_loop->now() - m_startedAt);
            timeout = std::clamp(left, Millis(1), m_timeout);
        }
        m_store->commit(
                m_transaction, timeout,
                [self = shared_from_this()](const StoreCommit& commit) { self->handle(commit); });
    }

    void handle(const StoreCommit& commit) {
        if (m_guard.expired()) {
            return;
        }
        switch (commit.m_status) {
            case StoreStatus::CONFLICT:
                finishConflict(commit);
                return;
            case StoreStatus::UNKNOWN:
                m_mayBeCommitted = true;
                m_timeout = std::min(m_timeout * 2, MAX_TIMEOUT);
                retryLater(commit, Millis(0));
                return;
            case StoreStatus::REFUSED:
                if (m_mayBeCommitted || m_policy.m_retriesRefusals) {
                    retryLater(commit, REFUSAL_RETRY_DELAY);
                    return;
                }
                m_done(commit);
                return;
            default:
                m_done(commit);
        }
    }

    void retryLater(const StoreCommit& last, Millis delay) {
        if (mayRetry()) {
            m_loop->callLater(delay, [self = shared_from_this()] { self->run(); });
            return;
        }
        StoreCommit outcome = last;
        if (m_mayBeCommitted) {
            outcome.m_status = StoreStatus::UNKNOWN;
        }
        m_done(outcome);
    }

    /**
     * Reports a conflict as success if an earlier attempt took effect, that is, if all keys that
     * the transaction writes have the written values.
     */
    void finishConflict(const StoreCommit& commit) {
        StoreCommit outcome = commit;
        if (m_mayBeCommitted && isWritten(commit, outcome.m_revision)) {
            outcome.m_status = StoreStatus::OK;
        }
        m_done(outcome);
    }

    bool isWritten(const StoreCommit& commit, StoreRevision& revision) const {
        if (m_transaction.m_puts.empty()) {
            return false;
        }
        return std::all_of(
                m_transaction.m_puts.begin(), m_transaction.m_puts.end(), [&](const StorePut& put) {
                    const auto found = std::find_if(
                            commit.m_items.begin(), commit.m_items.end(),
                            [&](const StoreItem& item) { return item.m_key == put.m_key; });
                    if (found == commit.m_items.end() || found->m_value != put.m_value) {
                        return false;
                    }
                    revision = found->m_revision;
                    return true;
                });
    }
};

}  // namespace

void CommitResolver::run(RecordStore& store, EventLoop& loop, StoreTransaction transaction,
                         CommitRetryPolicy policy, const Guard& guard, Callback done) {
    const auto resolution = std::make_shared<Resolution>();
    resolution->m_store = &store;
    resolution->m_loop = &loop;
    resolution->m_transaction = std::move(transaction);
    resolution->m_policy = policy;
    resolution->m_guard = guard;
    resolution->m_done = std::move(done);
    resolution->m_startedAt = loop.now();
    resolution->run();
}

}  // namespace pierbank
