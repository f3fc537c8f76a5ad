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

/** How often due occurrences and pauses that are over are looked for. */
constexpr Millis TICK{100};

}  // namespace

JobController::JobController(RecordStore& store, EventLoop& loop, ConfigurationFeed& configuration,
                             Transport& transport, Advisor& advisor, WorkerPoolSettings workers,
                             JobControllerSettings settings)
        : m_store(store),
          m_loop(loop),
          m_configuration(configuration),
          m_settings(settings),
          m_workers(transport, loop, *this, std::move(workers)),
          m_health(m_settings.m_health),
          m_demand(m_settings.m_demand),
          m_advice(loop, advisor),
          m_evacuations(store, loop, m_settings.m_evacuations),
          m_weight(m_settings.m_planner.m_fragmentationWeight) {
    m_advice.onTicketsChanged([this] { stepSoon(); });
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
    m_ledger.clear();
    m_reports.clear();
    m_isPlanStale = true;
    m_areSnapshotsStale = true;
    m_waiting = 0;
    m_urgentWaiting.clear();
    m_earlyCancels.clear();
    m_health.clear();
    m_capacityRefusals.clear();
    m_demand.clear();
    m_progress.clear();
    m_speeds.clear();
    m_advice.clear();
    m_adminStates.clear();
    m_unreadable.clear();
    m_judged.clear();
    m_openHosts.clear();
    m_leaving.clear();
}

void JobController::abandonLeadership(std::string_view why) {
    logEvent(Severity::WARNING, "jobs", "disowned",
             {{"epoch", std::to_string(m_epoch)}, {"reason", std::string(why)}});
    stepDown();
    m_onLeadershipLost();
}

std::string JobController::getNote(const std::string& job) const {
    std::vector<AdvisedWorkers> advised;
    std::string text;
    for (const PlanExplanation& note : makePlan(listJobs(advised), true).m_explanations) {
        if (note.m_job == job) {
            text = note.m_text;
        }
    }
    return text;
}

// Deciding.

void JobController::stepSoon() {
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

void JobController::step() {
    if (m_isCommitting) {
        return;
    }
    applyCancels();
    addOccurrences();
    if (isPlanDue()) {
        moveStalled();
        plan();
    } else if (m_isPlanStale) {
        planLater();
    }
    commitDirty();
}

void JobController::planLater() {
    const Millis wait = m_pace.getNextAt() - m_loop.now();
    if (wait <= Millis(0) || m_planTimer != TimerId::NONE) {
        return;
    }
    m_planTimer = m_loop.callLater(wait, guarded([this] {
                                       m_planTimer = TimerId::NONE;
                                       scheduleStep();
                                   }));
}

/** Not before the evacuations are known: a plan made without would place work there. */
bool JobController::isPlanDue() const {
    if (!m_evacuations.isCertain() || m_loop.now() < m_pace.getNextAt()) {
        return false;
    }
    const Millis interval =
            m_waiting > 0 ? m_settings.m_planInterval : m_settings.m_idlePlanInterval;
    return m_isPlanStale || m_loop.now() - m_plannedAt >= interval;
}

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
        stopRuns(entry, runs);
    }
}

void JobController::addOccurrences() {
    for (auto& [id, entry] : m_jobs) {
        if (addDueOccurrences(entry.m_record, entry.m_run, m_loop.wallNow())) {
            entry.m_isDirty = true;
            m_isPlanStale = true;
        }
    }
}

void JobController::plan() {
    requestTickets();
    std::vector<AdvisedWorkers> advised;
    const Millis begunAt = m_loop.now();
    const TaskPlan plan = makePlan(listJobs(advised), false);
    m_isPlanStale = false;
    m_waiting = plan.m_waiting;
    m_plannedAt = m_loop.now();
    m_pace.recordPlan(begunAt, m_plannedAt);
    notePlanTime(m_plannedAt - begunAt, plan);
    noteUrgentWaits(plan);
    place(plan.m_placements);
    for (const Placement& copy : plan.m_copies) {
        placeCopy(copy);
    }
    for (const Stop& one : plan.m_stops) {
        stop(one);
    }
}

void JobController::notePlanTime(Millis took, const TaskPlan& plan) {
    ++m_statistics.m_plans;
    m_statistics.m_planTime.add(took);
    if (took <= m_settings.m_slowPlan) {
        return;
    }
    logEvent(Severity::WARNING, "jobs", "slow-plan",
             {{"took_ms", std::to_string(took.count())},
              {"jobs", std::to_string(m_jobs.size())},
              {"workers", std::to_string(m_snapshots.size())},
              {"placed", std::to_string(plan.m_placements.size())},
              {"stopped", std::to_string(plan.m_stops.size())},
              {"waiting", std::to_string(plan.m_waiting)}});
}

/** One line each time that an urgent job begins to wait, or for something else. */
void JobController::noteUrgentWaits(const TaskPlan& plan) {
    std::set<std::string, std::less<>> waiting;
    for (const UrgentWait& wait : plan.m_urgentWaits) {
        waiting.emplace(wait.m_job);
        JobEntry& entry = m_jobs.find(wait.m_job)->second;
        if (std::exchange(entry.m_waitsFor, wait.m_cause) == wait.m_cause) {
            continue;
        }
        logEvent(Severity::INFO, "jobs", "waits",
                 {{"job", std::string(wait.m_job)},
                  {"for", std::string(toText(wait.m_cause))},
                  {"guaranteed", wait.m_isGuaranteed ? "yes" : "no"},
                  {"loss_core_s", std::to_string(std::lround(wait.m_loss))},
                  {"age_ms",
                   std::to_string((m_loop.wallNow() - entry.m_record.m_acceptedAt).count())}});
    }
    for (const std::string& id : m_urgentWaiting) {
        const auto found = m_jobs.find(id);
        if (waiting.count(id) == 0 && found != m_jobs.end()) {
            found->second.m_waitsFor.reset();
        }
    }
    m_urgentWaiting = std::move(waiting);
}

// Workers that are emptied.

std::string_view toText(WorkerAdminState hold) {
    switch (hold) {
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

/** @return null when no host that is known has a worker of this id. */
const std::string* JobController::findHostOf(std::string_view worker) const {
    const auto& views = getWorkerSnapshots();
    const auto found = std::find_if(views.begin(), views.end(), [&](const WorkerSnapshot& view) {
        return getWorkerIdOf(view.m_id.m_incarnation) == worker;
    });
    return found == views.end() ? nullptr : &found->m_id.m_host;
}

WorkerLoad JobController::getLoad(const std::string& worker) const {
    WorkerLoad load = WorkerLoad::IDLE;
    const std::string* const host = findHostOf(worker);
    if (host == nullptr) {
        return load;
    }
    for (const auto& [id, entry] : m_jobs) {
        for (const ActiveRun& run : listActiveRunsOn(*host, id, entry.m_run)) {
            if (getWorkerIdOf(run.m_worker.m_incarnation) != worker || !entry.m_hasInput) {
                continue;
            }
            const bool isHeld =
                    entry.m_record.m_spec.m_steps[run.m_task.m_step].m_maxUnavailable > 0;
            load = std::max(load, isHeld ? WorkerLoad::HELD : WorkerLoad::BUSY);
        }
    }
    return load;
}

void JobController::setLeaving(std::set<std::string, std::less<>> workers) {
    if (m_leaving != workers) {
        m_leaving = std::move(workers);
        stepSoon();
    }
}

bool JobController::isLeaving(std::string_view incarnation) const {
    return !m_leaving.empty() && m_leaving.count(getWorkerIdOf(incarnation)) != 0;
}

void JobController::tick() {
    removeFinishedJobs();
    resendLostOrders();
    scheduleStep();
    m_loop.callLater(TICK, guarded([this] { tick(); }));
}

}  // namespace pierbank
