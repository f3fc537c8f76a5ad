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

/** What a worker says of itself to the sidecar on its host. */
struct WorkerHeartbeat {
    WorkerIncarnation m_incarnation;
    std::string m_service;
    std::string m_failureDomain;
    std::string m_rack;
    std::vector<std::string> m_labels;
    Resources m_capacity;
    bool m_isDraining = false;
    /** While it drains, the least time that it stays. */
    Millis m_remaining{0};
    /** How much longer it is slow from its start, or from a time without work. */
    Millis m_coldLeft{0};
    /** Rises with each beat of a life; a lower one came late. */
    std::uint64_t m_sequence = 0;
};

/** Upkeep that the operators ask for. */
struct WaveSpec {
    std::uint64_t m_number = 0;
    std::vector<std::string> m_machines;
    /** Within this time of being asked. */
    Millis m_duration{0};
    /** Machines down for it at once, at most. */
    std::size_t m_cap = 1;
};

/** Bodies of the platform and of callers. What is wrong in one is added to the findings. */
class DocumentCodec {
public:
    virtual ~DocumentCodec() = default;
    virtual std::optional<QueueConfiguration> readConfiguration(std::string_view bytes,
                                                                Findings& findings) const = 0;
    virtual std::optional<JobSpec> readJob(std::string_view bytes, Findings& findings) const = 0;
    /** @param id names the worker; its beat tells when it started. */
    virtual std::optional<WorkerHeartbeat> readBeat(std::string_view id, std::string_view bytes,
                                                    Findings& findings) const = 0;
    /** What a worker says as it ends. A body that can't be read tells no moment of start. */
    virtual WorkerIncarnation readLeave(std::string_view id, std::string_view bytes) const = 0;
    virtual std::optional<WaveSpec> readWave(std::string_view bytes, Findings& findings) const = 0;
    virtual std::string writeWaveStatus(bool isDone) const = 0;
    virtual std::string writePhase(JobPhase phase) const = 0;
    virtual std::string writePending(std::size_t count) const = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_DOCUMENTS_H
