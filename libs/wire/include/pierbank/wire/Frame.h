// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_WIRE_FRAME_H
#define PIERBANK_WIRE_FRAME_H

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pierbank {

// The messages between gateways and sidecars. FrameCodec turns them into CBOR and back.

/** A request's name: the gateway's instance, and a counter that is unique within it. */
struct RequestId {
    std::string m_gateway;
    std::uint64_t m_number = 0;

    std::string toText() const { return m_gateway + "-" + std::to_string(m_number); }
    auto operator<=>(const RequestId&) const = default;
};

/** One attempt to run a job. A job that was stopped and placed again has a higher attempt. */
struct AttemptId {
    std::string m_job;
    std::uint64_t m_attempt = 0;

    std::string toText() const { return m_job + "/" + std::to_string(m_attempt); }
    auto operator<=>(const AttemptId&) const = default;
};

/** An HTTP header. */
struct HttpHeader {
    std::string m_name;
    std::string m_value;
    bool operator==(const HttpHeader&) const = default;
};

/** First frame in both directions. A new instance means that the sender's memory is new. */
struct Hello {
    std::string m_node;
    std::string m_instance;
    std::uint64_t m_configurationVersion = 0;
    bool operator==(const Hello&) const = default;
};

/**
 * Sidecar to gateway: asks for the lease, and is the worker's heartbeat. The lease counts from the
 * moment of asking, so that an answer which was delayed anywhere cannot lengthen it.
 */
struct LeaseAsk {
    std::uint64_t m_sequence = 0;
    bool operator==(const LeaseAsk&) const = default;
};

/** Gateway to sidecar: lets a worker run tasks until so long after it asked with `sequence`. */
struct LeaseRenewal {
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_timeToLiveMs = 0;
    /** The leader lately confirmed its leadership with the platform's service. */
    bool m_isConfirmed = false;
    bool operator==(const LeaseRenewal&) const = default;
};

/** Gateway to sidecar: hold accelerators for one member of a gang. */
struct GangPrepare {
    std::uint64_t m_epoch = 0;
    AttemptId m_attempt;
    std::uint32_t m_member = 0;
    std::vector<std::uint32_t> m_accelerators;
    std::uint64_t m_runTimeMs = 0;
    bool operator==(const GangPrepare&) const = default;
};

/** Gateway to sidecar: the gang is committed as running; start the member. */
struct GangStart {
    std::uint64_t m_epoch = 0;
    AttemptId m_attempt;
    std::uint32_t m_member = 0;
    bool operator==(const GangStart&) const = default;
};

/** Gateway to sidecar: stop the attempt's member and never start it. */
struct GangStop {
    std::uint64_t m_epoch = 0;
    AttemptId m_attempt;
    std::uint32_t m_member = 0;
    std::uint64_t m_graceMs = 0;
    bool operator==(const GangStop&) const = default;
};

/** Where a gang member stands on its worker. */
enum class MemberState : std::uint8_t {
    ABSENT,
    PREPARED,
    RUNNING,
    ENDED,
    FAILED,
    STOPPED,
    REFUSED
};

/** Sidecar to gateway: the state of one member, after each change and when asked. */
struct MemberReport {
    AttemptId m_attempt;
    std::uint32_t m_member = 0;
    MemberState m_state = MemberState::ABSENT;
    std::string m_reason;
    bool operator==(const MemberReport&) const = default;
};

/** Gateway to sidecar: report every member that you know of. */
struct MemberQuery {
    std::uint64_t m_epoch = 0;
    bool operator==(const MemberQuery&) const = default;
};

/** Sidecar to gateway: end of the reports that answer the MemberQuery of this epoch. */
struct MemberReportEnd {
    std::uint64_t m_epoch = 0;
    bool operator==(const MemberReportEnd&) const = default;
};

/** Gateway to sidecar: a caller's request for the endpoint. */
struct ForwardRequest {
    RequestId m_id;
    std::string m_method;
    std::string m_path;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
    std::uint64_t m_remainingMs = 0;
    bool m_neverRepeat = false;
    bool operator==(const ForwardRequest&) const = default;
};

/** Sidecar to gateway: the endpoint's whole answer. */
struct ForwardAnswer {
    RequestId m_id;
    std::uint32_t m_status = 0;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
    bool operator==(const ForwardAnswer&) const = default;
};

/** What became of a request, as far as its sidecar knows. */
enum class RequestFate : std::uint8_t { NOT_RUN, RUNNING, UNKNOWN, FAILED };

/** Sidecar to gateway: a fate without an answer. NOT_RUN holds for ever: the id is tombstoned. */
struct FateReport {
    RequestId m_id;
    RequestFate m_fate = RequestFate::UNKNOWN;
    std::string m_reason;
    /** The endpoint itself did badly; it counts towards its ejection. */
    bool m_isEndpointFailure = false;
    bool operator==(const FateReport&) const = default;
};

/** Gateway to sidecar: what became of this request? An id never seen is tombstoned. */
struct FateQuery {
    RequestId m_id;
    bool operator==(const FateQuery&) const = default;
};

/** Gateway to sidecar: the caller has gone; drop the request if it has not started. */
struct CancelRequest {
    RequestId m_id;
    bool operator==(const CancelRequest&) const = default;
};

/** Sidecar to gateway: room at the endpoint. Sent after each change and as a heartbeat. */
struct LoadReport {
    std::uint32_t m_slots = 0;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    bool m_isLeaving = false;
    std::uint64_t m_configurationVersion = 0;
    bool operator==(const LoadReport&) const = default;
};

/** Either way: a configuration for a peer whose version is lower. */
struct ConfigurationPush {
    std::uint64_t m_version = 0;
    std::string m_bytes;
    bool operator==(const ConfigurationPush&) const = default;
};

/** Leader to sidecar, first frame: from now on orders of lower epochs are refused. */
struct LeaderHello {
    std::uint64_t m_epoch = 0;
    std::string m_node;
    bool operator==(const LeaderHello&) const = default;
};

/** Sidecar to leader: the worker's life and what it has; after each change and when linked. */
struct WorkerNotice {
    /** Empty while none is known. */
    std::string m_life;
    /** The life is over: nothing of it runs any more. */
    bool m_isGone = false;
    std::string m_service;
    std::string m_failureDomain;
    std::string m_rack;
    std::vector<std::string> m_labels;
    std::uint32_t m_cpuMillis = 0;
    std::uint32_t m_memoryMb = 0;
    std::uint32_t m_accelerators = 0;
    bool m_isDraining = false;
    /** Least time that a draining worker stays. */
    std::uint64_t m_remainingMs = 0;
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
    std::string m_life;
    std::vector<RunningEntry> m_running;
    std::vector<EndedEntry> m_ended;
    bool operator==(const RunReport&) const = default;
};

/** Leader to sidecar: start a run that is committed. */
struct RunOrder {
    std::uint64_t m_epoch = 0;
    std::string m_life;
    std::string m_task;
    std::uint32_t m_run = 0;
    std::string m_payload;
    std::string m_checkpoint;
    bool operator==(const RunOrder&) const = default;
};

/** Leader to sidecar: stop a run, or bar it if it has not begun. */
struct RunStop {
    std::uint64_t m_epoch = 0;
    std::string m_life;
    std::string m_task;
    std::uint32_t m_run = 0;
    bool operator==(const RunStop&) const = default;
};

/** Sidecar to leader: the run is not there, is not listed as ended, and can never begin. */
struct RunAbsent {
    std::string m_life;
    std::string m_task;
    std::uint32_t m_run = 0;
    std::string m_reason;
    bool operator==(const RunAbsent&) const = default;
};

/** Leader to sidecar: ends up to this number are kept; the worker may forget them. */
struct EndsKept {
    std::string m_life;
    std::uint64_t m_number = 0;
    bool operator==(const EndsKept&) const = default;
};

/** Gateway to leader: this key under input/ was written. A hint: the leader reads it. */
struct InputNotice {
    std::string m_key;
    bool operator==(const InputNotice&) const = default;
};

/** Any message between processes of the system. The order is the wire's type number. */
using Frame =
        std::variant<Hello, LeaseAsk, LeaseRenewal, GangPrepare, GangStart, GangStop, MemberReport,
                     MemberQuery, MemberReportEnd, ForwardRequest, ForwardAnswer, FateReport,
                     FateQuery, CancelRequest, LoadReport, ConfigurationPush, LeaderHello,
                     WorkerNotice, RunReport, RunOrder, RunStop, RunAbsent, EndsKept, InputNotice>;

}  // namespace pierbank

#endif  // PIERBANK_WIRE_FRAME_H
