// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/CompletionForecast.h"

#include <algorithm>

#include "pierbank/base/Scale.h"

namespace pierbank {

namespace {

/** Work that spares half of its declared time is late on a worker that takes this multiple. */
constexpr double MIN_UNEVEN_RATIO = 1.5;
/** With fewer rated workers, two runs of different length look like a difference of speed. */
constexpr std::size_t MIN_RATED_WORKERS = 4;
/** Share of the workers at either end that do not make the speeds differ: single outliers. */
constexpr std::size_t OUTLIER_DIVISOR = 10;
/** Hosts of one kind differ by this factor from the mean; it is not worth avoiding them. */
constexpr double NORMAL_SLOWNESS = 1.25;
/** Share of the run time by which a wait must end the unit earlier; less is within the error of
 * learned speeds. */
constexpr double MIN_GAIN_SHARE = 0.1;
/** The slowness of a worker without a sample of its own says nothing about it. */
constexpr double MIN_RATED_SAMPLES = 1.0;

}  // namespace

bool SpeedSpread::isUneven() const noexcept {
    return m_slow >= MIN_UNEVEN_RATIO * m_fast;
}

SpeedSpread measureSpeeds(std::vector<double> slowness) {
    if (slowness.size() < MIN_RATED_WORKERS) {
        return {};
    }
    std::sort(slowness.begin(), slowness.end());
    const std::size_t outliers = slowness.size() / OUTLIER_DIVISOR;
    return {slowness[outliers], slowness[slowness.size() - 1 - outliers]};
}

bool isRated(const WorkerSnapshot& worker) {
    return worker.m_slownessSamples >= MIN_RATED_SAMPLES;
}

CompletionRange CompletionForecast::getEnd(const StartOption& option) const {
    return {option.m_startsIn + scale(m_runTime.m_expected, option.m_slowness),
            option.m_startsIn + scale(m_runTime.m_high, option.m_slowness)};
}

bool CompletionForecast::isInTime(const StartOption& option) const {
    return getEnd(option).m_expected <= m_timeLeft;
}

bool CompletionForecast::isLateInAnyCase() const {
    return !isInTime({Millis(0), m_speeds.m_fast});
}

double CompletionForecast::getMaxSlowness() const {
    const double high = std::max(1.0, static_cast<double>(m_runTime.m_high.count()));
    return std::max(NORMAL_SLOWNESS, static_cast<double>(m_timeLeft.count()) / high);
}

bool CompletionForecast::isWorthWaiting(const StartOption& later,
                                        const std::optional<StartOption>& now) const {
    if (!isInTime(later)) {
        return false;
    }
    const Millis minGain = scale(m_runTime.m_expected, MIN_GAIN_SHARE);
    return !now.has_value() ||
           (!isInTime(*now) && getEnd(later).m_expected + minGain <= getEnd(*now).m_expected);
}

Millis CompletionForecast::getMaxLateWait(Millis valueLeft) const {
    // Capacity that is held for the unit is idle for at most as long as the unit uses it.
    return std::min(m_runTime.m_expected, valueLeft - m_runTime.m_expected);
}

}  // namespace pierbank
