// SPDX-License-Identifier: Apache-2.0
#include "pierbank/operators/OperatorServer.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "pierbank/http/HttpStatus.h"

namespace pierbank {

namespace {

constexpr std::string_view FORWARDED_HEADER = "Pierbank-Forwarded";
/** Longer than the leader may take for a statement, see AuditTrail::COMMIT_TIMEOUT. */
constexpr Millis FORWARD_TIMEOUT{6000};

std::string dump(const nlohmann::json& value) {
    constexpr int NO_INDENT = -1;
    return value.dump(NO_INDENT, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string_view toText(StatementStatus status) {
    constexpr std::array<std::string_view, 5> NAMES = {"done", "refused", "invalid", "not-run",
                                                       "unknown"};
    return NAMES.at(static_cast<std::size_t>(status));
}

std::uint32_t toHttpStatus(StatementStatus status) {
    constexpr std::array<std::uint32_t, 5> CODES = {HTTP_OK, HTTP_CONFLICT, HTTP_BAD_REQUEST,
                                                    HTTP_UNAVAILABLE, HTTP_TIMEOUT};
    return CODES.at(static_cast<std::size_t>(status));
}

nlohmann::json toJson(const Table& table) {
    nlohmann::json rows = nlohmann::json::array();
    for (const std::vector<Cell>& row : table.m_rows) {
        nlohmann::json cells = nlohmann::json::array();
        for (const Cell& cell : row) {
            cells.push_back(cell.m_number.has_value() ? nlohmann::json(*cell.m_number)
                                                      : nlohmann::json(cell.m_text));
        }
        rows.push_back(std::move(cells));
    }
    return {{"columns", table.m_columns}, {"rows", std::move(rows)}};
}

HttpServerAnswer makeText(std::uint32_t status, std::string_view type, std::string body) {
    return {status, {{"Content-Type", std::string(type)}}, std::move(body)};
}

/** Returns whether any gateway can answer: all know the configuration, only the leader the rest. */
bool isLocal(const Statement& statement) {
    const auto* const show = std::get_if<Show>(&statement);
    return show != nullptr && show->m_subject == Subject::CONFIGURATION;
}

}  // namespace

HttpServerAnswer makeStatementAnswer(const StatementAnswer& answer) {
    nlohmann::json body;
    body["status"] = toText(answer.m_status);
    body["message"] = answer.m_message;
    if (answer.m_table.has_value()) {
        body["table"] = toJson(*answer.m_table);
    }
    HttpServerAnswer http = makeText(toHttpStatus(answer.m_status), "application/json", dump(body));
    if (answer.m_retryAfter > Millis(0)) {
        constexpr std::int64_t MILLIS_PER_SECOND = 1000;
        http.m_headers.push_back(
                {"Retry-After",
                 std::to_string((answer.m_retryAfter.count() + 999) / MILLIS_PER_SECOND)});
    }
    return http;
}

OperatorServer::OperatorServer(OperatorBackend& backend, HttpClient& client, OperatorTokens tokens)
        : m_backend(backend),
          m_client(client),
          m_tokens(std::move(tokens)),
          m_server([this](const HttpServerRequest& request, const CallPtr& call) {
              handle(request, call);
          }) {}

void OperatorServer::handle(const HttpServerRequest& request, const CallPtr& call) {
    if (request.m_method == "GET" && request.m_target == "/pierbank/v1/health") {
        call->answer(makeText(HTTP_OK, "application/json", m_backend.getHealth()));
    } else if (request.m_method == "GET" && request.m_target == "/pierbank/v1/metrics") {
        call->answer(makeText(HTTP_OK, "text/plain; version=0.0.4", m_backend.getMetrics()));
    } else if (request.m_method == "POST" && request.m_target == "/pierbank/v1/statements") {
        handleStatement(request, call);
    } else {
        call->answer(makeText(HTTP_NOT_FOUND, "text/plain", "there is nothing here\n"));
    }
}

std::optional<std::string> OperatorServer::authenticate(const HttpServerRequest& request) const {
    constexpr std::string_view SCHEME = "Bearer ";
    const std::string_view header = request.getHeader("Authorization");
    if (!header.starts_with(SCHEME)) {
        return std::nullopt;
    }
    const auto found = m_tokens.find(header.substr(SCHEME.size()));
    return found == m_tokens.end() ? std::nullopt : std::optional(found->second);
}

void OperatorServer::handleStatement(const HttpServerRequest& request, const CallPtr& call) {
    const auto name = authenticate(request);
    if (!name.has_value()) {
        call->answer(makeText(HTTP_UNAUTHORIZED, "text/plain",
                              "a bearer token of an operator is required\n"));
        return;
    }
    ParseResult parsed = parseStatement(request.m_body);
    if (!parsed.m_statement.has_value()) {
        call->answer(makeStatementAnswer(
                makeAnswer(StatementStatus::INVALID, parsed.m_error.toText(request.m_body))));
        return;
    }
    const bool isForLeader = !isLocal(*parsed.m_statement) && !m_backend.isLeading();
    const bool wasForwarded = !request.getHeader(FORWARDED_HEADER).empty();
    const auto leader = m_backend.getLeader();
    if (isForLeader && (wasForwarded || !leader.has_value())) {
        call->answer(makeStatementAnswer(makeAnswer(
                StatementStatus::NOT_RUN, "not run: no gateway leads the region just now")));
        return;
    }
    if (isForLeader) {
        forward(request, *leader, call);
        return;
    }
    StatementRequest statement;
    statement.m_statement = *std::move(parsed.m_statement);
    statement.m_text = request.m_body;
    statement.m_operator = *name;
    m_backend.execute(std::move(statement), [call](const StatementAnswer& answer) {
        call->answer(makeStatementAnswer(answer));
    });
}

void OperatorServer::forward(const HttpServerRequest& request, const Address& leader,
                             const CallPtr& call) {
    HttpCall forwarded;
    forwarded.m_method = "POST";
    forwarded.m_address = leader;
    forwarded.m_target = request.m_target;
    forwarded.m_body = request.m_body;
    forwarded.m_timeout = FORWARD_TIMEOUT;
    forwarded.m_isIdempotent = false;
    forwarded.m_headers = {{"Authorization", std::string(request.getHeader("Authorization"))},
                           {std::string(FORWARDED_HEADER), "1"}};
    m_client.send(forwarded, [call](const HttpResult& result) {
        if (result.m_status != 0) {
            call->answer(
                    makeText(result.m_status, result.getHeader("Content-Type"), result.m_body));
            return;
        }
        const bool isNotExecuted = result.m_isRefused;
        call->answer(makeStatementAnswer(makeAnswer(
                isNotExecuted ? StatementStatus::NOT_RUN : StatementStatus::UNKNOWN,
                isNotExecuted ? "not run: the leader cannot be reached"
                              : "unknown: the leader did not answer; look with `show` before "
                                "repeating it")));
    });
}

}  // namespace pierbank
