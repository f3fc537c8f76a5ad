// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LeaderLock.h"

#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/CommitResolver.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank {

namespace {

/** Delay before a failed read or acquisition is retried. */
constexpr Millis RETRY_DELAY{200};
/** Delay while the leader is reachable over its link; reading the key is then not urgent. */
constexpr Millis LINKED_RETRY_DELAY{1500};

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
    readKey();
}

void LeaderLock::pollLater(Millis delay) {
    m_loop.callLater(delay, [this, poll = std::weak_ptr(m_poll)] {
        if (!poll.expired()) {
            this->readKey();
        }
    });
}

Millis LeaderLock::getRetryDelay() const {
    return m_hasLeader() ? LINKED_RETRY_DELAY : RETRY_DELAY;
}

void LeaderLock::pollWithin(Millis delay) {
    if (!m_isReleased && !isHeld()) {
        pollLater(delay);
    }
}

void LeaderLock::readKey() {
    const bool isCandidate = m_isAcquiring || m_electionTimer != TimerId::NONE;
    if (m_isReleased || isHeld() || isCandidate) {
        return;
    }
    m_poll = std::make_shared<bool>(true);
    m_store.read(LEADER_KEY, [this, poll = std::weak_ptr(m_poll)](const StoreRead& read) {
        if (!poll.expired()) {
            handlePoll(read);
        }
    });
}

void LeaderLock::handlePoll(const StoreRead& read) {
    if (read.m_status == StoreStatus::OK) {
        updateLeader(read.m_item.m_value);
        watchKey(std::max(read.m_at, read.m_item.m_revision));
    } else if (read.m_status == StoreStatus::NOT_FOUND) {
        startCandidacy();
    } else {
        m_onUnanswered();
        pollLater(getRetryDelay());
    }
}

void LeaderLock::updateLeader(std::string_view value) {
    m_leader = Address::parse(std::string(value.substr(0, value.find('#'))));
}

/** Watches the key from a given revision on, so that no change between two watches is missed. */
void LeaderLock::watchKey(StoreRevision after) {
    const Millis timeout =
            m_hasLeader() ? m_settings.m_linkedWatchTimeout : m_settings.m_watchTimeout;
    m_store.watch(LEADER_KEY, after, timeout,
                  [this, poll = std::weak_ptr(m_poll)](const StoreChanges& changes) {
                      if (!poll.expired()) {
                          handleChanges(changes);
                      }
                  });
}

/**
 * A watch that ended without an event may have missed a change, so the key is read again. While the
 * leader is reachable over its link, this read is omitted: hundreds of gateways would send one.
 */
void LeaderLock::handleChanges(const StoreChanges& changes) {
    if (changes.m_status != StoreStatus::OK) {
        pollLater(getRetryDelay());
        return;
    }
    if (changes.m_events.empty() && !m_hasLeader()) {
        readKey();
        return;
    }
    for (const StoreEvent& event : changes.m_events) {
        if (event.m_isDeleted) {
            startCandidacy();
        } else {
            cancelCandidacy();
            updateLeader(event.m_item.m_value);
        }
    }
    watchKey(changes.m_at);
}

void LeaderLock::startCandidacy() {
    if (m_electionTimer != TimerId::NONE || m_isAcquiring || isHeld() || m_isReleased) {
        return;
    }
    m_electionTimer = m_loop.callLater(m_getElectionDelay(), guarded([this] {
                                           m_electionTimer = TimerId::NONE;
                                           acquireLease();
                                       }));
}

void LeaderLock::cancelCandidacy() {
    m_loop.cancel(std::exchange(m_electionTimer, TimerId::NONE));
}

void LeaderLock::acquireLease() {
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
            pollLater(RETRY_DELAY);
            return;
        }
        writeKey(reply.m_lease, sentAt);
    });
}

void LeaderLock::writeKey(StoreLease lease, Millis sentAt) {
    StoreTransaction transaction;
    transaction.m_conditions = {{std::string(LEADER_KEY), 0}};
    transaction.m_puts = {{std::string(LEADER_KEY),
                           m_settings.m_statementAddress.toText() + "#" + m_settings.m_node + "#" +
                                   std::to_string(lease),
                           lease}};
    CommitRetryPolicy retryPolicy;
    retryPolicy.m_timeLimit = m_settings.m_timeToLive;
    CommitResolver::run(
            m_store, m_loop, std::move(transaction), retryPolicy, m_isAlive,
            [this, lease, sentAt](const StoreCommit& commit) {
                m_isAcquiring = false;
                if (commit.m_status != StoreStatus::OK || m_isReleased) {
                    m_store.endLease(lease);
                    pollLater(RETRY_DELAY);
                    return;
                }
                m_poll.reset();
                cancelCandidacy();
                m_epoch = commit.m_revision;
                m_lease = lease;
                m_confirmedAt = sentAt;
                logEvent(Severity::INFO, "leader", "acquired",
                         {{"epoch", std::to_string(m_epoch)}, {"node", m_settings.m_node}});
                m_loop.callLater(m_settings.m_renewalInterval, guarded([this] { renew(); }));
                m_onAcquired(m_epoch);
            });
}

void LeaderLock::renew() {
    if (!isHeld()) {
        return;
    }
    // Scheduled before the answer arrives, so that a lost answer does not cost the lease.
    m_loop.callLater(m_settings.m_renewalInterval, guarded([this] { renew(); }));
    const Millis sentAt = m_loop.now();
    m_store.renewLease(m_lease, [this, sentAt, lease = m_lease,
                                 alive = std::weak_ptr(m_isAlive)](const StoreLeaseReply& reply) {
        if (alive.expired() || lease != m_lease) {
            return;
        }
        if (reply.m_status == StoreStatus::NOT_FOUND) {
            endLeadership("the lease has lapsed");
            return;
        }
        if (reply.m_status == StoreStatus::OK) {
            m_confirmedAt = std::max(m_confirmedAt, sentAt);
        }
    });
}

void LeaderLock::endLeadership(std::string_view reason) {
    logEvent(Severity::WARNING, "leader", "lost",
             {{"epoch", std::to_string(m_epoch)}, {"reason", std::string(reason)}});
    m_epoch = 0;
    m_lease = 0;
    m_onLost();
    readKey();
}

void LeaderLock::abandon() {
    if (!isHeld()) {
        return;
    }
    m_store.endLease(m_lease);
    endLeadership("abandoned");
}

void LeaderLock::release() {
    m_isReleased = true;
    cancelCandidacy();
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
