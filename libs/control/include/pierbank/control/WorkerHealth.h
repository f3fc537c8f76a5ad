// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_WORKERHEALTH_H
#define PIERBANK_CONTROL_WORKERHEALTH_H

#include <map>
#include <set>
#include <string>

#include "pierbank/base/Clock.h"
#include "pierbank/job/JobRun.h"

namespace pierbank {

struct WorkerHealthSettings {
    /** A host where runs of so many different jobs failed, and none did well since, is avoided...
     */
    std::size_t m_failedJobs = 2;
    /** ...for this long; each further time for twice as long. */
    Millis m_pause{5000};
    Millis m_maxPause{60'000};
};

/**
 * Blames hosts by what their runs come to: failures of several different jobs in a row speak
 * against the host, those of one job against the job.
 */
class WorkerHealth {
public:
    explicit WorkerHealth(const WorkerHealthSettings& settings) : m_settings(settings) {}

    void noteEnd(const std::string& host, const std::string& job, RunEnd end, Millis now);
    /** Whether new runs should go elsewhere. */
    bool isAvoided(const std::string& host, Millis now) const;
    void clear() { m_hosts.clear(); }

private:
    struct Host {
        std::set<std::string> m_failedJobs;
        Millis m_avoidedUntil{0};
        unsigned m_times = 0;
    };
    const WorkerHealthSettings m_settings;
    std::map<std::string, Host> m_hosts;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_WORKERHEALTH_H
