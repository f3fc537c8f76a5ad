// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_LEADERLOCK_H
#define PIERBANK_CONTROL_LEADERLOCK_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pierbank/base/Address.h"
#include "pierbank/base/EventLoop.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

struct LeaderLockSettings {
    /** Name of this gateway; part of the leader key's value. */
    std::string m_node;
    /** Address at which this gateway accepts operators' statements; part of the key's value. */
    Address m_statementAddress;
    /**
     * Requested duration of the leader lease, after which a leader that has failed is replaced. The
     * store may enforce a minimum duration.
     */
    Millis m_timeToLive{1000};
    /** Time between two renewals. */
    Millis m_renewalInterval{250};
    /** Timeout of one watch of a follower. A watch whose connection was cut may never answer. */
    Millis m_watchTimeout{800};
    /**
     * Timeout of one watch while the leader's link is usable: the end of that link reveals a lost
     * leader more reliably than a watch does.
     */
    Millis m_linkedWatchTimeout{10'000};
};

/**
 * Elects one leader among the gateways: the leader holds the leader key under a lease of the store.
 * The revision at which the key was written is the epoch. Epochs only grow, and no two leaders
 * share one. Safety does not depend on the lease, since every write of a leader is conditional on
 * the key's revision.
 *
 * Runs on the event loop; callbacks are called from it.
 */
class LeaderLock {
public:
    /** The references must outlive the lock. */
    LeaderLock(RecordStore& store, EventLoop& loop, LeaderLockSettings settings);
    ~LeaderLock();
    LeaderLock(const LeaderLock&) = delete;
    LeaderLock& operator=(const LeaderLock&) = delete;

    /** Sets the callback for the start of this gateway's leadership. */
    void onAcquired(std::function<void(StoreRevision epoch)> callback) {
        m_onAcquired = std::move(callback);
    }
    /** Sets the callback for the end of this gateway's leadership, release() included. */
    void onLost(std::function<void()> callback) { m_onLost = std::move(callback); }

    /** Sets the provider of the delay before this gateway tries to acquire a free key. */
    void setElectionDelayProvider(std::function<Millis()> getDelay) {
        m_getElectionDelay = std::move(getDelay);
    }
    /** Sets the predicate that returns whether the leader is reachable over its link. */
    void setLeaderProbe(std::function<bool()> hasLeader) { m_hasLeader = std::move(hasLeader); }
    /** Sets the callback for a read of the key that failed. */
    void onReadFailed(std::function<void()> callback) { m_onUnanswered = std::move(callback); }

    /** Starts to watch the key, and to acquire it whenever it is free. */
    void start();
    /**
     * Polls the key after `delay`, regardless of a watch that is under way. Used when the leader
     * has become unresponsive. Does nothing while this gateway leads or after release().
     */
    void pollWithin(Millis delay);
    /**
     * Ends the leadership at once, if this gateway leads, and never tries to acquire the key again.
     */
    void release();
    /**
     * Ends the leadership because another gateway has superseded this gateway, or because this
     * leader has to reload its state. The key may be acquired again. Does nothing while this
     * gateway does not lead.
     */
    void abandon();

    bool isHeld() const noexcept { return m_epoch != 0; }
    /** Epoch of this gateway's leadership; zero while this gateway does not lead. */
    StoreRevision getEpoch() const noexcept { return m_epoch; }
    /**
     * Address at which the leader accepts statements, as of the last read or change of the key;
     * empty when no leader is known.
     */
    std::optional<Address> getLeader() const { return m_leader; }
    /** Time at which the last successful renewal was sent; valid while this gateway leads. */
    Millis getConfirmedAt() const noexcept { return m_confirmedAt; }

private:
    void readKey();
    void handlePoll(const StoreRead& read);
    void pollLater(Millis delay);
    Millis getRetryDelay() const;
    void watchKey(StoreRevision after);
    void handleChanges(const StoreChanges& changes);
    void updateLeader(std::string_view value);
    void startCandidacy();
    void cancelCandidacy();
    void acquireLease();
    void writeKey(StoreLease lease, Millis sentAt);
    void renew();
    void endLeadership(std::string_view reason);
    /** Returns a task that does nothing once this object is destroyed. */
    std::function<void()> guarded(std::function<void()> task);

    RecordStore& m_store;
    EventLoop& m_loop;
    const LeaderLockSettings m_settings;
    std::function<void(StoreRevision)> m_onAcquired;
    std::function<void()> m_onLost;
    std::function<Millis()> m_getElectionDelay = [] {
        return Millis(0);
    };
    std::function<bool()> m_hasLeader = [] {
        return false;
    };
    std::function<void()> m_onUnanswered = [] {
    };
    std::optional<Address> m_leader;
    TimerId m_electionTimer = TimerId::NONE;
    bool m_isAcquiring = false;
    /** Identifies the current poll; replaced by each poll, so that late results are dropped. */
    std::shared_ptr<bool> m_poll;
    StoreRevision m_epoch = 0;
    StoreLease m_lease = 0;
    Millis m_confirmedAt{0};
    bool m_isReleased = false;
    /** Expires with this object; asynchronous callbacks check it. */
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LEADERLOCK_H
