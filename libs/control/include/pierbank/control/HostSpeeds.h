// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_HOSTSPEEDS_H
#define PIERBANK_CONTROL_HOSTSPEEDS_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** How fast a run of a step advanced on a host. */
struct SpeedSample {
    std::string_view m_host;
    /** `JOB.OCCURRENCE.STEP`: runs of one step do like work. */
    std::string m_step;
    /** Percent a second. */
    double m_rate = 0;
};

/**
 * Which hosts are faster than others, learnt from runs of like work: how a run advances against
 * the other runs of its step, whatever their declared time. Hosts of one make differ by a half and
 * more (0.8 to 1.25 of the mean on the fleets seen), which is all that urgent work has to spare.
 *
 * log(rate) is taken as the step's own value, plus the host's, plus noise. A step's value is the
 * mean over its runs, less what their hosts give; a host's is the mean of what is left, drawn
 * towards none while few runs tell.
 */
class HostSpeeds {
public:
    /** Adds what one run tells; once a run, or a long one counts more than a short one. */
    void recordSample(const SpeedSample& sample, Millis now);
    /** Work takes so many times as long there as on a mean host; 1 while nothing tells. */
    double getSlowness(std::string_view host) const;
    /** Runs that have told something of the host, older ones for less. */
    double getEvidence(std::string_view host) const;
    void clear();

private:
    /** A step needs so many runs before one more is held against them. */
    static constexpr double LEAST_FELLOWS = 2;
    /** Each further run makes older ones count for this much: about the last twenty count. */
    static constexpr double MEMORY = 0.95;
    /** A host counts as a mean one by so many runs: one run is off by 0.15, hosts by 0.2. */
    static constexpr double PRIOR_RUNS = 0.6;
    /** Beyond a factor of four a run was held up rather than slow. */
    static constexpr double MOST_LOG = 1.4;
    /** Steps that told nothing for so long are forgotten. */
    static constexpr Millis STEP_MEMORY{60'000};
    /** The same for hosts: those that are replaced (240 a day of 690) must not gather. */
    static constexpr Millis HOST_MEMORY{3'600'000};

    struct Mean {
        double m_sum = 0;
        double m_count = 0;
        Millis m_at{0};
    };

    double getLogSpeed(std::string_view host) const;
    void forgetOld(Millis now);

    std::map<std::string, Mean, std::less<>> m_hosts;
    std::map<std::string, Mean> m_steps;
    Millis m_sweptAt{0};
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_HOSTSPEEDS_H
