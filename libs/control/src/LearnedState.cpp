// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LearnedState.h"

#include <algorithm>
#include <cmath>

namespace pierbank {

namespace {

/** More jobs, accelerators or samples than any region has. */
constexpr double MAX_AMOUNT = 1e9;
/** The same for accelerators times milliseconds. */
constexpr double MAX_WORK = 1e15;
/** A host is avoided from a score of 1.5; a greater score would take hours to decay. */
constexpr double MAX_FAILURE_SCORE = 1000;

/** Returns whether a value is a number from zero to `max`. */
bool isAmount(double value, double max = MAX_AMOUNT) {
    return value >= 0 && value <= max;
}

bool isValid(const ReturnedRecord& returned) {
    const HostRecord& record = returned.m_record;
    const bool isHostValid = std::isfinite(record.m_speed.m_logSpeed) &&
                             isAmount(record.m_speed.m_samples) &&
                             isAmount(record.m_health.m_failureScore, MAX_FAILURE_SCORE) &&
                             isAmount(record.m_health.m_evidence);
    const bool areArrivalsValid = std::all_of(
            record.m_arrivals.begin(), record.m_arrivals.end(), [](const ArrivalsRecord& arrivals) {
                return isAmount(arrivals.m_jobs) && isAmount(arrivals.m_accelerators) &&
                       isAmount(arrivals.m_work, MAX_WORK);
            });
    const bool areRunTimesValid = std::all_of(
            record.m_runTimes.begin(), record.m_runTimes.end(), [](const RunTimeRecord& runTime) {
                return std::isfinite(runTime.m_logRatio) && isAmount(runTime.m_samples);
            });
    return isHostValid && areArrivalsValid && areRunTimesValid &&
           record.m_health.m_avoidFor >= Millis(0) && record.m_health.m_pauseFor >= Millis(0) &&
           record.m_runTimes.size() <= LearnedState::MAX_RUN_TIMES &&
           record.m_arrivals.size() <= 1 && returned.m_age >= Millis(0);
}

}  // namespace

bool isRefusal(RestoreResult result) {
    return result == RestoreResult::LATER_LEADER || result == RestoreResult::INVALID ||
           result == RestoreResult::TOO_OLD;
}

std::string_view toText(RestoreResult result) {
    switch (result) {
        case RestoreResult::RESTORED:
            return "restored";
        case RestoreResult::NOTHING_NEW:
            return "nothing new";
        case RestoreResult::KNOWN:
            return "known";
        case RestoreResult::LATER_LEADER:
            return "sent by a later leader";
        case RestoreResult::INVALID:
            return "a value is out of range";
        case RestoreResult::TOO_OLD:
            return "too old";
    }
    return "unknown";
}

HostRecord LearnedState::getRecord(const std::string& host, const std::string& incarnation,
                                   const std::string& service, const Moment& moment) const {
    HostRecord record;
    record.m_incarnation = incarnation;
    record.m_speed = m_speeds.getRecord(incarnation);
    record.m_health = m_health.getRecord(host, moment.m_now);
    const auto arrivals = m_demand.getRecord(service, moment.m_wallNow);
    if (arrivals.has_value()) {
        record.m_arrivals.push_back(*arrivals);
    }
    record.m_runTimes = m_runTimes.exportRecords(MAX_RUN_TIMES);
    return record;
}

RestoreResult LearnedState::restore(const std::string& host, const ReturnedRecord& returned,
                                    std::uint64_t epoch, const Moment& moment) {
    if (returned.m_version.first > epoch) {
        return RestoreResult::LATER_LEADER;
    }
    // After the first record, everything newer about the host was seen by this leader itself.
    if (returned.m_version.first == epoch || !m_returnedHosts.insert(host).second) {
        return RestoreResult::KNOWN;
    }
    if (!isValid(returned)) {
        return RestoreResult::INVALID;
    }
    if (returned.m_age > MAX_RECORD_AGE) {
        return RestoreResult::TOO_OLD;
    }
    const HostRecord& record = returned.m_record;
    const Millis at = moment.m_now - returned.m_age;
    const bool hasSpeed = !record.m_incarnation.empty() &&
                          m_speeds.restore(record.m_incarnation, record.m_speed, at, moment.m_now);
    const bool hasHealth = m_health.restore(host, record.m_health, at, moment.m_now);
    const bool hasCommon = restoreCommon(returned, moment);
    return hasSpeed || hasHealth || hasCommon ? RestoreResult::RESTORED
                                              : RestoreResult::NOTHING_NEW;
}

/**
 * Restores what does not concern the host alone, from the newest record that any host gave back.
 * All hosts have nearly the same of it, so it must count once only.
 */
bool LearnedState::restoreCommon(const ReturnedRecord& returned, const Moment& moment) {
    const HostRecord& record = returned.m_record;
    bool isRestored = false;
    for (const ArrivalsRecord& arrivals : record.m_arrivals) {
        isRestored = m_demand.restore(arrivals, moment.m_wallNow - returned.m_age) || isRestored;
    }
    if (returned.m_version > m_commonVersion && !record.m_runTimes.empty()) {
        m_commonVersion = returned.m_version;
        for (const RunTimeRecord& runTime : record.m_runTimes) {
            m_runTimes.forgetRestored(runTime.m_queue, runTime.m_image);
            m_runTimes.restore(runTime, moment.m_now);
        }
        isRestored = true;
    }
    return isRestored;
}

void LearnedState::clear() {
    m_health.clear();
    m_speeds.clear();
    m_demand.clear();
    m_runTimes.clear();
    m_commonVersion = {0, 0};
    m_returnedHosts.clear();
}

}  // namespace pierbank
