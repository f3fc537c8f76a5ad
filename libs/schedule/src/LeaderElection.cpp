// SPDX-License-Identifier: Apache-2.0
#include "pierbank/schedule/LeaderElection.h"

#include <utility>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** A lease is renewed this often within its time, so that two lost renewals do no harm. */
constexpr int RENEWALS_PER_LEASE = 3;

}  // namespace

LeaderElection::LeaderElection(KeyValueService& service, EventLoop& loop,
                               LeaderElectionSettings settings)
        : m_service(service),
          m_loop(loop),
          m_settings(std::move(settings)),
          m_key("leader/" + m_settings.m_region) {}

LeaderElection::~LeaderElection() {
    *m_isAlive = false;
    m_loop.cancel(m_timer);
}

void LeaderElection::start(Callback onElected, Callback onLost) {
    m_onElected = std::move(onElected);
    m_onLost = std::move(onLost);
    tryLater(Millis(0));
}

void LeaderElection::tryLater(Millis delay) {
    m_loop.cancel(m_timer);
    m_timer = m_loop.callLater(delay, [this] {
        m_timer = TimerId::NONE;
        if (m_isStopped) {
            return;
        }
        if (m_isLeader) {
            renew();
        } else {
            look();
        }
    });
}

void LeaderElection::look() {
    m_service.get(m_key, [this, alive = m_isAlive](const KeyValueReply& reply) {
        if (!*alive || m_isStopped) {
            return;
        }
        if (reply.m_status == KeyValueStatus::NOT_FOUND) {
            m_leader.reset();
            acquire();
            return;
        }
        if (reply.m_status == KeyValueStatus::OK) {
            m_leader = Address::parse(reply.m_value);
        }
        tryLater(m_settings.m_leaseTime / RENEWALS_PER_LEASE);
    });
}

void LeaderElection::acquire() {
    const auto onLease = [this, alive = m_isAlive](const KeyValueLeaseReply& reply) {
        if (!*alive || m_isStopped) {
            return;
        }
        if (reply.m_status == KeyValueStatus::OK) {
            create(reply.m_lease);
        } else {
            tryLater(m_settings.m_leaseTime / RENEWALS_PER_LEASE);
        }
    };
    m_service.grantLease(m_settings.m_leaseTime, onLease);
}

void LeaderElection::create(KeyValueLease lease) {
    const Millis askedAt = m_loop.now();
    const auto onCreated = [this, alive = m_isAlive, lease, askedAt](const KeyValueReply& reply) {
        if (!*alive || m_isStopped) {
            return;
        }
        if (reply.m_status != KeyValueStatus::OK) {
            // After a lost answer the key may be ours: it then lapses, for nobody renews it.
            tryLater(m_settings.m_leaseTime / RENEWALS_PER_LEASE);
            return;
        }
        m_lease = lease;
        m_revision = reply.m_revision;
        m_confirmedAt = askedAt;
        m_isLeader = true;
        m_leader = m_settings.m_ownAddress;
        logEvent(Severity::INFO, "leader", "elected", {{"region", m_settings.m_region}});
        tryLater(m_settings.m_leaseTime / RENEWALS_PER_LEASE);
        m_onElected();
    };
    m_service.compareAndSwap(m_key, 0, m_settings.m_ownAddress.toText(), lease, onCreated);
}

void LeaderElection::renew() {
    const auto onRenewed = [this, alive = m_isAlive,
                            askedAt = m_loop.now()](const KeyValueLeaseReply& reply) {
        if (!*alive || m_isStopped || !m_isLeader) {
            return;
        }
        if (reply.m_status == KeyValueStatus::OK) {
            m_confirmedAt = askedAt;
        } else if (reply.m_status == KeyValueStatus::NOT_FOUND) {
            lose();
        }
        tryLater(m_settings.m_leaseTime / RENEWALS_PER_LEASE);
    };
    m_service.renewLease(m_lease, onRenewed);
}

void LeaderElection::lose() {
    m_isLeader = false;
    m_leader.reset();
    logEvent(Severity::WARNING, "leader", "lost", {{"region", m_settings.m_region}});
    m_onLost();
}

void LeaderElection::release(Callback done) {
    const auto onErased = [done = std::move(done)](const KeyValueReply&) {
        done();
    };
    m_service.erase(m_key, m_revision, onErased);
}

void LeaderElection::resign() {
    if (!m_isLeader) {
        return;
    }
    release([] {});
    lose();
    // Others that watch the key come first.
    tryLater(m_settings.m_leaseTime);
}

void LeaderElection::stop(Callback done) {
    m_isStopped = true;
    m_loop.cancel(m_timer);
    m_timer = TimerId::NONE;
    if (!m_isLeader) {
        m_loop.post(std::move(done));
        return;
    }
    m_isLeader = false;
    release(std::move(done));
}

}  // namespace pierbank
