// SPDX-License-Identifier: Apache-2.0
#include "pierbank/trace/JobTrace.h"

#include <algorithm>
#include <utility>

namespace pierbank {

namespace {

constexpr double MILLIS_PER_SECOND = 1000.0;
/** A job accepted elsewhere so shortly before or after shows that the store was there. */
constexpr Millis SAME_MOMENT{100};

/** Less makes no job late: commits, orders and starts take some 30 ms together. */
constexpr Millis NOTABLE{200};

/** Refused or not known, though nothing was wrong with the request. */
bool isUnavailable(const LogLine& line) {
    return line.get("status") == "503" || line.get("status") == "504";
}

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
    constexpr std::array<std::string_view, CAUSES> NAMES = {"not-taken",  "intake",   "leader",
                                                            "room",       "evicted",  "stalled",
                                                            "run-failed", "run-lost", "work"};
    return NAMES.at(static_cast<std::size_t>(cause));
}

bool JobStory::isLate() const {
    return m_objective > Millis(0) && m_firstAskedAt.has_value() && m_endedAt.has_value() &&
           *m_endedAt - *m_firstAskedAt > m_objective;
}

Cause JobStory::getCause() const {
    if (!m_acceptedAt.has_value()) {
        return Cause::NOT_TAKEN;
    }
    const auto end = m_lost.begin() + static_cast<std::ptrdiff_t>(Cause::WORK);
    const auto most = std::max_element(m_lost.begin(), end);
    return *most >= NOTABLE ? static_cast<Cause>(most - m_lost.begin()) : Cause::WORK;
}

void JobTrace::take(LogLine line) {
    m_lines.push_back(std::move(line));
}

std::vector<JobStory> JobTrace::tell() {
    std::stable_sort(m_lines.begin(), m_lines.end(),
                     [](const LogLine& a, const LogLine& b) { return a.m_at < b.m_at; });
    for (const LogLine& line : m_lines) {
        followReach(line);
        follow(line);
    }
    countNeedless();
    std::vector<JobStory> stories;
    for (auto& [id, entry] : m_entries) {
        for (const auto& [name, task] : entry.m_tasks) {
            for (std::size_t i = 0; i < CAUSES; ++i) {
                entry.m_story.m_lost.at(i) =
                        std::max(entry.m_story.m_lost.at(i), task.m_lost.at(i));
            }
        }
        if (entry.m_story.m_firstAskedAt.has_value()) {
            entry.m_story.m_wasOutOfReach = wasOutOfReach(entry.m_story);
            stories.push_back(entry.m_story);
        }
    }
    std::stable_sort(stories.begin(), stories.end(), [](const JobStory& a, const JobStory& b) {
        return a.m_firstAskedAt < b.m_firstAskedAt;
    });
    return stories;
}

JobTrace::Entry& JobTrace::getEntry(std::string_view id) {
    Entry& entry = m_entries[std::string(id)];
    entry.m_story.m_id = id;
    return entry;
}

void JobTrace::follow(const LogLine& line) {
    if (getJobOf(line).empty()) {
        return;
    }
    if (line.is("intake", "answered")) {
        followAnswer(line);
    } else if (line.is("jobs", "known")) {
        followKnown(line);
    } else if (line.is("jobs", "waits")) {
        getEntry(getJobOf(line)).m_story.m_waitedFor.emplace_back(line.get("for"));
    } else if (line.is("jobs", "placed")) {
        followPlaced(line);
    } else if (line.is("jobs", "stopped")) {
        followStopped(line);
    } else if (line.is("jobs", "run-lost") || line.is("jobs", "run-absent")) {
        followEnd(line, Cause::RUN_LOST);
    } else if (line.is("jobs", "run-ended")) {
        followEnd(line, Cause::RUN_FAILED);
    } else if (line.is("jobs", "over") || line.is("jobs", "withdrawn")) {
        JobStory& story = getEntry(getJobOf(line)).m_story;
        story.m_phase = line.m_event == "over" ? line.get("phase") : "cancelled";
        story.m_endedAt = line.m_at;
    }
}

/** A gateway that starts has lost what it was in reach of before. */
void JobTrace::followReach(const LogLine& line) {
    m_lastLines[line.m_node] = line.m_at;
    std::vector<Reach>& reaches = m_reaches[line.m_node];
    const bool isLost = line.is("configuration", "store-lost") || line.is("gateway", "started");
    const bool isReached =
            line.is("configuration", "store-regained") || line.is("configuration", "in-force");
    const bool isOpen = !reaches.empty() && !reaches.back().m_until.has_value();
    if (isLost && isOpen) {
        reaches.back().m_until = line.m_at;
    } else if (isReached && !isOpen) {
        reaches.push_back({line.m_at, std::nullopt});
    }
}

bool JobTrace::wasOutOfReach(const JobStory& story) const {
    if (story.m_acceptedAt.has_value() || !story.m_isTurnedAway) {
        return false;
    }
    const Millis from = *story.m_firstAskedAt;
    const Millis until = from + m_patience;
    for (const auto& [node, reaches] : m_reaches) {
        for (const Reach& reach : reaches) {
            // A gateway that says nothing more may be gone.
            const Millis reachedUntil = reach.m_until.value_or(m_lastLines.at(node));
            if (reach.m_from < until && reachedUntil > from) {
                return false;
            }
        }
    }
    return true;
}

void JobTrace::followAnswer(const LogLine& line) {
    if (line.get("method") != "POST") {
        return;
    }
    JobStory& story = getEntry(getJobOf(line)).m_story;
    const Millis askedAt = line.m_at - line.getMillis("took_ms");
    story.m_firstAskedAt = std::min(story.m_firstAskedAt.value_or(askedAt), askedAt);
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
                *story.m_acceptedAt - *story.m_firstAskedAt;
        return;
    }
    story.m_isTurnedAway = story.m_isTurnedAway || isUnavailable(line);
    ++story.m_refusals[std::string(line.get("status")) + " " + std::string(line.get("reason"))];
}

void JobTrace::followKnown(const LogLine& line) {
    Entry& entry = getEntry(getJobOf(line));
    entry.m_story.m_priority = line.get("priority");
    entry.m_story.m_objective = line.getMillis("objective_ms");
    const bool isPlaced = !entry.m_tasks.empty();
    if (!isPlaced) {
        // A later leader hears of it anew.
        entry.m_knownAt = line.m_at;
        entry.m_story.m_lost.at(static_cast<std::size_t>(Cause::LEADER)) = line.getMillis("age_ms");
    }
}

void JobTrace::followPlaced(const LogLine& line) {
    Entry& entry = getEntry(getJobOf(line));
    const auto [found, isFirst] = entry.m_tasks.try_emplace(std::string(line.get("task")));
    Task& task = found->second;
    if (isFirst) {
        task.m_waitsSince = entry.m_knownAt.value_or(line.m_at);
        task.m_waitsFor = Cause::ROOM;
    }
    if (task.m_waitsFor.has_value()) {
        task.m_lost.at(static_cast<std::size_t>(*task.m_waitsFor)) += line.m_at - task.m_waitsSince;
        task.m_waitsFor.reset();
    }
    task.m_placedAt = line.m_at;
    task.m_stopReason.clear();
}

void JobTrace::followStopped(const LogLine& line) {
    Entry& entry = getEntry(getJobOf(line));
    Task& task = entry.m_tasks[std::string(line.get("task"))];
    task.m_stopReason = line.get("why");
    if (task.m_stopReason.starts_with("gave way")) {
        ++entry.m_story.m_evictions;
        entry.m_story.m_workLost += static_cast<double>(line.getMillis("ran_ms").count()) /
                                    MILLIS_PER_SECOND *
                                    static_cast<double>(line.getMillis("cores").count());
    }
}

/** The run's whole time, and the wait for the next one, go to what ended it. */
void JobTrace::followEnd(const LogLine& line, Cause cause) {
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
    task.m_waitsSince = line.m_at;
    task.m_waitsFor = cause;
}

/** Refusals by one gateway while another one accepted a job. */
void JobTrace::countNeedless() {
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
        const bool isNeedless =
                std::any_of(accepted.begin(), accepted.end(), [&](const LogLine* other) {
                    return other->m_node != line.m_node &&
                           std::chrono::abs(other->m_at - line.m_at) <= SAME_MOMENT;
                });
        getEntry(getJobOf(line)).m_story.m_neededNot += isNeedless ? 1 : 0;
    }
}

}  // namespace pierbank
