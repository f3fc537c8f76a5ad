// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_JOBCONTROLLERSETTINGS_H
#define PIERBANK_CONTROL_JOBCONTROLLERSETTINGS_H

#include <cstdint>

#include "pierbank/base/Clock.h"
#include "pierbank/control/EvacuationFeed.h"
#include "pierbank/control/LearnedState.h"
#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

/** Settings of a JobController and of the parts that it owns. */
struct JobControllerSettings {
    TaskPlannerSettings m_planner;
    LearnedStateSettings m_learned;
    EvacuationFeedSettings m_evacuations;
    /**
     * Time from the receipt of an evacuation until the runs in its failure domain that have not
     * started are revoked. Orders that are already in flight normally start within milliseconds. A
     * further fifth of EvacuationFeedSettings::m_maxEnforcementDelay remains for delivering the
     * revocations.
     */
    Millis m_startTimeout{1000};
    /**
     * Whether capacity is reserved for urgent work according to its observed arrivals. The gain is
     * small in simulations.
     */
    bool m_reservesHeadroom = true;
    /**
     * Whether hosts get a failure score from the ends of their runs and are avoided accordingly.
     * Without scores, a single worker on which every run fails makes jobs exhaust their attempts.
     */
    bool m_scoresHosts = true;
    /** Whether stalled hosts get no new work and their runs may be restarted on other hosts. */
    bool m_detectsStalls = true;
    /** Whether the sidecars keep what the leader has learned, for its successor. */
    bool m_keepsLearned = true;
    /** Whether urgent work prefers hosts that were observed to be fast, which other work avoids. */
    bool m_learnsSpeeds = true;
    /**
     * Factor by which a cold worker's slowness is multiplied, so that urgent work prefers warmed-up
     * workers and other work warms up the cold ones. The value is an assumption: no setting states
     * how much slower a cold worker is.
     */
    double m_coldSlowdown = 1.5;
    /** Delay of a scheduling step; events within this time are handled in one step and commit. */
    Millis m_commitDelay{3};
    /**
     * Interval between plans while nothing else changes: `m_planInterval` while units wait for
     * workers, otherwise `m_idlePlanInterval`. The passage of time alone changes a plan only
     * through waiting units, and through runs that are slow, stalled or on a leaving worker.
     */
    Millis m_planInterval{100};
    Millis m_idlePlanInterval{500};
    /** Planning time above which a plan is logged, together with the sizes of its input. */
    Millis m_slowPlanThreshold{20};
    /**
     * Duration of one long-polling watch call. A watch whose connection was cut may report no
     * error until this time has passed, so the value bounds how long the leader can miss changes.
     * That bound, not the cost of the calls, determines the value.
     */
    Millis m_watchWait{800};
    /**
     * On a stalled host, a run is stopped at once, to restart on another host, if it is urgent,
     * saves its progress or has worked for less than `m_maxCheapLoss`. Any other run is stopped
     * after `m_stallTimeout`, since a stalled run may resume.
     */
    Millis m_maxCheapLoss{2500};
    Millis m_stallTimeout{8000};
    /** Time after which an order that the host's reports do not list counts as lost. */
    Millis m_orderReportTimeout{2000};
    /**
     * Maximum time after loading for which a new leader waits for its initial links to workers
     * before it preempts work.
     */
    Millis m_initialLinkTimeout{1000};
    /**
     * Maximum age of the last confirmation of the leadership at which the leader answers queries
     * about pending jobs; less than the leader's lease.
     */
    Millis m_maxConfirmationAge{900};
    /** Retention of the state of a finished job; longer than the platform's contract requires. */
    Millis m_finishedJobRetention{180'000};
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBCONTROLLERSETTINGS_H
