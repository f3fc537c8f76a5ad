// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/ProgressTracker.h"

#include <algorithm>
#include <utility>

namespace pierbank {

namespace {

constexpr std::uint32_t WHOLE = 100;
constexpr double MILLIS_PER_SECOND = 1000.0;

}  // namespace

Millis ProgressTracker::Track::getPatience() const {
    if (m_percent > m_firstPercent) {
        const Millis percentTook = (m_changedAt - m_firstAt) / (m_percent - m_firstPercent);
        return std::max(LEAST_STALL, percentTook * STALLED_PERCENTS);
    }
    if (m_estimate <= Millis(0)) {
        return UNDECLARED_STALL;
    }
    const auto share = static_cast<double>(m_estimate.count()) * STALLED_SHARE;
    return std::max(LEAST_STALL, Millis(static_cast<std::int64_t>(share)));
}

/** A gang's member at the end waits for the others. */
bool ProgressTracker::Track::isStalled() const {
    return m_percent < WHOLE && !m_mayWait && getStalledTime() >= getPatience();
}

std::optional<double> ProgressTracker::Track::getRate() const {
    const Millis span = m_changedAt - m_firstAt;
    if (span < LEAST_SPAN || m_percent <= m_firstPercent) {
        return std::nullopt;
    }
    return MILLIS_PER_SECOND * (m_percent - m_firstPercent) / static_cast<double>(span.count());
}

std::optional<double> ProgressTracker::Track::takeRate(Millis now) {
    if (m_percent == 0 || m_hasTold || m_mayWait) {
        return std::nullopt;
    }
    if (m_begunPercent == 0) {
        m_begunPercent = m_percent;
        m_begunAt = now;
        return std::nullopt;
    }
    if (m_percent >= WHOLE || m_percent < m_begunPercent + TELLING_ADVANCE || now <= m_begunAt) {
        // At the end it may have waited for others.
        return std::nullopt;
    }
    m_hasTold = true;
    return MILLIS_PER_SECOND * (m_percent - m_begunPercent) /
           static_cast<double>((now - m_begunAt).count());
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
            next.back().takeRate(now);
            continue;
        }
        Track track = std::move(*found);
        track.m_seenAt = now;
        if (std::exchange(track.m_mayWait, run.m_mayWait) && !run.m_mayWait) {
            // Its gang begins now.
            track.m_firstAt = now;
            track.m_changedAt = now;
        }
        if (run.m_percent != track.m_percent) {
            track.m_percent = run.m_percent;
            track.m_changedAt = now;
        }
        if (const auto rate = track.takeRate(now)) {
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
        } else if (track.m_changedAt > track.m_firstAt && track.m_percent < WHOLE &&
                   track.getStalledTime() < track.getPatience()) {
            return false;
        }
    }
    return stalled > 0;
}

Millis ProgressTracker::getStalledTime(std::string_view host, const TaskRef& task) const {
    const Track* const track = find(host, task);
    const bool isStill = track != nullptr && track->m_percent < WHOLE;
    return isStill ? track->getStalledTime() : Millis(0);
}

std::optional<Millis> ProgressTracker::getRemaining(std::string_view host, const TaskRef& task,
                                                    Millis now) const {
    const Track* const track = find(host, task);
    const auto rate = track == nullptr ? std::nullopt : track->getRate();
    if (!rate.has_value() || track->isStalled()) {
        return std::nullopt;
    }
    const double left = MILLIS_PER_SECOND * (WHOLE - track->m_percent) / *rate;
    const Millis end = track->m_changedAt + Millis(static_cast<std::int64_t>(left));
    return std::max(end - now, Millis(0));
}

std::optional<double> ProgressTracker::getRate(std::string_view host, const TaskRef& task) const {
    const Track* const track = find(host, task);
    return track == nullptr ? std::nullopt : track->getRate();
}

}  // namespace pierbank
