// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/PendingOrders.h"

#include <vector>

#include "pierbank/base/Log.h"
#include "pierbank/control/StartRefusals.h"

namespace pierbank {

namespace {

std::string_view toText(WorkerStatus status) {
    switch (status) {
        case WorkerStatus::OK:
            return "ok";
        case WorkerStatus::REFUSED:
            return "refused";
        case WorkerStatus::OTHER_INCARNATION:
            return "other-life";
        case WorkerStatus::UNKNOWN:
            break;
    }
    return "unknown";
}

}  // namespace

void PendingOrders::clear() {
    m_term = std::make_shared<bool>(true);
    m_orders.clear();
}

void PendingOrders::start(const TaskKey& task, const RunOrder& order) {
    const auto [place, isNew] = m_orders.try_emplace({task, order.m_run});
    if (isNew) {
        place->second.m_start = order;
        place->second.m_receivedAt = m_loop.now();
        sendWaitingStarts();
    }
}

void PendingOrders::sendWaitingStarts() {
    const auto until = m_context.getStartLease();
    if (!until.has_value()) {
        return;
    }
    std::vector<RunKey> ready;
    for (const auto& [key, order] : m_orders) {
        if (!order.m_isPreventingStart && !order.m_isSent) {
            ready.push_back(key);
        }
    }
    for (const RunKey& key : ready) {
        Order& order = m_orders[key];
        if (m_loop.now() - order.m_receivedAt > m_settings.m_maxOrderAge) {
            preventStart(key.first, key.second, absence::ORDER_TOO_OLD);
        } else {
            sendStart(key, order, *until);
        }
    }
}

void PendingOrders::sendStart(const RunKey& key, Order& order, Millis until) {
    order.m_isSent = true;
    order.m_fence = getFence();
    ++order.m_tries;
    StartCall start;
    start.m_task = key.first;
    start.m_run = key.second;
    start.m_payload = order.m_start.m_payload;
    start.m_checkpoint = order.m_start.m_checkpoint;
    start.m_ticket = order.m_start.m_ticket;
    start.m_until = until;
    m_context.recordSent(key.first, key.second);
    m_worker.start(m_context.getCall(), start,
                   [this, key, term = std::weak_ptr(m_term)](const RunReply& reply) {
                       if (!term.expired()) {
                           handleStarted(key, reply);
                       }
                   });
}

/** Handles the answer to a start: repeats the start or, after the last attempt, prevents it. */
void PendingOrders::handleStarted(const RunKey& key, const RunReply& reply) {
    const auto found = m_orders.find(key);
    if (found == m_orders.end() || found->second.m_isPreventingStart) {
        return;
    }
    Order& order = found->second;
    logEvent(reply.m_status == WorkerStatus::OK ? Severity::INFO : Severity::WARNING, "agent",
             "start",
             {{"task", key.first.toText()},
              {"run", std::to_string(key.second)},
              {"worker", m_context.getCall().m_id},
              {"fence", std::to_string(order.m_fence)},
              {"try", std::to_string(order.m_tries)},
              {"status", std::string(toText(reply.m_status))},
              {"reason", reply.m_reason}});
    if (reply.m_status == WorkerStatus::OK) {
        m_context.recordStarted(key.first, key.second);
        m_orders.erase(found);
        return;
    }
    if (reply.m_status == WorkerStatus::REFUSED && order.m_tries == 1) {
        m_context.recordRefused(key.first, key.second);
    }
    const bool hasStaleFence = reply.m_reason == "fence" && order.m_fence < getFence();
    const bool mayRetry =
            reply.m_status == WorkerStatus::UNKNOWN || reply.m_reason == "late" || hasStaleFence;
    if (mayRetry && order.m_tries < m_settings.m_maxStartTries) {
        order.m_isSent = false;
        sendWaitingStarts();
        return;
    }
    preventStart(key.first, key.second,
                 reply.m_reason.empty() ? absence::NO_ANSWER : std::string_view(reply.m_reason));
}

void PendingOrders::preventStart(const TaskKey& task, std::uint32_t run, std::string_view reason) {
    Order& order = m_orders[{task, run}];
    if (order.m_isPreventingStart) {
        return;
    }
    order.m_isPreventingStart = true;
    order.m_reason = reason;
    sendStop({task, run});
}

void PendingOrders::sendStop(const RunKey& key) {
    m_orders[key].m_fence = getFence();
    m_worker.stop(m_context.getCall(), key.first, key.second,
                  [this, key, term = std::weak_ptr(m_term)](const RunReply& reply) {
                      if (!term.expired()) {
                          handleStopped(key, reply);
                      }
                  });
}

/**
 * Handles the answer to a stop: requests a poll that shows the effect of the stop, or repeats the
 * stop. The order is dropped if the worker has been called with a higher fence than the present
 * fence of this sidecar.
 */
void PendingOrders::handleStopped(const RunKey& key, const RunReply& reply) {
    const auto found = m_orders.find(key);
    if (found == m_orders.end()) {
        return;
    }
    if (reply.m_status == WorkerStatus::OK) {
        found->second.m_checkPoll = m_context.pollAgain();
        return;
    }
    logEvent(Severity::WARNING, "agent", "stop-failed",
             {{"task", key.first.toText()},
              {"run", std::to_string(key.second)},
              {"reason", reply.m_reason}});
    if (reply.m_status == WorkerStatus::REFUSED && reply.m_reason == "fence") {
        if (found->second.m_fence < getFence()) {
            // A later call of this sidecar, with a higher fence, has reached the worker first.
            sendStop(key);
        } else {
            m_orders.erase(found);
        }
        return;
    }
    m_loop.callLater(m_settings.m_retryDelay, [this, key, term = std::weak_ptr(m_term)] {
        if (!term.expired() && m_orders.count(key) != 0) {
            sendStop(key);
        }
    });
}

/**
 * Removes starts whose runs are listed. Such a run has started even if the answer to its start was
 * lost. Another attempt could only start the run a second time, in the next process of the worker.
 */
void PendingOrders::removeStarted() {
    std::erase_if(m_orders, [this](const auto& entry) {
        const auto& [key, order] = entry;
        return !order.m_isPreventingStart && order.m_isSent &&
               (m_context.isListed(key.first, key.second) ||
                m_context.isEnded(key.first, key.second));
    });
}

void PendingOrders::handlePoll(std::uint64_t number) {
    removeStarted();
    std::vector<std::pair<RunKey, std::string>> done;
    for (const auto& [key, order] : m_orders) {
        const bool isChecked = order.m_checkPoll != 0 && number >= order.m_checkPoll;
        const bool isOutcomeKnown =
                m_context.areAllRunsListed() || m_context.isEnded(key.first, key.second);
        if (isChecked && isOutcomeKnown && !m_context.isListed(key.first, key.second)) {
            done.emplace_back(key, order.m_reason);
        }
    }
    for (const auto& [key, reason] : done) {
        m_orders.erase(key);
        if (!m_context.isEnded(key.first, key.second)) {
            m_context.reportAbsent(key.first, key.second, reason);
        }
    }
}

}  // namespace pierbank
