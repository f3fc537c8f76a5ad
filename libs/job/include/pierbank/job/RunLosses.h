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

/** What is known about the loss of a run with its worker, from least to most incriminating. */
enum class LossCategory : std::uint8_t {
    /** The lease lapsed and the worker has not answered since: a network partition, a pause or a
     * crash. */
    UNRESOLVED,
    /** The whole host was lost, including the sidecar, which is weak evidence against the task. */
    HOST_LOST,
    /** The worker crashed, and other runs there are the likelier cause: one that started just
     * before the crash, or one of a task that was suspect already. */
    BYSTANDER,
    /** The worker crashed, and this run is one of the likely causes. */
    SUSPECT,
    /** The worker crashed, and no run of another job had started there. */
    SOLE_SUSPECT,
};

/** Returns the last enumerator, which bounds decoded values. */
constexpr LossCategory lastOf(LossCategory) {
    return LossCategory::SOLE_SUSPECT;
}

/** Returns the name of the category in logs and explanations. */
std::string_view toText(LossCategory category);

/** A run that was lost with its worker. */
struct RunLoss {
    WorkerId m_worker;
    std::uint32_t m_run = 0;
    LossCategory m_category = LossCategory::UNRESOLVED;
    /** Time from the start of the run until its worker stopped answering, as far as known. */
    Millis m_ran{0};
    bool operator==(const RunLoss&) const = default;
};

/** Run that was started on a worker that crashed, as reported by the worker's sidecar. */
struct CrashedRun {
    TaskKey m_task;
    std::uint32_t m_run = 0;
    /** Time from the start of the run until the crash. */
    Millis m_ran{0};
    /** The worker had confirmed the run; false if the start order was never answered. */
    bool m_isConfirmed = false;
    /** The task was suspect because of earlier crashes. */
    bool m_wasSuspect = false;
};

/**
 * Determines which runs may have caused a crash: those of tasks that were suspect before, otherwise
 * those that started just before the crash, otherwise all of them.
 * @return the category of each run, in the order of `runs`.
 */
std::vector<LossCategory> classifyCrash(std::span<const CrashedRun> runs);

/**
 * The lost runs of one task, used to detect tasks that crash their workers. Part of the job's
 * stored record, since counters in the memory of a leader would be lost with that leader. There is
 * at most one entry for each incarnation of a worker, since the same crash may be reported again,
 * late, and to another leader.
 *
 * The platform's contract allows two more starts after the third crash of a task that crashes every
 * worker, so the job of a task fails after five losses each of which may be a crash. Three are
 * enough if the task crashed its workers right at the start and was the sole suspect at least once.
 * Two are not enough: workers that crash for other reasons coincide with two starts of the same
 * task often enough that jobs without a fault were failed.
 */
class RunLosses {
public:
    /** Adds a loss, or updates the category of a known one. @return whether anything changed. */
    bool record(const RunLoss& loss);
    /**
     * Removes an unresolved loss, because the incarnation turned out to be alive or never started
     * the run. @return whether there was such a loss.
     */
    bool discardUnresolved(const WorkerId& worker);
    /** Returns whether a run of this age refutes the suspicion: the task has run so long that it
     * did not cause the earlier crashes. */
    bool isRefutedByRunTime(Millis age) const;
    void clear();
    /** Records that a run never started and does not use up one of the remaining starts. */
    void recordNeverStarted(std::uint32_t run);

    bool isEmpty() const noexcept { return m_list.empty(); }
    /** Returns whether the task may crash its next worker, so that it should run there alone. */
    bool isSuspect() const;
    /**
     * Returns whether several workers crashed while they ran the task; one more crash may be enough
     * to fail the job.
     */
    bool hasRepeatedCrashes() const;
    /** Returns whether a worker on this host crashed with the task. A run on another host yields
     * more evidence and may succeed. */
    bool hasCrashedOn(std::string_view host) const;
    /** Returns whether a run of this age may still crash its worker: the task is suspect, and the
     * run has not yet lasted clearly longer than the lost runs. */
    bool mayCrashWorker(Millis age) const;
    /** Returns whether the losses are sufficient evidence that the task crashes workers. */
    bool provesTaskFault() const;
    /**
     * Returns whether the starts that the platform's contract allows after the third crash are used
     * up, no matter how those runs ended.
     * @param lastRun number of the task's last run; each order to start the task increments it.
     * @param includeUnresolved whether unresolved losses count as crashes.
     */
    bool isExhausted(std::uint32_t lastRun, bool includeUnresolved) const;
    /** Returns whether the task must not start before its unresolved losses are classified. */
    bool mustAwaitResolution(std::uint32_t lastRun) const;
    /** Returns a text for operators: incarnation, host, category and run time of each loss. */
    std::string describe() const;

    std::span<const RunLoss> list() const { return m_list; }
    /** Stored form; apart from this class, only the codec writes it. */
    std::vector<RunLoss> m_list;
    /** Numbers of runs after the first loss that never started, the latest at the end; stored as
     * well. */
    std::vector<std::uint32_t> m_neverStarted;

private:
    /** Returns whether the loss counts as a crash. */
    bool isCrash(const RunLoss& loss, bool includeUnresolved) const;
    /** Returns the sum of the weights of all losses; see PROOF_WEIGHT. */
    unsigned sumWeights(bool includeUnresolved) const;
    /** Returns the longest time that a run lasted before its worker crashed. */
    Millis getLongestRunTime() const;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_RUNLOSSES_H
