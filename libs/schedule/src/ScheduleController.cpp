// SPDX-License-Identifier: Apache-2.0
#include "pierbank/schedule/ScheduleController.h"

#include <algorithm>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/schedule/StateUpdates.h"
#include "RecordMark.h"

namespace pierbank {

namespace {

/** How often leases, quarantines and unconfirmed messages are looked at. */
constexpr Millis TICK{500};

std::string getRecordKey(const std::string& region) {
    return "schedule/" + region;
}

AuditEntry makeDecisionEntry(const Decision& decision) {
    AuditEntry entry;
    entry.m_at = decision.m_why.m_decidedAt;
    entry.m_who = "scheduler";
    entry.m_subject = "job " + decision.m_job;
    entry.m_outcome = toText(decision.m_why.m_verdict);
    entry.m_detail = decision.m_why.toText();
    return entry;
}

}  // namespace

ScheduleController::ScheduleController(KeyValueService& service, EventLoop& loop, Random& random,
                                       ConfigurationController& configuration,
                                       WorkerChannel& channel, ScheduleSettings settings)
        : m_service(service),
          m_loop(loop),
          m_random(random),
          m_configuration(configuration),
          m_channel(channel),
          m_settings(std::move(settings)),
          m_policy(m_settings.m_policy),
          m_writer(service, loop, getRecordKey(m_settings.m_region)),
          m_audit(service, m_settings.m_region),
          m_leases(m_settings.m_leases),
          m_driver(m_policy, channel, m_members, m_leases) {}

ScheduleController::~ScheduleController() {
    *m_isAlive = false;
    m_loop.cancel(m_stepTimer);
    m_loop.cancel(m_tickTimer);
}

void ScheduleController::setHosts(std::vector<Host> hosts) {
    m_hosts = std::move(hosts);
    stepSoon(Millis(0));
}

void ScheduleController::handleConfiguration() {
    stepSoon(Millis(0));
}

void ScheduleController::handleWorkerLinked(std::string_view worker) {
    m_linked.emplace(worker);
    if (isLeading()) {
        m_driver.connect(worker);
    }
}

void ScheduleController::handleWorkerUnlinked(std::string_view worker) {
    const auto found = m_linked.find(worker);
    if (found != m_linked.end()) {
        m_linked.erase(found);
    }
    m_driver.disconnect(worker);
}

void ScheduleController::handleWorkerFrame(std::string_view worker, const Frame& frame) {
    if (!isLeading()) {
        return;
    }
    if (const auto* const ask = std::get_if<LeaseAsk>(&frame)) {
        answerLeaseAsk(worker, *ask);
    } else if (const auto* const report = std::get_if<MemberReport>(&frame)) {
        m_members.note(worker, *report);
        stepSoon(Millis(0));
    } else if (const auto* const end = std::get_if<MemberReportEnd>(&frame)) {
        m_driver.finishReport(worker, end->m_epoch, m_loop.now());
        stepSoon(Millis(0));
    }
}

Millis ScheduleController::getTimeSinceConfirmed() const {
    return m_loop.now() - (m_getConfirmedAt ? m_getConfirmedAt() : m_loop.now());
}

bool ScheduleController::mayGrantLeases() const {
    return getTimeSinceConfirmed() <= m_settings.m_leases.m_outageGrace;
}

void ScheduleController::answerLeaseAsk(std::string_view worker, const LeaseAsk& ask) {
    if (!mayGrantLeases()) {
        return;
    }
    const LeaseSettings& leases = m_settings.m_leases;
    const bool isConfirmed = getTimeSinceConfirmed() <= leases.m_timeToLive;
    const LeaseRenewal renewal{m_record.m_epoch, ask.m_sequence,
                               static_cast<std::uint64_t>(leases.m_timeToLive.count()),
                               isConfirmed};
    m_leases.grant(worker, m_loop.now());
    m_channel.sendToWorker(worker, renewal);
}

void ScheduleController::tick() {
    m_loop.cancel(m_tickTimer);
    m_tickTimer = m_loop.callLater(TICK, [this] {
        m_tickTimer = TimerId::NONE;
        if (m_isServiceDown && m_configuration.getConfirmedAt() > m_downSince) {
            m_isServiceDown = false;
        }
        step();
        m_driver.drive(m_record.m_state, m_loop.now());
        tick();
    });
}

void ScheduleController::stepSoon(Millis delay) {
    if (m_phase != Phase::LEADING) {
        return;
    }
    const Millis at = m_loop.now() + delay;
    if (m_stepTimer != TimerId::NONE && m_stepAt <= at) {
        return;
    }
    m_loop.cancel(m_stepTimer);
    m_stepAt = at;
    m_stepTimer = m_loop.callLater(delay, [this] {
        m_stepTimer = TimerId::NONE;
        step();
    });
}

void ScheduleController::step() {
    // A new guarantee was checked against the record as it is: nothing is placed meanwhile.
    const bool mustWait = m_writer.isBusy() || m_configuration.isBusy();
    if (m_phase != Phase::LEADING || mustWait || !m_configuration.hasConfiguration()) {
        return;
    }
    const Millis wallNow = m_loop.wallNow();
    ScheduleRecord next = m_record;
    absorb(next, m_loop.now(), wallNow);
    std::vector<PendingPtr> carried = runJobCommands(next, wallNow);
    decide(next, wallNow);
    const std::string bytes = encodeRecord(next);
    if (bytes != m_recordBytes) {
        commit(std::move(next), std::move(carried));
        return;
    }
    for (const PendingPtr& pending : carried) {
        finish(pending, pending->m_answer);
    }
    startConfigurationChange();
}

void ScheduleController::absorb(ScheduleRecord& next, Millis now, Millis wallNow) {
    if (m_movedPage != 0) {
        AuditPages::dropMoved(next, m_movedPage);
    }
    const auto getStanding = [this, now](std::string_view worker) {
        return m_leases.getStanding(worker, now);
    };
    applyHosts(next.m_state, m_hosts, m_settings.m_region);
    absorbConfiguration(next);
    m_driver.absorb(next.m_state, now, wallNow);
    applyWorkerStates(next.m_state, m_configuration.get(), m_hosts, getStanding);
    pruneJobs(next.m_state, m_settings.m_keptJobs);
    for (AuditEntry& refusal : m_refusals) {
        next.m_auditTail.push_back(std::move(refusal));
    }
    m_refusals.clear();
}

void ScheduleController::absorbConfiguration(ScheduleRecord& next) {
    const Configuration& configuration = m_configuration.get();
    if (configuration.m_version <= next.m_configurationVersion) {
        return;
    }
    applyConfiguration(next.m_state, configuration);
    for (const ConfigurationChange& change : configuration.m_changes) {
        if (change.m_version <= next.m_configurationVersion) {
            continue;
        }
        next.m_auditTail.push_back({change.m_at, change.m_operator, change.m_subject,
                                    change.m_statement, "accepted",
                                    change.m_from + " -> " + change.m_to});
        constexpr std::string_view WORKER_PREFIX = "worker ";
        const bool isRelease =
                change.m_subject.starts_with(WORKER_PREFIX) && change.m_to == RELEASED;
        const auto worker = next.m_state.findWorker(
                std::string_view(change.m_subject)
                        .substr(std::min(WORKER_PREFIX.size(), change.m_subject.size())));
        if (isRelease && worker.has_value()) {
            next.m_state.m_workers[*worker].m_quarantinedUntil = Millis(0);
            next.m_state.m_workers[*worker].m_quarantines = 0;
            next.m_state.m_workers[*worker].m_failedJobs.clear();
        }
    }
    next.m_configurationVersion = configuration.m_version;
}

std::vector<ScheduleController::PendingPtr> ScheduleController::runJobCommands(ScheduleRecord& next,
                                                                               Millis wallNow) {
    std::vector<PendingPtr> carried;
    for (const PendingPtr& pending : std::exchange(m_jobCommands, {})) {
        if (pending->m_isAnswered) {
            continue;
        }
        const StatementRequest& request = pending->m_request;
        const CommandOutcome outcome = runJobCommand(next, request, wallNow);
        next.m_auditTail.push_back({wallNow, request.m_operator, outcome.m_subject, request.m_text,
                                    outcome.m_isAccepted ? "accepted" : "refused",
                                    outcome.m_message});
        pending->m_answer.m_status =
                outcome.m_isAccepted ? StatementStatus::DONE : StatementStatus::REFUSED;
        pending->m_answer.m_message = outcome.m_message;
        carried.push_back(pending);
    }
    return carried;
}

CommandOutcome ScheduleController::runJobCommand(ScheduleRecord& next,
                                                 const StatementRequest& request, Millis wallNow) {
    if (const auto* const submit = std::get_if<SubmitJob>(&request.m_statement)) {
        constexpr std::size_t FULL_BYTES = KeyValueService::MAX_VALUE_BYTES * 8 / 10;
        if (m_writer.getSize() > FULL_BYTES) {
            CommandOutcome full;
            full.m_subject = "job " + submit->m_name;
            full.m_message = "the schedule record is full; come back when jobs have ended";
            return full;
        }
        return submitJob(next.m_state, *submit, wallNow);
    }
    return withdrawJob(next.m_state, std::get<WithdrawJob>(request.m_statement), request.m_operator,
                       wallNow);
}

void ScheduleController::decide(ScheduleRecord& next, Millis wallNow) {
    m_policy.m_fragmentationWeight = m_configuration.get().m_fragmentationWeight;
    const Plan plan = Planner(m_policy).plan(next.m_state, wallNow);
    for (const Decision& decision : plan.m_decisions) {
        next.m_auditTail.push_back(makeDecisionEntry(decision));
        logEvent(Severity::DEBUG, "schedule", "decided",
                 {{"job", decision.m_job},
                  {"verdict", std::string(toText(decision.m_why.m_verdict))}});
    }
}

void ScheduleController::commit(ScheduleRecord next, std::vector<PendingPtr> carried) {
    const std::string id = m_random.token();
    next.mark(id);
    m_carried = std::move(carried);
    std::string bytes = encodeRecord(next);
    const auto onWritten = [this, next = std::move(next)](WriteResult result) {
        handleCommitted(next, std::exchange(m_carried, {}), result);
    };
    m_writer.write(std::move(bytes), containsMark(id), onWritten);
}

void ScheduleController::handleCommitted(const ScheduleRecord& next,
                                         const std::vector<PendingPtr>& carried,
                                         WriteResult result) {
    switch (result) {
        case WriteResult::COMMITTED:
            ++m_commits;
            m_isServiceDown = false;
            m_movedPage = 0;
            m_record = next;
            m_recordBytes = encodeRecord(m_record);
            for (const PendingPtr& pending : carried) {
                finish(pending, pending->m_answer);
            }
            m_driver.drive(m_record.m_state, m_loop.now());
            moveAuditPage();
            stepSoon(Millis(0));
            break;
        case WriteResult::UNAVAILABLE:
            m_isServiceDown = true;
            m_downSince = m_loop.now();
            refuseAll(carried, "the platform's key-value service is down", SCHEDULE_RETRY);
            stepSoon(SCHEDULE_RETRY);
            break;
        case WriteResult::TOO_LARGE:
            refuseAll(carried, "the schedule record is full", SCHEDULE_RETRY);
            break;
        case WriteResult::SUPERSEDED:
            refuseAll(carried, "another gateway leads now", SCHEDULE_RETRY);
            stepDown();
            if (m_onSuperseded) {
                m_onSuperseded();
            }
            break;
    }
}

void ScheduleController::moveAuditPage() {
    if (m_audit.isBusy() || !AuditPages::isDue(m_record)) {
        return;
    }
    m_audit.move(m_record, [this, page = m_record.m_nextAuditPage](bool isMoved) {
        m_movedPage = isMoved ? page : 0;
        stepSoon(Millis(0));
    });
}

}  // namespace pierbank
