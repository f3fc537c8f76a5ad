// SPDX-License-Identifier: Apache-2.0
#include "pierbank/request/CallerExchange.h"

#include <array>
#include <utility>

#include "pierbank/wire/HttpHeaders.h"

namespace pierbank {

std::string_view toText(CallerOutcome outcome) {
    constexpr std::array<std::string_view, 4> NAMES = {"ran", "not-run", "unknown", "failed"};
    return NAMES.at(static_cast<std::size_t>(outcome));
}

std::string_view CallerRequest::getHeader(std::string_view name) const {
    return findHeader(m_headers, name);
}

CallerAnswer makeNotRun(std::uint32_t status, std::string_view detail, Millis retryAfter) {
    CallerAnswer answer;
    answer.m_status = status;
    answer.m_outcome = CallerOutcome::NOT_RUN;
    answer.m_detail = detail;
    answer.m_retryAfter = retryAfter;
    return answer;
}

CallerAnswer makeUnknown(std::uint32_t status, std::string_view detail) {
    CallerAnswer answer;
    answer.m_status = status;
    answer.m_outcome = CallerOutcome::UNKNOWN;
    answer.m_detail = detail;
    return answer;
}

CallerExchange::CallerExchange(CallerRequest request, Millis arrivedAt, AnswerCallback answer)
        : m_request(std::move(request)), m_arrivedAt(arrivedAt), m_answer(std::move(answer)) {}

void CallerExchange::answer(const CallerAnswer& answer) {
    if (m_isDone) {
        return;
    }
    m_isDone = true;
    CallerAnswer named = answer;
    named.m_requestId = m_id;
    const AnswerCallback callback = std::exchange(m_answer, nullptr);
    callback(named);
    finish(&named);
}

void CallerExchange::abandon() {
    if (m_isDone) {
        return;
    }
    m_isDone = true;
    m_isAbandoned = true;
    m_answer = nullptr;
    finish(nullptr);
}

void CallerExchange::onDone(DoneCallback callback) {
    m_onDone.push_back(std::move(callback));
}

void CallerExchange::finish(const CallerAnswer* answer) {
    const auto callbacks = std::exchange(m_onDone, {});
    for (const DoneCallback& callback : callbacks) {
        callback(answer);
    }
}

}  // namespace pierbank
