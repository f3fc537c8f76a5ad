// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/JobBackend.h"

#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/CertainCommit.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank {

namespace {

constexpr Millis RETRY_AFTER{1000};
constexpr Millis WITHDRAW_PATIENCE{3000};
constexpr std::int64_t MILLIS_PER_SECOND = 1000;

StatementAnswer makeAnswer(StatementStatus status, std::string message) {
    StatementAnswer answer;
    answer.m_status = status;
    answer.m_message = std::move(message);
    const bool mayRetry = status == StatementStatus::NOT_RUN || status == StatementStatus::UNKNOWN;
    answer.m_retryAfter = mayRetry ? RETRY_AFTER : Millis(0);
    return answer;
}

template <typename Function>
void forEachTask(const JobRun& run, Function function) {
    for (const OccurrenceRun& occurrence : run.m_occurrences) {
        for (const StepRun& step : occurrence.m_steps) {
            for (const TaskRun& task : step.m_tasks) {
                function(task);
            }
        }
    }
}

/** A host's address as a name of the language, which has no colons: `IP-PORT`. */
std::string toHostName(std::string address) {
    const std::size_t colon = address.rfind(':');
    if (colon != std::string::npos) {
        address[colon] = '-';
    }
    return address;
}

std::string toHostAddress(std::string name) {
    const std::size_t dash = name.rfind('-');
    if (dash != std::string::npos) {
        name[dash] = ':';
    }
    return name;
}

std::string joinHosts(const JobRun& run) {
    std::set<std::string> hosts;
    forEachTask(run, [&](const TaskRun& task) {
        if (task.holdsWorker()) {
            hosts.insert(task.m_worker.m_host);
        }
    });
    std::string text;
    for (const std::string& host : hosts) {
        text.append(text.empty() ? "" : " ").append(toHostName(host));
    }
    return text;
}

std::uint32_t countAccelerators(const JobEntry& entry) {
    std::uint32_t count = 0;
    for (const StepSpec& step : entry.m_record.m_spec.m_steps) {
        count += step.m_tasks * step.m_need.m_accelerators;
    }
    return count;
}

double toNumber(std::size_t count) {
    return static_cast<double>(count);
}

}  // namespace

void JobBackend::execute(StatementRequest request, StatementCallback done) {
    const Statement& statement = request.m_statement;
    if (const auto* const query = std::get_if<Show>(&statement)) {
        done(show(*query));
    } else if (const auto* const job = std::get_if<WhyJob>(&statement)) {
        done(explainJob(job->m_name));
    } else if (const auto* const worker = std::get_if<WhyWorker>(&statement)) {
        done(explainWorker(worker->m_name));
    } else if (const auto* const organisation = std::get_if<WhyOrganisation>(&statement)) {
        done(explainOrganisation(organisation->m_name));
    } else if (const auto* const withdrawn = std::get_if<WithdrawJob>(&statement)) {
        withdraw(request, withdrawn->m_name, std::move(done));
    } else {
        done(makeAnswer(StatementStatus::REFUSED,
                        "refused: here organisations, guarantees and queues are what the "
                        "platform's configuration says, and jobs are handed in by callers"));
    }
}

StatementAnswer JobBackend::show(const Show& show) const {
    switch (show.m_subject) {
        case Subject::JOBS:
            return makeTableAnswer(makeJobTable(), show);
        case Subject::WORKERS:
            return makeTableAnswer(makeWorkerTable(), show);
        case Subject::ORGANISATIONS:
            return makeTableAnswer(makeOrganisationTable(), show);
        case Subject::CONFIGURATION:
            return makeTableAnswer(makeConfigurationTable(), show);
        default:
            return makeAnswer(StatementStatus::REFUSED,
                              "refused: this is not kept on the platform");
    }
}

std::size_t JobBackend::countTasks(const JobRun& run, TaskState state) const {
    std::size_t count = 0;
    forEachTask(run, [&](const TaskRun& task) { count += task.m_state == state ? 1 : 0; });
    return count;
}

Table JobBackend::makeJobTable() const {
    Table table;
    table.m_columns = {"name",         "organisation", "queue",   "priority", "state",
                       "accelerators", "waiting",      "running", "age",      "workers"};
    for (const auto& [id, entry] : m_core.getJobs().getJobs()) {
        const QueuePolicy& policy = entry.m_record.m_policy;
        const Millis age = m_loop.wallNow() - entry.m_record.m_acceptedAt;
        table.m_rows.push_back(
                {Cell::ofText(id), Cell::ofText(entry.m_run.m_organisation),
                 Cell::ofText(entry.m_run.m_queue), Cell::ofNumber(policy.m_priority),
                 Cell::ofText(toText(entry.m_run.m_phase)),
                 Cell::ofNumber(countAccelerators(entry)),
                 Cell::ofNumber(toNumber(countTasks(entry.m_run, TaskState::WAITING))),
                 Cell::ofNumber(toNumber(countTasks(entry.m_run, TaskState::PLACED))),
                 Cell::ofNumber(static_cast<double>(age.count() / MILLIS_PER_SECOND)),
                 Cell::ofText(joinHosts(entry.m_run))});
    }
    return table;
}

Table JobBackend::makeWorkerTable() const {
    std::map<std::string, Resources> used;
    for (const auto& [id, entry] : m_core.getJobs().getJobs()) {
        for (const OccurrenceRun& occurrence : entry.m_run.m_occurrences) {
            for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
                for (const TaskRun& task : occurrence.m_steps[step].m_tasks) {
                    if (task.holdsWorker() && step < entry.m_record.m_spec.m_steps.size()) {
                        used[task.m_worker.m_host] += entry.m_record.m_spec.m_steps[step].m_need;
                    }
                }
            }
        }
    }
    Table table;
    table.m_columns = {"name", "domain", "rack", "state", "accelerators", "used", "cores_used"};
    for (const auto& [address, host] : m_core.getJobs().getWorkers().getHosts()) {
        if (!host.m_notice.has_value() || host.m_notice->m_life.empty()) {
            continue;
        }
        const WorkerNotice& notice = *host.m_notice;
        const std::string_view state = !host.isLinked()      ? "silent"
                                       : notice.m_isGone     ? "gone"
                                       : notice.m_isDraining ? "draining"
                                                             : "live";
        constexpr double MILLIS_PER_CORE = 1000.0;
        table.m_rows.push_back({Cell::ofText(toHostName(address)),
                                Cell::ofText(notice.m_failureDomain), Cell::ofText(notice.m_rack),
                                Cell::ofText(state), Cell::ofNumber(notice.m_accelerators),
                                Cell::ofNumber(used[address].m_accelerators),
                                Cell::ofNumber(used[address].m_cpuMillis / MILLIS_PER_CORE)});
    }
    return table;
}

Table JobBackend::makeOrganisationTable() const {
    Table table;
    table.m_columns = {"name", "guaranteed", "jobs", "pending", "running"};
    const QueueConfiguration* const configuration = m_core.getConfiguration().get();
    if (configuration == nullptr) {
        return table;
    }
    std::map<std::string, std::uint32_t> organisations = configuration->m_guarantees;
    for (const auto& [key, name] : configuration->m_organisationsByKey) {
        organisations.try_emplace(name, 0);
    }
    for (const auto& [name, guaranteed] : organisations) {
        std::size_t jobs = 0;
        std::size_t pending = 0;
        std::size_t running = 0;
        for (const auto& [id, entry] : m_core.getJobs().getJobs()) {
            const bool isOwn = entry.m_run.m_organisation == name;
            jobs += isOwn ? 1 : 0;
            pending += isOwn && entry.m_run.m_phase == JobPhase::PENDING ? 1 : 0;
            running += isOwn && entry.m_run.m_phase == JobPhase::RUNNING ? 1 : 0;
        }
        table.m_rows.push_back({Cell::ofText(name), Cell::ofNumber(guaranteed),
                                Cell::ofNumber(toNumber(jobs)), Cell::ofNumber(toNumber(pending)),
                                Cell::ofNumber(toNumber(running))});
    }
    return table;
}

Table JobBackend::makeConfigurationTable() const {
    Table table;
    table.m_columns = {"name", "value"};
    const ConfigurationFeed& feed = m_core.getConfiguration();
    const auto age = feed.getAge();
    const auto version = feed.get() == nullptr ? 0 : feed.get()->m_version;
    table.m_rows = {
            {Cell::ofText("version"), Cell::ofNumber(static_cast<double>(version))},
            {Cell::ofText("revision"), Cell::ofNumber(static_cast<double>(feed.getRevision()))},
            {Cell::ofText("confirmed_ms_ago"),
             age.has_value() ? Cell::ofNumber(static_cast<double>(age->count()))
                             : Cell::ofText("never")}};
    return table;
}

StatementAnswer JobBackend::explainJob(const std::string& id) const {
    const JobTable& jobs = m_core.getJobs().getJobs();
    const auto found = jobs.find(id);
    if (found == jobs.end()) {
        return makeAnswer(StatementStatus::REFUSED, "refused: there is no job " + id);
    }
    const JobRun& run = found->second.m_run;
    std::string text("job ");
    text.append(id).append(" of ").append(run.m_organisation).append(" is ");
    text.append(toText(run.m_phase)).append("\n").append(run.m_why);
    const std::string hosts = joinHosts(run);
    if (!hosts.empty()) {
        text.append("\non ").append(hosts);
    }
    const std::string note = m_core.getJobs().getNote(id);
    if (!note.empty()) {
        text.append("\nlast plan: ").append(note);
    }
    return makeAnswer(StatementStatus::DONE, std::move(text));
}

StatementAnswer JobBackend::explainWorker(const std::string& name) const {
    const WorkerPool::Host* const host =
            m_core.getJobs().getWorkers().findHost(toHostAddress(name));
    if (host == nullptr || !host->m_notice.has_value()) {
        return makeAnswer(StatementStatus::REFUSED, "refused: there is no worker " + name);
    }
    std::string text("worker ");
    text.append(name).append(" life ").append(host->m_notice->m_life);
    text.append(host->isLinked() ? ", linked" : ", not linked");
    text.append(host->m_hasReport ? ", its runs are known" : ", its runs are not known yet");
    text.append(host->m_notice->m_isDraining ? ", draining" : "");
    const Millis left = host->m_grantedUntil - m_loop.now();
    text.append(", its lease ends in ").append(std::to_string(left.count())).append(" ms");
    return makeAnswer(StatementStatus::DONE, std::move(text));
}

StatementAnswer JobBackend::explainOrganisation(const std::string& name) const {
    const QueueConfiguration* const configuration = m_core.getConfiguration().get();
    const auto guarantee = configuration == nullptr ? decltype(configuration->m_guarantees.end())()
                                                    : configuration->m_guarantees.find(name);
    if (configuration == nullptr || guarantee == configuration->m_guarantees.end()) {
        return makeAnswer(StatementStatus::REFUSED,
                          "refused: organisation " + name + " has no guarantee");
    }
    std::uint32_t used = 0;
    for (const auto& [id, entry] : m_core.getJobs().getJobs()) {
        const bool isOwn = entry.m_run.m_organisation == name;
        if (isOwn && entry.m_record.m_policy.m_priority == 0 && !entry.m_run.isOver()) {
            used += countAccelerators(entry);
        }
    }
    return makeAnswer(StatementStatus::DONE,
                      "organisation " + name + " is guaranteed " +
                              std::to_string(guarantee->second) +
                              " accelerators for jobs of priority 0; such jobs ask for " +
                              std::to_string(used));
}

void JobBackend::withdraw(const StatementRequest& request, const std::string& id,
                          StatementCallback done) {
    const JobTable& jobs = m_core.getJobs().getJobs();
    const auto found = jobs.find(id);
    if (found == jobs.end() || found->second.m_run.isOver()) {
        done(makeAnswer(StatementStatus::REFUSED,
                        found == jobs.end() ? "refused: there is no job " + id
                                            : "refused: job " + id + " is over already"));
        return;
    }
    logEvent(Severity::INFO, "operators", "withdraw",
             {{"job", id}, {"operator", request.m_operator}, {"statement", request.m_text}});
    StoreTransaction transaction;
    transaction.m_conditions = {{std::string(LEADER_KEY), m_core.getLock().getEpoch()}};
    transaction.m_puts = {{getCancelKey(id), request.m_operator, 0}};
    CommitPatience patience;
    patience.m_limit = WITHDRAW_PATIENCE;
    CertainCommit::run(
            m_store, m_loop, std::move(transaction), patience, m_isAlive,
            [id, done = std::move(done)](const StoreCommit& commit) {
                if (commit.m_status == StoreStatus::OK) {
                    done(makeAnswer(StatementStatus::DONE, "job " + id + ": withdrawn"));
                } else if (commit.m_status == StoreStatus::UNKNOWN) {
                    done(makeAnswer(StatementStatus::UNKNOWN,
                                    "unknown: the store did not say; look with `show jobs`"));
                } else {
                    done(makeAnswer(StatementStatus::NOT_RUN,
                                    "not run: the store did not take it"));
                }
            });
}

std::string JobBackend::getHealth() const {
    const auto age = m_core.getConfiguration().getAge();
    return std::string(R"({"leading":)") + (isLeading() ? "true" : "false") +
           R"(,"configuration_age_ms":)" +
           (age.has_value() ? std::to_string(age->count()) : "null") + "}";
}

std::string JobBackend::getMetrics() const {
    std::size_t running = 0;
    for (const auto& [id, entry] : m_core.getJobs().getJobs()) {
        running += entry.m_run.m_phase == JobPhase::RUNNING ? 1 : 0;
    }
    std::size_t linked = 0;
    for (const auto& [address, host] : m_core.getJobs().getWorkers().getHosts()) {
        linked += host.isLinked() ? 1 : 0;
    }
    const auto line = [](std::string_view name, std::uint64_t value) {
        return std::string(name) + " " + std::to_string(value) + "\n";
    };
    return line("pierbank_leading", isLeading() ? 1 : 0) +
           line("pierbank_epoch", m_core.getLock().getEpoch()) +
           line("pierbank_jobs_known", m_core.getJobs().getJobs().size()) +
           line("pierbank_jobs_running", running) + line("pierbank_hosts_linked", linked) +
           line("pierbank_requests_served", m_counters.m_served) +
           line("pierbank_requests_refused", m_counters.m_refused) +
           line("pierbank_configuration_revision", m_core.getConfiguration().getRevision());
}

}  // namespace pierbank
