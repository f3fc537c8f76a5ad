// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_RUNLOSSES_H
#define PIERBANK_JOB_RUNLOSSES_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/job/TaskKey.h"
#include "pierbank/job/WorkerId.h"

namespace pierbank {

/** What is known of how a run was lost with its worker. */
enum class LossCategory : std::uint8_t {
    /** Its lease lapsed, and its worker has not been heard of since: a cut, a pause or a crash. */
    UNRESOLVED,
    /** The whole host went, sidecar and all, which tells little of the task. */
    HOST_LOST,
    /** Its worker crashed, and another run there had begun just before. */
    BYSTANDER,
    /** Its worker crashed, and it is one of those that may have done it. */
    SUSPECT,
    /** Its worker crashed, and nothing of any other job had begun there. */
    SOLE_SUSPECT,
};

constexpr LossCategory lastOf(LossCategory) {
    return LossCategory::SOLE_SUSPECT;
}

std::string_view toText(LossCategory category);

/** A run that was lost with its worker. */
struct RunLoss {
    WorkerId m_worker;
    std::uint32_t m_run = 0;
    LossCategory m_category = LossCategory::UNRESOLVED;
    /** From its start until its worker did not answer any more, as far as it is known. */
    Millis m_ran{0};
    bool operator==(const RunLoss&) const = default;
};

/** A run that had begun on a worker that crashed, as the worker's sidecar saw it. */
struct CrashedRun {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    Millis m_ran{0};
    /** The worker had said that it runs; else its start was never answered. */
    bool m_isConfirmed = false;
    /** Earlier crashes spoke against its task. */
    bool m_wasSuspect = false;
};

/**
 * Whom a crash speaks against: whoever was suspect before, else what had begun just before, else
 * all.
 * @return a verdict for each run, in their order.
 */
std::vector<LossCategory> classifyCrash(std::span<const CrashedRun> runs);

/**
 * The runs of one task that were lost with their workers. It lies in the job's record, since what a
 * leader counts in its memory goes with the leader; and by lives of workers, since the same crash
 * may be told again, late, and to another leader.
 *
 * A task that crashes each worker that starts it may be started twice more after three crashes
 * (users' rule), so five losses of which any may be a crash are the most that are risked. Three are
 * enough where a task crashed its workers at once, one of them alone. Two are not: workers that
 * crash for reasons of their own meet two starts of one task often enough that jobs which did
 * nothing wrong were given up.
 */
class RunLosses {
public:
    /** Adds a loss, or what has become known of one. @return whether that is news. */
    bool record(const RunLoss& loss);
    /** That life of a worker goes on, or never began the run: an open loss was none. */
    bool discardUnresolved(const WorkerId& worker);
    /** A run of the task went on for so long that its earlier crashes were not its doing. */
    bool isRefutedByRunTime(Millis age) const;
    void clear();
    /** That run surely never began, so that it is none of the starts that are left. */
    void recordNeverStarted(std::uint32_t run);

    bool isEmpty() const noexcept { return m_list.empty(); }
    /** It may crash the next worker: nothing else should have to be there. */
    bool isSuspect() const;
    /** Several workers crashed under it: one more, and it may be given up. */
    bool hasRepeatedCrashes() const;
    /** Its worker crashed there: the next run tells more, and may do better, elsewhere. */
    bool hasCrashedOn(std::string_view host) const;
    /** A run of a suspect that is not older than the ones that were lost. */
    bool isRisk(Millis age) const;
    /** It is known well enough that the task crashes workers. */
    bool provesTaskFault() const;
    /**
     * The starts are used up that the users' rule leaves after the third crash, however they ended.
     * @param lastRun number of the task's last run; runs count up with each order to start it.
     * @param withOpen open losses count as crashes.
     */
    bool isExhausted(std::uint32_t lastRun, bool withOpen) const;
    /** Not started before it is known how the open losses came about. */
    bool mustAwaitResolution(std::uint32_t lastRun) const;
    /** The evidence: lives and hosts, for people. */
    std::string describe() const;

    std::span<const RunLoss> list() const { return m_list; }
    /** What the record holds; only its codec writes it. */
    std::vector<RunLoss> m_list;
    /** Runs after the first loss that never began, the latest at the end; for the codec too. */
    std::vector<std::uint32_t> m_neverStarted;

private:
    bool isCrash(const RunLoss& loss, bool withOpen) const;
    unsigned weigh(bool withOpen) const;
    Millis getLongest() const;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_RUNLOSSES_H
