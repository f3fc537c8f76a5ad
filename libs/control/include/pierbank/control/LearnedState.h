// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_LEARNEDSTATE_H
#define PIERBANK_CONTROL_LEARNEDSTATE_H

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pierbank/control/HostRecord.h"
#include "pierbank/control/HostSpeeds.h"
#include "pierbank/control/RunTimes.h"
#include "pierbank/control/UrgentDemand.h"
#include "pierbank/control/WorkerHealth.h"

namespace pierbank {

/** Settings of a LearnedState. */
struct LearnedStateSettings {
    WorkerHealthSettings m_health;
    UrgentDemandSettings m_demand;
};

/** A present moment on the steady clock of this process and on the wall clock. */
struct Moment {
    Millis m_now{0};
    Millis m_wallNow{0};
};

/** Position of a record among those of all leaders: epoch, and sequence within the epoch. */
using RecordVersion = std::pair<std::uint64_t, std::uint64_t>;

/** A record that a sidecar gave back to a leader. */
struct ReturnedRecord {
    RecordVersion m_version;
    HostRecord m_record;
    /** Time since the sidecar received the record. */
    Millis m_age{0};
};

/** What became of a returned record. */
enum class RestoreResult {
    RESTORED,
    /** Nothing in the record was missing here. */
    NOTHING_NEW,
    /** The record was sent by this leader, or the host gave back a record before. */
    KNOWN,
    /** The record was sent by a later leader: this one is being replaced. */
    LATER_LEADER,
    /** Some value is not a number or out of range. */
    INVALID,
    /** The record is older than `MAX_RECORD_AGE`. */
    TOO_OLD,
};

/** Returns whether the record must not be used, which is worth a line in the log. */
bool isRefusal(RestoreResult result);
/** Returns the description of a result for the log. */
std::string_view toText(RestoreResult result);

/**
 * What a leader has learned from the runs and submissions that it saw, on which its decisions rely
 * but not its promises: without it, work is placed less well. Sidecars keep records of it, from
 * which the next leader restores it. Owned by JobController.
 */
class LearnedState {
public:
    /** Age from which a record tells nothing: scores have decayed, hosts may have changed. */
    static constexpr Millis MAX_RECORD_AGE{3'600'000};
    /** Maximum number of run times in a record, which bounds its size. */
    static constexpr std::size_t MAX_RUN_TIMES = 16;

    explicit LearnedState(const LearnedStateSettings& settings)
            : m_health(settings.m_health), m_demand(settings.m_demand) {}

    /** Evidence against hosts, by address. */
    WorkerHealth& health() noexcept { return m_health; }
    const WorkerHealth& health() const noexcept { return m_health; }
    /** Speeds of incarnations of workers, since another incarnation may run on another machine. */
    HostSpeeds& speeds() noexcept { return m_speeds; }
    const HostSpeeds& speeds() const noexcept { return m_speeds; }
    /** Arrivals of urgent work, by service. */
    UrgentDemand& demand() noexcept { return m_demand; }
    const UrgentDemand& demand() const noexcept { return m_demand; }
    /** Run times compared with the declared ones, by queue and image. */
    RunTimes& runTimes() noexcept { return m_runTimes; }
    const RunTimes& runTimes() const noexcept { return m_runTimes; }

    /**
     * Returns what the host's sidecar should keep for the next leader.
     * @param incarnation present incarnation of the host's worker.
     */
    HostRecord getRecord(const std::string& host, const std::string& incarnation,
                         const std::string& service, const Moment& moment) const;
    /**
     * Restores what a previous leader learned, as far as this one has not observed it itself. The
     * age is taken into account: scores decay and pauses continue as if no leader had changed.
     * @param epoch epoch of this leader.
     */
    RestoreResult restore(const std::string& host, const ReturnedRecord& returned,
                          std::uint64_t epoch, const Moment& moment);

    void clear();

private:
    bool restoreCommon(const ReturnedRecord& returned, const Moment& moment);
    WorkerHealth m_health;
    HostSpeeds m_speeds;
    UrgentDemand m_demand;
    RunTimes m_runTimes;
    /** Version of the record from which run times and arrivals were restored. */
    RecordVersion m_commonVersion{0, 0};
    /** Hosts that gave back a record in this term. */
    std::set<std::string> m_returnedHosts;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LEARNEDSTATE_H
