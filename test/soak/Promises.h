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

/** One job, as its caller made it and what the caller was told. */
struct SoakJob {
    std::string m_id;
    /** `/batch/`, `/urgent/` or `/poison/`. */
    std::string m_queue;
    std::uint32_t m_tasks = 1;
    bool m_isGang = false;
    /** All its runs fail. */
    bool m_isPoison = false;

    bool m_isAccepted = false;
    /** Every answer so far was a refusal. */
    bool m_isOnlyRefused = true;
    bool m_isCancelRequested = false;
    /** Told to have ended. */
    bool m_isToldOver = false;
    std::string m_lastState;
    Millis m_lastStateAt{0};
    /** Since when only a part of the gang runs; zero: it does not. */
    Millis m_partSince{0};
};

/** One promise that was broken. */
struct Breach {
    std::string m_promise;
    /** The job's id, or the process's name. */
    std::string m_about;
    std::string m_detail;
};

/**
 * The promises, checked from what callers are told and what workers see while the soak runs and
 * when everything has healed.
 */
class Promises {
public:
    /** A part of a gang may run alone for so long: leases of lost members have to lapse first. */
    static constexpr Millis PART_BOUND{15'000};
    /** Nothing begins in a failure domain so long after its evacuation was asked for: the users'
     * bound, and the longest that a fault keeps a process from hearing of it. */
    static constexpr Millis EVACUATION_BOUND{11'000};

    struct Evacuation {
        std::string m_domain;
        Millis m_since{0};
        std::optional<Millis> m_until;
    };
    struct Start {
        std::string m_domain;
        std::string m_task;
        Millis m_at{0};
    };

    explicit Promises(const RunWitness& witness) : m_witness(witness) {}

    SoakJob& add(SoakJob job);
    std::map<std::string, SoakJob>& getJobs() { return m_jobs; }

    /** What a caller was told; `status` zero: no whole answer came. */
    void noteSubmitted(SoakJob& job, std::uint32_t status);
    /** @param askedAt an answer may be old if another question was answered after it was asked. */
    void noteState(SoakJob& job, std::uint32_t status, const std::string& body, Millis askedAt,
                   Millis now);
    /** @param wasAccepted when the call went out: one that was on its way before the job was taken
     * may have been answered by what was so then. */
    void noteCancelled(SoakJob& job, std::uint32_t status, bool wasAccepted);
    /** A call with a key that was taken away longer ago than the users' bound. */
    void noteRevokedKey(std::uint32_t status, const std::string& gateway);
    void noteOwnEnd(const std::string& process);

    /** Looks at the workers. */
    void look(Millis now);
    void checkEvacuations(const std::vector<Evacuation>& evacuations,
                          const std::vector<Start>& starts);
    /** Every job is told to be over, or never was. */
    bool isSettled() const;
    /** After everything has healed and settled, or did not in time. */
    void finish();

    const std::vector<Breach>& getBreaches() const { return m_breaches; }

private:
    void breach(std::string promise, std::string about, std::string detail);
    bool isDone(const SoakJob& job) const;
    std::size_t countRunning(const SoakJob& job) const;
    std::size_t countStarts(const SoakJob& job) const;

    const RunWitness& m_witness;
    std::map<std::string, SoakJob> m_jobs;
    std::vector<Breach> m_breaches;
    std::set<std::string> m_told;
    std::size_t m_violationsSeen = 0;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SOAK_PROMISES_H
