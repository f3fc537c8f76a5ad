// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SCHEDULE_WORKERLEASES_H
#define PIERBANK_SCHEDULE_WORKERLEASES_H

#include <map>
#include <string>
#include <string_view>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** Times of the workers' leases; every program of a deployment has the same. */
struct LeaseSettings {
    /**
     * How long a worker may run tasks after it asked for the lease that was granted. Longer than
     * it takes to replace a leader, or every take-over would stop all work.
     */
    Millis m_timeToLive{6000};
    /** How often a sidecar asks. */
    Millis m_askInterval{1000};
    /**
     * How long a leader that cannot reach the platform's service goes on granting leases, so that
     * running jobs survive an outage. A new leader waits as long for workers that it cannot
     * reach: they may run under the old one.
     */
    Millis m_outageGrace{10 * 60'000};
    /**
     * What the leader waits on top: clocks may drift, and a worker needs a moment to stop tasks.
     */
    Millis m_slack{1000};
};

/** What the leader knows of a worker's lease. */
enum class LeaseStanding {
    /** It asked for the lease lately. */
    HEARD,
    /** It did not, but may still run tasks under an earlier lease. */
    SILENT,
    /** It can run nothing any more, by its own clock. */
    LAPSED,
};

/**
 * The leader's side of the workers' leases: until when each worker may still be running tasks.
 * A lease counts at the worker from the moment of asking, which is before the leader's answer;
 * so the leader may count from its answer.
 */
class WorkerLeases {
public:
    explicit WorkerLeases(const LeaseSettings& settings) : m_settings(settings) {}

    /**
     * A new leader knows nothing of earlier grants: any worker may run tasks until the longest
     * lease that was ever granted has passed.
     */
    void takeOver(Millis now, Millis longestLease);

    /**
     * The worker's sidecar proved that it has seen this leader's epoch: earlier leaders cannot
     * grant it anything more. (A restarted one takes its first lease only from a leader that
     * confirmed itself within the time to live.)
     */
    void fence(std::string_view worker, Millis now);

    /** The leader answers a worker's ask now. */
    void grant(std::string_view worker, Millis now);

    LeaseStanding getStanding(std::string_view worker, Millis now) const;

    bool hasSurelyLapsed(std::string_view worker, Millis now) const {
        return getStanding(worker, now) == LeaseStanding::LAPSED;
    }

    const LeaseSettings& getSettings() const noexcept { return m_settings; }

private:
    LeaseSettings m_settings;
    Millis getLastGrant(std::string_view worker) const;

    Millis m_foreignUntil{0};
    Millis m_takeOverUntil{0};
    std::map<std::string, Millis, std::less<>> m_fencedAt;
    std::map<std::string, Millis, std::less<>> m_grantedAt;
};

}  // namespace pierbank

#endif  // PIERBANK_SCHEDULE_WORKERLEASES_H
