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
    m_isAsking = false;
}

void TicketCache::setRequests(const std::vector<TicketRequest>& wishes) {
    std::set<StepKey> wanted;
    for (const TicketRequest& wish : wishes) {
        wanted.insert(wish.m_step);
        m_steps[wish.m_step].m_wish = wish;
    }
    std::erase_if(m_steps, [&](const auto& entry) { return wanted.count(entry.first) == 0; });
    pump();
}

AdvisedWorkers TicketCache::getAdvised(const std::string& job) const {
    AdvisedWorkers advised;
    for (auto it = m_steps.lower_bound({job, 0, 0}); it != m_steps.end(); ++it) {
        const auto& [key, step] = *it;
        if (key.m_job != job) {
            break;
        }
        for (const auto& [incarnation, verdict] : step.m_verdicts) {
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
    const auto verdict = found->second.m_verdicts.find(incarnation);
    const bool isGood = verdict != found->second.m_verdicts.end() &&
                        verdict->second.m_until > m_loop.now() + m_settings.m_margin;
    return isGood ? verdict->second.m_ticket : std::string();
}

void TicketCache::dropTicket(const StepKey& step, const std::string& incarnation) {
    const auto found = m_steps.find(step);
    if (found != m_steps.end()) {
        found->second.m_verdicts.erase(incarnation);
    }
}

/** Nothing is known of the worker, or its ticket runs out. */
bool TicketCache::isOpen(const Step& step, const std::string& incarnation) const {
    const auto verdict = step.m_verdicts.find(incarnation);
    if (verdict == step.m_verdicts.end()) {
        return true;
    }
    const Millis answerTime = step.m_wish.m_policy.m_decide + m_settings.m_margin;
    return !verdict->second.m_ticket.empty() &&
           verdict->second.m_until <= m_loop.now() + answerTime;
}

std::vector<std::string> TicketCache::listOpen(const Step& step) const {
    std::vector<std::string> open;
    for (const std::string& incarnation : step.m_wish.m_incarnations) {
        if (open.size() < m_settings.m_batch && isOpen(step, incarnation)) {
            open.push_back(incarnation);
        }
    }
    return open;
}

void TicketCache::pump() {
    if (m_isAsking) {
        return;
    }
    const auto rankOf = [](const auto& entry) {
        const Step& step = entry.second;
        return std::make_tuple(step.m_wish.m_priority, step.m_questions, std::cref(entry.first));
    };
    const StepKey* next = nullptr;
    std::vector<std::string> incarnations;
    for (auto& entry : m_steps) {
        if (next != nullptr && !(rankOf(entry) < rankOf(*m_steps.find(*next)))) {
            continue;
        }
        std::vector<std::string> open = listOpen(entry.second);
        if (!open.empty()) {
            next = &entry.first;
            incarnations = std::move(open);
        }
    }
    if (next != nullptr) {
        ask(*next, m_steps.at(*next), std::move(incarnations));
    }
}

void TicketCache::ask(const StepKey& key, Step& step, std::vector<std::string> incarnations) {
    m_isAsking = true;
    ++step.m_questions;
    const AdvicePolicy& policy = step.m_wish.m_policy;
    const Millis patience = policy.m_decide +
                            policy.m_each * static_cast<std::int64_t>(incarnations.size()) +
                            m_settings.m_patience;
    const Millis askedAt = m_loop.now();
    m_advisor.advise(key.toText(), incarnations, patience,
                     [this, key, incarnations, askedAt,
                      term = std::weak_ptr(m_term)](const AdviceReply& reply) {
                         if (!term.expired()) {
                             handleReply(key, incarnations, askedAt, reply);
                         }
                     });
}

void TicketCache::handleReply(const StepKey& key, const std::vector<std::string>& incarnations,
                              Millis askedAt, const AdviceReply& reply) {
    logEvent(reply.m_isGood ? Severity::INFO : Severity::WARNING, "advice",
             reply.m_isGood ? "answered" : "failed",
             {{"step", key.toText()},
              {"asked", std::to_string(incarnations.size())},
              {"good", std::to_string(reply.m_workers.size())},
              {"took_ms", std::to_string((m_loop.now() - askedAt).count())},
              {"reason", reply.m_reason}});
    if (!reply.m_isGood) {
        m_loop.callLater(m_settings.m_pause, [this, term = std::weak_ptr(m_term)] {
            if (!term.expired()) {
                m_isAsking = false;
                pump();
            }
        });
        return;
    }
    m_isAsking = false;
    const auto found = m_steps.find(key);
    if (found != m_steps.end()) {
        Step& step = found->second;
        for (const std::string& incarnation : incarnations) {
            step.m_verdicts[incarnation] = Verdict();
        }
        // The time of asking is the earliest at which the ticket can have been given.
        const Millis until = askedAt + step.m_wish.m_policy.m_valid;
        for (const AdvisedWorker& worker : reply.m_workers) {
            step.m_verdicts[worker.m_incarnation] = {worker.m_ticket, until};
        }
    }
    pump();
    m_onTicketsChanged();
}

}  // namespace pierbank
