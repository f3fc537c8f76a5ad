// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LeaderLock.h"

#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/CommitResolver.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank {

namespace {

/** Pause after a call that failed. */
constexpr Millis RETRY_PAUSE{200};
/** The same while the leader is heard of: then nothing hangs on it. */
constexpr Millis LED_RETRY_PAUSE{1500};

}  // namespace

LeaderLock::LeaderLock(RecordStore& store, EventLoop& loop, LeaderLockSettings settings)
        : m_store(store), m_loop(loop), m_settings(std::move(settings)) {}

LeaderLock::~LeaderLock() = default;

std::function<void()> LeaderLock::guarded(std::function<void()> task) {
    return [alive = std::weak_ptr(m_isAlive), task = std::move(task)] {
        if (!alive.expired()) {
            task();
        }
    };
}

void LeaderLock::start() {
    look();
}

void LeaderLock::pollLater(Millis pause) {
    m_loop.callLater(pause, [this, look = std::weak_ptr(m_poll)] {
        if (!look.expired()) {
            this->look();
        }
    });
}

Millis LeaderLock::getRetryPause() const {
    return m_hasLeader() ? LED_RETRY_PAUSE : RETRY_PAUSE;
}

void LeaderLock::pollWithin(Millis pause) {
    if (!m_isReleased && !isHeld()) {
        pollLater(pause);
    }
}

void LeaderLock::look() {
    const bool isBidding = m_isAcquiring || m_bidTimer != TimerId::NONE;
    if (m_isReleased || isHeld() || isBidding) {
        return;
    }
    m_poll = std::make_shared<bool>(true);
    m_store.read(LEADER_KEY, [this, look = std::weak_ptr(m_poll)](const StoreRead& read) {
        if (!look.expired()) {
            handlePoll(read);
        }
    });
}

void LeaderLock::handlePoll(const StoreRead& read) {
    if (read.m_status == StoreStatus::OK) {
        updateLeader(read.m_item.m_value);
        follow(std::max(read.m_at, read.m_item.m_revision));
    } else if (read.m_status == StoreStatus::NOT_FOUND) {
        bid();
    } else {
        m_onUnanswered();
        pollLater(getRetryPause());
    }
}

void LeaderLock::updateLeader(std::string_view value) {
    m_leader = Address::parse(std::string(value.substr(0, value.find('#'))));
}

/** Watches the key from a revision on, so that nothing between two watches is missed. */
void LeaderLock::follow(StoreRevision after) {
    const Millis wait = m_hasLeader() ? m_settings.m_ledWatchWait : m_settings.m_watchWait;
    m_store.watch(LEADER_KEY, after, wait,
                  [this, look = std::weak_ptr(m_poll)](const StoreChanges& changes) {
                      if (!look.expired()) {
                          handleChanges(changes);
                      }
                  });
}

/**
 * A watch that ended without an event may have been deaf. While the leader is heard of over its
 * link that does not matter, and the key isn't read again: hundreds of gateways would.
 */
void LeaderLock::handleChanges(const StoreChanges& changes) {
    if (changes.m_status != StoreStatus::OK) {
        pollLater(getRetryPause());
        return;
    }
    if (changes.m_events.empty() && !m_hasLeader()) {
        look();
        return;
    }
    for (const StoreEvent& event : changes.m_events) {
        if (event.m_isDeleted) {
            bid();
        } else {
            cancelBid();
            updateLeader(event.m_item.m_value);
        }
    }
    follow(changes.m_at);
}

void LeaderLock::bid() {
    if (m_bidTimer != TimerId::NONE || m_isAcquiring || isHeld() || m_isReleased) {
        return;
    }
    m_bidTimer = m_loop.callLater(m_getElectionDelay(), guarded([this] {
                                      m_bidTimer = TimerId::NONE;
                                      acquire();
                                  }));
}

void LeaderLock::cancelBid() {
    m_loop.cancel(std::exchange(m_bidTimer, TimerId::NONE));
}

void LeaderLock::acquire() {
    if (m_isReleased || isHeld()) {
        return;
    }
    m_isAcquiring = true;
    const Millis sentAt = m_loop.now();
    m_store.createLease(m_settings.m_timeToLive, [this, sentAt, alive = std::weak_ptr(m_isAlive)](
                                                         const StoreLeaseReply& reply) {
        if (alive.expired()) {
            return;
        }
        if (reply.m_status != StoreStatus::OK || m_isReleased) {
            m_isAcquiring = false;
            pollLater(RETRY_PAUSE);
            return;
        }
        take(reply.m_lease, sentAt);
    });
}

void LeaderLock::take(StoreLease lease, Millis sentAt) {
    StoreTransaction transaction;
    transaction.m_conditions = {{std::string(LEADER_KEY), 0}};
    transaction.m_puts = {{std::string(LEADER_KEY),
                           m_settings.m_operators.toText() + "#" + m_settings.m_node + "#" +
                                   std::to_string(lease),
                           lease}};
    CommitRetryPolicy patience;
    patience.m_limit = m_settings.m_timeToLive;
    CommitResolver::run(
            m_store, m_loop, std::move(transaction), patience, m_isAlive,
            [this, lease, sentAt](const StoreCommit& commit) {
                m_isAcquiring = false;
                if (commit.m_status != StoreStatus::OK || m_isReleased) {
                    m_store.endLease(lease);
                    pollLater(RETRY_PAUSE);
                    return;
                }
                m_poll.reset();
                cancelBid();
                m_epoch = commit.m_revision;
                m_lease = lease;
                m_confirmedAt = sentAt;
                logEvent(Severity::INFO, "leader", "acquired",
                         {{"epoch", std::to_string(m_epoch)}, {"node", m_settings.m_node}});
                m_loop.callLater(m_settings.m_renewInterval, guarded([this] { renew(); }));
                m_onAcquired(m_epoch);
            });
}

void LeaderLock::renew() {
    if (!isHeld()) {
        return;
    }
    // Not after the answer: a lost one must not cost the lease.
    m_loop.callLater(m_settings.m_renewInterval, guarded([this] { renew(); }));
    const Millis sentAt = m_loop.now();
    m_store.renewLease(m_lease, [this, sentAt, lease = m_lease,
                                 alive = std::weak_ptr(m_isAlive)](const StoreLeaseReply& reply) {
        if (alive.expired() || lease != m_lease) {
            return;
        }
        if (reply.m_status == StoreStatus::NOT_FOUND) {
            lose("the lease has lapsed");
            return;
        }
        if (reply.m_status == StoreStatus::OK) {
            m_confirmedAt = std::max(m_confirmedAt, sentAt);
        }
    });
}

void LeaderLock::lose(std::string_view why) {
    logEvent(Severity::WARNING, "leader", "lost",
             {{"epoch", std::to_string(m_epoch)}, {"reason", std::string(why)}});
    m_epoch = 0;
    m_lease = 0;
    m_onLost();
    look();
}

void LeaderLock::abandon() {
    if (!isHeld()) {
        return;
    }
    m_store.endLease(m_lease);
    lose("abandoned");
}

void LeaderLock::release() {
    m_isReleased = true;
    cancelBid();
    if (!isHeld()) {
        return;
    }
    m_store.endLease(m_lease);
    logEvent(Severity::INFO, "leader", "released", {{"epoch", std::to_string(m_epoch)}});
    m_epoch = 0;
    m_lease = 0;
    m_onLost();
}

}  // namespace pierbank
