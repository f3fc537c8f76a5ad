// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/CommitResolver.h"

#include <algorithm>
#include <utility>

namespace pierbank {

namespace {

/** A try is given up after this time; each further one gets twice as long. */
constexpr Millis FIRST_TRY{300};
constexpr Millis LONGEST_TRY{2000};
/** Pause after a refusal. */
constexpr Millis REFUSAL_PAUSE{100};

struct Attempt : std::enable_shared_from_this<Attempt> {
    RecordStore* m_store = nullptr;
    EventLoop* m_loop = nullptr;
    StoreTransaction m_transaction;
    CommitRetryPolicy m_patience;
    CommitResolver::Guard m_guard;
    CommitResolver::Callback m_done;
    Millis m_startedAt{0};
    Millis m_tryTime = FIRST_TRY;
    /** An earlier try may have taken effect. */
    bool m_isUncertain = false;

    bool isPatient() const {
        return m_patience.m_limit == Millis(0) || m_loop->now() - m_startedAt < m_patience.m_limit;
    }

    void run() {
        if (m_guard.expired()) {
            return;
        }
        Millis tryTime = m_tryTime;
        if (m_patience.m_limit > Millis(0)) {
            const Millis left = m_patience.m_limit - (m_loop->now() - m_startedAt);
            tryTime = std::clamp(left, Millis(1), m_tryTime);
        }
        m_store->commit(
                m_transaction, tryTime,
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
                m_isUncertain = true;
                m_tryTime = std::min(m_tryTime * 2, LONGEST_TRY);
                retry(commit, Millis(0));
                return;
            case StoreStatus::REFUSED:
                if (m_isUncertain || m_patience.m_retriesRefusals) {
                    retry(commit, REFUSAL_PAUSE);
                    return;
                }
                m_done(commit);
                return;
            default:
                m_done(commit);
        }
    }

    void retry(const StoreCommit& last, Millis pause) {
        if (isPatient()) {
            m_loop->callLater(pause, [self = shared_from_this()] { self->run(); });
            return;
        }
        StoreCommit outcome = last;
        if (m_isUncertain) {
            outcome.m_status = StoreStatus::UNKNOWN;
        }
        m_done(outcome);
    }

    /** An earlier try took effect if every key it wrote has the value that it wrote. */
    void finishConflict(const StoreCommit& commit) {
        StoreCommit outcome = commit;
        if (m_isUncertain && isWritten(commit, outcome.m_revision)) {
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
                         CommitRetryPolicy patience, const Guard& guard, Callback done) {
    const auto attempt = std::make_shared<Attempt>();
    attempt->m_store = &store;
    attempt->m_loop = &loop;
    attempt->m_transaction = std::move(transaction);
    attempt->m_patience = patience;
    attempt->m_guard = guard;
    attempt->m_done = std::move(done);
    attempt->m_startedAt = loop.now();
    attempt->run();
}

}  // namespace pierbank
