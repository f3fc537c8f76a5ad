// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_OPERATORS_OPERATORSERVER_H
#define PIERBANK_OPERATORS_OPERATORSERVER_H

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "pierbank/http/HttpClient.h"
#include "pierbank/http/HttpServer.h"
#include "pierbank/operators/StatementAnswer.h"

namespace pierbank {

/** Interface by which OperatorServer executes statements and reads the gateway's state. */
class OperatorBackend {
public:
    virtual ~OperatorBackend() = default;

    /** Returns whether this gateway leads and so executes statements about the schedule. */
    virtual bool isLeading() const = 0;
    /** Returns the leader's address for statements; empty if no leader is known. */
    virtual std::optional<Address> getLeader() const = 0;
    /** Executes a statement and calls `done` once with its answer. */
    virtual void execute(StatementRequest request, StatementCallback done) = 0;
    /** Returns the health as a JSON object. */
    virtual std::string getHealth() const = 0;
    /** Returns the metrics in the Prometheus text format. */
    virtual std::string getMetrics() const = 0;
};

/** Names of the operators by their bearer tokens. */
using OperatorTokens = std::map<std::string, std::string, std::less<>>;

/**
 * HTTP server for operators on a separate listener: `POST /pierbank/v1/statements` (a statement as
 * text, answered in JSON), `GET /pierbank/v1/health` and `GET /pierbank/v1/metrics`. A statement
 * that only the leader can execute is forwarded to the leader, at most once.
 */
class OperatorServer {
public:
    /** The references must outlive the server. */
    OperatorServer(OperatorBackend& backend, HttpClient& client, OperatorTokens tokens);

    bool listen(const Address& address, Reason& reason) { return m_server.listen(address, reason); }

private:
    using CallPtr = std::shared_ptr<HttpServerCall>;

    void handle(const HttpServerRequest& request, const CallPtr& call);
    void handleStatement(const HttpServerRequest& request, const CallPtr& call);
    void forward(const HttpServerRequest& request, const Address& leader, const CallPtr& call);
    std::optional<std::string> authenticate(const HttpServerRequest& request) const;

    OperatorBackend& m_backend;
    HttpClient& m_client;
    const OperatorTokens m_tokens;
    HttpServer m_server;
};

/** Converts an answer into an HTTP answer with a JSON body. */
HttpServerAnswer makeStatementAnswer(const StatementAnswer& answer);

}  // namespace pierbank

#endif  // PIERBANK_OPERATORS_OPERATORSERVER_H
