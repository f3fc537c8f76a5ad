// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/JobController.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/job/JobCodec.h"
#include "pierbank/job/WorkerIncarnation.h"

namespace pierbank {

namespace {

/** Interval at which a step is scheduled for due occurrences and ended delays. */
constexpr Millis TICK_INTERVAL{100};

}  // namespace

JobController::JobController(RecordStore& store, EventLoop& loop, ConfigurationFeed& configuration,
                             Transport& transport, Advisor& advisor, WorkerPoolSettings workers,
                             JobControllerSettings settings)
        : m_store(store),
          m_loop(loop),
          m_configuration(configuration),
          m_settings(settings),
          m_workers(transport, loop, *this, std::move(workers)),
          m_learned(m_settings.m_learned),
          m_handover(loop, m_workers, m_learned, m_persistedEnds, m_settings.m_keepsLearned),
          m_ticketCache(loop, advisor),
          m_evacuations(store, loop, m_settings.m_evacuations),
          m_currentFragmentationWeight(m_settings.m_planner.m_fragmentationWeight) {
    m_ticketCache.onTicketsChanged([this] { invalidatePlan(); });
    m_evacuations.onChange([this] { handleEvacuations(); });
}

JobController::~JobController() = default;

std::function<void()> JobController::guarded(std::function<void()> task) {
    return [term = std::weak_ptr(m_term), task = std::move(task)] {
        if (!term.expired()) {
            task();
        }
    };
}

void JobController::lead(StoreRevision epoch, std::function<Millis()> getConfirmedAt) {
    stepDown();
    m_isLeading = true;
    m_epoch = epoch;
    m_handover.start(epoch);
    m_term = std::make_shared<bool>(true);
    m_getConfirmedAt = getConfirmedAt;
    m_workers.start(epoch, std::move(getConfirmedAt));
    m_evacuations.start();
    load();
}

void JobController::stepDown() {
    m_term.reset();
    m_isLeading = false;
    m_isLoaded = false;
    m_isCommitting = false;
    m_loop.cancel(std::exchange(m_stepTimer, TimerId::NONE));
    m_loop.cancel(std::exchange(m_revokeTimer, TimerId::NONE));
    m_loop.cancel(std::exchange(m_planTimer, TimerId::NONE));
    m_evacuations.stop();
    m_statementEvacuations.clear();
    m_workers.stop();
    m_jobs.clear();
    m_persistedEnds.clear();
    m_reports.clear();
    m_isPlanStale = true;
    m_areSnapshotsStale = true;
    m_waitingUnits = 0;
    m_waitingUrgentJobs.clear();
    m_reservationLog.clear();
    m_idleJobLog.clear();
    m_earlyCancels.clear();
    m_storedEarlyCancels.clear();
    m_learned.clear();
    m_handover.stop();
    m_capacityRefusals.clear();
    m_workerRefusals.clear();
    m_progress.clear();
    m_ticketCache.clear();
    m_adminStates.clear();
    m_decisionRevisions.clear();
    m_unreadableJobs.clear();
    m_classifiedIncarnations.clear();
    m_hostsWithUnresolvedLosses.clear();
    m_leavingWorkers.clear();
}

/** Ends the term and invokes the callback of onLeadershipLost(). */
void JobController::abandonLeadership(std::string_view reason) {
    logEvent(Severity::WARNING, "jobs", "disowned",
             {{"epoch", std::to_string(m_epoch)}, {"reason", std::string(reason)}});
    stepDown();
    m_onLeadershipLost();
}

std::string JobController::getExplanation(const std::string& job) const {
    std::vector<AdvisedWorkers> advisedWorkers;
    std::string text;
    for (const PlanExplanation& explanation :
         makePlan(listJobs(advisedWorkers), true).m_explanations) {
        if (explanation.m_job == job) {
            text = explanation.m_text;
        }
    }
    return text;
}

// Scheduling and running steps.

void JobController::invalidatePlan() {
    m_isPlanStale = true;
    scheduleStep();
}

void JobController::scheduleStep() {
    if (!m_isLoaded || m_stepTimer != TimerId::NONE) {
        return;
    }
    m_stepTimer = m_loop.callLater(m_settings.m_commitDelay, guarded([this] {
                                       m_stepTimer = TimerId::NONE;
                                       step();
                                   }));
}

/**
 * Applies cancels and due occurrences, plans if a plan is due, and commits. While a transaction is
 * pending, handleCommitted() runs the step instead.
 */
void JobController::step() {
    if (m_isCommitting) {
        return;
    }
    applyCancels();
    addOccurrences();
    if (isPlanDue()) {
        stopStalledRuns();
        plan();
    } else if (m_isPlanStale) {
        schedulePlan();
    }
    commitDirty();
}

/** Schedules a step for when the plan throttle permits the next plan. */
void JobController::schedulePlan() {
    const Millis wait = m_planThrottle.getNextAt() - m_loop.now();
    if (wait <= Millis(0) || m_planTimer != TimerId::NONE) {
        return;
    }
    m_planTimer = m_loop.callLater(wait, guarded([this] {
                                       m_planTimer = TimerId::NONE;
                                       scheduleStep();
                                   }));
}

/**
 * Returns false without a recent list of evacuations, since the plan could place work in evacuated
 * failure domains.
 */
bool JobController::isPlanDue() const {
    if (!m_evacuations.isUpToDate() || m_loop.now() < m_planThrottle.getNextAt()) {
        return false;
    }
    const Millis interval =
            m_waitingUnits > 0 ? m_settings.m_planInterval : m_settings.m_idlePlanInterval;
    return m_isPlanStale || m_loop.now() - m_plannedAt >= interval;
}

/**
 * Cancels the unfinished jobs for which a cancel was requested, and queues the stops of their runs.
 */
void JobController::applyCancels() {
    for (auto& [id, entry] : m_jobs) {
        if (!entry.m_isCancelRequested || entry.m_run.isFinished()) {
            continue;
        }
        const std::vector<ActiveRun> runs = applyCancel(id, entry.m_run, m_loop.wallNow());
        entry.m_isDirty = true;
        m_isPlanStale = true;
        logEvent(Severity::INFO, "jobs", "withdrawn",
                 {{"job", id}, {"running_tasks", std::to_string(runs.size())}});
        recordConsequentStops(entry, runs);
        queueStops(entry, runs);
    }
}

/** Adds the due occurrences of timed jobs. */
void JobController::addOccurrences() {
    for (auto& [id, entry] : m_jobs) {
        if (addDueOccurrences(entry.m_record, entry.m_run, m_loop.wallNow())) {
            entry.m_isDirty = true;
            m_isPlanStale = true;
        }
    }
}

/** Makes a plan and applies its placements, speculative copies and stops. */
void JobController::plan() {
    requestTickets();
    std::vector<AdvisedWorkers> advisedWorkers;
    const Millis startedAt = m_loop.now();
    for (auto& [id, entry] : m_jobs) {
        entry.updateIdleTime(m_loop.wallNow());
    }
    const TaskPlan plan = makePlan(listJobs(advisedWorkers), false);
    m_isPlanStale = false;
    m_waitingUnits = plan.m_waitingUnits;
    m_plannedAt = m_loop.now();
    m_planThrottle.recordPlan(startedAt, m_plannedAt);
    recordPlanTime(m_plannedAt - startedAt, plan);
    logUrgentWaits(plan);
    m_reservationLog.update(plan, m_plannedAt);
    m_idleJobLog.update(plan, m_plannedAt);
    place(plan.m_placements);
    for (const Placement& copy : plan.m_copies) {
        placeSpeculativeCopy(copy);
    }
    for (const Stop& plannedStop : plan.m_stops) {
        stop(plannedStop);
    }
}

void JobController::recordPlanTime(Millis duration, const TaskPlan& plan) {
    ++m_statistics.m_plans;
    m_statistics.m_planTime.add(duration);
    m_statistics.m_fragmentation = plan.m_fragmentation;
    if (duration <= m_settings.m_slowPlanThreshold) {
        return;
    }
    logEvent(Severity::WARNING, "jobs", "slow-plan",
             {{"took_ms", std::to_string(duration.count())},
              {"jobs", std::to_string(m_jobs.size())},
              {"workers", std::to_string(m_snapshots.size())},
              {"placed", std::to_string(plan.m_placements.size())},
              {"stopped", std::to_string(plan.m_stops.size())},
              {"waiting", std::to_string(plan.m_waitingUnits)}});
}

/** Logs when an urgent job starts to wait and when the cause of its wait changes. */
void JobController::logUrgentWaits(const TaskPlan& plan) {
    std::set<std::string, std::less<>> waiting;
    for (const UrgentWait& wait : plan.m_urgentWaits) {
        waiting.emplace(wait.m_job);
        JobEntry& entry = m_jobs.find(wait.m_job)->second;
        if (std::exchange(entry.m_waitCause, wait.m_cause) == wait.m_cause) {
            continue;
        }
        logEvent(Severity::INFO, "jobs", "waits",
                 {{"job", std::string(wait.m_job)},
                  {"for", std::string(toText(wait.m_cause))},
                  {"guaranteed", wait.m_isGuaranteed ? "yes" : "no"},
                  {"forecast", std::string(toText(wait.m_outlook))},
                  {"loss_core_s", std::to_string(std::lround(wait.m_wastedWork))},
                  {"age_ms",
                   std::to_string((m_loop.wallNow() - entry.m_record.m_acceptedAt).count())}});
    }
    for (const std::string& id : m_waitingUrgentJobs) {
        const auto found = m_jobs.find(id);
        if (waiting.count(id) == 0 && found != m_jobs.end()) {
            found->second.m_waitCause.reset();
        }
    }
    m_waitingUrgentJobs = std::move(waiting);
}

// Workers that are drained or quarantined.

std::string_view toText(WorkerAdminState state) {
    switch (state) {
        case WorkerAdminState::RELEASE:
            return "release";
        case WorkerAdminState::QUARANTINE:
            return "quarantine";
        case WorkerAdminState::DRAIN:
            break;
    }
    return "drain";
}

WorkerAdminState JobController::getAdminState(const std::string& host) const {
    const auto found = m_adminStates.find(host);
    return found == m_adminStates.end() ? WorkerAdminState::RELEASE : found->second;
}

/** @return the host of the worker with this id, or null if no known host has it. */
const std::string* JobController::findHostOf(std::string_view worker) const {
    const auto& snapshots = getWorkerSnapshots();
    const auto found =
            std::find_if(snapshots.begin(), snapshots.end(), [&](const WorkerSnapshot& snapshot) {
                return parseWorkerId(snapshot.m_id.m_incarnation) == worker;
            });
    return found == snapshots.end() ? nullptr : &found->m_id.m_host;
}

WorkerLoad JobController::getLoad(const std::string& worker) const {
    WorkerLoad load = WorkerLoad::IDLE;
    const std::string* const host = findHostOf(worker);
    if (host == nullptr) {
        return load;
    }
    for (const auto& [id, entry] : m_jobs) {
        for (const ActiveRun& run : listActiveRunsOn(*host, id, entry.m_run)) {
            if (parseWorkerId(run.m_worker.m_incarnation) != worker || !entry.m_hasInput) {
                continue;
            }
            const bool isUninterruptible =
                    entry.m_record.m_spec.m_steps[run.m_task.m_step].m_maxUnavailable > 0;
            load = std::max(load,
                            isUninterruptible ? WorkerLoad::UNINTERRUPTIBLE : WorkerLoad::BUSY);
        }
    }
    return load;
}

void JobController::setLeavingWorkers(std::set<std::string, std::less<>> workers) {
    if (m_leavingWorkers != workers) {
        m_leavingWorkers = std::move(workers);
        invalidatePlan();
    }
}

/** Returns whether an incarnation's worker is drained for upkeep. */
bool JobController::isLeaving(std::string_view incarnation) const {
    return !m_leavingWorkers.empty() && m_leavingWorkers.count(parseWorkerId(incarnation)) != 0;
}

/** Performs the periodic work; the scheduled step also adds the due occurrences. */
void JobController::tick() {
    removeFinishedJobs();
    removeOldEarlyCancels();
    resendLostOrders();
    m_handover.tick();
    scheduleStep();
    m_loop.callLater(TICK_INTERVAL, guarded([this] { tick(); }));
}

}  // namespace pierbank
