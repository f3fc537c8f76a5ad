// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_COMMITRESOLVER_H
#define PIERBANK_CONTROL_COMMITRESOLVER_H

#include <functional>
#include <memory>

#include "pierbank/base/EventLoop.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

/** How long a CommitResolver tries. */
struct CommitRetryPolicy {
    /** After this time the outcome may stay unknown; zero: try until it is known. */
    Millis m_limit{0};
    /** Whether a refused transaction is tried again within the limit. */
    bool m_retriesRefusals = false;
};

/**
 * Runs a transaction until its outcome is known. An answer that was lost may belong to a write that
 * took effect, or will seconds later; the same transaction is run again. Its conditions let only
 * one of them take effect: so OK means that it is this one, and on a conflict the values of the
 * written keys tell whether an earlier try was.
 *
 *     CommitResolver::run(store, loop, transaction, patience, [](const StoreCommit& commit) {...});
 *
 * On OK the revision is that of the written keys. On CONFLICT nothing was or will be written.
 */
class CommitResolver {
public:
    using Callback = std::function<void(const StoreCommit&)>;

    /** Lets an owner that goes away keep the callback from being called. */
    using Guard = std::weak_ptr<bool>;

    static void run(RecordStore& store, EventLoop& loop, StoreTransaction transaction,
                    CommitRetryPolicy patience, const Guard& guard, Callback done);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_COMMITRESOLVER_H
