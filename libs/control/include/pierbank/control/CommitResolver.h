// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_COMMITRESOLVER_H
#define PIERBANK_CONTROL_COMMITRESOLVER_H

#include <functional>
#include <memory>

#include "pierbank/base/EventLoop.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

/** Limits how often a CommitResolver retries. */
struct CommitRetryPolicy {
    /**
     * Time after which no further attempt is made, so that the outcome may remain unknown; zero:
     * retry until the outcome is known.
     */
    Millis m_timeLimit{0};
    /** Whether a refused transaction is retried within the limit. */
    bool m_retriesRefusals = false;
};

/**
 * Runs a transaction until its outcome is known. When no answer arrives, the write may have taken
 * effect or may still do so seconds later, so the same transaction is run again. The transaction's
 * conditions let only one of these attempts take effect. OK therefore means that the transaction
 * was applied; on a conflict the values of the written keys show whether an earlier attempt was
 * applied.
 *
 *     CommitResolver::run(store, loop, transaction, policy, guard, [](const StoreCommit& c) {...});
 *
 * On OK the revision is that of the written keys. On CONFLICT nothing was written and nothing will
 * be written later.
 */
class CommitResolver {
public:
    using Callback = std::function<void(const StoreCommit&)>;

    /**
     * Expires with the owner of the callback; once the guard has expired, the callback is not
     * called.
     */
    using Guard = std::weak_ptr<bool>;

    /** Starts the transaction. `done` is called once; store and loop must outlive the attempts. */
    static void run(RecordStore& store, EventLoop& loop, StoreTransaction transaction,
                    CommitRetryPolicy policy, const Guard& guard, Callback done);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_COMMITRESOLVER_H
