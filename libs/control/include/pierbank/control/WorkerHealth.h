// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_WORKERHEALTH_H
#define PIERBANK_CONTROL_WORKERHEALTH_H

#include <map>
#include <optional>
#include <set>
#include <string>

#include "pierbank/base/Clock.h"
#include "pierbank/job/JobRun.h"

namespace pierbank {

/** Times are the least ones: where runs take longer, they grow with them by the given factors. */
struct WorkerHealthSettings {
    /** Blame halves in this time: a host that was repaired has to be tried again. */
    Millis m_halfLife{15'000};
    double m_halfLifeFactor = 2.5;
    /** A host that fails everything does so within some 50 ms; work that fails by itself, seldom.
     */
    Millis m_quickEnd{400};
    double m_quickFactor = 0.05;
    /** Blame for a run that failed quickly, and for any other. */
    double m_quickBlame = 1.0;
    double m_slowBlame = 0.4;
    /** What is left of the blame after a run that began since then and ended well. */
    double m_forgiveness = 0.4;
    /** From here on a host is suspect: one quick failure, or two others. */
    double m_suspectAt = 0.75;
    /** From here on it is avoided for a while: quick failures of two jobs. */
    double m_avoidAt = 1.5;
    /** How long; each further time for twice as long. */
    Millis m_pause{3000};
    double m_pauseFactor = 0.5;
    Millis m_maxPause{60'000};
    /** How long it is known where a job failed; in times of `m_halfLife` as it is in force. */
    double m_jobMemoryFactor = 4.0;
};

/** What one end of a run says about its host. */
struct RunEvidence {
    std::string m_host;
    std::string m_job;
    RunEnd m_end = RunEnd::DONE;
    /** From the placement to the end. */
    Millis m_ran{0};
};

/**
 * Blames hosts by what their runs come to. Each job counts once against a host, quick failures
 * more than others; blame fades with time and with runs that end well. A job that fails on several
 * hosts is itself to blame.
 */
class WorkerHealth {
public:
    explicit WorkerHealth(const WorkerHealthSettings& settings) : m_settings(settings) {}

    void recordRunEnd(const RunEvidence& evidence, Millis now);
    /**
     * Runs stood still there and are moved: as bad as one that failed quickly, however many they
     * are, since they stood for one cause. Before, 93 of 10,263 urgent jobs were put on a hanging
     * worker from which another had just been moved (720 days with faults).
     */
    void recordStalled(const std::string& host, Millis now);
    /** When runs last stood still there; empty once one that began since has advanced. */
    std::optional<Millis> getStalledAt(const std::string& host) const;
    /** A run that began since then advances: what hung goes on. */
    void recordAdvanced(const std::string& host, Millis now);
    /** New runs should go elsewhere. */
    bool isAvoided(const std::string& host, Millis now) const;
    /** It may have to be tried, but not with work that a failure costs much. */
    bool isSuspect(const std::string& host, Millis now) const;
    void clear();

private:
    struct Host {
        double m_blame = 0;
        Millis m_blamedAt{0};
        Millis m_failedAt{0};
        /** Jobs that count in the blame, and with how much. */
        std::map<std::string, double> m_jobs;
        Millis m_avoidedUntil{0};
        unsigned m_times = 0;
        /** Runs stood still; counts in the blame like one quick failure. */
        std::optional<Millis> m_stalledAt;
    };
    struct Job {
        std::set<std::string> m_hosts;
        Millis m_failedAt{0};
    };

    /** The least time, or so many times what a run takes that ends well. */
    Millis scale(Millis least, double factor) const;
    double getBlame(const Host& host, Millis now) const;
    void noteDone(Host& host, Millis startedAt, Millis now);
    void noteFailed(const RunEvidence& evidence, Millis now);
    /** The job failed on another host, of which no other job says anything bad. */
    bool failedOnSoundHost(const RunEvidence& evidence, const Job& job, Millis now) const;
    /** Takes the blame of a job back everywhere. */
    void acquit(const std::string& job, const Job& known, Millis now);
    void forgetJobs(Millis now);

    const WorkerHealthSettings m_settings;
    std::map<std::string, Host> m_hosts;
    std::map<std::string, Job> m_jobs;
    /** Moving mean of the time of runs that ended well, of all hosts. */
    Millis m_typicalRun{0};
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_WORKERHEALTH_H
