// SPDX-License-Identifier: Apache-2.0
#include "pierbank/trace/HostRunTimes.h"

#include <algorithm>

namespace pierbank {

namespace {

/** Returns the median, the lower one of an even number of values; `values` must not be empty. */
double getMedian(std::vector<double> values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}  // namespace

void HostRunTimes::add(std::string_view host, std::string_view step, Millis runTime) {
    m_steps[std::string(step)].push_back({std::string(host), static_cast<double>(runTime.count())});
}

std::map<std::string, double, std::less<>> HostRunTimes::getSlowness() const {
    std::map<std::string, std::vector<double>> ratios;
    for (const auto& [step, samples] : m_steps) {
        if (samples.size() < MIN_STEP_TASKS) {
            continue;
        }
        std::vector<double> runTimes;
        for (const Sample& sample : samples) {
            runTimes.push_back(sample.m_millis);
        }
        const double usual = getMedian(std::move(runTimes));
        for (const Sample& sample : samples) {
            if (usual > 0) {
                ratios[sample.m_host].push_back(sample.m_millis / usual);
            }
        }
    }
    std::map<std::string, double, std::less<>> slowness;
    for (auto& [host, values] : ratios) {
        slowness[host] = getMedian(std::move(values));
    }
    return slowness;
}

}  // namespace pierbank
