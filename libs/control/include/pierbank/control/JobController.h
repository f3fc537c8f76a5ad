// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_JOBCONTROLLER_H
#define PIERBANK_CONTROL_JOBCONTROLLER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/CommitResolver.h"
#include "pierbank/control/ConfigurationFeed.h"
#include "pierbank/control/EarlyCancelTable.h"
#include "pierbank/control/EvacuationFeed.h"
#include "pierbank/control/IdleJobLog.h"
#include "pierbank/control/JobControllerSettings.h"
#include "pierbank/control/JobStatistics.h"
#include "pierbank/control/JobTable.h"
#include "pierbank/control/LearnedHandover.h"
#include "pierbank/control/LearnedState.h"
#include "pierbank/control/LossCause.h"
#include "pierbank/control/PersistedEnds.h"
#include "pierbank/control/PlanThrottle.h"
#include "pierbank/control/ProgressTracker.h"
#include "pierbank/control/ReservationLog.h"
#include "pierbank/control/StartRefusals.h"
#include "pierbank/control/TicketCache.h"
#include "pierbank/control/WaveController.h"
#include "pierbank/control/WorkerAdminState.h"
#include "pierbank/control/WorkerPool.h"
#include "pierbank/job/TaskPlanner.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

/**
 * Schedules all jobs while this gateway leads: decides which task runs on which worker and sends
 * the orders to the sidecars. Owned by JobCore; all calls and callbacks happen on the event loop.
 *
 * Each decision first changes the job in memory. A transaction that is conditional on the revision
 * of the leader key then writes the decision to the store, so that a superseded leader can commit
 * nothing. Start orders are sent, and ends of runs count as persisted, only once that transaction
 * is known to have committed. Most stops are sent at once; see sendOrQueueStop().
 */
class JobController final : public WorkerPoolListener, public WaveSchedule {
public:
    /** The references must outlive the controller. */
    JobController(RecordStore& store, EventLoop& loop, ConfigurationFeed& configuration,
                  Transport& transport, Advisor& advisor, WorkerPoolSettings workers,
                  JobControllerSettings settings);
    ~JobController() override;
    JobController(const JobController&) = delete;
    JobController& operator=(const JobController&) = delete;

    /**
     * Sets the callback for a failed commit: another gateway leads, or the state in memory may
     * differ from the store.
     */
    void onLeadershipLost(std::function<void()> callback) {
        m_onLeadershipLost = std::move(callback);
    }

    using RelayHandler =
            std::function<void(const RelayedRequest&, std::function<void(const RelayedAnswer&)>)>;
    /** Sets the handler of requests that other gateways relay because they can't answer them. */
    void onRelayed(RelayHandler handler) { m_onRelayed = std::move(handler); }

    /**
     * Starts a term of leadership: loads the jobs from the store and begins to schedule them.
     * @param epoch revision of the leader key.
     * @param getConfirmedAt returns when the leadership was last confirmed.
     */
    void lead(StoreRevision epoch, std::function<Millis()> getConfirmedAt);
    /** Ends the term and discards its state; callbacks that are still pending are ignored. */
    void stepDown();
    /** Returns whether a term of leadership is in progress. */
    bool isLeading() const noexcept { return m_isLeading; }
    /** Applies a confirmed write of a key under input/; does nothing unless the jobs are loaded. */
    void applyWritten(const StoreItem& item);
    /** Plans anew and sends the changed configuration's revision to the linked gateways. */
    void handleConfiguration();
    /** Sets the provider of this gateway's fitness to lead. */
    void setFitnessProvider(std::function<std::uint32_t()> getFitness) {
        m_getFitness = std::move(getFitness);
    }

    /**
     * Returns the number of accepted jobs none of whose tasks has begun, by queue; timed jobs don't
     * count. Empty as soon as another gateway may lead, which may have jobs unknown to this one.
     */
    std::optional<std::vector<PendingEntry>> countPending() const;

    /**
     * Returns the jobs that this gateway has loaded as the leader; empty while it does not lead.
     */
    const JobTable& getJobs() const noexcept { return m_jobs; }
    /** Returns the hosts that are known to the leader, with their links and last notices. */
    const WorkerPool& getWorkers() const noexcept { return m_workers; }
    /**
     * Returns the reason for a job's present state according to a plan made now; empty if the plan
     * gives no explanation for the job.
     */
    std::string getExplanation(const std::string& job) const;
    /**
     * Returns the observed duration of work on an incarnation of a worker, relative to an average
     * worker.
     */
    double getSlowness(std::string_view incarnation) const {
        return m_learned.speeds().getSlowness(incarnation);
    }
    /** Returns the observed run times of images. */
    const RunTimes& getRunTimes() const noexcept { return m_learned.runTimes(); }
    /**
     * Returns when a host's worker will have warmed up; empty if the worker did not report itself
     * as cold.
     */
    std::optional<Millis> getColdUntil(const std::string& host) const;
    /** Returns the plan that would result if the job were submitted now, without applying it. */
    TaskPlan makeTrialPlan(const JobRecord& record) const;
    /** Returns the counters and latencies, which a change of leadership does not reset. */
    const JobStatistics& getStatistics() const noexcept { return m_statistics; }
    /** Returns the counters of records of learned state; the same holds for them. */
    const HandoverStatistics& getHandoverStatistics() const noexcept {
        return m_handover.getStatistics();
    }
    /** Returns the number of hosts that are paused now after failures of wide steps. */
    std::size_t countPausedHosts() const { return m_learned.health().countPaused(m_loop.now()); }
    /** Returns the number of runs that probed a host after a pause. */
    std::uint64_t countProbes() const noexcept { return m_learned.health().countProbes(); }
    /** Returns the reservations of the last plan and the counters of reservations. */
    const ReservationLog& getReservationLog() const noexcept { return m_reservationLog; }
    /** Returns the idle jobs of the last plan and how long jobs were idle, by reason. */
    const IdleJobLog& getIdleJobLog() const noexcept { return m_idleJobLog; }
    /** Returns the stored requests to cancel jobs in advance; empty while this gateway follows. */
    const EarlyCancelTable& getEarlyCancels() const noexcept { return m_storedEarlyCancels; }
    /** Returns the fragmentation weight, 0 to 100, that plans use at present. */
    std::uint32_t getFragmentationWeight() const noexcept { return m_currentFragmentationWeight; }
    /** Returns an operator's decision about a worker; RELEASE if there is none. */
    WorkerAdminState getAdminState(const std::string& host) const;
    /** Returns the failure domains that the platform's operators evacuate. */
    const EvacuationFeed& getEvacuations() const noexcept { return m_evacuations; }
    /** Returns whether an operator's statement evacuates a failure domain. */
    bool isEvacuatedByStatement(std::string_view domain) const;
    /** Returns the failure domains that operators' statements evacuate. */
    const std::set<std::string, std::less<>>& getStatementEvacuations() const noexcept {
        return m_statementEvacuations;
    }
    /**
     * Returns whether a failure domain is under evacuation by the platform's operators or by a
     * statement, so that no run may start in it.
     */
    bool isEvacuated(std::string_view domain) const;

    // WaveSchedule
    WorkerLoad getLoad(const std::string& worker) const override;
    void setLeavingWorkers(std::set<std::string, std::less<>> workers) override;

    // WorkerPoolListener
    void handleWorkerChanged(const std::string& host) override;
    void handleRunReport(const std::string& host, const RunReport& report) override;
    void handleRunAbsent(const std::string& host, const RunAbsent& absent) override;
    void handleHostLost(const std::string& host) override;
    void handleHostExpired(const std::string& host) override;
    void handleKeptRecord(const std::string& host, const KeptRecord& kept) override;
    void handleInputNotice(const InputNotice& notice) override;
    void handleRelayedRequest(const RequestOrigin& origin, const RelayedRequest& request) override;
    void handleGatewayQuery(const RequestOrigin& origin, const GatewayQuery& query) override;

private:
    // Loads and watches the input in the store (JobControllerStore.cpp).
    void load();
    void loadRuns(const StoreList& input);
    void watch();
    void relist();
    void handleInput(const StoreItem& item);
    void handleDecision(const StoreItem& item);
    void addJob(const StoreItem& item);
    void addRun(const StoreItem& item);
    void restoreStalledHosts();
    std::set<std::string, std::less<>> listHostsWithRuns() const;
    void requestCancel(const std::string& id);
    void requestEarlyCancel(const std::string& id, const StoreItem& item);
    void updateWeight(std::string_view text);
    void updateAdminState(const std::string& host, std::string_view word);
    void updateDomain(const std::string& domain, std::string_view word);

    // Answers gateways that do not lead (JobControllerGateways.cpp).
    GatewayReply makeGatewayReply(std::uint64_t queryNumber) const;
    bool isLeadershipConfirmed() const;
    bool hasBegun(const std::string& id, const JobEntry& entry) const;

    // Schedules and runs steps (JobController.cpp).
    /** Marks the plan as stale and schedules a step, after a change of the plan's input. */
    void invalidatePlan();
    void scheduleStep();
    void step();
    bool isPlanDue() const;
    void schedulePlan();
    void applyCancels();
    void addOccurrences();
    void plan();
    // Prepares the planner's input (JobControllerView.cpp).
    TaskPlanner makePlanner() const;
    TaskPlan makePlan(const std::vector<PlannedJob>& jobs, bool withExplanations) const;
    std::vector<PlannedJob> listJobs(std::vector<AdvisedWorkers>& advisedWorkers) const;
    const std::vector<WorkerSnapshot>& getWorkerSnapshots() const;
    void rebuildWorkerSnapshots() const;
    void updateSnapshot(WorkerSnapshot& snapshot, const WorkerPool::Host& host) const;
    void requestTickets();
    bool mayPreempt() const;
    void recordPlanTime(Millis duration, const TaskPlan& plan);
    void logUrgentWaits(const TaskPlan& plan);
    const std::string* findHostOf(std::string_view worker) const;
    bool isLeaving(std::string_view incarnation) const;

    // Applies plans and sends orders to the sidecars (JobControllerOrders.cpp).
    void place(const std::vector<Placement>& placements);
    void placeSpeculativeCopy(const Placement& placement);
    void stop(const Stop& stop);
    /** Returns the cores of a task's demand, accelerators included, rounded for the log. */
    static long getRoundedCores(const JobRecord& record, const TaskKey& task);
    void sendOrQueueStop(JobEntry& entry, const ActiveRun& run);
    void queueStops(JobEntry& entry, const std::vector<ActiveRun>& runs);
    void sendOrder(JobEntry& entry, const ActiveRun& run);
    RunOrder makeOrder(const JobEntry& entry, const ActiveRun& run) const;
    bool isAvoided(const std::string& host) const;
    bool wasPlacedWhileCold(const std::string& host, const TaskKey& task, std::uint32_t run) const;
    bool isStalled(const std::string& host) const;
    void stopStalledRuns();
    bool mustStopStalledRun(const JobEntry& entry, const ActiveRun& run) const;

    // Accounts for the work of runs (JobControllerAccount.cpp).
    RunWork accountForRun(JobEntry& entry, const ActiveRun& run, RunEnd end,
                          std::string_view checkpoint);
    static void logRunEnd(const WorkerId& worker, const EndedEntry& end, const JobEntry& entry,
                          const std::optional<RunWork>& work, const EndEffect& effect);
    static WorkOutcome getOutcome(const JobEntry& entry, const ActiveRun& run, RunEnd end);
    void recordStop(JobEntry& entry, const ActiveRun& run, WorkOutcome cause, std::string_view why);
    void recordConsequentStops(JobEntry& entry, const std::vector<ActiveRun>& runs);

    // Keeps evacuated failure domains free of new runs (JobControllerEvacuations.cpp).
    void handleEvacuations();
    bool isHostEvacuated(const std::string& host) const;
    void revokeUnstarted();
    void revoke(JobEntry& entry, const ActiveRun& run);
    void sendCommitted(const PendingMessage& message);

    // Handles the sidecars' reports (JobControllerReports.cpp).
    void resendOrders(const std::string& host);
    void resendLostOrders();
    void resendOrderOrStop(JobEntry& entry, const ActiveRun& run, const RunReport& report);
    static bool isInReport(const ActiveRun& run, const RunReport& report);
    static bool isAbsentFrom(const ActiveRun& run, const RunReport& report);
    bool mayReportFalseAbsence(const std::string& host) const;
    std::optional<ActiveRun> findOrRebindRun(JobEntry& entry, const TaskKey& key, std::uint32_t run,
                                             const WorkerId& worker);
    std::string_view getReportedIncarnation(const std::string& host) const;
    void stopOrphanedRuns(const WorkerId& worker, const RunReport& report);
    void applyRunEnd(const WorkerId& worker, const EndedEntry& end);
    void applyEffect(JobEntry& entry, const EndEffect& effect);
    void confirmStart(JobEntry& entry);
    void retractStart(JobEntry& entry, std::string_view reason);
    void recordRefusal(const std::string& host, std::string_view reason);

    // Learns from what the sidecars report of the runs (JobControllerHealth.cpp).
    void recordProgress(const std::string& host, const RunReport& report);
    void recordStart(const std::string& host, const JobEntry& entry, const TaskKey& key,
                     std::uint32_t run);
    void recordRunTime(const std::string& incarnation, const ProgressRate& rate);
    static bool hasFailedOnSeveralHosts(const JobEntry& entry, const TaskKey& task);
    bool isWholeGangRunning(const JobEntry& entry, const TaskKey& member, std::uint32_t run) const;
    void recordActiveRuns(const WorkerId& worker, const RunReport& report);

    // Handles runs that are lost with their workers (JobControllerLosses.cpp).
    void releaseLostRuns(const std::string& host, const std::string& exceptIncarnation,
                         LossCause cause);
    std::optional<LossCategory> classifyLoss(const JobEntry& entry, const ActiveRun& run,
                                             LossCause cause) const;
    bool neverStarted(const ActiveRun& run) const;
    void classifyCrashes(const std::string& host, const WorkerNotice& notice);
    void classifyCrash(const std::string& host, const WorkerCrash& crash);
    const TaskRun* findTask(const TaskKey& key) const;
    void recordLoss(JobEntry& entry, const TaskKey& key, const RunLoss& loss);
    void resolveLosses(const std::string& host, const WorkerNotice& notice);
    void discardUnresolvedLossesOn(const std::string& host, const std::string& incarnation);
    void clearRefutedLosses(JobEntry& entry, const TaskKey& key, std::uint32_t run);
    void restoreUnresolvedLosses();
    void discardUnresolvedLoss(JobEntry& entry, const TaskKey& key, const RunLoss& loss);
    /** Calls `function(entry, key, loss)` for each unresolved loss of the unfinished jobs. */
    template <typename Function>
    void forEachUnresolvedLoss(Function function);

    // Commits decisions to the store (JobControllerCommits.cpp).
    void commitDirty();
    bool addToTransaction(const std::string& id, JobEntry& entry, StoreTransaction& transaction);
    void handleCommitted(const std::vector<std::string>& ids, const StoreCommit& commit);
    void sendEndsPersisted(const WorkerId& worker);
    void removeFinishedJobs();
    void removeOldEarlyCancels();
    void handleEarlyCancelsRemoved(const std::vector<EarlyCancelTable::Entry>& entries,
                                   const StoreCommit& commit);
    void tick();
    void abandonLeadership(std::string_view reason);
    /** Wraps a task so that it does nothing once the current term has ended. */
    std::function<void()> guarded(std::function<void()> task);

    RecordStore& m_store;
    EventLoop& m_loop;
    ConfigurationFeed& m_configuration;
    const JobControllerSettings m_settings;
    WorkerPool m_workers;
    LearnedState m_learned;
    LearnedHandover m_handover;
    /** Starts that workers refused for insufficient capacity. */
    StartRefusals m_capacityRefusals{CAPACITY_REFUSAL_LIMITS};
    /** Starts that workers refused for another reason, or did not answer. */
    StartRefusals m_workerRefusals{WORKER_REFUSAL_LIMITS};
    ProgressTracker m_progress;
    TicketCache m_ticketCache;
    EvacuationFeed m_evacuations;
    std::function<void()> m_onLeadershipLost;
    RelayHandler m_onRelayed;
    std::function<std::uint32_t()> m_getFitness = [] {
        return 0U;
    };

    std::function<Millis()> m_getConfirmedAt;
    bool m_isLeading = false;
    bool m_isLoaded = false;
    Millis m_loadedAt{0};
    StoreRevision m_epoch = 0;
    StoreRevision m_watchedTo = 0;
    JobTable m_jobs;
    /** Ids of jobs that are left out, since their record or their run can't be decoded. */
    std::set<std::string, std::less<>> m_unreadableJobs;
    /** Ids of jobs whose cancel was read before the job itself. */
    std::set<std::string> m_earlyCancels;
    EarlyCancelTable m_storedEarlyCancels;
    /** When old entries of m_storedEarlyCancels are next removed. */
    Millis m_earlyCancelsRemovalDueAt{0};
    PersistedEnds m_persistedEnds;
    /** The last report of a host and when it was received. */
    struct HostReport {
        RunReport m_report;
        Millis m_at{0};
    };
    std::map<std::string, HostReport> m_reports;
    Millis m_ordersCheckedAt{0};
    /** Whether the plan's input has changed since the last plan. */
    bool m_isPlanStale = true;
    /** Ids of the urgent jobs that waited in the last plan. */
    std::set<std::string, std::less<>> m_waitingUrgentJobs;
    /** Number of units that the last plan left waiting. */
    std::size_t m_waitingUnits = 0;
    Millis m_plannedAt{0};
    PlanThrottle m_planThrottle;
    ReservationLog m_reservationLog;
    IdleJobLog m_idleJobLog;
    TimerId m_planTimer = TimerId::NONE;
    /** Cached; getWorkerSnapshots() refreshes the fields that may change at any time. */
    mutable std::vector<WorkerSnapshot> m_snapshots;
    mutable bool m_areSnapshotsStale = true;
    JobStatistics m_statistics;
    /** TaskPlannerSettings::m_fragmentationWeight, as last set by an operator's statement. */
    std::uint32_t m_currentFragmentationWeight = 0;
    /** Revisions of the operators' decisions that were applied last, by key. */
    std::map<std::string, StoreRevision> m_decisionRevisions;
    /** Operators' decisions by host. */
    std::map<std::string, WorkerAdminState> m_adminStates;
    /** Failure domains that an operator's statement evacuates. */
    std::set<std::string, std::less<>> m_statementEvacuations;
    /** Incarnations whose crash was classified in this term. */
    std::set<std::string> m_classifiedIncarnations;
    /** Hosts on which runs were lost without their category being known yet. */
    std::set<std::string> m_hostsWithUnresolvedLosses;
    /** Ids of workers that are drained for upkeep, as in the list of machines. */
    std::set<std::string, std::less<>> m_leavingWorkers;
    bool m_isCommitting = false;
    TimerId m_stepTimer = TimerId::NONE;
    TimerId m_revokeTimer = TimerId::NONE;
    /** Replaced with each term of leadership, so that callbacks of earlier terms are ignored. */
    std::shared_ptr<bool> m_term;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBCONTROLLER_H
