// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TRACE_HOSTRUNTIMES_H
#define PIERBANK_TRACE_HOSTRUNTIMES_H

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"

namespace pierbank {

/**
 * Judges how slow hosts were from the run times of tasks of the same step, which do similar work.
 * A host whose speed changed in the course of the log is judged by its median.
 */
class HostRunTimes {
public:
    /** Minimum number of tasks of a step that tell the usual run time of the step. */
    static constexpr std::size_t MIN_STEP_TASKS = 3;

    /** Adds a task that ended as done. @param step `JOB.OCCURRENCE.STEP`. */
    void add(std::string_view host, std::string_view step, Millis runTime);
    /**
     * Returns the median run time on each host, relative to the usual run time of the step; hosts
     * without comparable tasks are left out.
     */
    std::map<std::string, double, std::less<>> getSlowness() const;

private:
    struct Sample {
        std::string m_host;
        double m_millis = 0;
    };
    std::map<std::string, std::vector<Sample>, std::less<>> m_steps;
};

}  // namespace pierbank

#endif  // PIERBANK_TRACE_HOSTRUNTIMES_H
