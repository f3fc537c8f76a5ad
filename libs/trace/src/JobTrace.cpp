// SPDX-License-Identifier: Apache-2.0
#include "pierbank/trace/JobTrace.h"

#include <algorithm>
#include <utility>

namespace pierbank {

namespace {

constexpr double MILLIS_PER_SECOND = 1000.0;
/** A job that another gateway accepted within this time shows that the store was reachable. */
constexpr Millis MAX_ACCEPTANCE_GAP{100};

/** Shorter losses are no cause of lateness: commit, order and start take about 30 ms together. */
constexpr Millis MIN_NOTABLE_DELAY{200};

/** Returns whether the status is 503 or 504, for which the request was not at fault. */
bool isUnavailable(const LogLine& line) {
    return line.get("status") == "503" || line.get("status") == "504";
}

/** Returns the id of the job that a line is about, by its job or task; empty for other lines. */
std::string_view getJobOf(const LogLine& line) {
    const std::string_view job = line.get("job");
    if (!job.empty()) {
        return job;
    }
    const std::string_view task = line.get("task");
    return task.substr(0, task.find('.'));
}

}  // namespace

std::string_view toText(Cause cause) {
    constexpr std::array<std::string_view, CAUSE_COUNT> NAMES = {
            "not-taken", "intake",     "leader",   "room", "evicted",
            "stalled",   "run-failed", "run-lost", "work"};
    return NAMES.at(static_cast<std::size_t>(cause));
}

bool JobTimeline::isLate() const {
    return m_objective > Millis(0) && m_firstRequestAt.has_value() && m_endedAt.has_value() &&
           *m_endedAt - *m_firstRequestAt > m_objective;
}

Cause JobTimeline::getCause() const {
    if (!m_acceptedAt.has_value()) {
        return Cause::NOT_ACCEPTED;
    }
    const auto end = m_lost.begin() + static_cast<std::ptrdiff_t>(Cause::WORK);
    const auto longest = std::max_element(m_lost.begin(), end);
    return *longest >= MIN_NOTABLE_DELAY ? static_cast<Cause>(longest - m_lost.begin())
                                         : Cause::WORK;
}

void JobTrace::take(LogLine line) {
    m_lines.push_back(std::move(line));
}

std::vector<JobTimeline> JobTrace::tell() {
    std::stable_sort(m_lines.begin(), m_lines.end(),
                     [](const LogLine& a, const LogLine& b) { return a.m_at < b.m_at; });
    for (const LogLine& line : m_lines) {
        updateReachability(line);
        handleLine(line);
    }
    countAvoidableRefusals();
    std::vector<JobTimeline> stories;
    for (auto& [id, entry] : m_entries) {
        for (const auto& [name, task] : entry.m_tasks) {
            for (std::size_t i = 0; i < CAUSE_COUNT; ++i) {
                entry.m_story.m_lost.at(i) =
                        std::max(entry.m_story.m_lost.at(i), task.m_lost.at(i));
            }
        }
        if (entry.m_story.m_firstRequestAt.has_value()) {
            entry.m_story.m_wasOutOfReach = wasOutOfReach(entry.m_story);
            stories.push_back(entry.m_story);
        }
    }
    std::stable_sort(stories.begin(), stories.end(),
                     [](const JobTimeline& a, const JobTimeline& b) {
                         return a.m_firstRequestAt < b.m_firstRequestAt;
                     });
    return stories;
}

JobTrace::Entry& JobTrace::getEntry(std::string_view id) {
    Entry& entry = m_entries[std::string(id)];
    entry.m_story.m_id = id;
    return entry;
}

void JobTrace::handleLine(const LogLine& line) {
    if (getJobOf(line).empty()) {
        return;
    }
    if (line.is("intake", "answered")) {
        handleAnswer(line);
    } else if (line.is("jobs", "known")) {
        handleKnown(line);
    } else if (line.is("jobs", "waits")) {
        getEntry(getJobOf(line)).m_story.m_waitReasons.emplace_back(line.get("for"));
    } else if (line.is("jobs", "placed")) {
        handlePlaced(line);
    } else if (line.is("jobs", "stopped")) {
        handleStopped(line);
    } else if (line.is("jobs", "run-lost") || line.is("jobs", "run-absent")) {
        handleRunEnd(line, Cause::RUN_LOST);
    } else if (line.is("jobs", "run-ended")) {
        handleRunEnd(line, Cause::RUN_FAILED);
    } else if (line.is("jobs", "over") || line.is("jobs", "withdrawn")) {
        JobTimeline& story = getEntry(getJobOf(line)).m_story;
        story.m_phase = line.m_event == "over" ? line.get("phase") : "cancelled";
        story.m_endedAt = line.m_at;
    }
}

/** Tracks when each gateway reached the store; a gateway that starts is not connected yet. */
void JobTrace::updateReachability(const LogLine& line) {
    m_lastLines[line.m_node] = line.m_at;
    std::vector<ReachableInterval>& intervals = m_reachableIntervals[line.m_node];
    const bool isLost = line.is("configuration", "store-lost") || line.is("gateway", "started");
    const bool isReached =
            line.is("configuration", "store-regained") || line.is("configuration", "in-force");
    const bool isOpen = !intervals.empty() && !intervals.back().m_until.has_value();
    if (isLost && isOpen) {
        intervals.back().m_until = line.m_at;
    } else if (isReached && !isOpen) {
        intervals.push_back({line.m_at, std::nullopt});
    }
}

bool JobTrace::wasOutOfReach(const JobTimeline& story) const {
    if (story.m_acceptedAt.has_value() || !story.m_isTurnedAway) {
        return false;
    }
    const Millis from = *story.m_firstRequestAt;
    const Millis until = from + m_callerTimeout;
    for (const auto& [node, intervals] : m_reachableIntervals) {
        for (const ReachableInterval& interval : intervals) {
            // A gateway that logs nothing more may have stopped, so its last line ends the
            // interval.
            const Millis intervalEnd = interval.m_until.value_or(m_lastLines.at(node));
            if (interval.m_from < until && intervalEnd > from) {
                return false;
            }
        }
    }
    return true;
}

void JobTrace::handleAnswer(const LogLine& line) {
    if (line.get("method") != "POST") {
        return;
    }
    JobTimeline& story = getEntry(getJobOf(line)).m_story;
    const Millis requestedAt = line.m_at - line.getMillis("took_ms");
    story.m_firstRequestAt = std::min(story.m_firstRequestAt.value_or(requestedAt), requestedAt);
    if (!line.get("organisation").empty()) {
        story.m_organisation = line.get("organisation");
    }
    if (!line.get("queue").empty()) {
        story.m_queue = line.get("queue");
    }
    if (!line.get("priority").empty()) {
        story.m_priority = line.get("priority");
    }
    if (line.get("status") == "200") {
        story.m_acceptedAt = story.m_acceptedAt.value_or(line.m_at);
        story.m_lost.at(static_cast<std::size_t>(Cause::INTAKE)) =
                *story.m_acceptedAt - *story.m_firstRequestAt;
        return;
    }
    story.m_isTurnedAway = story.m_isTurnedAway || isUnavailable(line);
    ++story.m_refusals[std::string(line.get("status")) + " " + std::string(line.get("reason"))];
}

void JobTrace::handleKnown(const LogLine& line) {
    Entry& entry = getEntry(getJobOf(line));
    entry.m_story.m_priority = line.get("priority");
    entry.m_story.m_objective = line.getMillis("objective_ms");
    const bool isPlaced = !entry.m_tasks.empty();
    if (!isPlaced) {
        // After a take-over, the new leader logs the job again.
        entry.m_knownAt = line.m_at;
        entry.m_story.m_lost.at(static_cast<std::size_t>(Cause::LEADER)) = line.getMillis("age_ms");
    }
}

void JobTrace::handlePlaced(const LogLine& line) {
    Entry& entry = getEntry(getJobOf(line));
    const auto [found, isFirst] = entry.m_tasks.try_emplace(std::string(line.get("task")));
    Task& task = found->second;
    if (isFirst) {
        task.m_delayedSince = entry.m_knownAt.value_or(line.m_at);
        task.m_delayCause = Cause::ROOM;
    }
    if (task.m_delayCause.has_value()) {
        task.m_lost.at(static_cast<std::size_t>(*task.m_delayCause)) +=
                line.m_at - task.m_delayedSince;
        task.m_delayCause.reset();
    }
    task.m_placedAt = line.m_at;
    task.m_stopReason.clear();
}

void JobTrace::handleStopped(const LogLine& line) {
    Entry& entry = getEntry(getJobOf(line));
    Task& task = entry.m_tasks[std::string(line.get("task"))];
    task.m_stopReason = line.get("why");
    if (task.m_stopReason.starts_with("gave way")) {
        ++entry.m_story.m_preemptionCount;
        entry.m_story.m_wastedCoreSeconds += static_cast<double>(line.getMillis("ran_ms").count()) /
                                             MILLIS_PER_SECOND *
                                             static_cast<double>(line.getMillis("cores").count());
    }
}

/** Attributes the run's time, and the wait for the next placement, to the cause of its end. */
void JobTrace::handleRunEnd(const LogLine& line, Cause cause) {
    Entry& entry = getEntry(getJobOf(line));
    Task& task = entry.m_tasks[std::string(line.get("task"))];
    if (!task.m_placedAt.has_value() || line.get("how") == "done") {
        task.m_placedAt.reset();
        return;
    }
    if (task.m_stopReason.starts_with("gave way")) {
        cause = Cause::EVICTED;
    } else if (task.m_stopReason.starts_with("nothing advances")) {
        cause = Cause::STALLED;
    } else if (line.get("how") == "failed") {
        entry.m_story.m_failedOn.emplace_back(line.get("host"));
    }
    task.m_lost.at(static_cast<std::size_t>(cause)) += line.m_at - *task.m_placedAt;
    task.m_placedAt.reset();
    task.m_delayedSince = line.m_at;
    task.m_delayCause = cause;
}

/** Counts refusals by one gateway at about the time when another gateway accepted a job. */
void JobTrace::countAvoidableRefusals() {
    std::vector<const LogLine*> accepted;
    for (const LogLine& line : m_lines) {
        if (line.is("intake", "answered") && line.get("method") == "POST" &&
            line.get("status") == "200") {
            accepted.push_back(&line);
        }
    }
    for (const LogLine& line : m_lines) {
        const bool isRefusal = line.is("intake", "answered") && line.get("method") == "POST" &&
                               isUnavailable(line);
        if (!isRefusal || getJobOf(line).empty()) {
            continue;
        }
        const bool isAvoidable =
                std::any_of(accepted.begin(), accepted.end(), [&](const LogLine* other) {
                    return other->m_node != line.m_node &&
                           std::chrono::abs(other->m_at - line.m_at) <= MAX_ACCEPTANCE_GAP;
                });
        getEntry(getJobOf(line)).m_story.m_avoidableRefusals += isAvoidable ? 1 : 0;
    }
}

}  // namespace pierbank
