// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_JOBSPEC_H
#define PIERBANK_JOB_JOBSPEC_H

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/job/Shape.h"

namespace pierbank {

/** Demand of a task, or capacity of a worker. */
struct Resources {
    /** Thousandths of a processor core. */
    std::uint32_t m_cpuMillis = 0;
    std::uint32_t m_memoryMb = 0;
    std::uint32_t m_accelerators = 0;

    /** Returns whether no component exceeds that of `capacity`. */
    bool fitsInto(const Resources& capacity) const noexcept {
        return m_cpuMillis <= capacity.m_cpuMillis && m_memoryMb <= capacity.m_memoryMb &&
               m_accelerators <= capacity.m_accelerators;
    }
    Resources& operator+=(const Resources& other) noexcept {
        m_cpuMillis += other.m_cpuMillis;
        m_memoryMb += other.m_memoryMb;
        m_accelerators += other.m_accelerators;
        return *this;
    }
    /** Subtracts each component; a result below zero becomes zero. */
    Resources& operator-=(const Resources& other) noexcept {
        m_cpuMillis -= std::min(m_cpuMillis, other.m_cpuMillis);
        m_memoryMb -= std::min(m_memoryMb, other.m_memoryMb);
        m_accelerators -= std::min(m_accelerators, other.m_accelerators);
        return *this;
    }
    bool operator==(const Resources&) const = default;
};

/** Returns the larger amount of each component. */
inline Resources componentMax(const Resources& a, const Resources& b) noexcept {
    return {std::max(a.m_cpuMillis, b.m_cpuMillis), std::max(a.m_memoryMb, b.m_memoryMb),
            std::max(a.m_accelerators, b.m_accelerators)};
}

/** One step of a job: a number of identical tasks. */
struct StepSpec {
    std::uint32_t m_tasks = 1;
    /** Demand of one task. */
    Resources m_need;
    /** Declared run time of one task, a rough estimate; zero if none is declared. */
    Millis m_estimate{0};
    /** Zero-based indexes of earlier steps whose tasks must all be done before this step starts. */
    std::vector<std::uint32_t> m_after;
    /** The tasks write checkpoints from which a later run resumes. */
    bool m_savesProgress = false;
    /** The tasks form a gang: all of them run at the same time, or none. */
    bool m_isGang = false;
    /** Topology level within one domain of which the whole gang should run. */
    Adjacency m_adjacency = Adjacency::REGION;
    /** The gang may also span several such domains, where it runs several times slower. */
    bool m_allowsRemote = false;
    /** Label that the worker must have; empty if any worker will do. */
    std::string m_requiredLabel;
    /** Rack that stores the data; tasks run several times slower elsewhere. Empty for none. */
    std::string m_dataRack;
    /** Maximum number of the step's tasks on one worker; zero for no limit. */
    std::uint32_t m_maxPerWorker = 0;
    /** Long-running: the tasks run until the job is cancelled. A run that ends is always started
     * again. */
    bool m_isLongRunning = false;
    /** Speculative copies of a task are allowed; the first run to finish provides the result. */
    bool m_isSpeculative = false;
    /** Image that the tasks run; tasks of one image behave alike. Empty for none. */
    std::string m_image;
    /** Bound for the tail latency of a long-running task that serves users; zero for none. */
    Millis m_latencyTarget{0};
    /** The tasks fill idle capacity: they use only processor time that other tasks leave idle. */
    bool m_isFilling = false;
    /** Maximum number of tasks of a long-running step that the scheduler may make unavailable at
     * the same time; zero for no limit. */
    std::uint32_t m_maxUnavailable = 0;

    /** Minimum number of tasks of a wide step. It runs on so many hosts that the few bad ones among
     * them are a minority, so that the ends on one host can be compared with those on others. */
    static constexpr std::uint32_t MIN_WIDE_TASKS = 16;
    /** Returns whether the step is wide enough to compare hosts by how its tasks end. */
    bool isWide() const noexcept { return m_tasks >= MIN_WIDE_TASKS; }

    /** Returns the capacity of a worker that one task occupies; tasks that fill idle capacity
     * occupy no processor time. */
    Resources getCapacityDemand() const noexcept {
        return m_isFilling ? Resources{0, m_need.m_memoryMb, m_need.m_accelerators} : m_need;
    }
};

/** Job as a caller submits it. */
struct JobSpec {
    /** Opaque data passed to the workers unchanged; at most 4,000 bytes. */
    std::string m_payload;
    std::vector<StepSpec> m_steps;
    /** Number of times that a timed job runs all its steps; zero for a job that runs once, as soon
     * as possible. */
    std::uint32_t m_occurrences = 0;
    /** Wall time at which the first occurrence is due. */
    Millis m_firstDue{0};
    /** Time between the due times of two occurrences. */
    Millis m_interval{0};

    /** Returns whether the job runs several times at an interval. */
    bool isTimed() const noexcept { return m_occurrences > 0; }
    /** Returns whether any step is long-running. */
    bool isLongRunning() const noexcept;
};

/** Timing of the platform's placement advice, the service that decides which workers may run a
 * step. */
struct AdvicePolicy {
    /** Time that the service needs to answer a request, without the share per worker. */
    Millis m_decisionTime{0};
    /** Additional time for each worker named in the request. */
    Millis m_decisionTimePerWorker{0};
    /** Time for which a placement ticket is valid. */
    Millis m_ticketLifetime{0};
};

/** Settings of a job's queue, copied from the configuration in force when the job was accepted. */
struct QueuePolicy {
    std::string m_queue;
    /** Service whose workers run the job. */
    std::string m_service;
    /** Priority; 0 is the highest, is placed first and may preempt the others. */
    std::uint32_t m_priority = 0;
    /** Number of failed runs of one task after which the job fails. */
    std::uint32_t m_attempts = 1;
    /** The objective for the job's duration is `m_stretch` times its longest chain of steps, plus
     * `m_slack`. */
    double m_stretch = 1.0;
    Millis m_slack{0};
    /** If set, only workers with a placement ticket may run steps of the queue. */
    std::optional<AdvicePolicy> m_advice;
};

/** Accepted job; immutable. */
struct JobRecord {
    /** 16 hexadecimal digits, chosen by the caller. */
    std::string m_id;
    /** Name given by an operator; empty for jobs that callers submit. */
    std::string m_name;
    std::string m_organisation;
    QueuePolicy m_policy;
    /** Wall time of the acceptance. */
    Millis m_acceptedAt{0};
    JobSpec m_spec;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_JOBSPEC_H
