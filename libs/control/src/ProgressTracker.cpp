// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/ProgressTracker.h"

#include <algorithm>
#include <utility>

namespace pierbank {

namespace {

/** Percent reported by a run that is complete. */
constexpr std::uint32_t COMPLETE_PERCENT = 100;
constexpr double MILLIS_PER_SECOND = 1000.0;

}  // namespace

Millis ProgressTracker::Track::getStallTimeout() const {
    if (m_percent > m_firstPercent) {
        const Millis timePerPercent = (m_changedAt - m_firstAt) / (m_percent - m_firstPercent);
        return std::max(MIN_STALL_TIMEOUT, timePerPercent * STALL_PERCENT_FACTOR);
    }
    if (m_estimate <= Millis(0)) {
        return DEFAULT_STALL_TIMEOUT;
    }
    const auto estimateShare = static_cast<double>(m_estimate.count()) * STALL_ESTIMATE_SHARE;
    return std::max(MIN_STALL_TIMEOUT, Millis(static_cast<std::int64_t>(estimateShare)));
}

/** A complete run is not stalled: a complete run of a gang member waits for the other members. */
bool ProgressTracker::Track::isStalled() const {
    return m_percent < COMPLETE_PERCENT && !m_mayWait && getStalledTime() >= getStallTimeout();
}

std::optional<double> ProgressTracker::Track::getRate() const {
    const Millis span = m_changedAt - m_firstAt;
    if (span < MIN_RATE_SPAN || m_percent <= m_firstPercent) {
        return std::nullopt;
    }
    return MILLIS_PER_SECOND * (m_percent - m_firstPercent) / static_cast<double>(span.count());
}

std::optional<double> ProgressTracker::Track::sampleRate(Millis now) {
    if (m_percent == 0 || m_isSampled || m_mayWait) {
        return std::nullopt;
    }
    if (m_startPercent == 0) {
        m_startPercent = m_percent;
        m_startAt = now;
        return std::nullopt;
    }
    if (m_percent >= COMPLETE_PERCENT || m_percent < m_startPercent + MIN_SAMPLE_ADVANCE ||
        now <= m_startAt) {
        // A complete run may have waited for other members of its gang, so its rate is unknown.
        return std::nullopt;
    }
    m_isSampled = true;
    return MILLIS_PER_SECOND * (m_percent - m_startPercent) /
           static_cast<double>((now - m_startAt).count());
}

std::vector<ProgressRate> ProgressTracker::recordReport(const std::string& host,
                                                        const std::vector<ProgressReport>& runs,
                                                        Millis now) {
    std::vector<ProgressRate> rates;
    Host next;
    next.reserve(runs.size());
    Host& known = m_hosts[host];
    for (const ProgressReport& run : runs) {
        const auto found = std::find_if(known.begin(), known.end(), [&](const Track& track) {
            return track.m_run == run.m_run && track.m_task == run.m_task;
        });
        if (found == known.end()) {
            next.push_back({run.m_task, run.m_run, run.m_mayWait, run.m_percent, now, run.m_percent,
                            now, now, run.m_estimate});
            next.back().sampleRate(now);
            continue;
        }
        Track track = std::move(*found);
        track.m_reportedAt = now;
        if (std::exchange(track.m_mayWait, run.m_mayWait) && !run.m_mayWait) {
            // The run has no reason to wait any more, e.g. since its gang is complete; progress
            // counts from here.
            track.m_firstAt = now;
            track.m_changedAt = now;
        }
        if (run.m_percent != track.m_percent) {
            track.m_percent = run.m_percent;
            track.m_changedAt = now;
        }
        if (const auto rate = track.sampleRate(now)) {
            rates.push_back({track.m_task, *rate});
        }
        next.push_back(std::move(track));
    }
    known = std::move(next);
    return rates;
}

const ProgressTracker::Track* ProgressTracker::find(std::string_view host,
                                                    const TaskRef& task) const {
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return nullptr;
    }
    const auto track =
            std::find_if(found->second.begin(), found->second.end(), [&](const Track& one) {
                return one.m_task.m_index == task.m_index && one.m_task.m_step == task.m_step &&
                       one.m_task.m_occurrence == task.m_occurrence &&
                       one.m_task.m_job == task.m_job;
            });
    return track == found->second.end() ? nullptr : &*track;
}

bool ProgressTracker::isStalled(const std::string& host) const {
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && isStalled(found->second);
}

bool ProgressTracker::isStalled(std::string_view host, const TaskRef& task) const {
    const Track* const track = find(host, task);
    return track != nullptr && track->isStalled();
}

bool ProgressTracker::hasAdvancedSince(std::string_view host, Millis since) const {
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const Track& track) {
               return track.m_firstAt > since && track.m_percent > track.m_firstPercent;
           });
}

bool ProgressTracker::hasStalled() const {
    return std::any_of(m_hosts.begin(), m_hosts.end(),
                       [](const auto& entry) { return isStalled(entry.second); });
}

bool ProgressTracker::isStalled(const Host& host) {
    std::size_t stalled = 0;
    for (const Track& track : host) {
        if (track.isStalled()) {
            ++stalled;
        } else if (track.m_changedAt > track.m_firstAt && track.m_percent < COMPLETE_PERCENT &&
                   track.getStalledTime() < track.getStallTimeout()) {
            return false;
        }
    }
    return stalled > 0;
}

Millis ProgressTracker::getStalledTime(std::string_view host, const TaskRef& task) const {
    const Track* const track = find(host, task);
    const bool isIncomplete = track != nullptr && track->m_percent < COMPLETE_PERCENT;
    return isIncomplete ? track->getStalledTime() : Millis(0);
}

std::optional<Millis> ProgressTracker::getRemaining(std::string_view host, const TaskRef& task,
                                                    Millis now) const {
    const Track* const track = find(host, task);
    const auto rate = track == nullptr ? std::nullopt : track->getRate();
    if (!rate.has_value() || track->isStalled()) {
        return std::nullopt;
    }
    const double remaining = MILLIS_PER_SECOND * (COMPLETE_PERCENT - track->m_percent) / *rate;
    const Millis end = track->m_changedAt + Millis(static_cast<std::int64_t>(remaining));
    return std::max(end - now, Millis(0));
}

std::optional<double> ProgressTracker::getRate(std::string_view host, const TaskRef& task) const {
    const Track* const track = find(host, task);
    return track == nullptr ? std::nullopt : track->getRate();
}

}  // namespace pierbank
