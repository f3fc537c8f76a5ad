// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_HOSTTRIALS_H
#define PIERBANK_CONTROL_HOSTTRIALS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "pierbank/control/HostRecord.h"
#include "pierbank/control/RunEvidence.h"
#include "pierbank/control/StepComparison.h"
#include "pierbank/job/WorkerId.h"

namespace pierbank {

/** Settings of HostTrials. Evidence is in nats: the log of a likelihood ratio. */
struct HostTrialSettings {
    /** Share of its runs that a bad host fails at least; a lower share is hardly worth a pause. */
    double m_badHostShare = 0.5;
    /** Share of the runs that fail by a fault of their own, whatever was seen of their step. */
    double m_taskFaultShare = 0.05;
    /** The same for quick failures: a task's own fault rarely shows right after its start. */
    double m_quickTaskFaultShare = 0.005;
    /** Share of the other hosts from which a step that fails there is faulty itself. */
    double m_faultyStepShare = 0.5;
    /**
     * Evidence from which a host is suspect: one quick failure, or two others. Outweighs the odds
     * of one bad host in twenty by a factor of three.
     */
    double m_suspectEvidence = 4.2;
    /** Evidence from which a host is paused: the odds for a bad host are then 50 to 1. */
    double m_pauseEvidence = 6.9;
    /** Maximum evidence that good ends have to outweigh, however many runs failed at a moment. */
    double m_maxEvidence = 10.0;
    /**
     * First pause, and the longest one; each failed probe doubles the pause. A probe costs one
     * attempt of one task, a pause the capacity of a whole host, so that pauses are short at first.
     */
    Millis m_minPause{500};
    Millis m_maxPause{8000};
    /** Factor by which a probe must outlast the longest failed run to count as a good end. */
    int m_probeFactor = 3;
    /** Maximum number of tasks of one job on a host whose last run failed or that restarted. */
    std::uint32_t m_maxTasksPerJob = 2;
    /** Time after which a host without evidence and without ends is forgotten. */
    Millis m_retention{600'000};
};

/** Thresholds and time scales that depend on the run times seen at present. */
struct TrialScale {
    /** Maximum run time of a quick failure. */
    Millis m_quickFailureTime{0};
    /** Half-life of evidence; a good end is recent for as long. */
    Millis m_halfLife{0};
};

/**
 * Decides by the ends of wide steps which hosts are paused, and tests them with single runs
 * afterwards. A host's evidence is a CUSUM test (Page, 1954): failures add the log likelihood ratio
 * of a bad against a sound host, good ends reduce it, not below zero.
 */
class HostTrials {
public:
    explicit HostTrials(const HostTrialSettings& settings) : m_settings(settings) {}

    /**
     * Takes the end of a run into account.
     * @return whether a failure could be compared with other hosts, so that it needs no other rule.
     */
    bool recordRunEnd(const RunEvidence& evidence, const TrialScale& scale, Millis now);
    /** Logs and counts that a run was placed on a host, if the run is its probe. */
    void recordPlacement(const std::string& host, const std::string& task, Millis now);
    /** Takes into account that a run is active which started at `startedAt`. */
    void recordActive(const WorkerId& worker, Millis startedAt, const TrialScale& scale,
                      Millis now);
    /** Returns whether recordActive() may change the rating of the worker's host. */
    bool awaitsProof(const WorkerId& worker, Millis now) const;

    /** Returns whether the host gets no work at present. */
    bool isPaused(const std::string& host, Millis now) const;
    /** Returns whether the host may only get one run at a time, which may be lost. */
    bool isSuspect(const std::string& host, const TrialScale& scale, Millis now) const;
    /** Returns whether a run that began after the last failure ended well there recently. */
    bool isProven(const WorkerId& worker, const TrialScale& scale, Millis now) const;
    /** Returns the maximum number of tasks of one wide job on a worker; zero for no limit. */
    std::uint32_t getMaxTasksPerJob(const WorkerId& worker, const TrialScale& scale,
                                    Millis now) const;

    /** Number of hosts that are paused. */
    std::size_t countPaused(Millis now) const;
    /** Number of probes so far. */
    std::uint64_t countProbes() const noexcept { return m_probes; }
    /** Number of hosts about which something is stored. */
    std::size_t countHosts() const noexcept { return m_hosts.size(); }

    /** Fills the fields of a record that belong to this class. */
    void fillRecord(const std::string& host, const TrialScale& scale, HealthRecord& record,
                    Millis now) const;
    /**
     * Takes over the evidence of a record, unless something was observed of the host already.
     * @param at time of the record.
     * @return whether anything was taken over.
     */
    bool restore(const std::string& host, const HealthRecord& record, Millis at);
    void clear();

private:
    struct Host {
        double m_evidence = 0;
        /** Time at which `m_evidence` was updated; it fades from there. */
        Millis m_updatedAt{0};
        std::optional<Millis> m_failedAt;
        /** Longest failed run since the host was last found well. */
        Millis m_longestFailed{0};
        Millis m_pausedUntil{0};
        /** Whether the host has been paused and no probe has ended well since. */
        bool m_needsProbe = false;
        /** Number of pauses since the evidence was last zero. */
        std::uint32_t m_pauseCount = 0;
        /** Whether the last end was a failure, or nothing has ended here since the term began. */
        bool m_isLimited = false;
        /** Time at which a run ended well that began after the last failure. */
        std::optional<Millis> m_provenAt;
        /** Incarnation of the last end. */
        std::string m_incarnation;
    };

    double getEvidence(const Host& host, const TrialScale& scale, Millis now) const;
    void setEvidence(Host& host, double evidence, Millis now) const;
    bool recordFailure(const RunEvidence& evidence, const TrialScale& scale, Millis now);
    void recordSuccess(const RunEvidence& evidence, const TrialScale& scale, Millis now);
    double getFailureEvidence(const ShareElsewhere& share, bool isQuick) const;
    void pause(Host& host, const RunEvidence& failure, Millis now);
    void acceptProbe(const std::string& name, Host& host, std::string_view proof, Millis now);
    /** Takes back what a faulty step added to hosts. */
    void withdrawEvidence(const std::string& step, const TrialScale& scale, Millis now);
    void removeOld(const TrialScale& scale, Millis now);
    bool isNewIncarnation(const Host& host, const WorkerId& worker) const;

    const HostTrialSettings m_settings;
    StepComparison m_steps;
    std::map<std::string, Host, std::less<>> m_hosts;
    std::uint64_t m_probes = 0;
    Millis m_removedOldAt{0};
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_HOSTTRIALS_H
