// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_WORKERHEALTH_H
#define PIERBANK_CONTROL_WORKERHEALTH_H

#include <map>
#include <optional>
#include <set>
#include <string>

#include "pierbank/base/Clock.h"
#include "pierbank/control/HostRecord.h"
#include "pierbank/control/HostTrials.h"

namespace pierbank {

/**
 * Settings of WorkerHealth. Each time with a factor is a minimum: the time in force is the factor
 * times the mean run time of successful runs, if that is longer.
 */
struct WorkerHealthSettings {
    /** Half-life of the failure score, so that a repaired host is used again. */
    Millis m_halfLife{15'000};
    double m_halfLifeFactor = 2.5;
    /** Maximum run time of a quick failure. A host on which everything fails does so within about
     * 50 ms; tasks with a fault of their own rarely fail that early. */
    Millis m_quickFailureTime{400};
    double m_quickFailureTimeFactor = 0.05;
    /** Failure score added by a quick failure. */
    double m_quickFailureScore = 1.0;
    /** Failure score added by any other failure. */
    double m_slowFailureScore = 0.4;
    /** Factor applied to the failure score after a successful run that started after the last
     * failure. */
    double m_successFactor = 0.4;
    /** Failure score from which a host is suspect: one quick failure, or two other failures. */
    double m_suspectThreshold = 0.75;
    /** Failure score from which a host is avoided for a time: quick failures of two jobs. */
    double m_avoidThreshold = 1.5;
    /** Time for which a host is avoided; doubles each time that it is avoided again. */
    Millis m_minAvoidTime{3000};
    double m_avoidTimeFactor = 0.5;
    /** Maximum time for which a host is avoided; grows with run times by `m_halfLifeFactor`. */
    Millis m_maxAvoidTime{60'000};
    /**
     * Time for which the hosts on which a job failed are stored, as a multiple of the half-life in
     * force.
     */
    double m_jobRetentionFactor = 4.0;
    /** Whether a host that failed many tasks of large steps is paused and then tested with single
     * tasks, see switch `probes-hosts`. */
    bool m_probesHosts = true;
    HostTrialSettings m_trials;
};

/**
 * Rates hosts by the results of their runs. Each job adds to the failure score of a host once,
 * quick failures more than others. The score decays with time and with successful runs. A job that
 * fails on several hosts is considered faulty itself and does not count against them.
 *
 * That fits jobs of a few tasks. Failures of wide steps that can be compared with other hosts are
 * left to HostTrials instead.
 */
class WorkerHealth {
public:
    explicit WorkerHealth(const WorkerHealthSettings& settings)
            : m_settings(settings), m_trials(settings.m_trials) {}

    /** Updates the score of the host after a run succeeded or failed; other ends have no effect. */
    void recordRunEnd(const RunEvidence& evidence, Millis now);
    /**
     * Records that runs stalled on the host and are moved away. However many runs stalled, they
     * count like one quick failure, since they have a common cause. Without this, urgent jobs were
     * placed on a hanging worker from which another job had just been moved.
     */
    void recordStalled(const std::string& host, Millis now);
    /** Returns when runs last stalled on the host; empty if none did, or if recordAdvanced() was
     * called since. */
    std::optional<Millis> getStalledAt(const std::string& host) const;
    /** Records progress of a run that started after the stall: the host has recovered. */
    void recordAdvanced(const std::string& host, Millis now);
    /** Returns whether new runs should be placed on other hosts. */
    bool isAvoided(const std::string& host, Millis now) const;
    /** Returns whether the host is suspect: it may be used, but not for work that a failure would
     * set back much. */
    bool isSuspect(const std::string& host, Millis now) const;

    /** Counts a run that is placed on a paused host after its pause as its probe. */
    void recordPlacement(const std::string& host, const std::string& task, Millis now);
    /** Returns whether recordActive() is needed for the runs of a worker. */
    bool awaitsProof(const WorkerId& worker, Millis now) const;
    /** Records an active run: lasting longer than the failed runs clears the host. */
    void recordActive(const WorkerId& worker, Millis startedAt, Millis now);
    /** Returns whether a run ended well on the worker recently and none has failed since. */
    bool isProven(const WorkerId& worker, Millis now) const;
    /** Returns the maximum number of tasks of one wide job on the worker; zero for no limit. */
    std::uint32_t getMaxTasksPerJob(const WorkerId& worker, Millis now) const;
    /** Returns the number of hosts that are paused after failures of wide steps. */
    std::size_t countPaused(Millis now) const { return m_trials.countPaused(now); }
    /** Returns the number of probes; a change of leadership does not reset it. */
    std::uint64_t countProbes() const noexcept { return m_trials.countProbes(); }

    /** Returns the evidence against a host, for the next leader. */
    HealthRecord getRecord(const std::string& host, Millis now) const;
    /**
     * Takes over the evidence that a previous leader had. If this leader has evidence of its own,
     * such as a stall that it found in the records of runs, the stronger of the two counts.
     * @param at time of the record, which may lie before the start of this process.
     * @return whether the record told anything beyond the own evidence.
     */
    bool restore(const std::string& host, const HealthRecord& record, Millis at, Millis now);
    void clear();

private:
    struct Host {
        double m_failureScore = 0;
        /** Time at which `m_failureScore` was updated; the score decays from there. */
        Millis m_scoreUpdatedAt{0};
        /** Time of the last failure or stall. */
        Millis m_failedAt{0};
        /** Share of each job in the failure score, by the job's id. */
        std::map<std::string, double> m_jobs;
        Millis m_avoidedUntil{0};
        /** Number of times that the host had to be avoided since it was last found healthy. */
        unsigned m_avoidCount = 0;
        /** Time of the last stall, which is part of the failure score like one quick failure. */
        std::optional<Millis> m_stalledAt;
    };
    struct Job {
        /** Hosts on which the job failed. */
        std::set<std::string> m_hosts;
        /** Time of the last failure. */
        Millis m_failedAt{0};
    };

    /** Returns `factor` times the mean run time, but at least `minTime`. */
    Millis scale(Millis minTime, double factor) const;
    TrialScale getTrialScale() const;
    /** Returns the failure score, decayed to `now`. */
    double getFailureScore(const Host& host, Millis now) const;
    bool restoreScore(const std::string& host, const HealthRecord& record, Millis at, Millis now);
    void recordSuccess(Host& host, Millis startedAt, Millis now);
    void recordFailure(const RunEvidence& evidence, Millis now);
    /** Returns whether the job also failed on another host that is not suspect because of other
     * jobs. */
    bool failedOnHealthyHost(const RunEvidence& evidence, const Job& job, Millis now) const;
    /** Removes the share of a job from the failure scores of all hosts. */
    void clearJobScores(const std::string& id, const Job& failures, Millis now);
    void removeOldJobs(Millis now);

    const WorkerHealthSettings m_settings;
    std::map<std::string, Host> m_hosts;
    std::map<std::string, Job> m_jobs;
    /** Moving average of the run time of successful runs on all hosts. */
    Millis m_meanRunTime{0};
    HostTrials m_trials;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_WORKERHEALTH_H
