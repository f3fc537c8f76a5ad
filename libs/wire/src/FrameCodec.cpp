// SPDX-License-Identifier: Apache-2.0
#include "pierbank/wire/FrameCodec.h"

#include <utility>

#include "pierbank/base/Archive.h"

namespace pierbank {

// The archives find these functions by argument-dependent lookup, which requires that they are not
// in the unnamed namespace.

template <typename Archive>
void describe(Archive& archive, LeaseRequest& frame) {
    archive(frame.m_sequence, frame.m_isWorkerUnresponsive);
}

template <typename Archive>
void describe(Archive& archive, LeaseRenewal& frame) {
    archive(frame.m_epoch, frame.m_sequence, frame.m_timeToLiveMs, frame.m_nextRequestMs);
}

template <typename Archive>
void describe(Archive& archive, PendingEntry& entry) {
    archive(entry.m_queue, entry.m_jobs);
}

template <typename Archive>
void describe(Archive& archive, GatewayQuery& frame) {
    archive(frame.m_number, frame.m_fitness, frame.m_wantsPending);
}

template <typename Archive>
void describe(Archive& archive, GatewayReply& frame) {
    archive(frame.m_number, frame.m_revision, frame.m_ageMs, frame.m_nextRequestMs,
            frame.m_gateways, frame.m_bestFitness, frame.m_knowsPending, frame.m_pending);
}

template <typename Archive>
void describe(Archive& archive, RelayedRequest& frame) {
    archive(frame.m_number, frame.m_method, frame.m_host, frame.m_path, frame.m_key, frame.m_body,
            frame.m_remainingMs);
}

template <typename Archive>
void describe(Archive& archive, RelayedAnswer& frame) {
    archive(frame.m_number, frame.m_status, frame.m_body);
}

void describe(ArchiveWriter& archive, LeaderHello& frame) {
    archive(frame.m_epoch, frame.m_node, frame.m_link);
}

/** Accepts the older form of the frame, in which leaders did not number their links. */
void describe(ArchiveReader& archive, LeaderHello& frame) {
    constexpr std::size_t FIELDS_WITHOUT_LINK = 2;
    if (archive.getSize() == FIELDS_WITHOUT_LINK) {
        archive(frame.m_epoch, frame.m_node);
    } else {
        archive(frame.m_epoch, frame.m_node, frame.m_link);
    }
}

template <typename Archive>
void describe(Archive& archive, CrashedRunEntry& entry) {
    archive(entry.m_task, entry.m_run, entry.m_ranMs, entry.m_isConfirmed);
}

template <typename Archive>
void describe(Archive& archive, WorkerCrash& crash) {
    archive(crash.m_incarnation, crash.m_wasLeaving, crash.m_runs);
}

template <typename Archive>
void describe(Archive& archive, WorkerNotice& frame) {
    archive(frame.m_incarnation, frame.m_hasExited, frame.m_service, frame.m_failureDomain,
            frame.m_rack, frame.m_labels, frame.m_cpuMillis, frame.m_memoryMb, frame.m_accelerators,
            frame.m_fullCpuMillis, frame.m_fullMemoryMb, frame.m_fullAccelerators,
            frame.m_isDraining, frame.m_remainingMs, frame.m_warmUpRemainingMs, frame.m_crashes);
}

template <typename Archive>
void describe(Archive& archive, RunningEntry& entry) {
    archive(entry.m_task, entry.m_run, entry.m_checkpoint, entry.m_percent);
}

template <typename Archive>
void describe(Archive& archive, EndedEntry& entry) {
    archive(entry.m_number, entry.m_task, entry.m_run, entry.m_end, entry.m_checkpoint);
}

/**
 * The coverage is the last row of the ended runs, with the number 0. Ends are numbered from 1, so
 * that leaders of earlier versions, which accept no further field, ignore this row. A list without
 * ends needs no row unless runs are missing.
 */
void describe(ArchiveWriter& archive, RunReport& frame) {
    std::vector<EndedEntry> ended = frame.m_ended;
    const bool isStated = frame.m_coverage == ReportCoverage::SOME_RUNS ||
                          (frame.m_coverage == ReportCoverage::ALL_RUNS && !ended.empty());
    if (isStated) {
        EndedEntry& row = ended.emplace_back();
        row.m_end = static_cast<std::uint32_t>(frame.m_coverage);
    }
    archive(frame.m_incarnation, frame.m_running, ended);
}

void describe(ArchiveReader& archive, RunReport& frame) {
    archive(frame.m_incarnation, frame.m_running, frame.m_ended);
    if (frame.m_ended.empty()) {
        frame.m_coverage = ReportCoverage::ALL_RUNS;
    } else if (frame.m_ended.back().m_number != 0) {
        frame.m_coverage = ReportCoverage::UNSTATED;
    } else {
        const bool isWhole =
                frame.m_ended.back().m_end == static_cast<std::uint32_t>(ReportCoverage::ALL_RUNS);
        frame.m_coverage = isWhole ? ReportCoverage::ALL_RUNS : ReportCoverage::SOME_RUNS;
        frame.m_ended.pop_back();
    }
}

template <typename Archive>
void describe(Archive& archive, RunOrder& frame) {
    archive(frame.m_epoch, frame.m_incarnation, frame.m_task, frame.m_run, frame.m_payload,
            frame.m_checkpoint, frame.m_ticket, frame.m_latencyTargetMs, frame.m_isFilling);
}

template <typename Archive>
void describe(Archive& archive, RunStop& frame) {
    archive(frame.m_epoch, frame.m_incarnation, frame.m_task, frame.m_run);
}

template <typename Archive>
void describe(Archive& archive, RunAbsent& frame) {
    archive(frame.m_incarnation, frame.m_task, frame.m_run, frame.m_reason);
}

template <typename Archive>
void describe(Archive& archive, EndsPersisted& frame) {
    archive(frame.m_incarnation, frame.m_number);
}

template <typename Archive>
void describe(Archive& archive, InputNotice& frame) {
    archive(frame.m_key, frame.m_value);
}

template <typename Archive>
void describe(Archive& archive, RunTimeEntry& entry) {
    archive(entry.m_queue, entry.m_image, entry.m_logRatio, entry.m_samples);
}

template <typename Archive>
void describe(Archive& archive, ArrivalsEntry& entry) {
    archive(entry.m_service, entry.m_jobs, entry.m_accelerators, entry.m_work);
}

template <typename Archive>
void describe(Archive& archive, HealthEntry& entry) {
    archive(entry.m_failureScore, entry.m_avoidForMs, entry.m_avoidCount, entry.m_evidence,
            entry.m_pauseForMs, entry.m_pauseCount, entry.m_needsProbe);
}

template <typename Archive>
void describe(Archive& archive, LearnedRecord& frame) {
    archive(frame.m_epoch, frame.m_sequence, frame.m_incarnation, frame.m_logSpeed,
            frame.m_speedSamples, frame.m_health, frame.m_arrivals, frame.m_runTimes);
}

template <typename Archive>
void describe(Archive& archive, KeptRecord& frame) {
    archive(frame.m_record, frame.m_ageMs);
}

namespace {

template <std::size_t... Types>
bool decodeAs(std::size_t type, const nlohmann::json& fields, Frame& frame,
              std::index_sequence<Types...>) {
    bool isDecoded = false;
    const auto tryType = [&](auto index) {
        if (type == index) {
            isDecoded = ArchiveReader::read(fields, frame.emplace<index>());
        }
    };
    (tryType(std::integral_constant<std::size_t, Types>()), ...);
    return isDecoded;
}

}  // namespace

std::string encodeFrame(const Frame& frame) {
    nlohmann::json message = nlohmann::json::array();
    message.push_back(frame.index());
    message.push_back(std::visit([](const auto& f) { return ArchiveWriter::toValue(f); }, frame));
    std::string bytes;
    nlohmann::json::to_cbor(message, bytes);
    return bytes;
}

std::optional<Frame> decodeFrame(std::string_view bytes, Reason& reason) {
    const nlohmann::json message = parseCbor(bytes);
    if (message.is_discarded()) {
        reason = "not CBOR";
        return std::nullopt;
    }
    constexpr std::size_t MESSAGE_ELEMENTS = 2;
    if (!message.is_array() || message.size() != MESSAGE_ELEMENTS ||
        !message[0].is_number_unsigned()) {
        reason = "not an array of type and fields";
        return std::nullopt;
    }
    const auto type = message[0].get<std::size_t>();
    Frame frame;
    constexpr auto TYPES = std::make_index_sequence<std::variant_size_v<Frame>>();
    if (!decodeAs(type, message[1], frame, TYPES)) {
        reason = "unknown frame type or wrong fields, type " + std::to_string(type);
        return std::nullopt;
    }
    return frame;
}

}  // namespace pierbank
