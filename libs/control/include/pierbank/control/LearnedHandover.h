// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_LEARNEDHANDOVER_H
#define PIERBANK_CONTROL_LEARNEDHANDOVER_H

#include <cstdint>
#include <string>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/LearnedState.h"
#include "pierbank/control/PersistedEnds.h"
#include "pierbank/control/RecordScheduler.h"
#include "pierbank/control/WorkerPool.h"

namespace pierbank {

/** Counters of records of learned state, of all terms of this gateway. */
struct HandoverStatistics {
    std::uint64_t m_recordsSent = 0;
    std::uint64_t m_recordsRestored = 0;
    std::uint64_t m_recordsRefused = 0;
};

/**
 * Hands over what a leader has learned to the next leader: sends records to the sidecars, and
 * restores those that the sidecars give back. Owned by JobController; does nothing if disabled.
 */
class LearnedHandover {
public:
    /**
     * The references must outlive the object.
     * @param ends the reported ends. The record of a host is sent only while none of its ends waits
     * for a commit: the next leader gets such an end again, and must not find it in the record too.
     * @param isEnabled see switch `keeps-learned`.
     */
    LearnedHandover(EventLoop& loop, WorkerPool& workers, LearnedState& learned,
                    const PersistedEnds& ends, bool isEnabled)
            : m_loop(loop),
              m_workers(workers),
              m_learned(learned),
              m_ends(ends),
              m_isEnabled(isEnabled) {}

    /** Begins a term. @param epoch epoch of the leader. */
    void start(std::uint64_t epoch);
    /** Ends the term and forgets its state, but not the counters. */
    void stop() { start(0); }

    /** Records that something about a host was learned, which its sidecar should keep. */
    void recordLearned(const std::string& host);
    /** Handles the loss of a host's link. */
    void handleUnlinked(const std::string& host) { m_scheduler.handleUnlinked(host); }
    /** Forgets a host that the leader forgets. */
    void forget(const std::string& host) { m_scheduler.forget(host); }
    /** Restores a record that a sidecar gave back. @return whether anything was restored. */
    bool handleKeptRecord(const std::string& host, const KeptRecord& kept);
    /** Sends the records that are due and logs what was restored; to be called at intervals. */
    void tick();

    const HandoverStatistics& getStatistics() const noexcept { return m_statistics; }

private:
    /** Records that were restored since the last line about them in the log. */
    struct Restored {
        std::size_t m_hosts = 0;
        Millis m_oldestAge{0};
        Millis m_lastAt{0};
    };

    Moment getMoment() const { return {m_loop.now(), m_loop.wallNow()}; }
    void sendRecord(const std::string& address);
    void logRestored();

    EventLoop& m_loop;
    WorkerPool& m_workers;
    LearnedState& m_learned;
    const PersistedEnds& m_ends;
    const bool m_isEnabled;
    std::uint64_t m_epoch = 0;
    RecordScheduler m_scheduler;
    Restored m_restored;
    HandoverStatistics m_statistics;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LEARNEDHANDOVER_H
