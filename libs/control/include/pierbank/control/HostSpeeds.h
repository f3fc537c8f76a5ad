// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_HOSTSPEEDS_H
#define PIERBANK_CONTROL_HOSTSPEEDS_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "pierbank/base/Clock.h"
#include "pierbank/control/HostRecord.h"

namespace pierbank {

/** Observed progress rate of one run. */
struct SpeedSample {
    /** Worker that executed the run. */
    std::string_view m_host;
    /** Step as `JOB.OCCURRENCE.STEP`; runs of one step do similar work. */
    std::string m_step;
    /** Percent per second. */
    double m_rate = 0;
};

/**
 * Estimates the relative speeds of hosts by comparing the progress rate of each run with those of
 * the other runs of the same step, independent of declared run times. Speeds of hosts of the same
 * type differ by half and more (0.8 to 1.25 times the mean), which uses up the slack of urgent
 * work. Hosts are named by any text that identifies them; the controller passes incarnations of
 * workers.
 *
 * The model is log(rate) = step value + host value + noise. The value of a step is the mean over
 * its runs after the host values are subtracted. The value of a host is the mean of the remaining
 * deviations, shrunk towards zero while there are few samples.
 */
class HostSpeeds {
public:
    /** Adds the rate of one run. To be called once for each run, since long runs would otherwise
     * weigh more than short ones. Rates that are not positive are ignored. */
    void recordSample(const SpeedSample& sample, Millis now);
    /** Returns the factor by which work takes longer than on an average host; 1 without samples. */
    double getSlowness(std::string_view host) const;
    /** Returns the number of samples of the host, weighted so that older samples count less. */
    double getEvidence(std::string_view host) const;
    /** Returns the observed speed of the host; without samples, a record with zero samples. */
    SpeedRecord getRecord(std::string_view host) const;
    /**
     * Adds a host with a speed that a previous leader observed, unless the host has own samples.
     * @param at time of the record; records older than the retention of hosts are ignored.
     * @return whether the record was added.
     */
    bool restore(std::string_view host, const SpeedRecord& record, Millis at, Millis now);
    void clear();

private:
    /** Minimum number of earlier runs of a step with which another run is compared. */
    static constexpr double MIN_STEP_RUNS = 2;
    /** Factor applied to the weight of older samples with each new one: about the last twenty
     * samples count. */
    static constexpr double SAMPLE_DECAY = 0.95;
    /** Weight, in samples, of the assumption that a host is average. Follows from the spread of
     * log(rate): 0.15 between runs on one host, 0.2 between hosts. */
    static constexpr double PRIOR_RUNS = 0.6;
    /**
     * Maximum deviation of log(rate). A run that is slower by more than a factor of four was
     * delayed by something other than the speed of its host.
     */
    static constexpr double MAX_LOG_DEVIATION = 1.4;
    /** Time without samples after which a step is removed. */
    static constexpr Millis STEP_RETENTION{60'000};
    /** Time without samples after which a host is removed, so that entries of replaced hosts do not
     * accumulate. */
    static constexpr Millis HOST_RETENTION{3'600'000};

    /** Weighted mean. */
    struct Mean {
        double m_sum = 0;
        double m_count = 0;
        Millis m_updatedAt{0};
    };

    /** Returns the estimated host value: log of the speed relative to the mean. */
    double getLogSpeed(std::string_view host) const;
    void removeExpired(Millis now);

    std::map<std::string, Mean, std::less<>> m_hosts;
    std::map<std::string, Mean> m_steps;
    Millis m_lastCleanupAt{0};
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_HOSTSPEEDS_H
