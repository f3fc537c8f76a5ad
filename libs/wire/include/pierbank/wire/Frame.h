// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_WIRE_FRAME_H
#define PIERBANK_WIRE_FRAME_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pierbank {

// The messages between gateways and sidecars. FrameCodec encodes them as CBOR.

/**
 * Sidecar to gateway: requests a renewal of the worker's lease and serves as the worker's
 * heartbeat. The lease counts from the time at which the request was sent, so that a delayed answer
 * can't extend the lease.
 */
struct LeaseRequest {
    std::uint64_t m_sequence = 0;
    /** Whether the worker is unresponsive; the request is then a heartbeat of the sidecar only. */
    bool m_isWorkerUnresponsive = false;
    bool operator==(const LeaseRequest&) const = default;
};

/**
 * Gateway to sidecar: allows the worker to run tasks for `m_timeToLiveMs` from the time at which
 * the request with the number `m_sequence` was sent.
 */
struct LeaseRenewal {
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_timeToLiveMs = 0;
    /** Time until the next request; zero: the sidecar's own setting applies. */
    std::uint64_t m_nextRequestMs = 0;
    bool operator==(const LeaseRenewal&) const = default;
};

/** Number of accepted jobs of one queue that have not started. */
struct PendingEntry {
    std::string m_queue;
    std::uint64_t m_jobs = 0;
    bool operator==(const PendingEntry&) const = default;
};

/**
 * Gateway to leader: queries the age of the configuration and, optionally, the numbers of pending
 * jobs. Also serves as the gateway's heartbeat.
 */
struct GatewayQuery {
    /** Unique on the link, from 1. */
    std::uint64_t m_number = 0;
    /** Fitness of the sender to lead, see LeadershipCandidacy::getFitness(). */
    std::uint32_t m_fitness = 0;
    /** Whether the reply should contain the numbers of pending jobs. */
    bool m_wantsPending = false;
    bool operator==(const GatewayQuery&) const = default;
};

/**
 * Leader to gateway: the revision and age of the leader's configuration. In a reply to a query the
 * age is the time between the sending of the confirming read and the reply. The receiver counts
 * this age from the sending of its query, so that no clocks are compared. An unsolicited reply
 * (number zero) only announces a newer revision.
 */
struct GatewayReply {
    std::uint64_t m_number = 0;
    /** Store revision of the leader's configuration; zero: the leader has no configuration. */
    std::uint64_t m_revision = 0;
    std::uint64_t m_ageMs = 0;
    /** Time until the next query; zero: the gateway's own setting applies. */
    std::uint64_t m_nextRequestMs = 0;
    /** Number of linked gateways, and the best fitness among them and the leader. */
    std::uint32_t m_gateways = 0;
    std::uint32_t m_bestFitness = 0;
    /** Whether m_pending is valid: requested, and the sender's leadership is confirmed. */
    bool m_knowsPending = false;
    /** Queues without pending jobs are omitted. */
    std::vector<PendingEntry> m_pending;
    bool operator==(const GatewayReply&) const = default;
};

/** Gateway to leader: a caller's request that the gateway can't answer without the store. */
struct RelayedRequest {
    /** Unique in the leader's term, also among the processes of a gateway; see LeaderLink. */
    std::uint64_t m_number = 0;
    std::string m_method;
    std::string m_host;
    std::string m_path;
    std::string m_key;
    std::string m_body;
    /** Time left until the caller's timeout. */
    std::uint64_t m_remainingMs = 0;
    bool operator==(const RelayedRequest&) const = default;
};

/** Leader to gateway: the answer to a RelayedRequest. */
struct RelayedAnswer {
    std::uint64_t m_number = 0;
    std::uint32_t m_status = 0;
    std::string m_body;
    bool operator==(const RelayedAnswer&) const = default;
};

/**
 * Leader to sidecar or gateway, first frame of a link: identifies the leader. From then on the
 * receiver rejects leaders with lower epochs.
 */
struct LeaderHello {
    std::uint64_t m_epoch = 0;
    std::string m_node;
    /** Number of this link among those of this leader to this host, from 1. */
    std::uint64_t m_link = 0;
    bool operator==(const LeaderHello&) const = default;
};

/** One run that had started, or may have started, on a worker that crashed. */
struct CrashedRunEntry {
    std::string m_task;
    std::uint32_t m_run = 0;
    /** Time from the start until the worker was first seen unresponsive, in milliseconds. */
    std::uint64_t m_ranMs = 0;
    /** Whether the worker had confirmed the run; otherwise the worker never answered the start. */
    bool m_isConfirmed = false;
    bool operator==(const CrashedRunEntry&) const = default;
};

/**
 * Incarnation of a worker that was followed by another incarnation without having announced its
 * exit.
 */
struct WorkerCrash {
    std::string m_incarnation;
    /** Whether the incarnation was draining, which may explain the exit. */
    bool m_wasLeaving = false;
    std::vector<CrashedRunEntry> m_runs;
    bool operator==(const WorkerCrash&) const = default;
};

/** Sidecar to leader: state of the worker; sent after each change and when a link is opened. */
struct WorkerNotice {
    /** Empty while no incarnation is known. */
    std::string m_incarnation;
    /** Whether the incarnation has exited, so that none of its runs exist any more. */
    bool m_hasExited = false;
    std::string m_service;
    std::string m_failureDomain;
    std::string m_rack;
    std::vector<std::string> m_labels;
    std::uint32_t m_cpuMillis = 0;
    std::uint32_t m_memoryMb = 0;
    std::uint32_t m_accelerators = 0;
    /** Largest capacity of this incarnation; the current capacity may shrink and grow again. */
    std::uint32_t m_fullCpuMillis = 0;
    std::uint32_t m_fullMemoryMb = 0;
    std::uint32_t m_fullAccelerators = 0;
    bool m_isDraining = false;
    /** Minimum time that a draining worker remains available. */
    std::uint64_t m_remainingMs = 0;
    /** Time until the worker is warmed up. */
    std::uint64_t m_warmUpRemainingMs = 0;
    /** Recent crashes; repeated in each notice, since the leader may be new. */
    std::vector<WorkerCrash> m_crashes;
    bool operator==(const WorkerNotice&) const = default;
};

/** One run on a worker. */
struct RunningEntry {
    std::string m_task;
    std::uint32_t m_run = 0;
    std::string m_checkpoint;
    std::uint32_t m_percent = 0;
    bool operator==(const RunningEntry&) const = default;
};

/** One finished run, which the worker lists until the end of the run is persisted. */
struct EndedEntry {
    std::uint64_t m_number = 0;
    std::string m_task;
    std::uint32_t m_run = 0;
    /** Value of RunEnd. */
    std::uint32_t m_end = 0;
    std::string m_checkpoint;
    bool operator==(const EndedEntry&) const = default;
};

/** Whether a report lists all runs of the worker that are not persisted as ended. */
enum class ReportCoverage : std::uint32_t {
    /** The sidecar does not say; sidecars of earlier versions never do. */
    UNSTATED,
    /** A finished run may be missing: workers list a limited number of them at once. */
    SOME_RUNS,
    ALL_RUNS,
};

/** Sidecar to leader: the runs of the worker. */
struct RunReport {
    std::string m_incarnation;
    std::vector<RunningEntry> m_running;
    std::vector<EndedEntry> m_ended;
    ReportCoverage m_coverage = ReportCoverage::ALL_RUNS;
    bool operator==(const RunReport&) const = default;
};

/**
 * Leader to sidecar: starts a run that is committed in the store. For a run that already exists on
 * the worker, the order only restores the properties of the run at a restarted sidecar.
 */
struct RunOrder {
    std::uint64_t m_epoch = 0;
    std::string m_incarnation;
    std::string m_task;
    std::uint32_t m_run = 0;
    std::string m_payload;
    std::string m_checkpoint;
    /** Placement ticket that the worker requires on queues with placement advice; else empty. */
    std::string m_ticket;
    /** Target for the tail latency of a task that serves users; zero: none. */
    std::uint64_t m_latencyTargetMs = 0;
    /** Whether the task only uses processor time that other tasks leave idle, and is throttled. */
    bool m_isFilling = false;
    bool operator==(const RunOrder&) const = default;
};

/** Leader to sidecar: stops a run, or prevents its start if it has not started yet. */
struct RunStop {
    std::uint64_t m_epoch = 0;
    std::string m_incarnation;
    std::string m_task;
    std::uint32_t m_run = 0;
    bool operator==(const RunStop&) const = default;
};

/** Sidecar to leader: the run does not exist, is not listed as finished, and can never start. */
struct RunAbsent {
    std::string m_incarnation;
    std::string m_task;
    std::uint32_t m_run = 0;
    std::string m_reason;
    bool operator==(const RunAbsent&) const = default;
};

/** Leader to sidecar: ends up to this number are persisted; the worker may drop them. */
struct EndsPersisted {
    std::string m_incarnation;
    std::uint64_t m_number = 0;
    bool operator==(const EndsPersisted&) const = default;
};

/** Gateway to leader: the store has confirmed the write of this key under input/. */
struct InputNotice {
    std::string m_key;
    std::string m_value;
    bool operator==(const InputNotice&) const = default;
};

/** Observed run times of one image of a queue. */
struct RunTimeEntry {
    std::string m_queue;
    /** Empty for steps without an image. */
    std::string m_image;
    double m_logRatio = 0;
    double m_samples = 0;
    bool operator==(const RunTimeEntry&) const = default;
};

/** Evidence against a host at the time of the record. */
struct HealthEntry {
    double m_failureScore = 0;
    std::uint64_t m_avoidForMs = 0;
    std::uint32_t m_avoidCount = 0;
    double m_evidence = 0;
    std::uint64_t m_pauseForMs = 0;
    std::uint32_t m_pauseCount = 0;
    bool m_needsProbe = false;
    bool operator==(const HealthEntry&) const = default;
};

/** Observed arrivals of urgent work of one service, decayed to the time of the record. */
struct ArrivalsEntry {
    std::string m_service;
    double m_jobs = 0;
    double m_accelerators = 0;
    /** Accelerators times declared run time in milliseconds. */
    double m_work = 0;
    bool operator==(const ArrivalsEntry&) const = default;
};

/**
 * Leader to sidecar: what the leader has learned, for its successor. The sidecar keeps the record
 * with the highest epoch and, within it, the highest sequence. See docs/design/learned-state.md.
 */
struct LearnedRecord {
    std::uint64_t m_epoch = 0;
    /** Rises over all records that a leader sends, to whichever host. */
    std::uint64_t m_sequence = 0;
    /** Incarnation of the worker to which the speed belongs. */
    std::string m_incarnation;
    double m_logSpeed = 0;
    double m_speedSamples = 0;
    HealthEntry m_health;
    std::vector<ArrivalsEntry> m_arrivals;
    std::vector<RunTimeEntry> m_runTimes;
    bool operator==(const LearnedRecord&) const = default;
};

/** Sidecar to leader, when a link is opened: the record that it keeps. */
struct KeptRecord {
    LearnedRecord m_record;
    /** Time since the sidecar received the record, on its steady clock. */
    std::uint64_t m_ageMs = 0;
    bool operator==(const KeptRecord&) const = default;
};

/**
 * Any message between processes of the system. A message's position in this list is its type number
 * on the wire. A process that receives a type that it does not know closes the link, so that new
 * types go to the end of the list, and SocketLink sends them only to peers that know them.
 */
using Frame = std::variant<LeaderHello, LeaseRequest, LeaseRenewal, WorkerNotice, RunReport,
                           RunOrder, RunStop, RunAbsent, EndsPersisted, InputNotice, RelayedRequest,
                           RelayedAnswer, GatewayQuery, GatewayReply, LearnedRecord, KeptRecord>;

}  // namespace pierbank

#endif  // PIERBANK_WIRE_FRAME_H
