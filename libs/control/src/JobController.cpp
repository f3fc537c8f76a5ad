// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/JobController.h"

#include <algorithm>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/job/JobCodec.h"

namespace pierbank {

namespace {

/** How often due occurrences and pauses that are over are looked for. */
constexpr Millis TICK{100};

/** Calls a function for each task of a run. */
template <typename Function>
void forEachTask(const std::string& id, JobRun& run, Function function) {
    for (OccurrenceRun& occurrence : run.m_occurrences) {
        for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
            auto& tasks = occurrence.m_steps[step].m_tasks;
            for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                function(TaskKey{id, occurrence.m_number, step, i}, tasks[i]);
            }
        }
    }
}

}  // namespace

JobController::JobController(RecordStore& store, EventLoop& loop, ConfigurationFeed& configuration,
                             Transport& transport, WorkerPoolSettings workers,
                             JobControllerSettings settings)
        : m_store(store),
          m_loop(loop),
          m_configuration(configuration),
          m_settings(settings),
          m_workers(transport, loop, *this, std::move(workers)),
          m_planner(m_settings.m_planner),
          m_health(m_settings.m_health) {}

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
    m_progress.clear();
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
        const std::vector<TaskKey> tasks = applyCancel(id, entry.m_run, m_loop.wallNow());
        entry.m_isDirty = true;
        logEvent(Severity::INFO, "jobs", "withdrawn",
                 {{"job", id}, {"running_tasks", std::to_string(tasks.size())}});
        stopTasks(entry, tasks);
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
        view.m_rack = notice.m_rack;
        view.m_labels.insert(notice.m_labels.begin(), notice.m_labels.end());
        view.m_capacity = {notice.m_cpuMillis, notice.m_memoryMb, notice.m_accelerators};
        view.m_acceptsWork = host.isLinked() && host.m_hasReport && !notice.m_isGone &&
                             !notice.m_isDraining && !m_health.isAvoided(address, m_loop.now()) &&
                             !m_progress.isStalled(address);
        views.push_back(std::move(view));
    }
    return views;
}

void JobController::plan() {
    std::vector<PlannedJob> jobs;
    for (const auto& [id, entry] : m_jobs) {
        if (entry.m_hasInput) {
            jobs.push_back({&entry.m_record, &entry.m_run});
        }
    }
    const QueueConfiguration* const configuration = m_configuration.get();
    const std::map<std::string, std::uint32_t> none;
    const TaskPlan plan = m_planner.plan(
            viewWorkers(), jobs, estimateRemaining(),
            configuration != nullptr ? configuration->m_guarantees : none, m_loop.wallNow());
    m_notes.clear();
    for (const PlanNote& note : plan.m_notes) {
        m_notes[note.m_job] = note.m_text;
    }
    // Members of one gang share the number of their run.
    std::map<TaskKey, std::uint32_t> gangRuns;
    for (const Placement& placement : plan.m_placements) {
        const TaskKey& key = placement.m_task;
        JobEntry& entry = m_jobs.find(key.m_job)->second;
        const bool isGang = entry.m_record.m_spec.m_steps[key.m_step].m_isGang;
        std::uint32_t run = entry.m_run.findTask(key)->m_run + 1;
        if (isGang) {
            TaskKey gang = key;
            gang.m_index = 0;
            const auto [found, isNew] = gangRuns.try_emplace(gang, 0);
            if (isNew) {
                const auto& step =
                        entry.m_run.findOccurrence(key.m_occurrence)->m_steps[key.m_step];
                for (const TaskRun& member : step.m_tasks) {
                    found->second = std::max(found->second, member.m_run + 1);
                }
            }
            run = found->second;
        }
        place(placement, run);
    }
    for (const Preemption& preemption : plan.m_preemptions) {
        preempt(preemption);
    }
}

void JobController::place(const Placement& placement, std::uint32_t run) {
    const TaskKey& key = placement.m_task;
    JobEntry& entry = m_jobs.find(key.m_job)->second;
    TaskRun& task = *entry.m_run.findTask(key);
    task.m_state = TaskState::PLACED;
    task.m_run = run;
    task.m_worker = placement.m_worker;
    task.m_placedAt = m_loop.wallNow();
    entry.m_run.m_hasBegun = true;
    entry.m_run.m_phase = JobPhase::RUNNING;
    entry.m_run.m_why = "running: placed on " + placement.m_worker.m_host;
    entry.m_isDirty = true;
    entry.m_messages.push_back({placement.m_worker.m_host, makeOrder(entry, key, task)});
    logEvent(Severity::INFO, "jobs", "placed",
             {{"task", key.toText()},
              {"run", std::to_string(run)},
              {"host", placement.m_worker.m_host},
              {"life", placement.m_worker.m_life},
              {"waited_ms",
               std::to_string((m_loop.wallNow() - entry.m_record.m_acceptedAt).count())}});
}

RunOrder JobController::makeOrder(const JobEntry& entry, const TaskKey& key,
                                  const TaskRun& task) const {
    return {m_epoch,
            task.m_worker.m_life,
            key.toText(),
            task.m_run,
            entry.m_record.m_spec.m_payload,
            task.m_checkpoint};
}

void JobController::preempt(const Preemption& preemption) {
    JobEntry& entry = m_jobs.find(preemption.m_task.m_job)->second;
    TaskRun& task = *entry.m_run.findTask(preemption.m_task);
    if (task.m_state != TaskState::PLACED) {
        return;
    }
    task.m_state = TaskState::STOPPING;
    entry.m_run.m_why = "gave way to job " + preemption.m_for;
    logEvent(Severity::INFO, "jobs", "preempted",
             {{"task", preemption.m_task.toText()},
              {"host", task.m_worker.m_host},
              {"for", preemption.m_for}});
    stopTasks(entry, {preemption.m_task});
}

/** The tasks are marked as stopping already. */
void JobController::stopTasks(JobEntry& entry, const std::vector<TaskKey>& tasks) {
    for (const TaskKey& key : tasks) {
        const TaskRun& task = *entry.m_run.findTask(key);
        entry.m_isDirty = true;
        entry.m_messages.push_back({task.m_worker.m_host, RunStop{m_epoch, task.m_worker.m_life,
                                                                  key.toText(), task.m_run}});
    }
}

// What the sidecars report.

void JobController::handleWorkerChanged(const std::string& host) {
    const WorkerPool::Host* const known = m_workers.findHost(host);
    if (known == nullptr || !known->isLinked()) {
        m_progress.forgetHost(host);
    }
    if (known != nullptr && known->isLinked() && known->m_notice.has_value() &&
        !known->m_notice->m_life.empty()) {
        const bool isGone = known->m_notice->m_isGone;
        loseTasks(host, isGone ? std::string() : known->m_notice->m_life,
                  isGone ? "the worker has left" : "the worker has another life");
        if (known->m_hasReport) {
            resendOrders(host);
        }
    }
    stepSoon();
}

void JobController::handleRunReport(const std::string& host, const RunReport& report) {
    const WorkerId worker{host, report.m_life};
    for (const EndedEntry& end : report.m_ended) {
        if (m_ledger.note(worker, end.m_number)) {
            applyRunEnd(worker, end);
        }
    }
    m_reports[host] = report;
    noteProgress(host, report);
    sendKept(worker);
    stepSoon();
}

void JobController::noteProgress(const std::string& host, const RunReport& report) {
    std::vector<ProgressReport> runs;
    for (const RunningEntry& entry : report.m_running) {
        const auto key = TaskKey::parse(entry.m_task);
        const auto found = key.has_value() ? m_jobs.find(key->m_job) : m_jobs.end();
        if (found == m_jobs.end() || !found->second.m_hasInput) {
            continue;
        }
        const auto& steps = found->second.m_record.m_spec.m_steps;
        const bool isLasting = key->m_step >= steps.size() || steps[key->m_step].m_isLasting;
        if (!isLasting) {
            runs.push_back({*key, entry.m_run, entry.m_percent, steps[key->m_step].m_isGang});
        }
    }
    m_progress.note(host, runs, m_loop.now());
}

bool JobController::mustMove(const JobEntry& entry, const TaskKey& key, const TaskRun& task) const {
    const std::string& host = task.m_worker.m_host;
    if (task.m_state != TaskState::PLACED || !m_progress.isStalled(host)) {
        return false;
    }
    const Millis still = m_progress.getStalledTime(host, key);
    const Millis ran = m_loop.wallNow() - task.m_placedAt - still;
    const bool isCheap = entry.m_record.m_policy.m_priority == 0 ||
                         entry.m_record.m_spec.m_steps[key.m_step].m_savesProgress ||
                         ran < m_settings.m_cheapLoss;
    return still >= ProgressTracker::STALLED_AFTER &&
           (isCheap || still >= m_settings.m_stallPatience);
}

/** Runs on hosts where nothing advances are stopped, so that they begin elsewhere. */
void JobController::moveStalled() {
    for (auto& [id, jobEntry] : m_jobs) {
        JobEntry& entry = jobEntry;
        std::vector<TaskKey> stalled;
        forEachTask(id, entry.m_run, [&](const TaskKey& key, const TaskRun& task) {
            if (mustMove(entry, key, task)) {
                stalled.push_back(key);
            }
        });
        for (const TaskKey& key : stalled) {
            TaskRun& task = *entry.m_run.findTask(key);
            task.m_state = TaskState::STOPPING;
            task.m_failedHost = task.m_worker.m_host;
            entry.m_run.m_why = "stopped: nothing advances on " + task.m_worker.m_host;
            logEvent(Severity::WARNING, "jobs", "stalled",
                     {{"task", key.toText()},
                      {"run", std::to_string(task.m_run)},
                      {"host", task.m_worker.m_host}});
        }
        stopTasks(entry, stalled);
    }
}

std::map<TaskKey, Millis> JobController::estimateRemaining() const {
    std::map<TaskKey, Millis> remaining;
    for (const auto& [host, report] : m_reports) {
        for (const RunningEntry& entry : report.m_running) {
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

void JobController::applyRunEnd(const WorkerId& worker, const EndedEntry& end) {
    const auto key = TaskKey::parse(end.m_task);
    const auto found = key.has_value() ? m_jobs.find(key->m_job) : m_jobs.end();
    if (found == m_jobs.end()) {
        m_ledger.keep(worker, end.m_number);
        return;
    }
    JobEntry& entry = found->second;
    const auto how =
            static_cast<RunEnd>(std::min(end.m_end, static_cast<std::uint32_t>(lastOf(RunEnd()))));
    const TaskRun* const task = entry.m_run.findTask(*key);
    const bool isHere = task != nullptr && task->m_worker == worker;
    const EndEffect effect = isHere ? applyEnd(entry.m_record, entry.m_run, *key, end.m_run, how,
                                               end.m_checkpoint, m_loop.wallNow())
                                    : EndEffect();
    logEvent(Severity::INFO, "jobs", "run-ended",
             {{"task", end.m_task},
              {"run", std::to_string(end.m_run)},
              {"host", worker.m_host},
              {"number", std::to_string(end.m_number)},
              {"how", std::string(toText(how))},
              {"current", effect.m_isCurrent ? "yes" : "no"}});
    m_health.noteEnd(worker.m_host, key->m_job, how, m_loop.now());
    if (effect.m_isCurrent) {
        entry.m_ends.emplace_back(worker, end.m_number);
        takeEffect(entry, effect);
    } else if (entry.m_isDirty || entry.m_isCommitting) {
        // A gang's other members: what makes this end old is not committed yet.
        entry.m_ends.emplace_back(worker, end.m_number);
        entry.m_isDirty = true;
    } else {
        m_ledger.keep(worker, end.m_number);
    }
}

void JobController::takeEffect(JobEntry& entry, const EndEffect& effect) {
    if (!effect.m_isCurrent) {
        return;
    }
    entry.m_isDirty = true;
    stopTasks(entry, effect.m_toStop);
    if (entry.m_run.isOver()) {
        logEvent(Severity::INFO, "jobs", "over",
                 {{"job", entry.m_record.m_id},
                  {"phase", std::string(toText(entry.m_run.m_phase))},
                  {"why", entry.m_run.m_why}});
    }
}

void JobController::handleRunAbsent(const std::string& host, const RunAbsent& absent) {
    const auto key = TaskKey::parse(absent.m_task);
    const auto found = key.has_value() ? m_jobs.find(key->m_job) : m_jobs.end();
    if (found == m_jobs.end()) {
        return;
    }
    JobEntry& entry = found->second;
    const TaskRun* const task = entry.m_run.findTask(*key);
    if (task == nullptr || task->m_worker != WorkerId{host, absent.m_life}) {
        return;
    }
    logEvent(Severity::INFO, "jobs", "run-absent",
             {{"task", absent.m_task},
              {"run", std::to_string(absent.m_run)},
              {"host", host},
              {"reason", absent.m_reason}});
    takeEffect(entry, applyNotRunning(entry.m_record, entry.m_run, *key, absent.m_run));
    stepSoon();
}

void JobController::handleHostLost(const std::string& host) {
    loseTasks(host, "", "the lease of the worker has lapsed");
    stepSoon();
}

/** What was committed to other lives of the host's worker runs no more. */
void JobController::loseTasks(const std::string& host, const std::string& exceptLife,
                              std::string_view why) {
    for (auto& [id, entry] : m_jobs) {
        std::vector<std::pair<TaskKey, std::uint32_t>> lost;
        forEachTask(id, entry.m_run, [&](TaskKey key, const TaskRun& task) {
            if (task.holdsWorker() && task.m_worker.m_host == host &&
                (exceptLife.empty() || task.m_worker.m_life != exceptLife)) {
                lost.emplace_back(std::move(key), task.m_run);
            }
        });
        for (const auto& [key, run] : lost) {
            logEvent(Severity::WARNING, "jobs", "run-lost",
                     {{"task", key.toText()},
                      {"run", std::to_string(run)},
                      {"host", host},
                      {"reason", std::string(why)}});
            takeEffect(entry, applyNotRunning(entry.m_record, entry.m_run, key, run));
        }
    }
}

/** After a new link: what was ordered may not have arrived. */
void JobController::resendOrders(const std::string& host) {
    const auto report = m_reports.find(host);
    if (report == m_reports.end()) {
        return;
    }
    for (auto& [id, entry] : m_jobs) {
        const JobEntry& constEntry = entry;
        forEachTask(id, entry.m_run, [&](const TaskKey& key, const TaskRun& task) {
            if (task.holdsWorker() && task.m_worker.m_host == host) {
                resendTask(constEntry, key, task, report->second);
            }
        });
    }
}

void JobController::resendTask(const JobEntry& entry, const TaskKey& key, const TaskRun& task,
                               const RunReport& report) {
    const std::string name = key.toText();
    if (entry.hasPendingMessage(name, task.m_run)) {
        // Goes out when it is committed.
        return;
    }
    if (task.m_state == TaskState::STOPPING) {
        m_workers.send(task.m_worker.m_host,
                       RunStop{m_epoch, task.m_worker.m_life, name, task.m_run});
        return;
    }
    const bool isRunning = std::any_of(
            report.m_running.begin(), report.m_running.end(), [&](const RunningEntry& running) {
                return running.m_task == name && running.m_run == task.m_run;
            });
    if (!isRunning) {
        m_workers.send(task.m_worker.m_host, makeOrder(entry, key, task));
    }
}

void JobController::tick() {
    forgetOver();
    stepSoon();
    m_loop.callLater(TICK, guarded([this] { tick(); }));
}

}  // namespace pierbank
