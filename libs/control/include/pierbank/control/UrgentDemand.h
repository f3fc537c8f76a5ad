// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_URGENTDEMAND_H
#define PIERBANK_CONTROL_URGENTDEMAND_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/control/HostRecord.h"
#include "pierbank/job/JobSpec.h"

namespace pierbank {

/** Settings of UrgentDemand. */
struct UrgentDemandSettings {
    /** Time after which an arrival counts half. */
    Millis m_halfLife{10'000};
    /** Minimum decayed number of arrivals for which headroom is provided. */
    double m_minArrivals = 1.0;
};

/**
 * Estimates from the observed arrivals of urgent jobs how much headroom each service needs, so that
 * the next urgent job finds free capacity. Without headroom, the job would have to wait until
 * preempted runs have stopped.
 */
class UrgentDemand {
public:
    explicit UrgentDemand(const UrgentDemandSettings& settings) : m_settings(settings) {}

    /** Records a job at its time of acceptance. Only jobs of priority 0, the urgent ones, count. */
    void recordArrival(const JobRecord& record);
    /** Returns the number of accelerators that urgent jobs of a service need, running jobs
     * included. */
    std::uint32_t getHeadroom(const std::string& service, Millis wallNow) const;
    /** Returns the services for which urgent jobs have arrived. */
    std::vector<std::string> listServices() const;
    /** Returns the arrivals of a service, decayed to `wallNow`; empty if none count any more. */
    std::optional<ArrivalsRecord> getRecord(const std::string& service, Millis wallNow) const;
    /**
     * Uses the arrivals that a previous leader observed, if they are more than those observed here.
     * They are not added, since jobs that are still unfinished are in both.
     * @param wallAt wall time of the record.
     * @return whether the record was used.
     */
    bool restore(const ArrivalsRecord& record, Millis wallAt);
    void clear() { m_services.clear(); }

private:
    /** Decayed sums over the arrivals of one service. */
    struct Arrivals {
        /** Wall time of the latest arrival, to which the sums are decayed. */
        Millis m_updatedAt{0};
        double m_count = 0;
        /** Accelerators of the largest step of each job. */
        double m_accelerators = 0;
        /** Accelerators times declared run time in ms, over all steps. */
        double m_work = 0;
    };

    /** Decayed number of jobs below which arrivals are not handed over. */
    static constexpr double MIN_COUNT = 0.1;

    /** Returns the factor by which sums decay in the given time; 1 for negative times. */
    double getDecay(Millis passed) const;

    const UrgentDemandSettings m_settings;
    std::map<std::string, Arrivals> m_services;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_URGENTDEMAND_H
