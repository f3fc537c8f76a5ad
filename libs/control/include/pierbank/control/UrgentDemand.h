// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_URGENTDEMAND_H
#define PIERBANK_CONTROL_URGENTDEMAND_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/job/JobSpec.h"

namespace pierbank {

struct UrgentDemandSettings {
    /** An arrival counts half after this time. */
    Millis m_halfLife{10'000};
    /** Arrivals that must be in sight before any room is kept. */
    double m_leastArrivals = 1.0;
};

/**
 * How much urgent work arrives, as observed: what room has to be kept so that the next urgent job
 * finds some without others giving way, which takes them as long as a stop takes.
 */
class UrgentDemand {
public:
    explicit UrgentDemand(const UrgentDemandSettings& settings) : m_settings(settings) {}

    /** A job that was accepted at `acceptedAt`, wall time; others than urgent ones don't count. */
    void recordArrival(const JobRecord& record);
    /** Accelerators to keep for urgent jobs of a service, those that run included. */
    std::uint32_t getHeadroom(const std::string& service, Millis wallNow) const;
    /** Services for which urgent work has arrived. */
    std::vector<std::string> listServices() const;
    void clear() { m_services.clear(); }

private:
    struct Arrivals {
        Millis m_at{0};
        /** Decayed sums: arrivals, their accelerators, and accelerators times declared time in ms.
         */
        double m_count = 0;
        double m_accelerators = 0;
        double m_work = 0;
    };
    double getDecay(Millis passed) const;

    const UrgentDemandSettings m_settings;
    std::map<std::string, Arrivals> m_services;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_URGENTDEMAND_H
