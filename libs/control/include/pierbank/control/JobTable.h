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
#include "pierbank/job/TaskPlanner.h"
#include "pierbank/store/RecordStore.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/** A message to a sidecar that may go out only once the decision behind it is committed. */
struct PendingMessage {
    std::string m_host;
    Frame m_frame;
};

/** One job as the leader has it: what is committed, and changes on the way to the store. */
struct JobEntry {
    JobRecord m_record;
    JobRun m_run;
    /** Revision of the committed run; zero while there is none. */
    StoreRevision m_runRevision = 0;
    /** `m_run` differs from what is committed or on its way. */
    bool m_isDirty = false;
    /** A transaction with this job is under way. */
    bool m_isCommitting = false;
    bool m_isCancelRequested = false;
    /** The job's record and cancel are still in the store. */
    bool m_hasInput = true;
    /** What urgent work waited for in the last plan; empty: it did not. Told in the log. */
    std::optional<UrgentWait::Cause> m_waitsFor;
    /** Sent when the next commit of this job is known. */
    std::vector<PendingMessage> m_messages;
    /** Ends of runs that the next commit of this job keeps. */
    std::vector<std::pair<WorkerId, std::uint64_t>> m_ends;
    /** The same, of the transaction that is under way. */
    std::vector<PendingMessage> m_messagesUnderWay;
    std::vector<std::pair<WorkerId, std::uint64_t>> m_endsUnderWay;

    /** A start of this run, or a stop, waits for a commit. */
    bool hasPendingMessage(const std::string& task, std::uint32_t run) const;
};

using JobTable = std::map<std::string, JobEntry, std::less<>>;

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBTABLE_H
