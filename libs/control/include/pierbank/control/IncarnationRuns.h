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
 * What a sidecar saw begin on its worker in the worker's present life. A worker that has crashed
 * tells nothing any more; which runs can have had to do with it only its sidecar knows. An order
 * that was refused, or went out when the worker did not answer any more, proves nothing.
 */
class IncarnationRuns {
public:
    using RunKey = std::pair<TaskKey, std::uint32_t>;

    /** A start goes out. */
    void recordSent(const RunKey& run, Millis now);
    /** The worker said that it runs. */
    void recordStarted(const RunKey& run, Millis now);
    /** It is not there and never was, or never will be. */
    void recordAbsent(const RunKey& run) { m_runs.erase(run); }
    /** The worker answered a look. */
    void recordPoll(std::span<const ListedRun> running, std::span<const ListedEnd> ended,
                    Millis now);
    /** The worker did not answer. */
    void recordNoAnswer(Millis now);
    /** @return what had begun or may have, the youngest first; the account begins anew. */
    std::vector<CrashedRunEntry> endIncarnation(Millis now);

private:
    struct Run {
        Millis m_since{0};
        bool m_isConfirmed = false;
        /** Looks in a row that did not list it although it had begun. */
        unsigned m_missed = 0;
    };

    void forgetMissing(std::span<const ListedRun> running);

    std::map<RunKey, Run> m_runs;
    /** Since when the worker has not answered; empty while it does. */
    std::optional<Millis> m_silentSince;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_INCARNATIONRUNS_H
