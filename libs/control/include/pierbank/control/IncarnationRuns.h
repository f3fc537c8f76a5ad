// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_INCARNATIONRUNS_H
#define PIERBANK_CONTROL_INCARNATIONRUNS_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "pierbank/control/TaskWorker.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/**
 * Tracks the runs that a sidecar saw start during the present incarnation of its worker. A crashed
 * worker reports nothing, so only its sidecar can list the runs that may have been involved in the
 * crash. Runs whose start was refused, or was sent after the worker stopped answering, are not
 * counted.
 */
class IncarnationRuns {
public:
    using RunKey = std::pair<TaskKey, std::uint32_t>;

    /** Records that a start was sent. Ignored while the worker is unresponsive. */
    void recordSent(const RunKey& run, Millis now);
    /** Records that the worker confirmed the run as running. */
    void recordStarted(const RunKey& run, Millis now);
    /** Records that the run never started, or has been prevented from starting. */
    void recordAbsent(const RunKey& run) { m_runs.erase(run); }
    /** Records the runs that the worker listed in its answer to a poll. */
    void recordPoll(std::span<const ListedRun> running, std::span<const ListedEnd> ended,
                    Millis now);
    /** Records that a call to the worker remained without an answer. */
    void recordNoAnswer(Millis now);
    /**
     * Ends the incarnation and starts tracking the next one.
     *
     * @return the runs that had started or may have started, latest start first, with the time that
     * each had run before the worker stopped answering.
     */
    std::vector<CrashedRunEntry> endIncarnation(Millis now);

private:
    struct Run {
        /** When the start was sent, or when the run was first reported as running. */
        Millis m_startedAt{0};
        /** Whether the worker confirmed that the run was running. */
        bool m_isConfirmed = false;
        /**
         * Number of consecutive polls that did not list the run although its start was confirmed.
         */
        unsigned m_missedPolls = 0;
    };

    void removeMissing(std::span<const ListedRun> running);

    std::map<RunKey, Run> m_runs;
    /** When the worker stopped answering; empty while it answers. */
    std::optional<Millis> m_unresponsiveSince;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_INCARNATIONRUNS_H
