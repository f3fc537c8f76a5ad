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
    /** Name of this gateway, and where it takes operators' statements; both lie in the key. */
    std::string m_node;
    Address m_operators;
    /** A dead leader is replaced after about this time; the store grants no less. */
    Millis m_timeToLive{1000};
    /** Time between two renewals. */
    Millis m_renewInterval{250};
    /** Time of one waiting watch of a follower; a watch that was cut may just stay silent. */
    Millis m_watchWait{800};
    /** The same while the leader is heard of over its link, whose end says more than a watch. */
    Millis m_ledWatchWait{10'000};
};

/**
 * One gateway leads: it holds the leader key under a lease of the store. The key's revision is
 * the epoch; it only rises, and no two holders share it. Safety does not rest on the lease, but on
 * every write of a leader expecting the key's revision.
 */
class LeaderLock {
public:
    /** The references must outlive the lock. */
    LeaderLock(RecordStore& store, EventLoop& loop, LeaderLockSettings settings);
    ~LeaderLock();
    LeaderLock(const LeaderLock&) = delete;
    LeaderLock& operator=(const LeaderLock&) = delete;

    void onAcquired(std::function<void(StoreRevision epoch)> callback) {
        m_onAcquired = std::move(callback);
    }
    void onLost(std::function<void()> callback) { m_onLost = std::move(callback); }

    /** How long this gateway waits before it goes for a free key. */
    void setElectionDelayProvider(std::function<Millis()> getPause) {
        m_getElectionDelay = std::move(getPause);
    }
    /** Whether the leader is heard of over a link. */
    void setLeaderProbe(std::function<bool()> hasLeader) { m_hasLeader = std::move(hasLeader); }
    /** Called when the store did not answer a look at the key. */
    void onUnanswered(std::function<void()> callback) { m_onUnanswered = std::move(callback); }

    void start();
    /** The leader is not heard of any more: looks at the key soon, whatever a watch says. */
    void pollWithin(Millis pause);
    /** Gives the key back at once and does not try again. */
    void release();
    /** Somebody saw that another holds the key, or that this holder has to begin anew. */
    void abandon();

    bool isHeld() const noexcept { return m_epoch != 0; }
    StoreRevision getEpoch() const noexcept { return m_epoch; }
    /** Where the leader takes statements, as last read; empty when none is known. */
    std::optional<Address> getLeader() const { return m_leader; }
    /** When the last successful renewal was sent; valid while held. */
    Millis getConfirmedAt() const noexcept { return m_confirmedAt; }

private:
    void look();
    void handlePoll(const StoreRead& read);
    void pollLater(Millis pause);
    Millis getRetryPause() const;
    void follow(StoreRevision after);
    void handleChanges(const StoreChanges& changes);
    void updateLeader(std::string_view value);
    void bid();
    void cancelBid();
    void acquire();
    void take(StoreLease lease, Millis sentAt);
    void renew();
    void lose(std::string_view why);
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
    TimerId m_bidTimer = TimerId::NONE;
    bool m_isAcquiring = false;
    /** Replaced with each look at the key: what earlier ones still bring is ignored. */
    std::shared_ptr<bool> m_poll;
    StoreRevision m_epoch = 0;
    StoreLease m_lease = 0;
    Millis m_confirmedAt{0};
    bool m_isReleased = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LEADERLOCK_H
