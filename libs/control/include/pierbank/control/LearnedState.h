// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_LEARNEDSTATE_H
#define PIERBANK_CONTROL_LEARNEDSTATE_H

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

/**
 * What a leader has learned from the runs and submissions that it saw, on which its decisions rely
 * but not its promises: without it, work is placed less well. Owned by JobController.
 */
class LearnedState {
public:
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

    void clear() {
        m_health.clear();
        m_speeds.clear();
        m_demand.clear();
        m_runTimes.clear();
    }

private:
    WorkerHealth m_health;
    HostSpeeds m_speeds;
    UrgentDemand m_demand;
    RunTimes m_runTimes;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LEARNEDSTATE_H
