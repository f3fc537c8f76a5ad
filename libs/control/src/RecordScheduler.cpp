// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/RecordScheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "pierbank/control/HostRecordCodec.h"

namespace pierbank {

namespace {

/** Change of a logarithm that is worth a record: 5 % of a speed or a run time. */
constexpr double MIN_LOG_CHANGE = 0.05;
/** Change of a number of samples, as a factor, that is worth a record. */
constexpr double MIN_SAMPLES_FACTOR = 1.5;
/** Change of a failure score that is worth a record; the quickest failure adds 1. */
constexpr double MIN_SCORE_CHANGE = 0.3;
/** Change of the evidence of wide steps, in nats, that is worth a record: odds of two to one. */
constexpr double MIN_EVIDENCE_CHANGE = 0.7;
/** Bytes of a record without its texts and lists, and of an entry without its texts. */
constexpr std::size_t RECORD_BYTES = 60;
constexpr std::size_t ENTRY_BYTES = 20;

bool haveSamplesChanged(double before, double now) {
    return std::max(before, now) > std::min(before, now) * MIN_SAMPLES_FACTOR;
}

bool hasSpeedChanged(const SpeedRecord& before, const SpeedRecord& now) {
    return std::abs(before.m_logSpeed - now.m_logSpeed) >= MIN_LOG_CHANGE ||
           haveSamplesChanged(before.m_samples, now.m_samples);
}

/** A score that only decays is no change: the next leader lets it decay as well. */
bool hasHealthChanged(const HealthRecord& before, const HealthRecord& now) {
    return before.m_avoidCount != now.m_avoidCount || before.m_avoidFor < now.m_avoidFor ||
           before.m_pauseCount != now.m_pauseCount || before.m_pauseFor < now.m_pauseFor ||
           before.m_needsProbe != now.m_needsProbe ||
           std::abs(before.m_failureScore - now.m_failureScore) >= MIN_SCORE_CHANGE ||
           std::abs(before.m_evidence - now.m_evidence) >= MIN_EVIDENCE_CHANGE;
}

bool hasRunTimeChanged(const RunTimeRecord& before, const RunTimeRecord& now) {
    return before.m_queue != now.m_queue || before.m_image != now.m_image ||
           std::abs(before.m_logRatio - now.m_logRatio) >= MIN_LOG_CHANGE ||
           haveSamplesChanged(before.m_samples, now.m_samples);
}

/** Arrivals change all the time; they travel with the other changes. */
bool hasChanged(const HostRecord& before, const HostRecord& now) {
    return before.m_incarnation != now.m_incarnation ||
           hasSpeedChanged(before.m_speed, now.m_speed) ||
           hasHealthChanged(before.m_health, now.m_health) ||
           !std::equal(before.m_runTimes.begin(), before.m_runTimes.end(), now.m_runTimes.begin(),
                       now.m_runTimes.end(),
                       [](const auto& a, const auto& b) { return !hasRunTimeChanged(a, b); });
}

/** Returns whether the record tells nothing beside the incarnation. */
bool isEmpty(const HostRecord& record) {
    return record.m_speed.m_samples <= 0 && record.m_health == HealthRecord() &&
           record.m_arrivals.empty() && record.m_runTimes.empty();
}

std::size_t estimateBytes(const HostRecord& record) {
    std::size_t bytes = RECORD_BYTES + record.m_incarnation.size();
    for (const ArrivalsRecord& arrivals : record.m_arrivals) {
        bytes += ENTRY_BYTES + arrivals.m_service.size();
    }
    for (const RunTimeRecord& runTime : record.m_runTimes) {
        bytes += ENTRY_BYTES + runTime.m_queue.size() + runTime.m_image.size();
    }
    return bytes;
}

}  // namespace

void RecordScheduler::start(std::uint64_t epoch) {
    m_epoch = epoch;
    m_sequence = 0;
    m_sent.clear();
    m_queue.clear();
    m_dueAt.clear();
}

void RecordScheduler::recordChange(const std::string& host, Millis now) {
    if (m_dueAt.count(host) != 0) {
        return;
    }
    const auto sent = m_sent.find(host);
    const Millis dueAt = sent == m_sent.end() ? now : std::max(now, sent->second.m_nextAt);
    m_dueAt[host] = dueAt;
    m_queue.insert({dueAt, host});
}

void RecordScheduler::handleUnlinked(const std::string& host) {
    const auto sent = m_sent.find(host);
    if (sent != m_sent.end()) {
        // The time of the next record stays, so that a link that breaks often costs no more.
        sent->second.m_record.reset();
    }
}

void RecordScheduler::forget(const std::string& host) {
    m_sent.erase(host);
    const auto due = m_dueAt.find(host);
    if (due != m_dueAt.end()) {
        m_queue.erase({due->second, host});
        m_dueAt.erase(due);
    }
}

std::vector<std::string> RecordScheduler::takeDue(Millis now) {
    std::vector<std::string> hosts;
    while (!m_queue.empty() && m_queue.begin()->first <= now && hosts.size() < MAX_HOSTS_AT_ONCE) {
        hosts.push_back(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
        m_dueAt.erase(hosts.back());
    }
    return hosts;
}

std::optional<LearnedRecord> RecordScheduler::makeFrame(const std::string& host,
                                                        const HostRecord& record, Millis now) {
    // A sidecar that may have a record is also told that nothing is known any more.
    if (isEmpty(record) && m_sent.count(host) == 0) {
        return std::nullopt;
    }
    Sent& sent = m_sent[host];
    const bool isKnown = sent.m_record.has_value() && !hasChanged(*sent.m_record, record);
    const bool isFresh = now - sent.m_at < REFRESH_INTERVAL || isEmpty(record);
    if (isKnown && isFresh) {
        sent.m_nextAt = now + MIN_INTERVAL;
        return std::nullopt;
    }
    const auto bytes = static_cast<std::int64_t>(estimateBytes(record));
    constexpr std::int64_t MILLIS_PER_SECOND = 1000;
    const Millis interval(bytes * MILLIS_PER_SECOND / MAX_BYTES_PER_SECOND);
    sent = {record, now, now + std::max(MIN_INTERVAL, interval)};
    return encodeHostRecord(record, {m_epoch, ++m_sequence});
}

}  // namespace pierbank
