// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_STANDINS_STANDINSERVERS_H
#define PIERBANK_TEST_STANDINS_STANDINSERVERS_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "KeyValueStore.h"
#include "pierbank/base/EventLoop.h"
#include "pierbank/gateway/HttpServer.h"
#include "WorkerTasks.h"

namespace pierbank::standin {

using CallPtr = std::shared_ptr<HttpServerCall>;

/** A request's path and its query, split. */
struct Target {
    std::string m_path;
    std::map<std::string, std::string> m_query;

    std::uint64_t getNumber(const std::string& key) const;
};

/** One part of the platform on an address of its own. */
class StandinServer {
public:
    explicit StandinServer(EventLoop& loop);
    virtual ~StandinServer() = default;

    bool listen(const Address& address, Reason& reason) { return m_server.listen(address, reason); }

protected:
    virtual void handle(const HttpServerRequest& request, const Target& target,
                        const CallPtr& call) = 0;

    EventLoop& m_loop;

private:
    HttpServer m_server;
};

/**
 * The key-value service; HttpKeyValueService tells the calls. `POST /fault?mode=MODE` makes it
 * `up`, `down` (503), `silent` (takes effect, answers nothing) or `slow` (`&ms=N`); `GET /calls`
 * counts the calls since the start.
 */
class KeyValueServer final : public StandinServer {
public:
    explicit KeyValueServer(EventLoop& loop) : StandinServer(loop), m_store(loop) {}

private:
    void handle(const HttpServerRequest& request, const Target& target,
                const CallPtr& call) override;
    void serve(const HttpServerRequest& request, const Target& target, const CallPtr& call);
    void handleKey(const HttpServerRequest& request, const Target& target, const CallPtr& call);
    void handleLease(const HttpServerRequest& request, const Target& target, const CallPtr& call);
    void setFault(const Target& target, const CallPtr& call);
    void reply(const KeyValueReply& reply, const CallPtr& call);
    void reply(const HttpServerAnswer& answer, const CallPtr& call);

    KeyValueStore m_store;
    std::string m_mode = "up";
    Millis m_delay{0};
    std::uint64_t m_calls = 0;
    /** Calls that are never answered; their clients time out. */
    std::vector<CallPtr> m_unanswered;
};

/** The host list: `GET /hosts`; `PUT /hosts` replaces it. */
class HostListServer final : public StandinServer {
public:
    explicit HostListServer(EventLoop& loop) : StandinServer(loop) {}

private:
    void handle(const HttpServerRequest& request, const Target& target,
                const CallPtr& call) override;

    std::string m_hosts = "[]";
};

/** A worker; HttpWorker tells the calls. `GET /journal`, `POST /fault?failing=1`. */
class WorkerServer final : public StandinServer {
public:
    explicit WorkerServer(EventLoop& loop) : StandinServer(loop), m_tasks(loop) {}

private:
    void handle(const HttpServerRequest& request, const Target& target,
                const CallPtr& call) override;
    void start(const std::string& name, const std::string& body, const CallPtr& call);
    void list(Millis renew, const CallPtr& call);
    void writeJournal(const CallPtr& call);

    WorkerTasks m_tasks;
};

/**
 * An endpoint: answers any request with its body and a count, after `?sleep=MS`; counts what it
 * ran by the header `X-Test-Id`, which `GET /_ran` tells.
 */
class EndpointServer final : public StandinServer {
public:
    explicit EndpointServer(EventLoop& loop) : StandinServer(loop) {}

private:
    void handle(const HttpServerRequest& request, const Target& target,
                const CallPtr& call) override;

    std::map<std::string, std::uint64_t> m_ran;
    std::uint64_t m_count = 0;
};

}  // namespace pierbank::standin

#endif  // PIERBANK_TEST_STANDINS_STANDINSERVERS_H
