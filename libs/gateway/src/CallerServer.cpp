// SPDX-License-Identifier: Apache-2.0
#include "pierbank/gateway/CallerServer.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "pierbank/wire/HttpHeaders.h"

namespace pierbank {

namespace {

/** Headers that belong to one connection (RFC 9110), and those that the HTTP library sets. */
constexpr std::array<std::string_view, 12> CONNECTION_HEADERS = {"date",
                                                                 "connection",
                                                                 "keep-alive",
                                                                 "te",
                                                                 "trailer",
                                                                 "transfer-encoding",
                                                                 "upgrade",
                                                                 "host",
                                                                 "content-length",
                                                                 "expect",
                                                                 "proxy-connection",
                                                                 "proxy-authorization"};

bool isOfConnection(const std::string& name) {
    return std::any_of(CONNECTION_HEADERS.begin(), CONNECTION_HEADERS.end(),
                       [&](std::string_view header) { return isSameHeader(name, header); });
}

std::vector<HttpHeader> copyHeaders(const std::vector<HttpHeader>& headers) {
    std::vector<HttpHeader> copied;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(copied),
                 [](const HttpHeader& header) { return !isOfConnection(header.m_name); });
    return copied;
}

std::string getTitle(CallerOutcome outcome) {
    switch (outcome) {
        case CallerOutcome::NOT_RUN:
            return "The request did not run and will not run";
        case CallerOutcome::UNKNOWN:
            return "It is not known whether the request ran";
        case CallerOutcome::FAILED:
            return "The request ran, but its answer is lost";
        case CallerOutcome::RAN:
            break;
    }
    return "The request ran";
}

std::string makeProblem(const CallerAnswer& answer) {
    nlohmann::json problem;
    problem["type"] = "about:blank";
    problem["title"] = getTitle(answer.m_outcome);
    problem["status"] = answer.m_status;
    problem["detail"] = answer.m_detail;
    problem["outcome"] = toText(answer.m_outcome);
    constexpr int NO_INDENT = -1;
    return problem.dump(NO_INDENT, ' ', true, nlohmann::json::error_handler_t::replace);
}

}  // namespace

CallerRequest makeCallerRequest(const HttpServerRequest& request) {
    CallerRequest caller;
    const std::string_view target = request.m_target;
    const std::size_t serviceEnd = std::min(target.find_first_of("/?", 1), target.size());
    caller.m_service = target.substr(std::min<std::size_t>(1, target.size()), serviceEnd - 1);
    caller.m_path = target.substr(serviceEnd);
    if (caller.m_path.empty() || caller.m_path.front() != '/') {
        caller.m_path = "/" + caller.m_path;
    }
    caller.m_method = request.m_method;
    caller.m_headers = copyHeaders(request.m_headers);
    caller.m_body = request.m_body;
    return caller;
}

HttpServerAnswer makeHttpAnswer(const CallerAnswer& answer) {
    HttpServerAnswer http;
    http.m_status = answer.m_status;
    http.m_headers = copyHeaders(answer.m_headers);
    http.m_body = answer.m_body;
    if (answer.m_outcome != CallerOutcome::RAN) {
        http.m_headers.push_back({"Content-Type", "application/problem+json"});
        http.m_body = makeProblem(answer);
    }
    http.m_headers.push_back({"Pierbank-Outcome", std::string(toText(answer.m_outcome))});
    if (!answer.m_requestId.empty()) {
        http.m_headers.push_back({"Pierbank-Request-Id", answer.m_requestId});
    }
    if (answer.m_retryAfter > Millis(0)) {
        constexpr std::int64_t MILLIS_PER_SECOND = 1000;
        const std::int64_t seconds =
                (answer.m_retryAfter.count() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        http.m_headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return http;
}

CallerServer::CallerServer(EventLoop& loop, GatewayCore& core)
        : m_loop(loop),
          m_core(core),
          m_server([this](const HttpServerRequest& request,
                          const std::shared_ptr<HttpServerCall>& call) { handle(request, call); }) {
}

void CallerServer::handle(const HttpServerRequest& request,
                          const std::shared_ptr<HttpServerCall>& call) {
    const auto exchange = std::make_shared<CallerExchange>(
            makeCallerRequest(request), m_loop.now(),
            [call](const CallerAnswer& answer) { call->answer(makeHttpAnswer(answer)); });
    call->onGone([weak = std::weak_ptr<CallerExchange>(exchange)] {
        const auto gone = weak.lock();
        if (gone != nullptr) {
            gone->abandon();
        }
    });
    m_core.handleRequest(exchange);
}

}  // namespace pierbank
