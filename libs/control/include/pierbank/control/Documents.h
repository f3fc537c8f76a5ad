// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_DOCUMENTS_H
#define PIERBANK_CONTROL_DOCUMENTS_H

#include <optional>
#include <string>
#include <string_view>

#include "pierbank/base/Findings.h"
#include "pierbank/control/QueueConfiguration.h"
#include "pierbank/job/JobRun.h"
#include "pierbank/job/WorkerIncarnation.h"

namespace pierbank {

/** Periodic message of a worker about itself to the sidecar on its host. */
struct WorkerHeartbeat {
    WorkerIncarnation m_incarnation;
    std::string m_service;
    std::string m_failureDomain;
    std::string m_rack;
    std::vector<std::string> m_labels;
    Resources m_capacity;
    bool m_isDraining = false;
    /** Minimum time that a draining worker remains available. */
    Millis m_remaining{0};
    /** Time until the worker is warmed up, after its start or after a period without work. */
    Millis m_warmUpRemaining{0};
    /**
     * Grows with each heartbeat of an incarnation; a heartbeat with a lower number than a
     * heartbeat received before was delayed.
     */
    std::uint64_t m_sequence = 0;
    /** The worker's steady clock when it sent the heartbeat. */
    std::optional<Millis> m_clock;
};

/** One wave of machine maintenance that the operators request. */
struct WaveSpec {
    std::uint64_t m_number = 0;
    std::vector<std::string> m_machines;
    /** Time within which the wave has to be finished, from the request on. */
    Millis m_duration{0};
    /** Maximum number of machines that are down for the wave at the same time. */
    std::size_t m_maxMachinesDown = 1;
};

/**
 * Decodes and encodes the message bodies that the platform and callers exchange with the system.
 * Errors in a body are added to `findings`; a reader returns an empty value if the body is
 * unusable.
 */
class DocumentCodec {
public:
    virtual ~DocumentCodec() = default;
    /** Reads the operators' configuration. */
    virtual std::optional<QueueConfiguration> readConfiguration(std::string_view bytes,
                                                                Findings& findings) const = 0;
    /** Reads a submitted job. */
    virtual std::optional<JobSpec> readJob(std::string_view bytes, Findings& findings) const = 0;
    /**
     * Reads a heartbeat.
     *
     * @param id id of the worker; the body contains the start time of the worker.
     */
    virtual std::optional<WorkerHeartbeat> readHeartbeat(std::string_view id,
                                                         std::string_view bytes,
                                                         Findings& findings) const = 0;
    /**
     * Reads the message that a worker sends as it exits. An unreadable body yields an incarnation
     * without a start time.
     */
    virtual WorkerIncarnation readDeparture(std::string_view id, std::string_view bytes) const = 0;
    virtual std::optional<WaveSpec> readWave(std::string_view bytes, Findings& findings) const = 0;
    /** Writes the status of a wave, for the platform. */
    virtual std::string writeWaveStatus(bool isDone) const = 0;
    /** Writes the phase of a job, for a caller. */
    virtual std::string writePhase(JobPhase phase) const = 0;
    /** Writes the number of pending jobs of a queue, for a caller. */
    virtual std::string writePending(std::size_t count) const = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_DOCUMENTS_H
