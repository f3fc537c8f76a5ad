// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SOAK_PROMISES_H
#define PIERBANK_TEST_SOAK_PROMISES_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "FakeTaskWorker.h"
#include "pierbank/base/Clock.h"

namespace pierbank::testing {

/** A submitted job: the request, the responses to its caller and the last reported state. */
struct SoakJob {
    std::string m_id;
    /** `/batch/`, `/urgent/` or `/poison/`. */
    std::string m_queue;
    std::uint32_t m_tasks = 1;
    bool m_isGang = false;
    /** The payload makes every run of the job fail. */
    bool m_isPoison = false;

    /** At least one POST was answered with 200. */
    bool m_isAccepted = false;
    /** Every POST so far was refused: 401, 429 or 503. */
    bool m_isOnlyRefused = true;
    bool m_isCancelRequested = false;
    /** A DELETE was acknowledged, with 200 or 410, before the first POST was sent. */
    bool m_isCancelledInAdvance = false;
    /** A final state was reported to the caller. */
    bool m_isReportedFinished = false;
    /** The most recent state that was reported, and the time of that report. */
    std::string m_lastState;
    Millis m_lastStateAt{0};
    /**
     * Time since which only some members of the gang have been running; zero if all or none run.
     */
    Millis m_partialSince{0};
};

/** A violation of a promise. */
struct Breach {
    std::string m_promise;
    /** Id of the job or task, or name of the process, that the violation concerns. */
    std::string m_subject;
    std::string m_detail;
};

/**
 * Checks the promises of the system, as docs/SOAK.md lists them, against the responses to callers
 * and the runs on the workers: during the soak, and once more after all faults have healed. Each
 * promise is reported at most once per subject.
 */
class Promises {
public:
    /**
     * Longest time for which only some members of a gang may run. The remaining members are stopped
     * only after the leases of lost members have lapsed.
     */
    static constexpr Millis MAX_PARTIAL_GANG_TIME{15'000};
    /**
     * Time after the request for an evacuation from which on no run may start in the failure
     * domain: the bound that operators rely on plus the longest time for which a fault can prevent
     * a process from receiving the request.
     */
    static constexpr Millis MAX_EVACUATION_DELAY{11'000};

    /** A request to evacuate a failure domain. */
    struct Evacuation {
        std::string m_domain;
        Millis m_since{0};
        /** Time when the request was withdrawn; nothing while the request is active. */
        std::optional<Millis> m_until;
    };
    /** The start of a run on a worker of a failure domain. */
    struct Start {
        std::string m_domain;
        std::string m_task;
        Millis m_at{0};
    };

    /** The witness, which observes the runs on all workers, must outlive this object. */
    explicit Promises(const RunWitness& witness) : m_witness(witness) {}

    /** Adds a job that is about to be submitted; the reference stays valid. */
    SoakJob& add(SoakJob job);
    std::map<std::string, SoakJob>& getJobs() { return m_jobs; }

    /** Records the status of a POST; zero if no complete response arrived. */
    void recordSubmission(SoakJob& job, std::uint32_t status);
    /**
     * Records the response to a GET and checks it.
     * @param requestedAt when the GET was sent. The response is ignored if the response to another
     * GET has arrived since then, because either of the two may be the older one.
     */
    void recordState(SoakJob& job, std::uint32_t status, const std::string& body,
                     Millis requestedAt, Millis now);
    /**
     * Records the status of a DELETE.
     * @param wasAccepted whether the job was accepted when the DELETE was sent. 410 is correct for
     * a DELETE that a gateway handled before the job was accepted; that such a job does not run on
     * is checked with the jobs of recordEarlyCancellation().
     */
    void recordCancellation(SoakJob& job, std::uint32_t status, bool wasAccepted);
    /** Records the status of a DELETE that was sent before any POST of the job. */
    static void recordEarlyCancellation(SoakJob& job, std::uint32_t status);
    /** Records the status of a call with a key that no gateway may serve any more. */
    void recordRevokedKeyProbe(std::uint32_t status, const std::string& gateway);
    /** Records that a process ended although the soak did not stop it. */
    void recordUnexpectedExit(const std::string& process);

    /** Checks the runs on the workers: duplicate runs and incomplete gangs. */
    void checkInvariants(Millis now);
    /**
     * Reports each start in a failure domain that came more than MAX_EVACUATION_DELAY after the
     * request to evacuate the domain and before the withdrawal of the request.
     */
    void checkEvacuations(const std::vector<Evacuation>& evacuations,
                          const std::vector<Start>& starts);
    /** True if every accepted job is reported as finished and no job has a run on a worker. */
    bool isSettled() const;
    /**
     * Makes the final checks. Called after all faults have healed and the jobs have finished or
     * timed out.
     */
    void finish();

    const std::vector<Breach>& getBreaches() const { return m_breaches; }

private:
    void recordBreach(std::string promise, std::string subject, std::string detail);
    /** True if all tasks of the job have succeeded on a worker. */
    bool isDone(const SoakJob& job) const;
    /** Number of tasks of the job that run on a worker. */
    std::size_t countRunning(const SoakJob& job) const;
    /** Number of starts on workers, over all tasks of the job. */
    std::size_t countStarts(const SoakJob& job) const;

    const RunWitness& m_witness;
    std::map<std::string, SoakJob> m_jobs;
    std::vector<Breach> m_breaches;
    /** Promise and subject of each violation reported so far. */
    std::set<std::string> m_reported;
    /** Number of the witness's violations that have been reported. */
    std::size_t m_violationsSeen = 0;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SOAK_PROMISES_H
