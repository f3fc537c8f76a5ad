// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_JOBCONTROLLER_H
#define PIERBANK_CONTROL_JOBCONTROLLER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/CertainCommit.h"
#include "pierbank/control/ConfigurationFeed.h"
#include "pierbank/control/EndLedger.h"
#include "pierbank/control/JobTable.h"
#include "pierbank/control/ProgressTracker.h"
#include "pierbank/control/WorkerHealth.h"
#include "pierbank/control/WorkerPool.h"
#include "pierbank/job/TaskPlanner.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

struct JobControllerSettings {
    TaskPlannerSettings m_planner;
    WorkerHealthSettings m_health;
    /** What happens within this time is decided and committed together. */
    Millis m_commitDelay{3};
    /**
     * Time of one waiting watch. A watch that was cut may just stay silent, so this, and not the
     * price of a call, bounds how long the leader can be deaf.
     */
    Millis m_watchWait{800};
    /**
     * On a host where nothing advances, a run is stopped to begin elsewhere at once if it is urgent
     * or loses less than this, and else after `m_stallPatience`: what stands still may go on.
     */
    Millis m_cheapLoss{2500};
    Millis m_stallPatience{8000};
    /** How long the state of a job that is over is kept (users' bound, and more). */
    Millis m_keepOver{180'000};
};

/**
 * The leader's work: it knows all jobs, decides what runs where, and tells the sidecars. Each
 * decision changes the job in memory, goes to the store in a transaction that expects the leader
 * key's revision, and only when that is known to have taken effect do orders go out and ends count
 * as kept. A leader that was replaced can commit nothing.
 */
class JobController final : public WorkerPoolListener {
public:
    /** The references must outlive the controller. */
    JobController(RecordStore& store, EventLoop& loop, ConfigurationFeed& configuration,
                  Transport& transport, WorkerPoolSettings workers, JobControllerSettings settings);
    ~JobController() override;
    JobController(const JobController&) = delete;
    JobController& operator=(const JobController&) = delete;

    /** Called when another leader turns out to have written, or the state can't be trusted. */
    void onDisowned(std::function<void()> callback) { m_onDisowned = std::move(callback); }

    using RelayHandler =
            std::function<void(const ForwardRequest&, std::function<void(const ForwardAnswer&)>)>;
    /** Called with requests that other gateways could not answer themselves. */
    void onRelayed(RelayHandler handler) { m_onRelayed = std::move(handler); }

    /** Leads from now on. @param getConfirmedAt when the leadership was last confirmed. */
    void lead(StoreRevision epoch, std::function<Millis()> getConfirmedAt);
    void stepDown();
    bool isLeading() const noexcept { return m_isLeading; }
    /** The configuration changed. */
    void handleConfiguration() { stepSoon(); }

    const JobTable& getJobs() const noexcept { return m_jobs; }
    const WorkerPool& getWorkers() const noexcept { return m_workers; }
    /** Why the last plan left a job where it is; empty when it said nothing of it. */
    std::string getNote(const std::string& job) const;

    void handleWorkerChanged(const std::string& host) override;
    void handleRunReport(const std::string& host, const RunReport& report) override;
    void handleRunAbsent(const std::string& host, const RunAbsent& absent) override;
    void handleHostLost(const std::string& host) override;
    void handleInputNotice(const std::string& key) override;
    void handleRelayed(const std::string& host, const ForwardRequest& request) override;

private:
    // Loading and watching what lies in the store.
    void load();
    void loadRuns(const StoreList& input);
    void watch();
    void relist();
    void handleInput(const StoreItem& item);
    void addJob(const StoreItem& item);
    void addRun(const StoreItem& item);
    void askCancel(const std::string& id);

    // Deciding.
    void stepSoon();
    void step();
    void applyCancels();
    void addOccurrences();
    void plan();
    std::vector<WorkerView> viewWorkers() const;
    void place(const Placement& placement, std::uint32_t run);
    void preempt(const Preemption& preemption);
    void stopTasks(JobEntry& entry, const std::vector<TaskKey>& tasks);
    void resendOrders(const std::string& host);
    void resendTask(const JobEntry& entry, const TaskKey& key, const TaskRun& task,
                    const RunReport& report);
    RunOrder makeOrder(const JobEntry& entry, const TaskKey& key, const TaskRun& task) const;
    void loseTasks(const std::string& host, const std::string& exceptLife, std::string_view why);
    void noteProgress(const std::string& host, const RunReport& report);
    bool mustMove(const JobEntry& entry, const TaskKey& key, const TaskRun& task) const;
    void moveStalled();
    std::map<TaskKey, Millis> estimateRemaining() const;
    void applyRunEnd(const WorkerId& worker, const EndedEntry& end);
    void takeEffect(JobEntry& entry, const EndEffect& effect);

    // Committing.
    void commitDirty();
    bool addToTransaction(const std::string& id, JobEntry& entry, StoreTransaction& transaction);
    void handleCommitted(const std::vector<std::string>& ids, const StoreCommit& commit);
    void sendKept(const WorkerId& worker);
    void forgetOver();
    void tick();
    void disown(std::string_view why);
    std::function<void()> guarded(std::function<void()> task);

    RecordStore& m_store;
    EventLoop& m_loop;
    ConfigurationFeed& m_configuration;
    const JobControllerSettings m_settings;
    WorkerPool m_workers;
    TaskPlanner m_planner;
    WorkerHealth m_health;
    ProgressTracker m_progress;
    std::function<void()> m_onDisowned;
    RelayHandler m_onRelayed;

    bool m_isLeading = false;
    bool m_isLoaded = false;
    StoreRevision m_epoch = 0;
    StoreRevision m_watchedTo = 0;
    JobTable m_jobs;
    /** Withdrawals of jobs that are not known yet. */
    std::set<std::string> m_earlyCancels;
    EndLedger m_ledger;
    std::map<std::string, RunReport> m_reports;
    std::map<std::string, std::string> m_notes;
    bool m_isCommitting = false;
    TimerId m_stepTimer = TimerId::NONE;
    /** Replaced with each term of leadership: callbacks of earlier ones are ignored. */
    std::shared_ptr<bool> m_term;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBCONTROLLER_H
