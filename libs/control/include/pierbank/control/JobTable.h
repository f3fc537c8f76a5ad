// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_JOBTABLE_H
#define PIERBANK_CONTROL_JOBTABLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/job/JobRun.h"
#include "pierbank/job/LastingTasks.h"
#include "pierbank/job/TaskPlanner.h"
#include "pierbank/job/WorkOutcome.h"
#include "pierbank/store/RecordStore.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/** A message to a sidecar that is sent once the decision behind it has been committed. */
struct PendingMessage {
    std::string m_host;
    Frame m_frame;
};

/** The leader's state of one job, with changes that are not committed yet. */
struct JobEntry {
    JobRecord m_record;
    JobRun m_run;
    /** Store revision of the committed run; zero if none has been committed. */
    StoreRevision m_runRevision = 0;
    /** Whether `m_run` has changes that are neither committed nor in a pending transaction. */
    bool m_isDirty = false;
    /** Whether a pending transaction contains this job. */
    bool m_isCommitting = false;
    bool m_isCancelRequested = false;
    /** Whether a worker has reported a run of the job to this leader. */
    bool m_isStartConfirmed = false;
    /** Wall time at which its last active run ended; empty while one is, or if none was seen. */
    std::optional<Millis> m_idleSince;
    /** Whether a run was active while this gateway has led. */
    bool m_wasActive = false;
    LastingTasks m_lasting;
    /** Whether the job's record and cancel are still in the store. */
    bool m_hasInput = true;
    /** Why the urgent job waited in the last plan, for the log; empty if it did not wait. */
    std::optional<UrgentWait::Cause> m_waitCause;
    /** Messages to send after the next commit of this job. */
    std::vector<PendingMessage> m_pendingMessages;
    /**
     * Why runs that are being stopped were stopped, by task and run. Only of active runs; lost with
     * the leader.
     */
    std::map<std::pair<TaskKey, std::uint32_t>, WorkOutcome> m_stopCauses;
    /** Ends of runs, by worker and number, that the next commit of this job persists. */
    std::vector<std::pair<WorkerId, std::uint64_t>> m_endsToPersist;
    /** Messages and ends that belong to the pending transaction. */
    std::vector<PendingMessage> m_committingMessages;
    std::vector<std::pair<WorkerId, std::uint64_t>> m_committingEnds;

    /** Takes over whether a run is active now, of the job and of each lasting task. */
    void updateIdleTime(Millis wallNow);
    /** Returns whether a start or a stop of this run waits for a commit. */
    bool hasPendingMessage(const std::string& task, std::uint32_t run) const;
};

/** Jobs by id. */
using JobTable = std::map<std::string, JobEntry, std::less<>>;

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBTABLE_H
