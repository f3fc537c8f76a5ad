// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/Registration.h"

#include <utility>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** Delay before a failed write is repeated. */
constexpr Millis RETRY_DELAY{300};
constexpr Millis COMMIT_TIMEOUT{1000};

}  // namespace

Registration::Registration(RecordStore& store, EventLoop& loop, std::function<bool()> hasLeader)
        : m_store(store), m_loop(loop), m_hasLeader(std::move(hasLeader)) {}

void Registration::start(std::string key) {
    m_key = std::move(key);
    write();
    scheduleCheck();
}

void Registration::check() {
    if (!m_isWriting && !m_hasLeader()) {
        write();
    }
    scheduleCheck();
}

void Registration::scheduleCheck() {
    m_loop.callLater(CHECK_INTERVAL, [this, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            check();
        }
    });
}

void Registration::write() {
    m_isWriting = true;
    StoreTransaction transaction;
    transaction.m_puts = {{m_key, "", 0}};
    m_store.commit(
            transaction, COMMIT_TIMEOUT,
            [this, alive = std::weak_ptr(m_isAlive)](const StoreCommit& commit) {
                if (alive.expired()) {
                    return;
                }
                if (commit.m_status == StoreStatus::OK) {
                    m_isWriting = false;
                    logEvent(Severity::INFO, "registration", "done",
                             {{"key", m_key}, {"revision", std::to_string(commit.m_revision)}});
                    return;
                }
                logEvent(Severity::WARNING, "registration", "failed",
                         {{"key", m_key}, {"reason", commit.m_reason}});
                m_loop.callLater(RETRY_DELAY, [this, alive] {
                    if (!alive.expired()) {
                        write();
                    }
                });
            });
}

}  // namespace pierbank
