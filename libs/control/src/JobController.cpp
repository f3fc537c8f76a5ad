// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/JobController.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/job/JobCodec.h"

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
          m_weight(m_settings.m_planner.m_fragmentationWeight) {
    m_advice.onNews([this] { stepSoon(); });
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
    m_workers.start(epoch, std::move(getConfirmedAt));
    load();
}

void JobController::stepDown() {
    m_term.reset();
    m_isLeading = false;
    m_isLoaded = false;
    m_isCommitting = false;
    m_loop.cancel(std::exchange(m_stepTimer, TimerId::NONE));
    m_workers.stop();
    m_jobs.clear();
    m_ledger.clear();
    m_reports.clear();
    m_notes.clear();
    m_earlyCancels.clear();
    m_health.clear();
    m_demand.clear();
    m_progress.clear();
    m_advice.clear();
    m_holds.clear();
    m_leavingLives.clear();
}

void JobController::disown(std::string_view why) {
    logEvent(Severity::WARNING, "jobs", "disowned",
             {{"epoch", std::to_string(m_epoch)}, {"reason", std::string(why)}});
    stepDown();
    m_onDisowned();
}

std::string JobController::getNote(const std::string& job) const {
    const auto found = m_notes.find(job);
    return found == m_notes.end() ? std::string() : found->second;
}

// Deciding.

void JobController::stepSoon() {
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
    moveStalled();
    plan();
    commitDirty();
}

void JobController::applyCancels() {
    for (auto& [id, entry] : m_jobs) {
        if (!entry.m_isCancelAsked || entry.m_run.isOver()) {
            continue;
        }
        const std::vector<HeldRun> runs = applyCancel(id, entry.m_run, m_loop.wallNow());
        entry.m_isDirty = true;
        logEvent(Severity::INFO, "jobs", "withdrawn",
                 {{"job", id}, {"running_tasks", std::to_string(runs.size())}});
        stopRuns(entry, runs);
    }
}

void JobController::addOccurrences() {
    for (auto& [id, entry] : m_jobs) {
        if (addDueOccurrences(entry.m_record, entry.m_run, m_loop.wallNow())) {
            entry.m_isDirty = true;
        }
    }
}

std::vector<WorkerView> JobController::viewWorkers() const {
    std::vector<WorkerView> views;
    for (const auto& [address, host] : m_workers.getHosts()) {
        if (!host.m_notice.has_value() || host.m_notice->m_life.empty()) {
            continue;
        }
        const WorkerNotice& notice = *host.m_notice;
        WorkerView view;
        view.m_id = {address, notice.m_life};
        view.m_service = notice.m_service;
        view.m_failureDomain = notice.m_failureDomain;
        view.m_rack = notice.m_rack;
        view.m_labels.insert(notice.m_labels.begin(), notice.m_labels.end());
        view.m_capacity = {notice.m_cpuMillis, notice.m_memoryMb, notice.m_accelerators};
        const bool isEmptied =
                m_leavingLives.count(notice.m_life) != 0 || getHold(address) == WorkerHold::DRAIN;
        if (notice.m_isDraining) {
            const Millis passed = m_loop.now() - host.m_noticeAt;
            view.m_leavesIn = std::max(Millis(notice.m_remainingMs) - passed, Millis(0));
        } else if (isEmptied) {
            view.m_leavesIn = Millis(0);
        }
        view.m_acceptsWork = host.isLinked() && host.m_hasReport && !notice.m_isGone &&
                             !host.m_isWorkerSilent && !view.m_leavesIn.has_value() &&
                             getHold(address) == WorkerHold::RELEASE && !isAvoided(address) &&
                             !isStalled(address);
        view.m_isSuspect = m_settings.m_judgesHosts && m_health.isSuspect(address, m_loop.now());
        views.push_back(std::move(view));
    }
    return views;
}

/** @param advised holds what the result points to. */
std::vector<PlannedJob> JobController::listJobs(std::vector<AdvisedWorkers>& advised) const {
    std::vector<PlannedJob> jobs;
    advised.reserve(m_jobs.size());
    for (const auto& [id, entry] : m_jobs) {
        if (!entry.m_hasInput) {
            continue;
        }
        PlannedJob job{&entry.m_record, &entry.m_run, nullptr};
        if (entry.m_record.m_policy.m_advice.has_value()) {
            advised.push_back(m_advice.getAdvised(id));
            job.m_advised = &advised.back();
        }
        jobs.push_back(job);
    }
    return jobs;
}

namespace {

const std::map<std::string, std::uint32_t>& getGuarantees(const ConfigurationFeed& feed) {
    static const std::map<std::string, std::uint32_t> NONE;
    return feed.get() == nullptr ? NONE : feed.get()->m_guarantees;
}

}  // namespace

TaskPlanner JobController::makePlanner() const {
    TaskPlannerSettings settings = m_settings.m_planner;
    settings.m_fragmentationWeight = m_weight;
    for (const auto& [address, host] : m_workers.getHosts()) {
        if (m_settings.m_keepsRoom && host.m_notice.has_value()) {
            const std::string& service = host.m_notice->m_service;
            settings.m_urgentReserve[service] = m_demand.getReserve(service, m_loop.wallNow());
        }
    }
    return TaskPlanner(settings);
}

void JobController::plan() {
    wishForAdvice();
    std::vector<AdvisedWorkers> advised;
    const TaskPlan plan = makePlanner().plan(viewWorkers(), listJobs(advised), estimateRemaining(),
                                             getGuarantees(m_configuration), m_loop.wallNow());
    m_notes.clear();
    for (const PlanNote& note : plan.m_notes) {
        m_notes[note.m_job] = note.m_text;
    }
    place(plan.m_placements);
    for (const Placement& copy : plan.m_copies) {
        placeCopy(copy);
    }
    for (const Stop& one : plan.m_stops) {
        stop(one);
    }
}

TaskPlan JobController::tryPlan(const JobRecord& record) const {
    std::vector<AdvisedWorkers> advised;
    std::vector<PlannedJob> jobs = listJobs(advised);
    const JobRun run = makeJobRun(record);
    jobs.push_back({&record, &run, nullptr});
    return makePlanner().plan(viewWorkers(), jobs, estimateRemaining(),
                              getGuarantees(m_configuration), m_loop.wallNow());
}

/** For all steps that are not done, so that tickets are there before room is. */
void JobController::wishForAdvice() {
    std::vector<AdviceWish> wishes;
    std::vector<WorkerView> workers;
    for (const auto& [id, entry] : m_jobs) {
        const QueuePolicy& policy = entry.m_record.m_policy;
        if (!entry.m_hasInput || entry.m_run.isOver() || !policy.m_advice.has_value()) {
            continue;
        }
        if (workers.empty()) {
            workers = viewWorkers();
        }
        for (const OccurrenceRun& occurrence : entry.m_run.m_occurrences) {
            for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
                if (occurrence.m_steps[step].isDone()) {
                    continue;
                }
                AdviceWish wish{
                        {id, occurrence.m_number, step}, policy.m_priority, *policy.m_advice, {}};
                const StepSpec& spec = entry.m_record.m_spec.m_steps[step];
                for (const WorkerView& worker : workers) {
                    const bool hasLabel = spec.m_requiredLabel.empty() ||
                                          worker.m_labels.count(spec.m_requiredLabel) != 0;
                    if (worker.m_acceptsWork && worker.m_service == policy.m_service && hasLabel) {
                        wish.m_lives.push_back(worker.m_id.m_life);
                    }
                }
                wishes.push_back(std::move(wish));
            }
        }
    }
    m_advice.wish(wishes);
}

void JobController::place(const std::vector<Placement>& placements) {
    // Members of one gang share the number of their run.
    std::map<TaskKey, std::uint32_t> gangRuns;
    for (const Placement& placement : placements) {
        const TaskKey& key = placement.m_task;
        JobEntry& entry = m_jobs.find(key.m_job)->second;
        std::uint32_t run = getNextRun(entry.m_record, entry.m_run, key);
        if (entry.m_record.m_spec.m_steps[key.m_step].m_isGang) {
            TaskKey gang = key;
            gang.m_index = 0;
            run = gangRuns.try_emplace(gang, run).first->second;
        }
        if (!entry.m_run.m_hasBegun && !entry.m_run.m_isTimed) {
            m_figures.m_untilPlaced.add(m_loop.wallNow() - entry.m_record.m_acceptedAt);
        }
        applyPlacement(entry.m_run, key, run, placement.m_worker, m_loop.wallNow());
        sendOrder(entry, *entry.m_run.findHeldRun(key, run));
    }
}

void JobController::placeCopy(const Placement& placement) {
    JobEntry& entry = m_jobs.find(placement.m_task.m_job)->second;
    const std::uint32_t run =
            applyCopy(entry.m_run, placement.m_task, placement.m_worker, m_loop.wallNow());
    sendOrder(entry, *entry.m_run.findHeldRun(placement.m_task, run));
}

/** The order goes out when the job's change is committed. */
void JobController::sendOrder(JobEntry& entry, const HeldRun& run) {
    entry.m_isDirty = true;
    ++(run.m_isCopy ? m_figures.m_copied : m_figures.m_placed);
    entry.m_messages.push_back({run.m_worker.m_host, makeOrder(entry, run)});
    logEvent(Severity::INFO, "jobs", run.m_isCopy ? "copied" : "placed",
             {{"task", run.m_task.toText()},
              {"run", std::to_string(run.m_run)},
              {"host", run.m_worker.m_host},
              {"life", run.m_worker.m_life},
              {"waited_ms",
               std::to_string((m_loop.wallNow() - entry.m_record.m_acceptedAt).count())}});
}

RunOrder JobController::makeOrder(const JobEntry& entry, const HeldRun& run) const {
    const TaskKey& key = run.m_task;
    const StepSpec& step = entry.m_record.m_spec.m_steps[key.m_step];
    RunOrder order;
    order.m_epoch = m_epoch;
    order.m_life = run.m_worker.m_life;
    order.m_task = key.toText();
    order.m_run = run.m_run;
    order.m_payload = entry.m_record.m_spec.m_payload;
    order.m_checkpoint = entry.m_run.findTask(key)->m_checkpoint;
    order.m_ticket =
            m_advice.getTicket({key.m_job, key.m_occurrence, key.m_step}, run.m_worker.m_life);
    order.m_targetTailMs = static_cast<std::uint64_t>(step.m_targetTail.count());
    order.m_isFilling = step.m_isFilling;
    return order;
}

namespace {

/** Cores that a task takes, accelerators included, rounded; for the log. */
long getWeight(const JobRecord& record, const TaskKey& task) {
    return std::lround(getCores(record.m_spec.m_steps[task.m_step].m_need));
}

}  // namespace

void JobController::stop(const Stop& stop) {
    JobEntry& entry = m_jobs.find(stop.m_task.m_job)->second;
    const auto held = entry.m_run.findHeldRun(stop.m_task, stop.m_run);
    if (!held.has_value() || held->m_isStopping) {
        return;
    }
    markStopping(entry.m_run, *held);
    ++m_figures.m_stopped;
    entry.m_run.explain(stop.m_why, m_loop.wallNow());
    logEvent(Severity::INFO, "jobs", "stopped",
             {{"task", stop.m_task.toText()},
              {"run", std::to_string(stop.m_run)},
              {"host", held->m_worker.m_host},
              {"ran_ms", std::to_string((m_loop.wallNow() - held->m_placedAt).count())},
              {"cores", std::to_string(getWeight(entry.m_record, stop.m_task))},
              {"why", stop.m_why}});
    stopRuns(entry, {*held});
}

/** The runs are marked as stopping already. */
void JobController::stopRuns(JobEntry& entry, const std::vector<HeldRun>& runs) {
    for (const HeldRun& run : runs) {
        entry.m_isDirty = true;
        entry.m_messages.push_back({run.m_worker.m_host, RunStop{m_epoch, run.m_worker.m_life,
                                                                 run.m_task.toText(), run.m_run}});
    }
}

bool JobController::isAvoided(const std::string& host) const {
    return m_settings.m_judgesHosts && m_health.isAvoided(host, m_loop.now());
}

bool JobController::isStalled(const std::string& host) const {
    return m_settings.m_seesStalls && m_progress.isStalled(host);
}

bool JobController::mustMove(const JobEntry& entry, const HeldRun& run) const {
    const std::string& host = run.m_worker.m_host;
    if (run.m_isStopping || run.m_isCopy || !isStalled(host)) {
        return false;
    }
    const Millis still = m_progress.getStalledTime(host, run.m_task);
    const Millis ran = m_loop.wallNow() - run.m_placedAt - still;
    const bool isCheap = entry.m_record.m_policy.m_priority == 0 ||
                         entry.m_record.m_spec.m_steps[run.m_task.m_step].m_savesProgress ||
                         ran < m_settings.m_cheapLoss;
    return still >= ProgressTracker::STALLED_AFTER &&
           (isCheap || still >= m_settings.m_stallPatience);
}

/** Runs on hosts where nothing advances are stopped, so that they begin elsewhere. */
void JobController::moveStalled() {
    for (auto& [id, entry] : m_jobs) {
        for (const HeldRun& run : listHeldRuns(id, entry.m_run)) {
            if (!mustMove(entry, run)) {
                continue;
            }
            entry.m_run.findTask(run.m_task)->m_failedHosts.add(run.m_worker.m_host);
            stop({run.m_task, run.m_run, "nothing advances on " + run.m_worker.m_host});
        }
    }
}

std::map<TaskKey, Millis> JobController::estimateRemaining() const {
    std::map<TaskKey, Millis> remaining;
    for (const auto& [host, report] : m_reports) {
        for (const RunningEntry& entry : report.m_report.m_running) {
            const auto key = TaskKey::parse(entry.m_task);
            const auto left = key.has_value() ? m_progress.getRemaining(host, *key, m_loop.now())
                                              : std::nullopt;
            if (left.has_value()) {
                remaining[*key] = *left;
            }
        }
    }
    return remaining;
}

// Workers that are emptied.

std::string_view toText(WorkerHold hold) {
    switch (hold) {
        case WorkerHold::RELEASE:
            return "release";
        case WorkerHold::QUARANTINE:
            return "quarantine";
        case WorkerHold::DRAIN:
            break;
    }
    return "drain";
}

WorkerHold JobController::getHold(const std::string& host) const {
    const auto found = m_holds.find(host);
    return found == m_holds.end() ? WorkerHold::RELEASE : found->second;
}

WorkerLoad JobController::getLoad(const std::string& life) const {
    WorkerLoad load = WorkerLoad::IDLE;
    for (const auto& [id, entry] : m_jobs) {
        for (const HeldRun& run : listHeldRuns(id, entry.m_run)) {
            if (run.m_worker.m_life != life || !entry.m_hasInput) {
                continue;
            }
            const bool isHeld = entry.m_record.m_spec.m_steps[run.m_task.m_step].m_mayMiss > 0;
            load = std::max(load, isHeld ? WorkerLoad::HELD : WorkerLoad::BUSY);
        }
    }
    return load;
}

void JobController::setLeaving(std::set<std::string> lives) {
    if (m_leavingLives != lives) {
        m_leavingLives = std::move(lives);
        stepSoon();
    }
}

void JobController::tick() {
    forgetOver();
    resendLostOrders();
    stepSoon();
    m_loop.callLater(TICK, guarded([this] { tick(); }));
}

}  // namespace pierbank
