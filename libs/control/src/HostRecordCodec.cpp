// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/HostRecordCodec.h"

#include <algorithm>
#include <limits>

namespace pierbank {

namespace {

/** Rounds to a value that CBOR encodes in four bytes instead of eight. */
double round(double value) {
    return static_cast<double>(static_cast<float>(value));
}

/** Converts a time from the wire; times that do not fit become the longest time. */
Millis toMillis(std::uint64_t millis) {
    constexpr auto MAX = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    return Millis(static_cast<std::int64_t>(std::min(millis, MAX)));
}

HealthEntry encodeHealth(const HealthRecord& record) {
    return {round(record.m_failureScore),
            static_cast<std::uint64_t>(record.m_avoidFor.count()),
            record.m_avoidCount,
            round(record.m_evidence),
            static_cast<std::uint64_t>(record.m_pauseFor.count()),
            record.m_pauseCount,
            record.m_needsProbe};
}

HealthRecord decodeHealth(const HealthEntry& entry) {
    return {entry.m_failureScore, toMillis(entry.m_avoidForMs), entry.m_avoidCount,
            entry.m_evidence,     toMillis(entry.m_pauseForMs), entry.m_pauseCount,
            entry.m_needsProbe};
}

}  // namespace

LearnedRecord encodeHostRecord(const HostRecord& record, RecordVersion version) {
    LearnedRecord frame;
    frame.m_epoch = version.first;
    frame.m_sequence = version.second;
    frame.m_incarnation = record.m_incarnation;
    frame.m_logSpeed = round(record.m_speed.m_logSpeed);
    frame.m_speedSamples = round(record.m_speed.m_samples);
    frame.m_health = encodeHealth(record.m_health);
    for (const ArrivalsRecord& arrivals : record.m_arrivals) {
        frame.m_arrivals.push_back({arrivals.m_service, round(arrivals.m_jobs),
                                    round(arrivals.m_accelerators), round(arrivals.m_work)});
    }
    for (const RunTimeRecord& runTime : record.m_runTimes) {
        frame.m_runTimes.push_back({runTime.m_queue, runTime.m_image, round(runTime.m_logRatio),
                                    round(runTime.m_samples)});
    }
    return frame;
}

ReturnedRecord decodeKeptRecord(const KeptRecord& frame) {
    const LearnedRecord& from = frame.m_record;
    ReturnedRecord returned;
    returned.m_version = {from.m_epoch, from.m_sequence};
    returned.m_age = toMillis(frame.m_ageMs);
    HostRecord& record = returned.m_record;
    record.m_incarnation = from.m_incarnation;
    record.m_speed = {from.m_logSpeed, from.m_speedSamples};
    record.m_health = decodeHealth(from.m_health);
    for (const ArrivalsEntry& arrivals : from.m_arrivals) {
        record.m_arrivals.push_back(
                {arrivals.m_service, arrivals.m_jobs, arrivals.m_accelerators, arrivals.m_work});
    }
    for (const RunTimeEntry& runTime : from.m_runTimes) {
        record.m_runTimes.push_back(
                {runTime.m_queue, runTime.m_image, runTime.m_logRatio, runTime.m_samples});
    }
    return returned;
}

}  // namespace pierbank
