// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_WORKERAGENT_H
#define PIERBANK_CONTROL_WORKERAGENT_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/Documents.h"
#include "pierbank/control/HeartbeatOrder.h"
#include "pierbank/control/IncarnationRuns.h"
#include "pierbank/control/LeaderPort.h"
#include "pierbank/control/PendingOrders.h"
#include "pierbank/control/RecordKeeper.h"
#include "pierbank/control/TaskThrottle.h"
#include "pierbank/control/TaskWorker.h"
#include "pierbank/control/WorkerFence.h"
#include "pierbank/job/WorkerIncarnation.h"
#include "pierbank/wire/Transport.h"

namespace pierbank {

/** Settings of the WorkerAgent. */
struct WorkerAgentSettings {
    /** Interval between two lease requests until the leader sets another interval. */
    Millis m_requestInterval{500};
    /**
     * How long a poll waits for a run to end. Also the longest time between two renewals of the
     * lease at the worker.
     */
    Millis m_pollWait{1000};
    /**
     * The wait of a poll while tasks are throttled. It is shorter, since the interference between
     * tasks changes within seconds.
     */
    Millis m_throttlingPollWait{250};
    /** Delay after a failed poll, and between polls while finished runs are not persisted yet. */
    Millis m_retryDelay{150};
    /**
     * Delay between polls while no process listens but calls to the previous process may still
     * arrive. A new process executes such calls until it has been called with a higher fence.
     */
    Millis m_restartPollDelay{10};
    /**
     * Time within which unanswered calls reach the worker, if at all. Calls that arrive later
     * cannot be excluded, but are not known to occur.
     */
    Millis m_maxCallDelay{5000};
    /**
     * A link over which the leader has sent nothing for the request interval plus this time is
     * closed.
     */
    Millis m_linkTimeout{1500};
    /**
     * A worker that has not answered a poll for this time is unresponsive, and the agent requests
     * no lease for it. A single lost answer takes up to about 2 s.
     */
    Millis m_workerTimeout{3000};
    /** Fraction by which the steady clock of the worker may be slow. */
    double m_maxClockDrift = 0.02;
    /**
     * How long a row of a list that can't be read may keep the agent from concluding that a run is
     * absent. A row that stays unreadable must not hold orders back for good.
     */
    Millis m_maxUnreadableTime{10'000};
    PendingOrdersSettings m_orders;
};

/**
 * Controls the worker of a sidecar. Only the agent calls the worker: it renews the worker's lease
 * up to the time that the leader grants (counted from the moment of the lease request), starts and
 * stops runs as ordered by the leader, and reports running and finished runs. It makes no decisions
 * of its own, and keeps no state that the worker could not report again, except the latest record
 * of what the leader has learned.
 *
 * If several leaders are linked, the agent obeys the one with the highest epoch. A start whose
 * answer is lost may take effect seconds later. The agent repeats such a start, and finally
 * prevents the run from starting with a stop.
 *
 * A worker may restart under its previous id, so that only an answer shows which process is
 * running. The process that a heartbeat names is a candidate until a poll that is sent after the
 * heartbeat arrived has shown whether this process is running. Neither start times nor the order of
 * messages decide this. Numbers and clocks of one process must never be sent to another. Until the
 * present process has answered, the agent therefore acknowledges no ends, extends no lease, and
 * sends no long poll.
 *
 * Owned by the sidecar; used on the event loop only.
 */
class WorkerAgent final : private OrderContext {
public:
    /** The references must outlive the agent. */
    WorkerAgent(EventLoop& loop, TaskWorker& worker, WorkerAgentSettings settings);
    ~WorkerAgent() override;
    WorkerAgent(const WorkerAgent&) = delete;
    WorkerAgent& operator=(const WorkerAgent&) = delete;

    /** Adds a link that a leader opened. */
    void handleLink(std::shared_ptr<Link> link) { m_leader.handleLink(std::move(link)); }
    /**
     * Handles a heartbeat of the worker.
     * @return NEWER also for a heartbeat of another incarnation, which is verified first.
     */
    HeartbeatAge handleHeartbeat(const WorkerHeartbeat& heartbeat);
    /**
     * Handles the announcement of the worker that it exits. An announcement without a start time
     * may come from any process with that id.
     */
    void handleLeave(const WorkerIncarnation& incarnation);
    /** Returns whether a leader is linked. */
    bool hasLeader() const noexcept { return m_leader.isLinked(); }

private:
    // Communication with the leader.
    void handleLeader(const LeaderHello& hello, bool isNewEpoch);
    void handleFrame(const Frame& frame);
    void handleRenewal(const LeaseRenewal& renewal);
    void handleEndsPersisted(const EndsPersisted& persisted);
    void handleStart(const RunOrder& order);
    void handleStop(const RunStop& stop);
    void scheduleLeaseRequest();
    void requestLease();
    void sendKeptRecord();
    void sendNotice();
    void sendReport();

    // Polls of the worker and renewal of its lease (WorkerAgentPolls.cpp).
    void schedulePoll(Millis delay);
    void poll(Millis wait);
    void acknowledge();
    void sendHold(const HoldCall& call);
    void handleHoldReply(const HoldReply& reply, std::uint64_t number);
    void handlePoll(const HoldReply& reply, std::uint64_t number);
    void recordConnectionRefused(bool isRefused);
    void applyThrottle();
    void recordCoverage(const HoldReply& reply);
    Millis getPollWait() const;
    std::optional<Millis> getWorkerLeaseEnd() const;
    bool hasLease() const;
    bool isWorkerUnresponsive() const;
    void recordNoAnswer(const HoldReply& reply);
    void logNoAnswer(const HoldReply& reply, bool isFirst);
    Millis getRetryDelay(const HoldReply& reply) const;
    void recordAnswer(std::uint64_t number);

    // Incarnations of the worker (WorkerAgentIncarnation.cpp).
    void applyHeartbeat(const WorkerHeartbeat& heartbeat);
    void setCandidate(const WorkerHeartbeat& heartbeat);
    void verifyCandidate();
    void handleCandidateVerified(const WorkerIncarnation& candidate, const HoldReply& reply);
    void rejectCandidate(const WorkerIncarnation& candidate);
    void verifyLeave();
    void handleLeaveVerified(const HoldReply& reply);
    void markExited();
    void changeIncarnation(const WorkerIncarnation& incarnation);
    void beginIncarnation(const WorkerIncarnation& incarnation);
    void endIncarnation();
    void resolveCrashes(const HoldReply& firstPoll);
    void probe(const std::string& id, std::function<void(const HoldReply&)> done);
    bool isPresent(const WorkerIncarnation& incarnation) const;
    bool isOtherProcess(const HoldReply& reply) const;
    HeartbeatAge classify(const WorkerHeartbeat& heartbeat) const;
    bool differsFromLast(const WorkerHeartbeat& heartbeat) const;
    Millis getRemainingColdTime() const;
    bool isPrevious(const WorkerIncarnation& incarnation) const;
    /** Returns whether the present process of the worker has answered a poll. */
    bool isConfirmed() const { return m_clock.has_value(); }

    // OrderContext.
    WorkerCall getCall() const override { return {m_incarnation.m_id, m_fence.get()}; }
    std::optional<Millis> getStartLease() const override;
    bool isListed(const TaskKey& task, std::uint32_t run) const override;
    bool isEnded(const TaskKey& task, std::uint32_t run) const override;
    bool areAllRunsListed() const override { return m_areAllRunsListed; }
    std::uint64_t pollAgain() override;
    void recordSent(const TaskKey& task, std::uint32_t run) override;
    void recordStarted(const TaskKey& task, std::uint32_t run) override;
    void recordRefused(const TaskKey& task, std::uint32_t run) override;
    void reportAbsent(const TaskKey& task, std::uint32_t run, std::string_view reason) override;

    std::function<void()> guarded(std::function<void()> task);

    EventLoop& m_loop;
    TaskWorker& m_worker;
    const WorkerAgentSettings m_settings;
    LeaderPort m_leader;
    PendingOrders m_orders;
    TaskThrottle m_throttle;
    RecordKeeper m_recordKeeper;

    WorkerFence m_fence;
    WorkerIncarnation m_incarnation;
    /** Text form of m_incarnation, as used in messages. */
    std::string m_incarnationName;
    /**
     * Incarnations that were followed by another one or were found not to be running, the latest
     * last.
     */
    std::deque<WorkerIncarnation> m_previousIncarnations;
    /** The last heartbeat that named an incarnation other than the present one. */
    std::optional<WorkerHeartbeat> m_candidate;
    bool m_isVerifying = false;
    bool m_hasExited = false;
    std::optional<WorkerHeartbeat> m_heartbeat;
    Millis m_heartbeatAt{0};
    /** Maximum of each resource that the present incarnation has reported. */
    Resources m_fullCapacity;
    IncarnationRuns m_incarnationRuns;
    /**
     * Incarnations that ended without an announcement while this sidecar was running, the latest
     * last.
     */
    std::deque<WorkerCrash> m_crashes;
    /**
     * Crashes for which the first poll of the next process is pending. This poll may show that some
     * of the runs were started by the next process instead.
     */
    std::vector<WorkerCrash> m_unresolvedCrashes;

    /** Interval between lease requests, as last set by the leader. */
    Millis m_requestInterval;
    /** Number of the last lease request. */
    std::uint64_t m_leaseRequestNumber = 0;
    /** When each unanswered lease request was sent, by number. */
    std::map<std::uint64_t, Millis> m_pendingLeaseRequests;
    /** End of the lease that the leader granted. */
    Millis m_leaseUntil{0};

    /** Clock of the worker in its last answer, and when this answer arrived. */
    std::optional<std::pair<Millis, Millis>> m_clock;
    /** Number of the last poll that was sent. */
    std::uint64_t m_pollNumber = 0;
    /** Highest number among the answered polls. */
    std::uint64_t m_lastSeenPoll = 0;
    /** Ends of runs of the present process are persisted up to this number. */
    std::uint64_t m_lastPersisted = 0;
    /** Whether m_lastPersisted has yet to be sent to the worker. */
    bool m_mustAcknowledge = false;
    /**
     * Whether a poll was answered and no call has failed since that poll was sent, so that the
     * process is still the same.
     */
    bool m_isAnswering = false;
    /** Number of the first poll that was sent after the last failure. */
    std::uint64_t m_firstPollSinceFailure = 0;
    /** Whether a long poll is in progress. */
    bool m_isLongPolling = false;
    /**
     * When the worker last answered a poll, or when this agent detected the present incarnation.
     */
    Millis m_answeredAt{0};
    Millis m_noAnswerLoggedAt{0};
    /** Whether no process was listening at the last poll. */
    bool m_isConnectionRefused = false;
    TimerId m_pollTimer = TimerId::NONE;
    std::vector<ListedRun> m_running;
    std::vector<ListedEnd> m_ended;
    /** Whether the last poll listed all runs, so that a run that it does not list is not there. */
    bool m_areAllRunsListed = true;
    /** Since when each poll had a row that can't be read; empty if the last one had none. */
    std::optional<Millis> m_unreadableSince;
    /** The last report that was sent to the leader. */
    RunReport m_sentReport;
    Millis m_reportedAt{0};
    /** Whether the next poll is reported even if nothing has changed. */
    bool m_mustReport = false;

    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    /**
     * Replaced with each incarnation and each leader, so that answers to earlier calls are ignored.
     */
    std::shared_ptr<bool> m_term = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_WORKERAGENT_H
