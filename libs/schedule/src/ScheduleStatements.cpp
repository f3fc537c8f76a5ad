// SPDX-License-Identifier: Apache-2.0
// The part of ScheduleController that answers operators.
#include <algorithm>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/schedule/Queries.h"
#include "pierbank/schedule/ScheduleController.h"

namespace pierbank {

namespace {

constexpr Millis RETRY_AFTER{1000};
/** Statements that may wait for their turn; more are refused at once. */
constexpr std::size_t MAX_WAITING = 1000;

StatementAnswer makeAnswer(StatementStatus status, std::string message) {
    StatementAnswer answer;
    answer.m_status = status;
    answer.m_message = std::move(message);
    if (status == StatementStatus::NOT_RUN || status == StatementStatus::UNKNOWN) {
        answer.m_retryAfter = RETRY_AFTER;
    }
    return answer;
}

StatementAnswer toAnswer(const std::optional<std::string>& text, const Reason& reason) {
    return text.has_value() ? makeAnswer(StatementStatus::DONE, *text)
                            : makeAnswer(StatementStatus::REFUSED, reason);
}

}  // namespace

void ScheduleController::execute(StatementRequest request, StatementCallback done) {
    if (!isLeading()) {
        done(makeAnswer(StatementStatus::NOT_RUN, "this gateway does not lead the region"));
        return;
    }
    if (!isChange(request.m_statement)) {
        answerQuery(request, done);
        return;
    }
    if (m_isServiceDown || m_writer.isUncertain() || m_configuration.isUncertain()) {
        done(makeAnswer(StatementStatus::NOT_RUN,
                        "not run: the platform's key-value service is down or slow; running jobs "
                        "go on, changes are refused until it answers"));
        return;
    }
    if (m_jobCommands.size() + m_configurationCommands.size() >= MAX_WAITING) {
        done(makeAnswer(StatementStatus::NOT_RUN, "not run: too many statements wait"));
        return;
    }
    enqueue(std::move(request), std::move(done));
}

void ScheduleController::enqueue(StatementRequest request, StatementCallback done) {
    const auto pending = std::make_shared<Pending>();
    const bool isForConfiguration = isConfigurationChange(request.m_statement);
    if (request.m_seenVersion == 0) {
        request.m_seenVersion = m_configuration.get().m_version;
    }
    pending->m_request = std::move(request);
    pending->m_done = std::move(done);
    pending->m_patience =
            m_loop.callLater(m_settings.m_statementPatience, [this, pending] { giveUp(pending); });
    if (isForConfiguration) {
        m_configurationCommands.push_back(pending);
    } else {
        m_jobCommands.push_back(pending);
    }
    stepSoon(m_settings.m_commitDelay);
}

void ScheduleController::giveUp(const PendingPtr& pending) {
    pending->m_patience = TimerId::NONE;
    const auto isWaiting = [&](const std::deque<PendingPtr>& queue) {
        return std::find(queue.begin(), queue.end(), pending) != queue.end();
    };
    if (isWaiting(m_jobCommands) || isWaiting(m_configurationCommands)) {
        // Marked as answered, it will not be run when its turn comes.
        finish(pending, makeAnswer(StatementStatus::NOT_RUN,
                                   "not run: the platform's key-value service does not answer"));
        return;
    }
    finish(pending,
           makeAnswer(StatementStatus::UNKNOWN,
                      "unknown: the write's answer was lost and the platform's key-value service "
                      "does not say; look with `show` before repeating it"));
}

void ScheduleController::finish(const PendingPtr& pending, const StatementAnswer& answer) {
    if (pending->m_isAnswered) {
        return;
    }
    pending->m_isAnswered = true;
    m_loop.cancel(pending->m_patience);
    pending->m_done(answer);
}

void ScheduleController::refuseAll(const std::vector<PendingPtr>& carried, std::string_view why,
                                   Millis retryAfter) {
    StatementAnswer answer = makeAnswer(StatementStatus::NOT_RUN, "not run: " + std::string(why));
    answer.m_retryAfter = retryAfter;
    for (const PendingPtr& pending : carried) {
        finish(pending, answer);
    }
}

void ScheduleController::startConfigurationChange() {
    while (!m_configurationCommands.empty() && !m_configuration.isBusy()) {
        const PendingPtr pending = m_configurationCommands.front();
        m_configurationCommands.pop_front();
        if (pending->m_isAnswered) {
            continue;
        }
        Configuration next = m_configuration.get();
        const CommandOutcome outcome = makeConfiguration(next, pending->m_request);
        if (!outcome.m_isAccepted) {
            auditRefusal(pending->m_request, outcome);
            finish(pending, makeAnswer(StatementStatus::REFUSED, outcome.m_message));
            continue;
        }
        const auto onWritten = [this, pending, alive = m_isAlive,
                                message = outcome.m_message](WriteResult result) {
            if (*alive) {
                handleConfigurationWritten(pending, message, result);
            }
        };
        m_configuration.write(std::move(next), onWritten);
    }
}

CommandOutcome ScheduleController::makeConfiguration(Configuration& next,
                                                     const StatementRequest& request) {
    CommandOutcome outcome = changeConfiguration(next, m_record.m_state, request.m_statement);
    const ConfigurationChange* const conflict = m_configuration.get().findConflict(
            outcome.m_subject, request.m_seenVersion, request.m_operator);
    if (conflict != nullptr) {
        outcome.m_isAccepted = false;
        outcome.m_message = "lost to `" + conflict->m_statement + "` by " + conflict->m_operator +
                            " (version " + std::to_string(conflict->m_version) +
                            "), which was accepted first; look at it and decide again";
        return outcome;
    }
    if (!outcome.m_isAccepted) {
        return outcome;
    }
    ++next.m_version;
    next.m_changes.push_back({m_random.token(), next.m_version, m_loop.wallNow(),
                              request.m_operator, request.m_text, outcome.m_subject, outcome.m_from,
                              outcome.m_to});
    if (next.m_changes.size() > MAX_KEPT_CHANGES) {
        next.m_changes.erase(next.m_changes.begin());
    }
    return outcome;
}

void ScheduleController::handleConfigurationWritten(const PendingPtr& pending,
                                                    const std::string& message,
                                                    WriteResult result) {
    switch (result) {
        case WriteResult::COMMITTED:
            finish(pending,
                   makeAnswer(StatementStatus::DONE,
                              message + " (configuration version " +
                                      std::to_string(m_configuration.get().m_version) + ")"));
            break;
        case WriteResult::SUPERSEDED:
            finish(pending, makeAnswer(StatementStatus::NOT_RUN,
                                       "not run: another change was accepted first"));
            break;
        case WriteResult::UNAVAILABLE:
            m_isServiceDown = true;
            m_downSince = m_loop.now();
            finish(pending, makeAnswer(StatementStatus::NOT_RUN,
                                       "not run: the platform's key-value service is down"));
            break;
        case WriteResult::TOO_LARGE:
            finish(pending, makeAnswer(StatementStatus::REFUSED,
                                       "the configuration is over the service's limit"));
            break;
    }
    stepSoon(Millis(0));
}

void ScheduleController::auditRefusal(const StatementRequest& request,
                                      const CommandOutcome& outcome) {
    m_refusals.push_back({m_loop.wallNow(), request.m_operator, outcome.m_subject, request.m_text,
                          "refused", outcome.m_message});
    stepSoon(m_settings.m_commitDelay);
}

void ScheduleController::answerQuery(const StatementRequest& request,
                                     const StatementCallback& done) {
    const ClusterState& state = m_record.m_state;
    const Millis now = m_loop.wallNow();
    const Planner planner(m_policy);
    Reason reason;
    if (const auto* const query = std::get_if<Show>(&request.m_statement)) {
        if (query->m_subject == Subject::AUDIT) {
            showAudit(*query, done);
        } else {
            done(show(*query));
        }
    } else if (const auto* const whyJob = std::get_if<WhyJob>(&request.m_statement)) {
        done(toAnswer(explainJob(state, whyJob->m_name, planner, now, reason), reason));
    } else if (const auto* const whyWorker = std::get_if<WhyWorker>(&request.m_statement)) {
        done(toAnswer(explainWorker(state, whyWorker->m_name, now, reason), reason));
    } else if (const auto* const why = std::get_if<WhyOrganisation>(&request.m_statement)) {
        done(toAnswer(explainOrganisation(state, why->m_name, reason), reason));
    } else if (const auto* const check = std::get_if<SubmitJob>(&request.m_statement)) {
        const CommandOutcome outcome = checkSubmit(state, *check, planner, now);
        done(makeAnswer(outcome.m_isAccepted ? StatementStatus::DONE : StatementStatus::REFUSED,
                        outcome.m_message));
    } else {
        done(makeAnswer(StatementStatus::INVALID, "not a statement for the schedule"));
    }
}

StatementAnswer ScheduleController::show(const Show& show) const {
    const ClusterState& state = m_record.m_state;
    Table table;
    switch (show.m_subject) {
        case Subject::JOBS:
            table = makeJobTable(state, m_loop.wallNow());
            break;
        case Subject::ORGANISATIONS:
            table = makeOrganisationTable(state);
            break;
        case Subject::WORKERS:
            table = makeWorkerTable(state);
            break;
        case Subject::RACKS:
            table = makeRackTable(state);
            break;
        default:
            return makeAnswer(StatementStatus::INVALID, "not a query for the schedule");
    }
    return makeTableAnswer(std::move(table), show);
}

void ScheduleController::showAudit(const Show& show, StatementCallback done) {
    m_audit.read(m_record, [this, show, done = std::move(done),
                            alive = m_isAlive](const std::vector<AuditEntry>& entries) {
        if (*alive) {
            done(makeTableAnswer(makeAuditTable(entries, m_loop.wallNow()), show));
        }
    });
}

StatementAnswer makeTableAnswer(Table table, const Show& show) {
    Reason reason;
    auto selected = selectRows(std::move(table), show, reason);
    if (!selected.has_value()) {
        return makeAnswer(StatementStatus::INVALID, reason);
    }
    StatementAnswer answer = makeAnswer(StatementStatus::DONE, {});
    answer.m_table = std::move(selected);
    return answer;
}

}  // namespace pierbank
