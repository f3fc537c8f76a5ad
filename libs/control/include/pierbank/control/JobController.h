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
#include "pierbank/base/Metrics.h"
#include "pierbank/control/CapacityRefusals.h"
#include "pierbank/control/CommitResolver.h"
#include "pierbank/control/ConfigurationFeed.h"
#include "pierbank/control/EvacuationFeed.h"
#include "pierbank/control/HostSpeeds.h"
#include "pierbank/control/JobTable.h"
#include "pierbank/control/PersistedEnds.h"
#include "pierbank/control/PlanThrottle.h"
#include "pierbank/control/ProgressTracker.h"
#include "pierbank/control/TicketCache.h"
#include "pierbank/control/UrgentDemand.h"
#include "pierbank/control/WaveController.h"
#include "pierbank/control/WorkerHealth.h"
#include "pierbank/control/WorkerPool.h"
#include "pierbank/job/TaskPlanner.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

struct JobControllerSettings {
    TaskPlannerSettings m_planner;
    WorkerHealthSettings m_health;
    UrgentDemandSettings m_demand;
    EvacuationFeedSettings m_evacuations;
    /**
     * A run that has not begun so long after its failure domain's evacuation became known is taken
     * back. What is under way begins within milliseconds as a rule, and this leaves a fifth of the
     * users' bound more for the order to take it back.
     */
    Millis m_startTimeout{1000};
    /**
     * Room is kept for urgent work as it is seen to arrive: +0.014 and +0.023 of a day's worth on
     * fleets of 63 and 80 hosts, each +- 0.015 (means of 20 paired plays, so likely, not shown).
     */
    bool m_reservesHeadroom = true;
    /**
     * Hosts are judged by how runs end there: with one worker that fails everything, 0 instead of
     * 17 of 300 jobs used up their attempts (means of five replays).
     */
    bool m_scoresHosts = true;
    /** Hosts on which nothing advances get no work, and what runs there may begin elsewhere. */
    bool m_detectsStalls = true;
    /** Urgent work goes to hosts that are seen to be fast, other work leaves them free. */
    bool m_learnsSpeeds = true;
    /**
     * A worker that is cold is taken for so many times slower than it is known to be, so that
     * urgent work goes to warm ones while there are any and other work warms the cold ones up. By
     * reasoning: how much slower is in no setting, and no fleet that was measured has cold workers.
     */
    double m_coldSlowness = 1.5;
    /** What happens within this time is decided and committed together. */
    Millis m_commitDelay{3};
    /**
     * A plan depends on the time only by what waits, and by runs that are slow, stand still or lie
     * on a worker that leaves. With units that wait it is made anew this often, and without any at
     * the second pace, if nothing else changes.
     */
    Millis m_planInterval{100};
    Millis m_idlePlanInterval{500};
    /** A plan that took longer is logged with what it was made from. */
    Millis m_slowPlan{20};
    /**
     * Time of one waiting watch. A watch that was cut may just stay silent, so this, and not the
     * price of a call, bounds how long the leader can be deaf.
     */
    Millis m_watchWait{800};
    /**
     * On a host where nothing advances, a run is stopped to begin elsewhere at once if it is urgent
     * or loses less than this, and else after `m_stallTimeout`: what stands still may go on.
     */
    Millis m_cheapLoss{2500};
    Millis m_stallTimeout{8000};
    /** A host's report that does not show what was ordered so long before it: it got lost. */
    Millis m_orderReportTimeout{2000};
    /** So long a new leader waits for its workers' links before it stops work for other work. */
    Millis m_initialLinkTimeout{1000};
    /** So long after its leadership was confirmed a leader tells others what it knows of jobs: less
     * than the lease under which it leads. */
    Millis m_maxConfirmationAge{900};
    /** How long the state of a job that is over is kept (users' bound, and more). */
    Millis m_finishedJobRetention{180'000};
};

/** What an operator decided about a worker. */
enum class WorkerAdminState {
    RELEASE,
    /** No new work; what runs goes on. */
    QUARANTINE,
    /** No new work, and what can moves off. */
    DRAIN,
};

std::string_view toText(WorkerAdminState hold);

/** How it became known that what ran on a worker runs no more. */
enum class LossCause {
    LEASE_LAPSED,
    OTHER_INCARNATION,
    WORKER_LEFT,
};

std::string_view toText(LossCause cause);

/** What a leader did since it began to lead. */
struct JobStatistics {
    std::uint64_t m_placed = 0;
    std::uint64_t m_copied = 0;
    std::uint64_t m_stopped = 0;
    std::uint64_t m_lost = 0;
    /** Taken back because their failure domain is under evacuation. */
    std::uint64_t m_revoked = 0;
    std::uint64_t m_commits = 0;
    std::uint64_t m_plans = 0;
    /** Time that a plan took. */
    LatencySummary m_planTime;
    /** From acceptance to the first placement of a job without times. */
    LatencySummary m_untilPlaced;
};

/**
 * The leader's work: it knows all jobs, decides what runs where, and tells the sidecars. Each
 * decision changes the job in memory, goes to the store in a transaction that expects the leader
 * key's revision, and only when that is known to have taken effect do starts go out and ends count
 * as kept; stops go out at once. A leader that was replaced can commit nothing.
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

    /** Called when another leader turns out to have written, or the state can't be trusted. */
    void onLeadershipLost(std::function<void()> callback) {
        m_onLeadershipLost = std::move(callback);
    }

    using RelayHandler =
            std::function<void(const RelayedRequest&, std::function<void(const RelayedAnswer&)>)>;
    /** Called with requests that other gateways could not answer themselves. */
    void onRelayed(RelayHandler handler) { m_onRelayed = std::move(handler); }

    /** Leads from now on. @param getConfirmedAt when the leadership was last confirmed. */
    void lead(StoreRevision epoch, std::function<Millis()> getConfirmedAt);
    void stepDown();
    bool isLeading() const noexcept { return m_isLeading; }
    /** The configuration changed. */
    void handleConfiguration();
    /** How well this gateway leads, as others say it of themselves. */
    void setFitnessProvider(std::function<std::uint32_t()> getFitness) {
        m_getFitness = std::move(getFitness);
    }

    const JobTable& getJobs() const noexcept { return m_jobs; }
    const WorkerPool& getWorkers() const noexcept { return m_workers; }
    /** Why a plan made now would leave a job where it is; empty when it says nothing of it. */
    std::string getNote(const std::string& job) const;
    /** Work takes so many times as long there as on a mean worker, as far as was seen. */
    double getSlowness(std::string_view incarnation) const {
        return m_speeds.getSlowness(incarnation);
    }
    /** Until when a host's worker is slow from its start; empty: it told of no such time. */
    std::optional<Millis> getColdUntil(const std::string& host) const;
    /** What would become of a job that was handed in now; nothing changes. */
    TaskPlan tryPlan(const JobRecord& record) const;
    const JobStatistics& getStatistics() const noexcept { return m_statistics; }
    std::uint32_t getFragmentationWeight() const noexcept { return m_weight; }
    /** What operators decided about a worker; RELEASE for nothing. */
    WorkerAdminState getAdminState(const std::string& host) const;
    /** Failure domains under evacuation by the platform's operators. */
    const EvacuationFeed& getEvacuations() const noexcept { return m_evacuations; }
    /** The same by an operator's statement. */
    bool isEvacuatedByStatement(std::string_view domain) const;
    const std::set<std::string, std::less<>>& getStatementEvacuations() const noexcept {
        return m_statementEvacuations;
    }
    /** Nothing may begin there, whoever asked for that. */
    bool isEvacuated(std::string_view domain) const;

    // WaveSchedule.
    WorkerLoad getLoad(const std::string& worker) const override;
    void setLeaving(std::set<std::string, std::less<>> workers) override;

    void handleWorkerChanged(const std::string& host) override;
    void handleRunReport(const std::string& host, const RunReport& report) override;
    void handleRunAbsent(const std::string& host, const RunAbsent& absent) override;
    void handleHostLost(const std::string& host) override;
    void handleHostExpired(const std::string& host) override;
    void handleInputNotice(const InputNotice& notice) override;
    void handleRelayed(const std::string& host, const RelayedRequest& request) override;
    void handleGatewayQuery(const std::string& host, const GatewayQuery& ask) override;

private:
    // Loading and watching what lies in the store (JobControllerStore.cpp).
    void load();
    void loadRuns(const StoreList& input);
    void watch();
    void relist();
    void handleInput(const StoreItem& item);
    void addJob(const StoreItem& item);
    void addRun(const StoreItem& item);
    void blameHosts();
    std::set<std::string, std::less<>> listHostsWithRuns() const;
    void requestCancel(const std::string& id);
    void updateWeight(std::string_view text);
    void updateAdminState(const std::string& host, std::string_view word);
    void updateDomain(const std::string& domain, std::string_view word);

    // What it tells the gateways that follow (JobControllerGateways.cpp).
    GatewayReply makeGatewayReply(std::uint64_t question) const;
    bool isLeadershipConfirmed() const;
    std::vector<PendingEntry> countPending() const;

    // Deciding.
    /** Something that a plan depends on has changed. */
    void stepSoon();
    void scheduleStep();
    void step();
    bool isPlanDue() const;
    void planLater();
    void applyCancels();
    void addOccurrences();
    void plan();
    // What it shows to the planner (JobControllerView.cpp).
    TaskPlanner makePlanner() const;
    TaskPlan makePlan(const std::vector<PlannedJob>& jobs, bool withExplanations) const;
    std::vector<PlannedJob> listJobs(std::vector<AdvisedWorkers>& advised) const;
    const std::vector<WorkerSnapshot>& getWorkerSnapshots() const;
    void rebuildWorkerSnapshots() const;
    void updateSnapshot(WorkerSnapshot& view, const WorkerPool::Host& host) const;
    void requestTickets();
    bool mayPreempt() const;
    void notePlanTime(Millis took, const TaskPlan& plan);
    void noteUrgentWaits(const TaskPlan& plan);
    const std::string* findHostOf(std::string_view worker) const;
    bool isLeaving(std::string_view incarnation) const;

    // What becomes of a plan (JobControllerOrders.cpp).
    void place(const std::vector<Placement>& placements);
    void placeCopy(const Placement& placement);
    void stop(const Stop& stop);
    /** Cores that a task takes, accelerators included, rounded; for the log. */
    static long getWeight(const JobRecord& record, const TaskKey& task);
    void stopNow(JobEntry& entry, const ActiveRun& run);
    void stopRuns(JobEntry& entry, const std::vector<ActiveRun>& runs);
    void sendOrder(JobEntry& entry, const ActiveRun& run);
    RunOrder makeOrder(const JobEntry& entry, const ActiveRun& run) const;
    bool isAvoided(const std::string& host) const;
    bool wasCold(const std::string& host, const TaskKey& task, std::uint32_t run) const;
    bool isStalled(const std::string& host) const;
    void moveStalled();
    bool mustMove(const JobEntry& entry, const ActiveRun& run) const;

    // Failure domains under evacuation (JobControllerEvacuations.cpp).
    void handleEvacuations();
    bool isHostEvacuated(const std::string& host) const;
    void revokeUnstarted();
    void revoke(JobEntry& entry, const ActiveRun& run);
    void sendDecided(const PendingMessage& message);

    // What the sidecars report (JobControllerReports.cpp).
    void resendOrders(const std::string& host);
    void resendLostOrders();
    void resendRun(JobEntry& entry, const ActiveRun& run, const RunReport& report);
    static bool isShown(const ActiveRun& run, const RunReport& report);
    void noteProgress(const std::string& host, const RunReport& report);
    static bool hasStoodOnSeveralHosts(const JobEntry& entry, const TaskKey& task);
    bool isGangThere(const JobEntry& entry, const TaskKey& member, std::uint32_t run) const;
    std::optional<ActiveRun> findRunAt(JobEntry& entry, const TaskKey& key, std::uint32_t run,
                                       const WorkerId& worker);
    std::string_view getReportedIncarnation(const std::string& host) const;
    void stopOrphanedRuns(const WorkerId& worker, const RunReport& report);
    void applyRunEnd(const WorkerId& worker, const EndedEntry& end);
    void takeEffect(JobEntry& entry, const EndEffect& effect);

    // Runs that are lost with their workers (JobControllerLosses.cpp).
    void loseRuns(const std::string& host, const std::string& exceptIncarnation, LossCause cause);
    std::optional<LossCategory> classifyLoss(const JobEntry& entry, const ActiveRun& run,
                                             LossCause cause) const;
    bool neverStarted(const ActiveRun& run) const;
    void classifyCrashes(const std::string& host, const WorkerNotice& notice);
    void classifyCrash(const std::string& host, const WorkerCrash& crash);
    const TaskRun* findTask(const TaskKey& key) const;
    void recordLoss(JobEntry& entry, const TaskKey& key, const RunLoss& loss);
    void settleOpenLosses(const std::string& host, const WorkerNotice& notice);
    void acquit(const std::string& host, const std::string& incarnation);
    void refuteLosses(JobEntry& entry, const TaskKey& key, std::uint32_t run);
    void findOpenLosses();
    void forgetOpenLoss(JobEntry& entry, const TaskKey& key, const RunLoss& loss);
    /** Calls `function(entry, key, loss)` for each open loss of the jobs that are not over. */
    template <typename Function>
    void forEachOpenLoss(Function function);

    // Committing (JobControllerCommits.cpp).
    void commitDirty();
    bool addToTransaction(const std::string& id, JobEntry& entry, StoreTransaction& transaction);
    void handleCommitted(const std::vector<std::string>& ids, const StoreCommit& commit);
    void sendEndsPersisted(const WorkerId& worker);
    void removeFinishedJobs();
    void tick();
    void abandonLeadership(std::string_view why);
    std::function<void()> guarded(std::function<void()> task);

    RecordStore& m_store;
    EventLoop& m_loop;
    ConfigurationFeed& m_configuration;
    const JobControllerSettings m_settings;
    WorkerPool m_workers;
    WorkerHealth m_health;
    CapacityRefusals m_capacityRefusals;
    ProgressTracker m_progress;
    /** By the worker's life: another life may be another machine. */
    HostSpeeds m_speeds;
    UrgentDemand m_demand;
    TicketCache m_advice;
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
    /** Jobs whose run in the store can't be read. */
    std::set<std::string> m_unreadable;
    /** Withdrawals of jobs that are not known yet. */
    std::set<std::string> m_earlyCancels;
    PersistedEnds m_ledger;
    struct HostReport {
        RunReport m_report;
        Millis m_at{0};
    };
    std::map<std::string, HostReport> m_reports;
    Millis m_ordersCheckedAt{0};
    /** What a plan depends on has changed since the last one was made. */
    bool m_isPlanStale = true;
    /** Urgent jobs that waited in the last plan. */
    std::set<std::string, std::less<>> m_urgentWaiting;
    /** Units that the last plan left waiting. */
    std::size_t m_waiting = 0;
    Millis m_plannedAt{0};
    PlanThrottle m_pace;
    TimerId m_planTimer = TimerId::NONE;
    /** What is known of the workers but for what may change at any time; see updateSnapshot(). */
    mutable std::vector<WorkerSnapshot> m_snapshots;
    mutable bool m_areSnapshotsStale = true;
    JobStatistics m_statistics;
    /** TaskPlannerSettings::m_fragmentationWeight as operators set it. */
    std::uint32_t m_weight = 0;
    /** By host. */
    std::map<std::string, WorkerAdminState> m_adminStates;
    /** Failure domains that get nothing by an operator's statement. */
    std::set<std::string, std::less<>> m_statementEvacuations;
    /** Lives whose crash was judged in this term. */
    std::set<std::string> m_judged;
    /** Hosts on which runs were lost that may have crashed them, or not. */
    std::set<std::string> m_openHosts;
    /** Ids of workers that are emptied for upkeep, as the list of machines names them. */
    std::set<std::string, std::less<>> m_leaving;
    bool m_isCommitting = false;
    TimerId m_stepTimer = TimerId::NONE;
    TimerId m_revokeTimer = TimerId::NONE;
    /** Replaced with each term of leadership: callbacks of earlier ones are ignored. */
    std::shared_ptr<bool> m_term;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBCONTROLLER_H
