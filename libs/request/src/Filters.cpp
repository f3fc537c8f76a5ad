// SPDX-License-Identifier: Apache-2.0
#include "pierbank/request/Filters.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "pierbank/platform/HttpStatus.h"

namespace pierbank {

namespace {

constexpr Millis COME_BACK{1000};

/** Methods that RFC 9110 defines as idempotent. */
constexpr std::array<std::string_view, 6> IDEMPOTENT = {"GET",    "HEAD",    "PUT",
                                                        "DELETE", "OPTIONS", "TRACE"};

std::size_t countHeaderBytes(const CallerRequest& request) {
    std::size_t bytes = 0;
    for (const HttpHeader& header : request.m_headers) {
        bytes += header.m_name.size() + header.m_value.size();
    }
    return bytes;
}

bool readTimeout(std::string_view text, Millis& timeout) {
    std::int64_t number = 0;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), number);
    timeout = Millis(number);
    return end.ec == std::errc() && end.ptr == text.data() + text.size() && number > 0;
}

/** Reads the system's headers into the request; a message for what is wrong with them. */
std::string_view readHeaders(CallerRequest& request) {
    request.m_organisation = request.getHeader("Pierbank-Organisation");
    const std::string_view timeout = request.getHeader("Pierbank-Timeout-Ms");
    if (!timeout.empty() && !readTimeout(timeout, request.m_timeout)) {
        return "Pierbank-Timeout-Ms is not a whole number of milliseconds above zero";
    }
    const std::string_view repeat = request.getHeader("Pierbank-Repeat");
    if (!repeat.empty() && repeat != "never" && repeat != "allowed") {
        return "Pierbank-Repeat is neither `never` nor `allowed`";
    }
    const bool isIdempotent =
            std::find(IDEMPOTENT.begin(), IDEMPOTENT.end(), request.m_method) != IDEMPOTENT.end();
    constexpr std::size_t MAX_KEY_BYTES = 128;
    request.m_repeatKey = request.getHeader("Idempotency-Key");
    if (request.m_repeatKey.size() > MAX_KEY_BYTES) {
        return "Idempotency-Key has more than 128 bytes";
    }
    request.m_isMarkedNever = repeat == "never" || !request.m_repeatKey.empty();
    request.m_isRepeatable = !request.m_isMarkedNever && (repeat == "allowed" || isIdempotent);
    return {};
}

}  // namespace

void LimitsFilter::handle(const CallerExchangePtr& exchange, Next next) {
    CallerRequest& request = exchange->getRequest();
    if (request.m_body.size() > m_limits.m_maxBodyBytes) {
        exchange->answer(makeNotRun(
                HTTP_TOO_LARGE,
                "the body has more than " + std::to_string(m_limits.m_maxBodyBytes) + " bytes",
                Millis(0)));
        return;
    }
    if (request.m_path.size() > m_limits.m_maxPathBytes) {
        exchange->answer(makeNotRun(HTTP_BAD_REQUEST, "the path is too long", Millis(0)));
        return;
    }
    if (countHeaderBytes(request) > m_limits.m_maxHeaderBytes) {
        exchange->answer(
                makeNotRun(HTTP_HEADERS_TOO_LARGE, "the headers are too large", Millis(0)));
        return;
    }
    const std::string_view problem = readHeaders(request);
    if (!problem.empty()) {
        exchange->answer(makeNotRun(HTTP_BAD_REQUEST, problem, Millis(0)));
        return;
    }
    next();
}

void OrganisationFilter::handle(const CallerExchangePtr& exchange, Next next) {
    const std::string organisation = exchange->getRequest().m_organisation;
    if (organisation.empty()) {
        exchange->answer(makeNotRun(HTTP_BAD_REQUEST, "the header Pierbank-Organisation is missing",
                                    Millis(0)));
        return;
    }
    if (!m_isKnown(organisation)) {
        exchange->answer(
                makeNotRun(HTTP_FORBIDDEN, "there is no organisation of this name", Millis(0)));
        return;
    }
    std::size_t& count = m_counts[organisation];
    if (count >= m_limits.m_maxPerOrganisation) {
        exchange->answer(makeNotRun(
                HTTP_TOO_MANY, "the organisation has too many requests in progress", COME_BACK));
        return;
    }
    ++count;
    exchange->onDone([this, organisation](const CallerAnswer*) {
        if (--m_counts[organisation] == 0) {
            m_counts.erase(organisation);
        }
    });
    next();
}

void DeadlineFilter::handle(const CallerExchangePtr& exchange, Next next) {
    const Millis asked = exchange->getRequest().m_timeout;
    const Millis timeout =
            asked == Millis(0) ? m_limits.m_defaultTimeout : std::min(asked, m_limits.m_maxTimeout);
    exchange->setDeadline(exchange->getArrivedAt() + timeout);
    next();
}

void AdmissionFilter::handle(const CallerExchangePtr& exchange, Next next) {
    if (m_isLeaving) {
        exchange->answer(makeNotRun(HTTP_UNAVAILABLE, "this gateway is leaving", COME_BACK));
        return;
    }
    if (m_count >= m_limits.m_maxRequests) {
        exchange->answer(makeNotRun(HTTP_UNAVAILABLE, "the gateway is full", COME_BACK));
        return;
    }
    ++m_count;
    exchange->onDone([this](const CallerAnswer*) { release(); });
    next();
}

void AdmissionFilter::release() {
    --m_count;
    if (m_count == 0 && m_whenEmpty) {
        std::exchange(m_whenEmpty, nullptr)();
    }
}

void AdmissionFilter::leave(std::function<void()> whenEmpty) {
    m_isLeaving = true;
    if (m_count == 0) {
        whenEmpty();
        return;
    }
    m_whenEmpty = std::move(whenEmpty);
}

}  // namespace pierbank
