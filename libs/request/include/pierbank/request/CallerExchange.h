// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_REQUEST_CALLEREXCHANGE_H
#define PIERBANK_REQUEST_CALLEREXCHANGE_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/** What became of a caller's request, as the `Pierbank-Outcome` header says. */
enum class CallerOutcome {
    /** The endpoint answered; the answer is whole. */
    RAN,
    /** It did not run and will not run. */
    NOT_RUN,
    /** It may have run, may be running or may still run. */
    UNKNOWN,
    /** It ran, but its answer could not be had whole. */
    FAILED,
};

std::string_view toText(CallerOutcome outcome);

/** A caller's request. */
struct CallerRequest {
    std::string m_service;
    std::string m_method;
    /** Path and query below the service. */
    std::string m_path;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
    std::string m_organisation;
    /** Milliseconds that the caller gives; zero: the default. */
    Millis m_timeout{0};
    /** `Pierbank-Repeat: never` */
    bool m_isMarkedNever = false;
    /** `Pierbank-Repeat: allowed`, or a method that HTTP defines as idempotent. */
    bool m_isRepeatable = false;
    /** The caller's own `Idempotency-Key`; empty: none. */
    std::string m_repeatKey;

    /** First header of this name, in any case; empty when there is none. */
    std::string_view getHeader(std::string_view name) const;
};

/** The final answer to a caller. */
struct CallerAnswer {
    std::uint32_t m_status = 0;
    CallerOutcome m_outcome = CallerOutcome::UNKNOWN;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
    /** For answers of the system's own, which become `application/problem+json`. */
    std::string m_detail;
    /** When to come back; zero: the header is left out. */
    Millis m_retryAfter{0};
    std::string m_requestId;
};

CallerAnswer makeNotRun(std::uint32_t status, std::string_view detail, Millis retryAfter);
CallerAnswer makeUnknown(std::uint32_t status, std::string_view detail);

/**
 * A request on its way through the filters. It is answered exactly once; whoever holds something
 * for it (a slot, a count) learns of the end by onDone().
 */
class CallerExchange {
public:
    using AnswerCallback = std::function<void(const CallerAnswer&)>;

    CallerExchange(CallerRequest request, Millis arrivedAt, AnswerCallback answer);

    const CallerRequest& getRequest() const noexcept { return m_request; }
    CallerRequest& getRequest() noexcept { return m_request; }

    /** Name of the request in its answer and in the log. */
    const std::string& getId() const noexcept { return m_id; }
    void setId(std::string id) { m_id = std::move(id); }

    /** Loop times. */
    Millis getArrivedAt() const noexcept { return m_arrivedAt; }
    Millis getDeadline() const noexcept { return m_deadline; }
    void setDeadline(Millis deadline) noexcept { m_deadline = deadline; }

    /** Gives the final answer; later ones are dropped. */
    void answer(const CallerAnswer& answer);

    /** The caller has gone: nobody gets an answer, but whoever holds something learns of it. */
    void abandon();

    /** Answered or abandoned. */
    bool isDone() const noexcept { return m_isDone; }
    bool isAbandoned() const noexcept { return m_isAbandoned; }

    /** Calls back at the end, with the answer if there is one. */
    using DoneCallback = std::function<void(const CallerAnswer* answer)>;
    void onDone(DoneCallback callback);

private:
    void finish(const CallerAnswer* answer);

    CallerRequest m_request;
    std::string m_id;
    Millis m_arrivedAt;
    Millis m_deadline{0};
    AnswerCallback m_answer;
    std::vector<DoneCallback> m_onDone;
    bool m_isDone = false;
    bool m_isAbandoned = false;
};

using CallerExchangePtr = std::shared_ptr<CallerExchange>;

}  // namespace pierbank

#endif  // PIERBANK_REQUEST_CALLEREXCHANGE_H
