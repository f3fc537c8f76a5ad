// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_WIRE_FRAME_H
#define PIERBANK_WIRE_FRAME_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pierbank {

// The messages between gateways and sidecars. FrameCodec turns them into CBOR and back.

/**
 * Sidecar to gateway: asks for the lease, and is the worker's heartbeat. The lease counts from the
 * moment of asking, so that an answer which was delayed anywhere cannot lengthen it.
 */
struct LeaseRequest {
    std::uint64_t m_sequence = 0;
    /** The worker does not answer its sidecar: this is only a sign of life of the sender. */
    bool m_isWorkerUnresponsive = false;
    bool operator==(const LeaseRequest&) const = default;
};

/** Gateway to sidecar: lets a worker run tasks until so long after it asked with `sequence`. */
struct LeaseRenewal {
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_timeToLiveMs = 0;
    /** When to ask again; zero: as the sidecar is set. */
    std::uint64_t m_nextRequestMs = 0;
    bool operator==(const LeaseRenewal&) const = default;
};

/** Accepted jobs of one queue that have not begun. */
struct PendingEntry {
    std::string m_queue;
    std::uint64_t m_jobs = 0;
    bool operator==(const PendingEntry&) const = default;
};

/**
 * Gateway to leader: how old is the configuration, and how many jobs are pending? Also the
 * gateway's sign of life.
 */
struct GatewayQuery {
    /** Unique on the link, from 1. */
    std::uint64_t m_number = 0;
    /** How well the sender could lead (LeadershipCandidacy). */
    std::uint32_t m_fitness = 0;
    /** The pending jobs are asked for too. */
    bool m_wantsPending = false;
    bool operator==(const GatewayQuery&) const = default;
};

/**
 * Leader to gateway: the configuration that it has. An answer to a question says how long before
 * the answer the read was sent that confirmed it, so that no clock is compared; the receiver counts
 * from the sending of its question. Without a question (number zero) it only says that there is a
 * newer one.
 */
struct GatewayReply {
    std::uint64_t m_number = 0;
    /** The store's revision; zero: the leader has none. */
    std::uint64_t m_revision = 0;
    std::uint64_t m_ageMs = 0;
    /** When to ask again; zero: as the gateway is set. */
    std::uint64_t m_nextRequestMs = 0;
    /** Gateways that are linked, and the best fitness among them and the leader. */
    std::uint32_t m_gateways = 0;
    std::uint32_t m_bestFitness = 0;
    /** They were asked for, and the sender surely leads. */
    bool m_knowsPending = false;
    /** Queues without any are left out. */
    std::vector<PendingEntry> m_pending;
    bool operator==(const GatewayReply&) const = default;
};

/** Gateway to leader: a caller's request that the gateway can't answer without the store. */
struct RelayedRequest {
    /** Unique on the link. */
    std::uint64_t m_number = 0;
    std::string m_method;
    std::string m_host;
    std::string m_path;
    std::string m_key;
    std::string m_body;
    std::uint64_t m_remainingMs = 0;
    bool operator==(const RelayedRequest&) const = default;
};

/** Leader to gateway: its answer. */
struct RelayedAnswer {
    std::uint64_t m_number = 0;
    std::uint32_t m_status = 0;
    std::string m_body;
    bool operator==(const RelayedAnswer&) const = default;
};

/** Leader to sidecar, first frame: from now on orders of lower epochs are refused. */
struct LeaderHello {
    std::uint64_t m_epoch = 0;
    std::string m_node;
    /** Counts the links of this leader to this host, from 1. */
    std::uint64_t m_link = 0;
    bool operator==(const LeaderHello&) const = default;
};

/** One run that had begun, or may have, on a worker that crashed. */
struct CrashedRunEntry {
    std::string m_task;
    std::uint32_t m_run = 0;
    /** From its start until the worker was first seen not to answer, in milliseconds. */
    std::uint64_t m_ranMs = 0;
    /** The worker had said that it runs; else its start was never answered. */
    bool m_isConfirmed = false;
    bool operator==(const CrashedRunEntry&) const = default;
};

/** A life of the worker that another followed although it never said goodbye. */
struct WorkerCrash {
    std::string m_incarnation;
    /** It was draining, so that it may have gone for that. */
    bool m_wasLeaving = false;
    std::vector<CrashedRunEntry> m_runs;
    bool operator==(const WorkerCrash&) const = default;
};

/** Sidecar to leader: the worker's life and what it has; after each change and when linked. */
struct WorkerNotice {
    /** Empty while none is known. */
    std::string m_incarnation;
    /** The life is over: nothing of it runs any more. */
    bool m_hasExited = false;
    std::string m_service;
    std::string m_failureDomain;
    std::string m_rack;
    std::vector<std::string> m_labels;
    std::uint32_t m_cpuMillis = 0;
    std::uint32_t m_memoryMb = 0;
    std::uint32_t m_accelerators = 0;
    /** The most that it had in this life; its room may have shrunk since, and may grow again. */
    std::uint32_t m_fullCpuMillis = 0;
    std::uint32_t m_fullMemoryMb = 0;
    std::uint32_t m_fullAccelerators = 0;
    bool m_isDraining = false;
    /** Least time that a draining worker stays. */
    std::uint64_t m_remainingMs = 0;
    /** How much longer it is slow. */
    std::uint64_t m_coldLeftMs = 0;
    /** The last crashes that this sidecar saw, with each notice anew: a leader may be new. */
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

/** One ended run that the worker lists until it is told that the end is kept. */
struct EndedEntry {
    std::uint64_t m_number = 0;
    std::string m_task;
    std::uint32_t m_run = 0;
    /** A RunEnd. */
    std::uint32_t m_end = 0;
    std::string m_checkpoint;
    bool operator==(const EndedEntry&) const = default;
};

/** Sidecar to leader: what the worker says of itself. */
struct RunReport {
    std::string m_incarnation;
    std::vector<RunningEntry> m_running;
    std::vector<EndedEntry> m_ended;
    bool operator==(const RunReport&) const = default;
};

/**
 * Leader to sidecar: start a run that is committed. For a run that is there already it only tells
 * what kind of run it is, which a restarted sidecar does not know.
 */
struct RunOrder {
    std::uint64_t m_epoch = 0;
    std::string m_incarnation;
    std::string m_task;
    std::uint32_t m_run = 0;
    std::string m_payload;
    std::string m_checkpoint;
    /** What the worker asks for on queues with advice; empty on others. */
    std::string m_ticket;
    /** A task that serves users: the tail of their answer times stays below this; zero: none. */
    std::uint64_t m_latencyTargetMs = 0;
    /** It takes only the processor time that others leave, and is paced. */
    bool m_isFilling = false;
    bool operator==(const RunOrder&) const = default;
};

/** Leader to sidecar: stop a run, or bar it if it has not begun. */
struct RunStop {
    std::uint64_t m_epoch = 0;
    std::string m_incarnation;
    std::string m_task;
    std::uint32_t m_run = 0;
    bool operator==(const RunStop&) const = default;
};

/** Sidecar to leader: the run is not there, is not listed as ended, and can never begin. */
struct RunAbsent {
    std::string m_incarnation;
    std::string m_task;
    std::uint32_t m_run = 0;
    std::string m_reason;
    bool operator==(const RunAbsent&) const = default;
};

/** Leader to sidecar: ends up to this number are kept; the worker may forget them. */
struct EndsPersisted {
    std::string m_incarnation;
    std::uint64_t m_number = 0;
    bool operator==(const EndsPersisted&) const = default;
};

/** Gateway to leader: this key under input/ is written, the store said so. */
struct InputNotice {
    std::string m_key;
    std::string m_value;
    bool operator==(const InputNotice&) const = default;
};

/** Any message between processes of the system. The order is the wire's type number. */
using Frame = std::variant<LeaderHello, LeaseRequest, LeaseRenewal, WorkerNotice, RunReport,
                           RunOrder, RunStop, RunAbsent, EndsPersisted, InputNotice, RelayedRequest,
                           RelayedAnswer, GatewayQuery, GatewayReply>;

}  // namespace pierbank

#endif  // PIERBANK_WIRE_FRAME_H
