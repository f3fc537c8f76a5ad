// SPDX-License-Identifier: Apache-2.0
#include "pierbank/operators/JobBackend.h"

#include <algorithm>
#include <utility>

#include "BackendAnswers.h"
#include "pierbank/base/Log.h"
#include "pierbank/base/UnreadableInputs.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/job/JobCodec.h"
#include "pierbank/operators/DomainTable.h"

namespace pierbank {

namespace {

WorkerAdminState toAdminState(HostAction action) {
    switch (action) {
        case HostAction::QUARANTINE:
            return WorkerAdminState::QUARANTINE;
        case HostAction::DRAIN:
            return WorkerAdminState::DRAIN;
        case HostAction::RELEASE:
            break;
    }
    return WorkerAdminState::RELEASE;
}

}  // namespace

void JobBackend::execute(StatementRequest request, StatementCallback done) {
    const Statement& statement = request.m_statement;
    if (const auto* const query = std::get_if<Show>(&statement)) {
        show(*query, done);
    } else if (const auto* const job = std::get_if<WhyJob>(&statement)) {
        done(explainJob(job->m_name));
    } else if (const auto* const worker = std::get_if<WhyWorker>(&statement)) {
        done(explainWorker(worker->m_name));
    } else if (const auto* const organisation = std::get_if<WhyOrganisation>(&statement)) {
        done(explainOrganisation(organisation->m_name));
    } else if (const auto* const domain = std::get_if<WhyDomain>(&statement)) {
        done(explainDomain(domain->m_name));
    } else if (const auto* const submission = std::get_if<SubmitJob>(&statement)) {
        submit(request, *submission, std::move(done));
    } else if (const auto* const withdrawal = std::get_if<WithdrawJob>(&statement)) {
        withdraw(request, withdrawal->m_name, std::move(done));
    } else if (const auto* const change = std::get_if<ChangeWorker>(&statement)) {
        changeWorker(request, *change, std::move(done));
    } else if (const auto* const domainChange = std::get_if<ChangeDomain>(&statement)) {
        changeDomain(request, *domainChange, std::move(done));
    } else if (const auto* const weights = std::get_if<SetWeights>(&statement)) {
        setWeights(request, *weights, std::move(done));
    } else {
        done(
                refuse("organisations and guarantees are what the platform's configuration says; "
                       "change them there"));
    }
}

// Queries.

void JobBackend::show(const Show& show, const StatementCallback& done) {
    const JobController& jobs = m_core.getJobs();
    switch (show.m_subject) {
        case Subject::JOBS:
            done(makeTableAnswer(makeJobTable(jobs.getJobs(), m_loop.wallNow()), show));
            return;
        case Subject::WORKERS:
            done(makeTableAnswer(makeWorkerTable(jobs), show));
            return;
        case Subject::RACKS:
            done(makeTableAnswer(makeRackTable(jobs), show));
            return;
        case Subject::DOMAINS:
            done(makeTableAnswer(makeDomainTable(jobs), show));
            return;
        case Subject::ORGANISATIONS:
            done(makeTableAnswer(
                    makeOrganisationTable(m_core.getConfiguration().get(), jobs.getJobs()), show));
            return;
        case Subject::CONFIGURATION:
            done(makeTableAnswer(makeConfigurationTable(m_core.getConfiguration()), show));
            return;
        case Subject::AUDIT:
            break;
    }
    m_audit.read([show, done, wallNow = m_loop.wallNow()](const std::vector<AuditEntry>* entries) {
        done(entries == nullptr
                     ? makeAnswer(StatementStatus::NOT_RUN, "not run: the store can't be read")
                     : makeTableAnswer(makeAuditTable(*entries, wallNow), show));
    });
}

StatementAnswer JobBackend::explainJob(const std::string& name) const {
    const JobEntry* const entry = findJob(m_core.getJobs().getJobs(), name);
    if (entry == nullptr) {
        return refuse("there is no job " + name);
    }
    const JobRun& run = entry->m_run;
    const std::string id = toJobId(name);
    std::string text("job ");
    text.append(name).append(" of ").append(run.m_organisation).append(" is ");
    text.append(toText(run.m_phase)).append("\n").append(run.m_explanation);
    const std::string hosts = joinHosts(id, run);
    if (!hosts.empty()) {
        text.append("\non ").append(hosts);
    }
    const std::string explanation = m_core.getJobs().getExplanation(id);
    if (!explanation.empty()) {
        text.append("\nlast plan: ").append(explanation);
    }
    for (const JobEvent& event : run.m_history) {
        const Millis age = m_loop.wallNow() - event.m_at;
        text.append("\n").append(std::to_string(age.count())).append(" ms ago: ");
        text.append(event.m_text);
    }
    return makeAnswer(StatementStatus::DONE, std::move(text));
}

StatementAnswer JobBackend::explainWorker(const std::string& name) const {
    const std::string address = toHostAddress(name);
    const WorkerPool::Host* const host = m_core.getJobs().getWorkers().findHost(address);
    if (host == nullptr || !host->m_notice.has_value()) {
        return refuse("there is no worker " + name);
    }
    std::string text("worker ");
    text.append(name).append(" life ").append(host->m_notice->m_incarnation);
    text.append(host->isLinked() ? ", linked" : ", not linked");
    text.append(host->m_hasReport ? ", its runs are known" : ", its runs are not known yet");
    text.append(host->m_notice->m_isDraining ? ", draining" : "");
    const WorkerAdminState adminState = m_core.getJobs().getAdminState(address);
    if (adminState != WorkerAdminState::RELEASE) {
        text.append(", by an operator's word: ").append(toText(adminState));
    }
    if (m_core.getJobs().isEvacuated(host->m_notice->m_failureDomain)) {
        text.append(", its failure domain ").append(host->m_notice->m_failureDomain);
        text.append(" is under evacuation");
    }
    const auto coldUntil = m_core.getJobs().getColdUntil(address);
    if (coldUntil.has_value() && *coldUntil > m_loop.now()) {
        text.append(", cold for ");
        text.append(std::to_string((*coldUntil - m_loop.now()).count())).append(" ms more");
    }
    const Millis left = host->m_leaseEnd - m_loop.now();
    text.append(", its lease ends in ").append(std::to_string(left.count())).append(" ms");
    return makeAnswer(StatementStatus::DONE, std::move(text));
}

StatementAnswer JobBackend::explainOrganisation(const std::string& name) const {
    const QueueConfiguration* const configuration = m_core.getConfiguration().get();
    const bool isKnown = configuration != nullptr && configuration->m_guarantees.count(name) != 0;
    if (!isKnown) {
        return refuse("organisation " + name + " has no guarantee");
    }
    std::uint32_t used = 0;
    for (const auto& [id, entry] : m_core.getJobs().getJobs()) {
        const bool isOwn = entry.m_run.m_organisation == name;
        if (isOwn && entry.m_record.m_policy.m_priority == 0 && !entry.m_run.isFinished()) {
            used += countAccelerators(entry.m_record);
        }
    }
    return makeAnswer(StatementStatus::DONE,
                      "organisation " + name + " is guaranteed " +
                              std::to_string(configuration->m_guarantees.at(name)) +
                              " accelerators for jobs of priority 0; such jobs ask for " +
                              std::to_string(used));
}

// Changes.

void JobBackend::withdraw(const StatementRequest& request, const std::string& name,
                          StatementCallback done) {
    const JobEntry* const entry = findJob(m_core.getJobs().getJobs(), name);
    if (entry == nullptr || entry->m_run.isFinished()) {
        done(refuse(entry == nullptr ? "there is no job " + name
                                     : "job " + name + " is over already"));
        return;
    }
    StoreTransaction change;
    change.m_puts = {{getCancelKey(toJobId(name)), request.m_operator, 0}};
    commit(request, std::move(change), "job " + name + ": withdrawn", std::move(done));
}

void JobBackend::changeWorker(const StatementRequest& request, const ChangeWorker& change,
                              StatementCallback done) {
    const std::string address = toHostAddress(change.m_name);
    if (m_core.getJobs().getWorkers().findHost(address) == nullptr) {
        done(refuse("there is no worker " + change.m_name));
        return;
    }
    const std::string before(toText(m_core.getJobs().getAdminState(address)));
    const std::string after(toText(toAdminState(change.m_action)));
    StoreTransaction transaction;
    transaction.m_puts = {{getWorkerKey(address), after, 0}};
    commit(request, std::move(transaction),
           "worker " + change.m_name + ": " + before + " -> " + after, std::move(done));
}

void JobBackend::setWeights(const StatementRequest& request, const SetWeights& weights,
                            StatementCallback done) {
    const std::string before = std::to_string(m_core.getJobs().getFragmentationWeight());
    const std::string after = std::to_string(weights.m_fragmentation);
    StoreTransaction change;
    change.m_puts = {{std::string(WEIGHT_KEY), after, 0}};
    commit(request, std::move(change), "weight of fragmentation: " + before + " -> " + after,
           std::move(done));
}

void JobBackend::commit(const StatementRequest& request, StoreTransaction change,
                        std::string outcome, StatementCallback done) {
    logEvent(Severity::INFO, "operators", "change",
             {{"operator", request.m_operator},
              {"statement", request.m_text},
              {"outcome", outcome}});
    change.m_conditions.push_back({std::string(LEADER_KEY), m_core.getLock().getEpoch()});
    AuditEntry entry;
    entry.m_operator = request.m_operator;
    entry.m_statement = request.m_text;
    entry.m_outcome = outcome;
    std::vector<StorePut> inputs;
    for (const StorePut& put : change.m_puts) {
        if (put.m_key.starts_with(INPUT_PREFIX)) {
            inputs.push_back(put);
        }
    }
    m_audit.commit(std::move(change), std::move(entry),
                   [this, inputs = std::move(inputs), outcome = std::move(outcome),
                    done = std::move(done)](const StoreCommit& commit) {
                       if (commit.m_status == StoreStatus::OK) {
                           for (const StorePut& put : inputs) {
                               m_core.applyWritten({put.m_key, put.m_value, commit.m_revision});
                           }
                           done(makeAnswer(StatementStatus::DONE, outcome));
                       } else if (commit.m_status == StoreStatus::UNKNOWN) {
                           done(makeAnswer(StatementStatus::UNKNOWN,
                                           "unknown: the store did not say; look with `show "
                                           "audit` before repeating it"));
                       } else {
                           done(makeAnswer(StatementStatus::NOT_RUN,
                                           "not run: the store did not take it (" +
                                                   std::string(toText(commit.m_status)) +
                                                   "); something else changed, or it is down"));
                       }
                   });
}

// Health and metrics.

std::string JobBackend::getHealth() const {
    const auto age = m_core.getConfiguration().getAge();
    std::size_t liveWorkers = 0;
    for (const auto& [address, host] : m_core.getJobs().getWorkers().getHosts()) {
        liveWorkers += host.isLinked() && host.m_hasReport ? 1 : 0;
    }
    return std::string(R"({"leading":)") + (isLeading() ? "true" : "false") +
           R"(,"workers_live":)" + std::to_string(liveWorkers) + R"(,"configuration_age_ms":)" +
           (age.has_value() ? std::to_string(age->count()) : "null") + "}";
}

std::string JobBackend::getMetrics() const {
    const JobController& jobs = m_core.getJobs();
    std::size_t running = 0;
    for (const auto& [id, entry] : jobs.getJobs()) {
        running += entry.m_run.m_phase == JobPhase::RUNNING ? 1 : 0;
    }
    std::size_t linked = 0;
    for (const auto& [address, host] : jobs.getWorkers().getHosts()) {
        linked += host.isLinked() ? 1 : 0;
    }
    const auto domains = countDomains(jobs);
    const auto evacuated = std::count_if(domains.begin(), domains.end(), [](const auto& domain) {
        return domain.second.isEvacuated();
    });
    const JobStatistics& statistics = jobs.getStatistics();
    const HandoverStatistics& handover = jobs.getHandoverStatistics();
    MetricsPage page;
    page.addGauge("pierbank_leading", "1 at the gateway that leads", isLeading() ? 1 : 0);
    page.addGauge("pierbank_epoch", "epoch of this leader, or zero",
                  static_cast<double>(m_core.getLock().getEpoch()));
    page.addGauge("pierbank_jobs_known", "jobs in the leader's memory",
                  static_cast<double>(jobs.getJobs().size()));
    page.addGauge("pierbank_jobs_running", "jobs of which something was started",
                  static_cast<double>(running));
    page.addGauge("pierbank_hosts_linked", "gateways and sidecars linked to this leader",
                  static_cast<double>(linked));
    page.addCounter("pierbank_runs_placed_total", "runs placed", statistics.m_placed);
    page.addCounter("pierbank_runs_copied_total", "copies of slow tasks", statistics.m_copied);
    page.addCounter("pierbank_runs_stopped_total", "runs stopped for others, or moved",
                    statistics.m_stopped);
    page.addCounter("pierbank_runs_lost_total", "runs lost with their worker", statistics.m_lost);
    page.addCounter("pierbank_runs_failed_total", "failed runs counted as attempts",
                    statistics.m_failedRuns);
    page.addCounter("pierbank_ends_without_effect_total",
                    "reported ends of runs that changed nothing", statistics.m_endsWithoutEffect);
    page.addCounter("pierbank_runs_withdrawn_total",
                    "runs taken back unbegun from failure domains under evacuation",
                    statistics.m_revoked);
    page.addCounter("pierbank_starts_retracted_total",
                    "jobs that counted as started until a worker did not start them",
                    statistics.m_retractedStarts);
    page.addCounter("pierbank_starts_refused_total",
                    "starts that workers refused or did not answer", statistics.m_refusedStarts);
    page.addGauge("pierbank_hosts_paused", "hosts that get no work now since they fail runs",
                  static_cast<double>(jobs.countPausedHosts()));
    page.addCounter("pierbank_host_probes_total", "runs that tested a host after such a pause",
                    jobs.countProbes());
    page.addGauge("pierbank_domains_evacuated", "failure domains under evacuation",
                  static_cast<double>(evacuated));
    page.addCounter("pierbank_unreadable_total", "entries of others that could not be read",
                    countUnreadable());
    page.addCounter("pierbank_commits_total", "transactions of decisions", statistics.m_commits);
    page.addCounter("pierbank_records_sent_total", "records of learned state sent to sidecars",
                    handover.m_recordsSent);
    page.addCounter("pierbank_records_restored_total",
                    "records of earlier leaders taken over from sidecars",
                    handover.m_recordsRestored);
    page.addCounter("pierbank_records_refused_total",
                    "records of earlier leaders that were not believed", handover.m_recordsRefused);
    page.addCounter("pierbank_plans_total", "plans made", statistics.m_plans);
    page.addSummary("pierbank_plan_ms", "time that a plan took", statistics.m_planTime);
    page.addGauge("pierbank_fragmentation",
                  "share of free accelerators that no waiting large unit can use",
                  statistics.m_fragmentation);
    page.addGauge("pierbank_reservations", "jobs with workers reserved before they starve",
                  static_cast<double>(jobs.getReservationLog().countHeld()));
    page.addCounter("pierbank_reservations_total", "such reservations that have begun",
                    jobs.getReservationLog().countBegun());
    page.addSummary("pierbank_first_placement_ms", "from acceptance to the first placement",
                    statistics.m_timeToFirstPlacement);
    page.addCounter("pierbank_requests_served_total", "callers' requests answered with 200",
                    m_callers.m_served);
    page.addCounter("pierbank_requests_refused_total", "callers' requests answered otherwise",
                    m_callers.m_refused);
    page.addSummary("pierbank_request_ms", "from a caller's request to its answer",
                    m_callers.m_latency);
    addEarlyCancels(page);
    addRelays(page);
    addIdleJobs(page);
    addWork(page);
    addStoreCalls(page);
    page.addGauge("pierbank_configuration_revision", "revision of the configuration in force",
                  static_cast<double>(m_core.getConfiguration().getRevision()));
    return page.getText();
}

void JobBackend::addEarlyCancels(MetricsPage& page) const {
    const IntakeStatistics& statistics = m_core.getIntake().getStatistics();
    page.addCounter("pierbank_early_cancels_total",
                    "cancels of jobs that were not accepted, answered with 410",
                    statistics.m_earlyCancels);
    page.addCounter("pierbank_early_cancels_refused_total",
                    "cancels of jobs that were not accepted, refused since there were too many",
                    statistics.m_earlyCancelsRefused);
    page.addCounter("pierbank_accepted_as_cancelled_total",
                    "jobs that were cancelled before they were accepted",
                    statistics.m_acceptedAsCancelled);
    page.addGauge("pierbank_early_cancels_stored", "such cancels that this leader knows",
                  static_cast<double>(m_core.getJobs().getEarlyCancels().size()));
}

void JobBackend::addRelays(MetricsPage& page) const {
    const LeaderLink::Statistics& sent = m_core.getLeaderLink().getStatistics();
    page.addCounter("pierbank_relays_total", "requests relayed to the leader", sent.m_relayed);
    page.addCounter("pierbank_relays_lost_total",
                    "relayed requests whose link to the leader ended before the answer",
                    sent.m_lostWithLink);
    page.addCounter("pierbank_relay_answers_unmatched_total",
                    "answers of the leader to no open request; most come after its timeout",
                    sent.m_unmatchedAnswers);
    const JobStatistics& answered = m_core.getJobs().getStatistics();
    page.addCounter("pierbank_relays_answered_total", "answers to requests of other gateways",
                    answered.m_relaysAnswered);
    page.addCounter("pierbank_relay_answers_dropped_total",
                    "such answers that were dropped because the link of the request had ended",
                    answered.m_relayAnswersDropped);
}

void JobBackend::addIdleJobs(MetricsPage& page) const {
    constexpr std::int64_t MILLIS_PER_SECOND = 1000;
    const IdleJobLog& log = m_core.getJobs().getIdleJobLog();
    std::map<std::string, std::uint64_t> counts;
    std::map<std::string, std::uint64_t> seconds;
    for (std::size_t i = 0; i < IDLE_REASON_COUNT; ++i) {
        const std::string label =
                "reason=\"" + std::string(toText(static_cast<IdleReason>(i))) + "\"";
        counts[label] = log.getCounts().at(i);
        seconds[label] =
                static_cast<std::uint64_t>(log.getTimes().at(i).count() / MILLIS_PER_SECOND);
    }
    page.addGauges("pierbank_jobs_idle", "jobs that wait without a run, by what they wait for",
                   counts);
    page.addCounters("pierbank_jobs_idle_seconds_total",
                     "time that jobs waited without a run, by what they waited for", seconds);
}

void JobBackend::addWork(MetricsPage& page) const {
    const WorkAccount& work = m_core.getJobs().getStatistics().m_work;
    page.addCounter("pierbank_work_kept_core_seconds_total",
                    "work of ended runs that was done, or saved for the next run",
                    static_cast<std::uint64_t>(work.getKept()));
    std::map<std::string, std::uint64_t> wasted;
    for (std::size_t i = 0; i < WORK_OUTCOME_COUNT; ++i) {
        const auto cause = static_cast<WorkOutcome>(i);
        if (cause != WorkOutcome::DONE) {
            wasted["cause=\"" + std::string(toText(cause)) + "\""] =
                    static_cast<std::uint64_t>(work.getWasted(cause));
        }
    }
    page.addCounters("pierbank_work_wasted_core_seconds_total",
                     "work of ended runs that was thrown away and has to be done again", wasted);
}

void JobBackend::addStoreCalls(MetricsPage& page) const {
    if (m_countingStore == nullptr) {
        return;
    }
    std::map<std::string, std::uint64_t> calls;
    for (const auto& [call, count] : m_countingStore->getCounts()) {
        calls["kind=\"" + call.first + "\",keys=\"" + call.second + "\""] = count;
    }
    page.addCounters("pierbank_store_calls_total", "calls of the platform's store", calls);
}

}  // namespace pierbank
