// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_COMPLETIONFORECAST_H
#define PIERBANK_JOB_COMPLETIONFORECAST_H

#include <optional>
#include <vector>

#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

/** Speeds of the rated workers that a unit may use, as multiples of the normal run time. */
struct SpeedSpread {
    /** Slowness that a tenth of the workers is below. */
    double m_fast = 1.0;
    /** Slowness that a tenth of the workers is above. */
    double m_slow = 1.0;

    /** Whether the speeds differ so much that the choice of workers decides whether work that
     * spares half of its declared time is in time. */
    bool isUneven() const noexcept;
};

/** Returns the spread of the slowness of rated workers; even if there are too few of them. */
SpeedSpread measureSpeeds(std::vector<double> slowness);

/** Whether enough runs were observed on a worker to rely on its slowness. */
bool isRated(const WorkerSnapshot& worker);

/** A way to start a unit of work. */
struct StartOption {
    /** Time until all members can start; zero for free capacity. */
    Millis m_startsIn{0};
    /** Slowness of the slowest member's worker; a gang ends with it. */
    double m_slowness = 1.0;
};

/** Time until a unit ends. */
struct CompletionRange {
    Millis m_expected{0};
    /** Time that few units exceed; at least m_expected. */
    Millis m_high{0};
};

/**
 * Estimates when a unit of urgent work would end, and decides which ways to start it keep its
 * objective. Knows the unit's run time and the time left, but no workers, so that it can be tested
 * without a plan.
 */
class CompletionForecast {
public:
    /** Assumed time from the order of a stop until its capacity is free. */
    static constexpr Millis STOP_DURATION{500};

    /**
     * @param runTime run time of the unit on a worker of normal speed.
     * @param timeLeft time until the unit has to end for its job to meet its objective; negative
     * if that time has passed.
     */
    CompletionForecast(const RunTimeEstimate& runTime, Millis timeLeft, const SpeedSpread& speeds)
            : m_runTime(runTime), m_timeLeft(timeLeft), m_speeds(speeds) {}

    /** Returns the time until the unit ends if it starts in this way. */
    CompletionRange getEnd(const StartOption& option) const;
    /** Whether the unit is expected to meet the objective. */
    bool isInTime(const StartOption& option) const;
    /** Whether the unit misses the objective even if it starts now on the fastest workers. */
    bool isLateInAnyCase() const;
    /** Returns the slowness above which a worker may make the unit late if it starts now. */
    double getMaxSlowness() const;
    /**
     * Whether to wait for a start on faster workers.
     * @param now the start that is possible at once on other workers; empty if there is none.
     */
    bool isWorthWaiting(const StartOption& later, const std::optional<StartOption>& now) const;
    /**
     * Returns how long a unit that cannot be in time waits for runs to end before others give way
     * for it; zero or less if it does not wait.
     * @param valueLeft time until the result has no value any more.
     */
    Millis getMaxLateWait(Millis valueLeft) const;

private:
    RunTimeEstimate m_runTime;
    Millis m_timeLeft;
    SpeedSpread m_speeds;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_COMPLETIONFORECAST_H
