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

/** What took a job's time, or the job. */
enum class Cause : std::uint8_t {
    /** No gateway was known to have taken it. */
    NOT_TAKEN,
    /** From the first request to the acceptance. */
    INTAKE,
    /** From the acceptance until a leader knew of it, and take-overs before its first start. */
    LEADER,
    /** From there to the start. */
    ROOM,
    EVICTED,
    /** Its host hung. */
    STALLED,
    RUN_FAILED,
    /** Its host was lost, or restarted. */
    RUN_LOST,
    /** The rest: the run that ended well. */
    WORK,
};

constexpr std::size_t CAUSES = static_cast<std::size_t>(Cause::WORK) + 1;

std::string_view toText(Cause cause);

/** What became of one job. */
struct JobStory {
    std::string m_id;
    std::string m_queue;
    std::string m_organisation;
    std::string m_priority;
    std::optional<Millis> m_firstAskedAt;
    std::optional<Millis> m_acceptedAt;
    std::optional<Millis> m_endedAt;
    /** `succeeded`, `failed`, `cancelled`; empty while it goes on. */
    std::string m_phase;
    Millis m_objective{0};
    /** Answers other than 200 to its submissions: "503 reason", how often. */
    std::map<std::string, std::uint32_t> m_refusals;
    /** One of them was no fault of the request. */
    bool m_isTurnedAway = false;
    /** Of these, given while another gateway accepted a job. */
    std::uint32_t m_neededNot = 0;
    /** Not taken, and for the caller's whole time no gateway reached the store. */
    bool m_wasOutOfReach = false;
    std::uint32_t m_evictions = 0;
    /** Core-seconds of runs that were stopped for others. */
    double m_workLost = 0;
    std::vector<std::string> m_failedOn;
    /** Urgent jobs: what they waited for, in turn (`stops`, `ends`, `room`, `workers`). */
    std::vector<std::string> m_waitedFor;
    /** By cause, the most that one of its tasks lost. */
    std::array<Millis, CAUSES> m_lost{};

    bool isLate() const;
    /** What took most of the time beside the work itself. */
    Cause getCause() const;
};

/** Reads the logs of all gateways, in any order, and tells each job's story. */
class JobTrace {
public:
    /** @param patience how long callers go on asking, as far as the logs don't tell. */
    explicit JobTrace(Millis patience = Millis(3000)) : m_patience(patience) {}

    void take(LogLine line);
    /** Orders what was taken and tells the stories, in the order of the first requests. */
    std::vector<JobStory> tell();

private:
    struct Task {
        Millis m_waitsSince{0};
        std::optional<Cause> m_waitsFor;
        std::optional<Millis> m_placedAt;
        std::string m_stopReason;
        std::array<Millis, CAUSES> m_lost{};
    };
    struct Entry {
        JobStory m_story;
        std::optional<Millis> m_knownAt;
        std::map<std::string, Task> m_tasks;
    };

    void follow(const LogLine& line);
    void followAnswer(const LogLine& line);
    void followKnown(const LogLine& line);
    void followPlaced(const LogLine& line);
    void followStopped(const LogLine& line);
    void followEnd(const LogLine& line, Cause cause);
    void countNeedless();
    void followReach(const LogLine& line);
    bool wasOutOfReach(const JobStory& story) const;
    Entry& getEntry(std::string_view id);

    /** A time in which a gateway reached the store. */
    struct Reach {
        Millis m_from{0};
        /** Empty while it lasts. */
        std::optional<Millis> m_until;
    };

    const Millis m_patience;
    /** By gateway, in the order of time. */
    std::map<std::string, std::vector<Reach>> m_reaches;
    std::map<std::string, Millis> m_lastLines;
    std::vector<LogLine> m_lines;
    std::map<std::string, Entry, std::less<>> m_entries;
};

}  // namespace pierbank

#endif  // PIERBANK_TRACE_JOBTRACE_H
