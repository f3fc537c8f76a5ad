// SPDX-License-Identifier: Apache-2.0
#include "pierbank/sidecar/RequestGuard.h"

#include <algorithm>
#include <utility>

namespace pierbank {

namespace {

std::size_t getAnswerBytes(const Frame& result) {
    const auto* const answer = std::get_if<ForwardAnswer>(&result);
    return answer == nullptr ? 0 : answer->m_body.size();
}

}  // namespace

RequestGuard::RequestGuard(EventLoop& loop, EndpointPort& endpoint, RequestGuardSettings settings,
                           SendCallback send)
        : m_loop(loop), m_endpoint(endpoint), m_settings(settings), m_send(std::move(send)) {}

RequestGuard::~RequestGuard() {
    *m_isAlive = false;
}

RequestGuard::Entry* RequestGuard::find(const RequestId& id) {
    const auto gateway = m_gateways.find(id.m_gateway);
    if (gateway == m_gateways.end()) {
        return nullptr;
    }
    const auto entry = gateway->second.m_entries.find(id.m_number);
    return entry == gateway->second.m_entries.end() ? nullptr : &entry->second;
}

bool RequestGuard::isForgotten(const RequestId& id) {
    return id.m_number <= m_gateways[id.m_gateway].m_floor;
}

void RequestGuard::handle(const ForwardRequest& request) {
    const RequestId& id = request.m_id;
    if (const Entry* const known = find(id)) {
        if (known->m_stage == Stage::FINISHED) {
            m_send(id.m_gateway, known->m_result);
        }
        return;
    }
    if (isForgotten(id)) {
        m_send(id.m_gateway, FateReport{id, RequestFate::UNKNOWN, "too old to be known", false});
        return;
    }
    Entry& entry = m_gateways[id.m_gateway].m_entries[id.m_number];
    entry.m_request = request;
    entry.m_deadline = m_loop.now() + Millis(static_cast<std::int64_t>(request.m_remainingMs));
    if (m_isLeaving) {
        finishAs(id, RequestFate::NOT_RUN, "the endpoint is leaving");
    } else if (m_running < m_settings.m_slots) {
        run(id, entry);
    } else if (m_running + m_waiting.size() < m_settings.m_connections) {
        m_waiting.push_back(id);
        expireLater(id, entry);
        notifyLoad();
    } else {
        finishAs(id, RequestFate::NOT_RUN, "the endpoint is full");
    }
}

void RequestGuard::expireLater(const RequestId& id, const Entry& entry) {
    m_loop.callLater(entry.m_deadline - m_loop.now(), [this, alive = m_isAlive, id] {
        if (*alive) {
            dropWaiting(id, "its time was over before its turn came");
        }
    });
}

void RequestGuard::dropWaiting(const RequestId& id, std::string_view reason) {
    const auto waiting = std::find(m_waiting.begin(), m_waiting.end(), id);
    if (waiting == m_waiting.end()) {
        return;
    }
    m_waiting.erase(waiting);
    finishAs(id, RequestFate::NOT_RUN, reason);
    notifyLoad();
}

void RequestGuard::handle(const FateQuery& query) {
    const RequestId& id = query.m_id;
    const Entry* const known = find(id);
    if (known == nullptr && isForgotten(id)) {
        m_send(id.m_gateway, FateReport{id, RequestFate::UNKNOWN, "too old to be known", false});
    } else if (known == nullptr) {
        m_gateways[id.m_gateway].m_entries[id.m_number];
        finishAs(id, RequestFate::NOT_RUN, "it never came here, and will not run here");
    } else if (known->m_stage == Stage::FINISHED) {
        m_send(id.m_gateway, known->m_result);
    } else {
        m_send(id.m_gateway, FateReport{id, RequestFate::RUNNING, "", false});
    }
}

void RequestGuard::handle(const CancelRequest& cancel) {
    const RequestId& id = cancel.m_id;
    const Entry* const known = find(id);
    if (known == nullptr && !isForgotten(id)) {
        m_gateways[id.m_gateway].m_entries[id.m_number];
        finishAs(id, RequestFate::NOT_RUN, "cancelled");
    } else if (known != nullptr && known->m_stage == Stage::WAITING) {
        dropWaiting(id, "cancelled");
    }
}

void RequestGuard::run(const RequestId& id, Entry& entry) {
    const Millis remaining = entry.m_deadline - m_loop.now();
    if (remaining <= Millis(0)) {
        finishAs(id, RequestFate::NOT_RUN, "its time was over before its turn came");
        return;
    }
    entry.m_stage = Stage::RUNNING;
    ++m_running;
    EndpointRequest call;
    call.m_method = std::move(entry.m_request.m_method);
    call.m_path = std::move(entry.m_request.m_path);
    call.m_headers = std::move(entry.m_request.m_headers);
    call.m_body = std::move(entry.m_request.m_body);
    call.m_timeout = remaining;
    call.m_neverRepeat = entry.m_request.m_neverRepeat;
    m_endpoint.send(call, [this, alive = m_isAlive, id](const EndpointReply& reply) {
        if (*alive) {
            handleReply(id, reply);
        }
    });
    notifyLoad();
}

void RequestGuard::handleReply(const RequestId& id, const EndpointReply& reply) {
    --m_running;
    switch (reply.m_outcome) {
        case EndpointOutcome::ANSWERED:
            finish(id, ForwardAnswer{id, reply.m_status, reply.m_headers, reply.m_body});
            break;
        case EndpointOutcome::NOT_SENT:
            finish(id, FateReport{id, RequestFate::NOT_RUN, "the endpoint refused the connection",
                                  true});
            break;
        case EndpointOutcome::CUT:
            finish(id, FateReport{id, RequestFate::UNKNOWN,
                                  "no whole answer came: " + reply.m_reason, true});
            break;
    }
    runNext();
    notifyLoad();
}

void RequestGuard::runNext() {
    while (!m_waiting.empty() && m_running < m_settings.m_slots) {
        const RequestId id = m_waiting.front();
        m_waiting.pop_front();
        Entry* const entry = find(id);
        if (entry != nullptr) {
            run(id, *entry);
        }
    }
}

void RequestGuard::finishAs(const RequestId& id, RequestFate fate, std::string_view reason) {
    finish(id, FateReport{id, fate, std::string(reason), false});
}

void RequestGuard::finish(const RequestId& id, Frame result) {
    Entry* const entry = find(id);
    if (entry == nullptr) {
        return;
    }
    m_send(id.m_gateway, result);
    m_answerBytes += getAnswerBytes(result);
    entry->m_stage = Stage::FINISHED;
    entry->m_request = ForwardRequest();
    entry->m_result = std::move(result);
    Gateway& gateway = m_gateways[id.m_gateway];
    gateway.m_finished.push_back(id.m_number);
    while (gateway.m_finished.size() > MAX_FINISHED ||
           (m_answerBytes > MAX_ANSWER_BYTES && !gateway.m_finished.empty())) {
        forgetOldest(gateway);
    }
}

void RequestGuard::forgetOldest(Gateway& gateway) {
    const std::uint64_t oldest = gateway.m_finished.front();
    gateway.m_finished.pop_front();
    const auto found = gateway.m_entries.find(oldest);
    m_answerBytes -= getAnswerBytes(found->second.m_result);
    gateway.m_entries.erase(found);
    gateway.m_floor = std::max(gateway.m_floor, oldest);
}

void RequestGuard::forgetGateway(const std::string& gateway) {
    const auto found = m_gateways.find(gateway);
    if (found == m_gateways.end()) {
        return;
    }
    while (!found->second.m_finished.empty()) {
        forgetOldest(found->second);
    }
    if (found->second.m_entries.empty()) {
        m_gateways.erase(found);
    }
}

void RequestGuard::leave() {
    m_isLeaving = true;
    notifyLoad();
}

LoadReport RequestGuard::getLoad() const {
    LoadReport load;
    load.m_slots = m_settings.m_slots;
    load.m_running = m_running;
    load.m_waiting = static_cast<std::uint32_t>(m_waiting.size());
    load.m_isLeaving = m_isLeaving;
    return load;
}

void RequestGuard::notifyLoad() {
    if (m_onLoadChanged) {
        m_onLoadChanged();
    }
}

}  // namespace pierbank
