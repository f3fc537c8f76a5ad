// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_POLICY_CLUSTERSTATE_H
#define PIERBANK_POLICY_CLUSTERSTATE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/policy/Explanation.h"
#include "pierbank/policy/Shape.h"

namespace pierbank {

/** Place of a worker in ClusterState::m_workers; it never changes while anything refers to it. */
using WorkerIndex = std::uint32_t;

/** One bit an accelerator of a worker. */
using AcceleratorMask = std::uint64_t;

/** Whether a worker may be given work. Only LIVE ones get new work. */
enum class WorkerState : std::uint8_t {
    LIVE,
    /** An operator lets its work end and gives it no more. */
    DRAINED,
    /** It failed too many tasks, or an operator said so. */
    QUARANTINED,
    /** Not heard of lately; its tasks may still be running. */
    SILENT,
    /** Not heard of for longer than its lease: its tasks have surely stopped. */
    LOST,
    /** Left the host list and holds nothing; the place may be used again. */
    GONE,
};

constexpr WorkerState lastOf(WorkerState) {
    return WorkerState::GONE;
}

/** One worker, with what was learnt about its health. */
struct Worker {
    std::string m_name;
    std::string m_failureDomain;
    std::string m_rack;
    std::uint32_t m_accelerators = 0;
    WorkerState m_state = WorkerState::LIVE;
    /** Jobs that failed here since a job last ended well here, oldest first; names may recur. */
    std::vector<std::string> m_failedJobs;
    /** How often it was quarantined for failing; each time doubles the pause. */
    std::uint32_t m_quarantines = 0;
    /** Wall time at which a quarantine for failing ends; zero for one by an operator. */
    Millis m_quarantinedUntil{0};
};

/** One guarantee of an organisation: so many times this shape. */
struct Guarantee {
    Shape m_shape;
    std::uint32_t m_count = 1;
    bool operator==(const Guarantee&) const = default;
};

/** One customer. */
struct Organisation {
    std::string m_name;
    std::vector<Guarantee> m_guarantees;
    /** Observed over declared run time, a moving average over ended jobs. */
    double m_runTimeRatio = 1.0;
};

/** Accelerators of one worker that a guarantee unit sets aside. */
struct UnitCell {
    WorkerIndex m_worker = 0;
    std::uint32_t m_accelerators = 0;
    bool operator==(const UnitCell&) const = default;
};

/**
 * One guaranteed shape with the accelerators it could be served from right now. The cells of all
 * units never overlap: that is the proof, kept at hand, that all guarantees can be met at once.
 * Cells of a unit without jobs may be moved; those of a unit with jobs stay.
 */
struct GuaranteeUnit {
    std::uint64_t m_id = 0;
    std::string m_organisation;
    Shape m_shape;
    /** One a member; empty while lost workers leave no room for the unit. */
    std::vector<UnitCell> m_cells;
};

/** Where a job stands. */
enum class JobState : std::uint8_t {
    QUEUED,
    /** Workers are chosen; some of their accelerators are still being emptied. */
    CLAIMING,
    /** Accelerators are assigned; members are being prepared. */
    PREPARING,
    RUNNING,
    /** Members are being stopped; the accelerators are held until all have surely stopped. */
    STOPPING,
    ENDED,
    FAILED,
    WITHDRAWN,
};

constexpr JobState lastOf(JobState) {
    return JobState::WITHDRAWN;
}

/** One member of a gang. The mask is empty while the job is CLAIMING. */
struct Member {
    WorkerIndex m_worker = 0;
    AcceleratorMask m_accelerators = 0;
};

/** What becomes of a STOPPING job when all its members have stopped. */
enum class AfterStop : std::uint8_t { QUEUE_AGAIN, WITHDRAW, FAIL, END };

constexpr AfterStop lastOf(AfterStop) {
    return AfterStop::END;
}

/** One gang job. */
struct Job {
    std::string m_name;
    std::string m_organisation;
    Shape m_shape;
    bool m_isUrgent = false;
    Millis m_declaredRunTime{0};
    /** Wall times. */
    Millis m_submittedAt{0};
    Millis m_queuedAt{0};
    Millis m_claimedAt{0};
    Millis m_startedAt{0};
    Millis m_endedAt{0};
    /** Run time kept by checkpoints of earlier attempts. */
    Millis m_progress{0};
    JobState m_state = JobState::QUEUED;
    AfterStop m_afterStop = AfterStop::QUEUE_AGAIN;
    /** Taken anew from ClusterState::m_nextAttempt each time that accelerators are assigned. */
    std::uint64_t m_attempt = 0;
    std::vector<Member> m_members;
    /** The guarantee unit it runs in; empty for borrowed work. */
    std::optional<std::uint64_t> m_unit;
    /** Workers on which it failed, one entry a failure. */
    std::vector<WorkerIndex> m_failedOn;
    std::uint32_t m_preemptions = 0;
    Explanation m_why;

    /** Whether it has workers: claiming, preparing, running or stopping. */
    bool isPlaced() const noexcept;
    /** Whether accelerators are assigned to it: preparing, running or stopping. */
    bool holdsAccelerators() const noexcept;
    /** Whether it has come to its end. */
    bool isOver() const noexcept;
};

/** Everything that the policy reads and writes, and that the schedule record keeps. */
struct ClusterState {
    std::vector<Worker> m_workers;
    std::vector<Organisation> m_organisations;
    std::vector<GuaranteeUnit> m_units;
    std::uint64_t m_nextUnit = 1;
    /** Never used twice, also not by jobs of the same name: sidecars remember stopped attempts. */
    std::uint64_t m_nextAttempt = 1;
    /** By name, which is unique within a region. */
    std::map<std::string, Job> m_jobs;

    Job* findJob(std::string_view name);
    const Job* findJob(std::string_view name) const;
    Organisation* findOrganisation(std::string_view name);
    const Organisation* findOrganisation(std::string_view name) const;
    std::optional<WorkerIndex> findWorker(std::string_view name) const;
    GuaranteeUnit* findUnit(std::uint64_t id);
};

std::string_view toText(WorkerState state);
std::string_view toText(JobState state);

}  // namespace pierbank

#endif  // PIERBANK_POLICY_CLUSTERSTATE_H
