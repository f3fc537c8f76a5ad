// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_HOSTRECORD_H
#define PIERBANK_CONTROL_HOSTRECORD_H

#include <cstdint>
#include <string>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** Observed speed of one incarnation of a worker, see HostSpeeds. */
struct SpeedRecord {
    /** Log of the speed relative to an average host. */
    double m_logSpeed = 0;
    /** Number of samples behind m_logSpeed, weighted so that older samples count less. */
    double m_samples = 0;
    bool operator==(const SpeedRecord&) const = default;
};

/** Evidence against a host, see WorkerHealth. */
struct HealthRecord {
    /** Failure score at the time of the record. */
    double m_failureScore = 0;
    /** Time for which the host still gets no work. */
    Millis m_avoidFor{0};
    /** Number of times that the host had to be avoided since it was last found healthy. */
    std::uint32_t m_avoidCount = 0;
    /** Evidence by wide steps, see HostTrials, in nats at the time of the record. */
    double m_evidence = 0;
    /** Time for which the host is still paused by that evidence. */
    Millis m_pauseFor{0};
    /** Number of such pauses since the host was last without evidence. */
    std::uint32_t m_pauseCount = 0;
    /** Whether a run has to end well there before the host gets other work than single tasks. */
    bool m_needsProbe = false;
    bool operator==(const HealthRecord&) const = default;
};

/** Observed run times of one image of a queue, see RunTimes. */
struct RunTimeRecord {
    std::string m_queue;
    /** Empty for steps without an image. */
    std::string m_image;
    /** Mean of log(observed run time / declared run time), host speeds taken out. */
    double m_logRatio = 0;
    /** Number of samples behind m_logRatio, weighted so that older samples count less. */
    double m_samples = 0;
    bool operator==(const RunTimeRecord&) const = default;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_HOSTRECORD_H
