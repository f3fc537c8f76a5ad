// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/Registration.h"

#include <utility>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** Pause before the key is written again. */
constexpr Millis PAUSE{300};
constexpr Millis PATIENCE{1000};

}  // namespace

void registerAddress(RecordStore& store, EventLoop& loop, std::string key,
                     std::weak_ptr<bool> guard) {
    StoreTransaction transaction;
    transaction.m_puts = {{key, "", 0}};
    store.commit(transaction, PATIENCE, [&store, &loop, key, guard](const StoreCommit& commit) {
        if (guard.expired()) {
            return;
        }
        if (commit.m_status == StoreStatus::OK) {
            logEvent(Severity::INFO, "registration", "done",
                     {{"key", key}, {"revision", std::to_string(commit.m_revision)}});
            return;
        }
        logEvent(Severity::WARNING, "registration", "failed",
                 {{"key", key}, {"reason", commit.m_reason}});
        loop.callLater(PAUSE, [&store, &loop, key, guard] {
            if (!guard.expired()) {
                registerAddress(store, loop, key, guard);
            }
        });
    });
}

}  // namespace pierbank
