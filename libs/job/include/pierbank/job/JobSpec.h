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

/** What a task takes of a worker, or what a worker has. */
struct Resources {
    /** Thousandths of a processor core. */
    std::uint32_t m_cpuMillis = 0;
    std::uint32_t m_memoryMb = 0;
    std::uint32_t m_accelerators = 0;

    bool fitsInto(const Resources& room) const noexcept {
        return m_cpuMillis <= room.m_cpuMillis && m_memoryMb <= room.m_memoryMb &&
               m_accelerators <= room.m_accelerators;
    }
    Resources& operator+=(const Resources& other) noexcept {
        m_cpuMillis += other.m_cpuMillis;
        m_memoryMb += other.m_memoryMb;
        m_accelerators += other.m_accelerators;
        return *this;
    }
    /** Never goes below zero. */
    Resources& operator-=(const Resources& other) noexcept {
        m_cpuMillis -= std::min(m_cpuMillis, other.m_cpuMillis);
        m_memoryMb -= std::min(m_memoryMb, other.m_memoryMb);
        m_accelerators -= std::min(m_accelerators, other.m_accelerators);
        return *this;
    }
    bool operator==(const Resources&) const = default;
};

/** Of each kind the larger amount. */
inline Resources componentMax(const Resources& a, const Resources& b) noexcept {
    return {std::max(a.m_cpuMillis, b.m_cpuMillis), std::max(a.m_memoryMb, b.m_memoryMb),
            std::max(a.m_accelerators, b.m_accelerators)};
}

/** A number of equal tasks of a job. */
struct StepSpec {
    std::uint32_t m_tasks = 1;
    Resources m_need;
    /** Declared run time of one task; rough. */
    Millis m_estimate{0};
    /** Earlier steps, counted from 0, whose tasks must all be done before. */
    std::vector<std::uint32_t> m_after;
    /** Its tasks leave checkpoints from which a later run goes on. */
    bool m_savesProgress = false;
    /** Its tasks run all together or not at all. */
    bool m_isGang = false;
    /** The part of the topology that should hold the whole gang. */
    Adjacency m_adjacency = Adjacency::REGION;
    /** The gang also runs on several such parts, several times slower. */
    bool m_allowsRemote = false;
    /** Label that the worker must have; empty for any. */
    std::string m_requiredLabel;
    /** Rack with the data, elsewhere the work is several times slower; empty for any. */
    std::string m_dataRack;
    /** Most tasks of the step on one worker; zero for no limit. */
    std::uint32_t m_maxPerWorker = 0;
    /** Runs until the job is withdrawn; started again however a run ends. */
    bool m_isLasting = false;
    /** Copies of a task may run side by side; the first to end counts. */
    bool m_isSpeculative = false;
    /** What the tasks run; tasks of one image behave alike. Empty for none. */
    std::string m_image;
    /** A lasting task serves users: the tail of their answer times stays below this; zero: none. */
    Millis m_latencyTarget{0};
    /** Its tasks take only the processor time that others on the worker leave. */
    bool m_isFilling = false;
    /** Most tasks of a lasting step that may be away by the scheduler's doing; zero: no promise. */
    std::uint32_t m_maxUnavailable = 0;

    /** What a task takes of a worker's room. */
    Resources getCapacityDemand() const noexcept {
        return m_isFilling ? Resources{0, m_need.m_memoryMb, m_need.m_accelerators} : m_need;
    }
};

/** What a caller hands in. */
struct JobSpec {
    /** Passed on to the workers as it is; at most 4,000 bytes. */
    std::string m_payload;
    std::vector<StepSpec> m_steps;
    /** Timed jobs run all steps this many times; zero for a job that runs once, at once. */
    std::uint32_t m_occurrences = 0;
    /** Wall time at which the first occurrence is due, and the time between two. */
    Millis m_firstDue{0};
    Millis m_interval{0};

    bool isTimed() const noexcept { return m_occurrences > 0; }
    bool isLasting() const noexcept;
};

/** How the service that knows which workers may run a step is asked, and how long that holds. */
struct AdvicePolicy {
    /** An answer takes so long, and so much more for each worker that is asked about. */
    Millis m_decide{0};
    Millis m_each{0};
    /** A ticket is good for so long. */
    Millis m_valid{0};
};

/** What an accepted job owes to the configuration under which it was accepted. */
struct QueuePolicy {
    std::string m_queue;
    /** Workers of this service run it. */
    std::string m_service;
    /** 0 goes first and may preempt the others. */
    std::uint32_t m_priority = 0;
    /** Failed runs of a task after which the job has failed. */
    std::uint32_t m_attempts = 1;
    /** The objective is so many times the longest chain of work, and `m_slack` more. */
    double m_stretch = 1.0;
    Millis m_slack{0};
    /** Only workers for which a ticket was given may run the queue's steps. */
    std::optional<AdvicePolicy> m_advice;
};

/** A job as it was accepted; never changes. */
struct JobRecord {
    /** 16 hexadecimal digits, chosen by the caller. */
    std::string m_id;
    /** What an operator called it; empty for callers' jobs. */
    std::string m_name;
    std::string m_organisation;
    QueuePolicy m_policy;
    /** Wall time. */
    Millis m_acceptedAt{0};
    JobSpec m_spec;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_JOBSPEC_H
