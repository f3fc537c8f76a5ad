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
#include "pierbank/control/IncarnationRuns.h"
#include "pierbank/control/LeaderPort.h"
#include "pierbank/control/PendingOrders.h"
#include "pierbank/control/TaskThrottle.h"
#include "pierbank/control/TaskWorker.h"
#include "pierbank/control/WorkerFence.h"
#include "pierbank/job/WorkerIncarnation.h"
#include "pierbank/wire/Transport.h"

namespace pierbank {

struct WorkerAgentSettings {
    /** Time between two questions for the lease, unless the leader tells another. */
    Millis m_requestInterval{500};
    /** A hold waits so long for an end of a run; also the longest time between two renewals. */
    Millis m_holdWait{1000};
    /** The same while filling tasks are paced: what disturbs shifts within seconds. */
    Millis m_pacingWait{250};
    /** Pause after a hold that failed, and while ends wait to be kept. */
    Millis m_pause{150};
    /**
     * Pause while nothing listens and calls to the former process may still arrive: the next
     * process does them until it is called under a higher fence.
     */
    Millis m_awayPause{10};
    /** Calls left without an answer arrive within this time, or are not known to. */
    Millis m_lateCalls{5000};
    /** A leader that has not answered so long after the next question was due is not asked any
     * more. */
    Millis m_linkTimeout{1500};
    /** A worker that answered no hold for so long is silent: no lease is asked for it. One lost
     * answer takes up to about 2 s. */
    Millis m_workerTimeout{3000};
    /** The worker's clock may be slow by this much. */
    double m_clockSlack = 0.02;
    PendingOrdersSettings m_orders;
};

/**
 * The sidecar's part beside a worker. It alone calls the worker: it renews the worker's lease as
 * far as the leader grants (counted from the moment of asking), starts and stops runs on the
 * leader's word, and passes on what runs and what ended. It decides nothing and remembers nothing
 * that the worker does not know.
 *
 * Of several leaders the one with the highest epoch is obeyed. A start whose answer is lost may
 * take effect seconds later: it is tried again, and then barred by a stop.
 *
 * A worker may start again under the id that it had. Which process is there only an answer tells:
 * a heartbeat that names another one is a claim, and a look that is sent after it came settles
 * whether that process is there, whatever the moments of start say and whichever message came
 * first. What the counters of one process mean is said to no other: until the process has answered,
 * nothing is acknowledged, no lease is extended, and no call waits.
 */
class WorkerAgent final : private OrderContext {
public:
    /** The references must outlive the agent. */
    WorkerAgent(EventLoop& loop, TaskWorker& worker, WorkerAgentSettings settings);
    ~WorkerAgent() override;
    WorkerAgent(const WorkerAgent&) = delete;
    WorkerAgent& operator=(const WorkerAgent&) = delete;

    /** A leader's link came. */
    void handleLink(std::shared_ptr<Link> link) { m_leader.handleLink(std::move(link)); }
    /** The worker said what it is. */
    void handleHeartbeat(const WorkerHeartbeat& heartbeat);
    /** The worker said that it ends; without a moment of start it may be any process of that id. */
    void handleLeave(const WorkerIncarnation& incarnation);
    /** Whether a leader is linked. */
    bool hasLeader() const noexcept { return m_leader.isLinked(); }

private:
    // The leader's link.
    void handleLeader(const LeaderHello& hello, bool isNewEpoch);
    void handleFrame(const Frame& frame);
    void handleRenewal(const LeaseRenewal& renewal);
    void handleEndsPersisted(const EndsPersisted& kept);
    void handleStart(const RunOrder& order);
    void handleStop(const RunStop& stop);
    void askSoon();
    void ask();
    void sendNotice();
    void sendReport();

    // Holding the worker's lease, and seeing what runs.
    void holdLater(Millis pause);
    void hold(Millis wait);
    void acknowledge();
    void sendHold(const HoldCall& call);
    void handleHold(const HoldReply& reply, std::uint64_t number);
    void handlePoll(const HoldReply& reply, std::uint64_t number);
    void noteNobodyThere(bool isNobodyThere);
    void pace();
    Millis getHoldWait() const;
    std::optional<Millis> getUntil() const;
    bool hasLease() const;
    bool isWorkerUnresponsive() const;
    void recordNoAnswer(const HoldReply& reply);
    void logNoAnswer(const HoldReply& reply, bool isFirst);
    Millis getAwayPause(const HoldReply& reply) const;
    void noteAnswer(std::uint64_t number);

    // The worker's processes (WorkerAgentIncarnation.cpp).
    void applyHeartbeat(const WorkerHeartbeat& heartbeat);
    void setCandidate(const WorkerHeartbeat& heartbeat);
    void verifyClaim();
    void handleVerified(const WorkerIncarnation& claimed, const HoldReply& reply);
    void refuteClaim(const WorkerIncarnation& claimed);
    void verifyLeave();
    void handleLeaveVerified(const HoldReply& reply);
    void leave();
    void changeIncarnation(const WorkerIncarnation& incarnation);
    void beginIncarnation(const WorkerIncarnation& incarnation);
    void endIncarnation();
    void resolveCrashes(const HoldReply& firstLook);
    void look(const std::string& id, std::function<void(const HoldReply&)> done);
    bool isPresent(const WorkerIncarnation& incarnation) const;
    bool isOther(const HoldReply& reply) const;
    bool isNews(const WorkerHeartbeat& heartbeat) const;
    Millis getColdLeft() const;
    bool isFormer(const WorkerIncarnation& incarnation) const;
    /** The worker's present process has answered. */
    bool isConfirmed() const { return m_clock.has_value(); }

    // OrderContext.
    WorkerCall getCall() const override { return {m_incarnation.m_id, m_fence.get()}; }
    std::optional<Millis> getStartLease() const override;
    bool isListed(const TaskKey& task, std::uint32_t run) const override;
    bool isEnded(const TaskKey& task, std::uint32_t run) const override;
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
    TaskThrottle m_pacer;

    WorkerFence m_fence;
    WorkerIncarnation m_incarnation;
    /** Its text, as messages have it. */
    std::string m_incarnationName;
    /** Lives that were followed by another one, or had been, the latest at the end. */
    std::deque<WorkerIncarnation> m_previousIncarnations;
    /** The last heartbeat that named another life than the present one. */
    std::optional<WorkerHeartbeat> m_claim;
    bool m_isVerifying = false;
    bool m_hasExited = false;
    std::optional<WorkerHeartbeat> m_heartbeat;
    Millis m_heartbeatAt{0};
    /** The most that the present life said it has. */
    Resources m_fullCapacity;
    IncarnationRuns m_account;
    /** Lives that ended unannounced while this sidecar ran, the latest at the end. */
    std::deque<WorkerCrash> m_crashes;
    /** The same before the first look at the next process shows what of it runs there after all. */
    std::vector<WorkerCrash> m_unresolvedCrashes;

    /** As the leader last told. */
    Millis m_requestInterval;
    std::uint64_t m_askNumber = 0;
    std::map<std::uint64_t, Millis> m_asks;
    Millis m_leaseUntil{0};

    /** The worker's clock as an answer of it said, and when that answer came. */
    std::optional<std::pair<Millis, Millis>> m_clock;
    std::uint64_t m_holdNumber = 0;
    std::uint64_t m_holdSeen = 0;
    /** Ends of the present process up to this number are kept. */
    std::uint64_t m_lastPersisted = 0;
    /** The worker has to be told so. */
    bool m_mustAcknowledge = false;
    /** It has answered a hold, and nothing failed since that was sent: it is the same process. */
    bool m_isAnswering = false;
    /** The first hold that was sent after the last failure. */
    std::uint64_t m_firstSince = 0;
    bool m_isHolding = false;
    /** When the worker last answered a hold, or began its life here. */
    Millis m_answeredAt{0};
    Millis m_noAnswerLoggedAt{0};
    /** The last look found nothing that listens. */
    bool m_isConnectionRefused = false;
    TimerId m_holdTimer = TimerId::NONE;
    std::vector<ListedRun> m_running;
    std::vector<ListedEnd> m_ended;
    RunReport m_sentReport;
    Millis m_reportedAt{0};
    bool m_mustReport = false;

    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    /** Replaced with each life and leader: answers of calls made before are ignored. */
    std::shared_ptr<bool> m_term = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_WORKERAGENT_H
