// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TRACE_JOBTRACE_H
#define PIERBANK_TRACE_JOBTRACE_H

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pierbank/trace/LogLine.h"

namespace pierbank {

/**
 * Cause to which a job's time, or its failure to be accepted, is attributed. The time of an
 * unsuccessful run includes the wait for the next placement.
 */
enum class Cause : std::uint8_t {
    /** No gateway logged an acceptance of the job. */
    NOT_ACCEPTED,
    /** Time from the first request to the acceptance. */
    INTAKE,
    /** Time from the acceptance until a leader read the job, with take-overs before its start. */
    LEADER,
    /** Waiting for free capacity, until the first placement. */
    ROOM,
    /** Runs that were preempted. */
    EVICTED,
    /** Runs that were stopped because they made no progress. */
    STALLED,
    /** Runs that failed. */
    RUN_FAILED,
    /** Runs whose host was lost or restarted. */
    RUN_LOST,
    /** The remaining time: the run that succeeded. */
    WORK,
};

constexpr std::size_t CAUSE_COUNT = static_cast<std::size_t>(Cause::WORK) + 1;

/** Returns the cause's name as the trace tool prints it. */
std::string_view toText(Cause cause);

/** Timeline of one job: its requests, outcome, and time by cause. Times are wall times. */
struct JobTimeline {
    std::string m_id;
    std::string m_queue;
    std::string m_organisation;
    std::string m_priority;
    std::optional<Millis> m_firstRequestAt;
    std::optional<Millis> m_acceptedAt;
    std::optional<Millis> m_endedAt;
    /** `succeeded`, `failed` or `cancelled`; empty for a job that has not finished. */
    std::string m_phase;
    /** Time from the first request within which the job should finish; zero for none. */
    Millis m_objective{0};
    /** Number of answers other than 200 to its submissions, by "STATUS REASON". */
    std::map<std::string, std::uint32_t> m_refusals;
    /** At least one refusal was a 503 or 504, for which the request was not at fault. */
    bool m_isTurnedAway = false;
    /** Number of 503 and 504 refusals at about the time when another gateway accepted a job. */
    std::uint32_t m_avoidableRefusals = 0;
    /** Not accepted, and no gateway reached the store for as long as the caller retried. */
    bool m_wasOutOfReach = false;
    /** Number of runs that were preempted. */
    std::uint32_t m_preemptionCount = 0;
    /** Core-seconds of runs that were preempted. */
    double m_wastedCoreSeconds = 0;
    /** Hosts of failed runs, in the order of the failures. */
    std::vector<std::string> m_failedOn;
    /** What an urgent job waited for, in order of time (`stops`, `ends`, `room`, `workers`). */
    std::vector<std::string> m_waitReasons;
    /** Time lost by cause: the maximum over the job's tasks. */
    std::array<Millis, CAUSE_COUNT> m_lost{};

    /** Returns whether the job finished after its objective; false without an objective. */
    bool isLate() const;
    /** Returns the cause of most lost time; WORK if no cause lost a notable time. */
    Cause getCause() const;
};

/** Builds the timeline of each job from the log lines of all gateways, given in any order. */
class JobTrace {
public:
    /** @param callerTimeout how long callers retry, which the logs don't show. */
    explicit JobTrace(Millis callerTimeout = Millis(3000)) : m_callerTimeout(callerTimeout) {}

    /** Adds a line. */
    void take(LogLine line);
    /**
     * Sorts the added lines by time and returns the timelines in the order of the first requests.
     * Jobs without a logged request are omitted. To be called once.
     */
    std::vector<JobTimeline> tell();

private:
    /** State of one task while the lines are read. */
    struct Task {
        Millis m_delayedSince{0};
        /** Cause of the current wait; empty while a run is active. */
        std::optional<Cause> m_delayCause;
        std::optional<Millis> m_placedAt;
        std::string m_stopReason;
        std::array<Millis, CAUSE_COUNT> m_lost{};
    };
    /** State of one job while the lines are read. */
    struct Entry {
        JobTimeline m_story;
        /** Time at which a leader read the job. */
        std::optional<Millis> m_knownAt;
        std::map<std::string, Task> m_tasks;
    };

    void handleLine(const LogLine& line);
    void handleAnswer(const LogLine& line);
    void handleKnown(const LogLine& line);
    void handlePlaced(const LogLine& line);
    void handleStopped(const LogLine& line);
    void handleRunEnd(const LogLine& line, Cause cause);
    void countAvoidableRefusals();
    void updateReachability(const LogLine& line);
    bool wasOutOfReach(const JobTimeline& story) const;
    Entry& getEntry(std::string_view id);

    /** Interval in which a gateway reached the store. */
    struct ReachableInterval {
        Millis m_from{0};
        /** Empty if the logs show no end. */
        std::optional<Millis> m_until;
    };

    const Millis m_callerTimeout;
    /** Intervals by gateway, in order of time. */
    std::map<std::string, std::vector<ReachableInterval>> m_reachableIntervals;
    /** Time of the last line of each gateway. */
    std::map<std::string, Millis> m_lastLines;
    std::vector<LogLine> m_lines;
    std::map<std::string, Entry, std::less<>> m_entries;
};

}  // namespace pierbank

#endif  // PIERBANK_TRACE_JOBTRACE_H
