// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SCHEDULE_LEADERELECTION_H
#define PIERBANK_SCHEDULE_LEADERELECTION_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pierbank/base/Address.h"
#include "pierbank/base/EventLoop.h"
#include "pierbank/platform/KeyValueService.h"

namespace pierbank {

/** What an election is told. */
struct LeaderElectionSettings {
    std::string m_region;
    /** Where this gateway takes operators' statements; the others forward theirs to it. */
    Address m_ownAddress;
    /** A crashed leader is replaced after about this time. */
    Millis m_leaseTime{2000};
};

/**
 * Holds, or tries to get, the leader lease of a region: the key `leader/REGION` under a lease of
 * the platform's service. The lease only keeps gateways from wasting each other's work. Safety
 * rests on the epoch of the schedule record, because a holder can be paused while its lease
 * lapses.
 *
 * While the service is down a leader goes on: nobody else can become one.
 */
class LeaderElection {
public:
    using Callback = std::function<void()>;

    LeaderElection(KeyValueService& service, EventLoop& loop, LeaderElectionSettings settings);
    ~LeaderElection();
    LeaderElection(const LeaderElection&) = delete;
    LeaderElection& operator=(const LeaderElection&) = delete;

    /** Begins to try. `onElected` and `onLost` alternate. */
    void start(Callback onElected, Callback onLost);

    /** Gives the leadership up, for a planned stop or after being superseded; then tries again. */
    void resign();

    /** Stops trying, and gives the leadership up. `done` is called when the key is free. */
    void stop(Callback done);

    bool isLeader() const noexcept { return m_isLeader; }

    /**
     * Monotonic time of the last moment at which this gateway surely held the lease: when it
     * asked for a renewal that was granted.
     */
    Millis getConfirmedAt() const noexcept { return m_confirmedAt; }

    /** Whose lease it is, as last read; empty when nobody was seen to hold it. */
    const std::optional<Address>& getLeader() const noexcept { return m_leader; }

private:
    void tryLater(Millis delay);
    void look();
    void acquire();
    void create(KeyValueLease lease);
    void renew();
    void lose();
    void release(Callback done);

    KeyValueService& m_service;
    EventLoop& m_loop;
    const LeaderElectionSettings m_settings;
    const std::string m_key;
    Callback m_onElected;
    Callback m_onLost;
    TimerId m_timer = TimerId::NONE;
    KeyValueLease m_lease = KeyValueLease::NONE;
    Revision m_revision = 0;
    Millis m_confirmedAt{0};
    bool m_isLeader = false;
    bool m_isStopped = false;
    std::optional<Address> m_leader;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_SCHEDULE_LEADERELECTION_H
