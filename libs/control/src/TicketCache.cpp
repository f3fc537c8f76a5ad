// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/TicketCache.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "pierbank/base/Log.h"

namespace pierbank {

std::string StepKey::toText() const {
    return m_job + "." + std::to_string(m_occurrence) + "." + std::to_string(m_step);
}

void TicketCache::clear() {
    m_term = std::make_shared<bool>(true);
    m_steps.clear();
    m_isQuerying = false;
}

void TicketCache::setRequests(const std::vector<TicketRequest>& requests) {
    std::set<StepKey> requested;
    for (const TicketRequest& request : requests) {
        requested.insert(request.m_step);
        m_steps[request.m_step].m_request = request;
    }
    std::erase_if(m_steps, [&](const auto& entry) { return requested.count(entry.first) == 0; });
    sendNextQuery();
}

AdvisedWorkers TicketCache::getAdvisedWorkers(const std::string& job) const {
    AdvisedWorkers advised;
    for (auto it = m_steps.lower_bound({job, 0, 0}); it != m_steps.end(); ++it) {
        const auto& [key, step] = *it;
        if (key.m_job != job) {
            break;
        }
        for (const auto& [incarnation, answer] : step.m_answers) {
            if (!getTicket(key, incarnation).empty()) {
                advised[{key.m_occurrence, key.m_step}].insert(incarnation);
            }
        }
    }
    return advised;
}

std::string TicketCache::getTicket(const StepKey& step, const std::string& incarnation) const {
    const auto found = m_steps.find(step);
    if (found == m_steps.end()) {
        return {};
    }
    const auto answer = found->second.m_answers.find(incarnation);
    const bool isValid = answer != found->second.m_answers.end() &&
                         answer->second.m_until > m_loop.now() + m_settings.m_minValidity;
    return isValid ? answer->second.m_ticket : std::string();
}

void TicketCache::dropTicket(const StepKey& step, const std::string& incarnation) {
    const auto found = m_steps.find(step);
    if (found != m_steps.end()) {
        found->second.m_answers.erase(incarnation);
    }
}

/** Returns whether there is no answer for the worker, or its ticket is about to expire. */
bool TicketCache::mustQuery(const Step& step, const std::string& incarnation) const {
    const auto answer = step.m_answers.find(incarnation);
    if (answer == step.m_answers.end()) {
        return true;
    }
    const Millis renewalTime = step.m_request.m_policy.m_decisionTime + m_settings.m_minValidity;
    return !answer->second.m_ticket.empty() && answer->second.m_until <= m_loop.now() + renewalTime;
}

std::vector<std::string> TicketCache::listToQuery(const Step& step) const {
    std::vector<std::string> toQuery;
    for (const std::string& incarnation : step.m_request.m_incarnations) {
        if (toQuery.size() < m_settings.m_maxBatchSize && mustQuery(step, incarnation)) {
            toQuery.push_back(incarnation);
        }
    }
    return toQuery;
}

/** Sends a query for the step that comes first, unless a query is already under way. */
void TicketCache::sendNextQuery() {
    if (m_isQuerying) {
        return;
    }
    const auto rankOf = [](const auto& entry) {
        const Step& step = entry.second;
        return std::make_tuple(step.m_request.m_priority, step.m_queryCount,
                               std::cref(entry.first));
    };
    const StepKey* next = nullptr;
    std::vector<std::string> incarnations;
    for (auto& entry : m_steps) {
        if (next != nullptr && !(rankOf(entry) < rankOf(*m_steps.find(*next)))) {
            continue;
        }
        std::vector<std::string> toQuery = listToQuery(entry.second);
        if (!toQuery.empty()) {
            next = &entry.first;
            incarnations = std::move(toQuery);
        }
    }
    if (next != nullptr) {
        sendQuery(*next, m_steps.at(*next), std::move(incarnations));
    }
}

void TicketCache::sendQuery(const StepKey& key, Step& step, std::vector<std::string> incarnations) {
    m_isQuerying = true;
    ++step.m_queryCount;
    const AdvicePolicy& policy = step.m_request.m_policy;
    const Millis timeout =
            policy.m_decisionTime +
            policy.m_decisionTimePerWorker * static_cast<std::int64_t>(incarnations.size()) +
            m_settings.m_timeoutMargin;
    const Millis sentAt = m_loop.now();
    m_advisor.advise(key.toText(), incarnations, timeout,
                     [this, key, incarnations, sentAt,
                      term = std::weak_ptr(m_term)](const AdviceReply& reply) {
                         if (!term.expired()) {
                             handleReply(key, incarnations, sentAt, reply);
                         }
                     });
}

void TicketCache::handleReply(const StepKey& key, const std::vector<std::string>& incarnations,
                              Millis sentAt, const AdviceReply& reply) {
    logEvent(reply.m_isComplete ? Severity::INFO : Severity::WARNING, "advice",
             reply.m_isComplete ? "answered" : "failed",
             {{"step", key.toText()},
              {"asked", std::to_string(incarnations.size())},
              {"good", std::to_string(reply.m_workers.size())},
              {"took_ms", std::to_string((m_loop.now() - sentAt).count())},
              {"reason", reply.m_reason}});
    if (!reply.m_isComplete) {
        m_loop.callLater(m_settings.m_retryDelay, [this, term = std::weak_ptr(m_term)] {
            if (!term.expired()) {
                m_isQuerying = false;
                sendNextQuery();
            }
        });
        return;
    }
    m_isQuerying = false;
    const auto found = m_steps.find(key);
    if (found != m_steps.end()) {
        Step& step = found->second;
        for (const std::string& incarnation : incarnations) {
            step.m_answers[incarnation] = Answer();
        }
        // The advisor cannot have issued the ticket before the query was sent.
        const Millis until = sentAt + step.m_request.m_policy.m_ticketLifetime;
        for (const AdvisedWorker& worker : reply.m_workers) {
            step.m_answers[worker.m_incarnation] = {worker.m_ticket, until};
        }
    }
    sendNextQuery();
    m_onTicketsChanged();
}

}  // namespace pierbank
