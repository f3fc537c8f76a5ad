// SPDX-License-Identifier: Apache-2.0
#include "StandinServers.h"

#include <glib.h>

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "pierbank/platform/HttpStatus.h"

namespace pierbank::standin {

namespace {

constexpr std::array<const char*, 4> TASK_STATES = {"running", "ended", "failed", "stopped"};

std::string unescape(const std::string& text) {
    gchar* plain = g_uri_unescape_string(text.c_str(), nullptr);
    std::string result = plain == nullptr ? "" : plain;
    g_free(plain);
    return result;
}

Target parseTarget(const std::string& target) {
    Target parsed;
    const std::size_t mark = target.find('?');
    parsed.m_path = unescape(target.substr(0, mark));
    std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!query.empty()) {
        const std::size_t end = query.find('&');
        const std::string pair = query.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos) {
            parsed.m_query[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
        }
        query = end == std::string::npos ? "" : query.substr(end + 1);
    }
    return parsed;
}

HttpServerAnswer makeText(std::uint32_t status, std::string body) {
    return {status, {}, std::move(body)};
}

std::uint32_t toHttpStatus(KeyValueStatus status) {
    switch (status) {
        case KeyValueStatus::OK:
            return HTTP_OK;
        case KeyValueStatus::NOT_FOUND:
            return HTTP_NOT_FOUND;
        case KeyValueStatus::CONFLICT:
            return HTTP_PRECONDITION_FAILED;
        case KeyValueStatus::TOO_LARGE:
            return HTTP_TOO_LARGE;
        default:
            return HTTP_UNAVAILABLE;
    }
}

std::string afterPrefix(const std::string& path, std::string_view prefix) {
    return path.substr(prefix.size());
}

}  // namespace

std::uint64_t Target::getNumber(const std::string& key) const {
    const auto found = m_query.find(key);
    std::uint64_t number = 0;
    if (found != m_query.end()) {
        const std::string& text = found->second;
        std::from_chars(text.data(), text.data() + text.size(), number);
    }
    return number;
}

StandinServer::StandinServer(EventLoop& loop)
        : m_loop(loop), m_server([this](const HttpServerRequest& request, const CallPtr& call) {
              handle(request, parseTarget(request.m_target), call);
          }) {}

void KeyValueServer::handle(const HttpServerRequest& request, const Target& target,
                            const CallPtr& call) {
    if (target.m_path == "/fault") {
        setFault(target, call);
        return;
    }
    if (target.m_path == "/calls") {
        call->answer(makeText(HTTP_OK, std::to_string(m_calls)));
        return;
    }
    ++m_calls;
    if (m_mode == "down") {
        call->answer(makeText(HTTP_UNAVAILABLE, "down"));
    } else if (m_mode == "slow") {
        m_loop.callLater(m_delay, [this, request, target, call] { serve(request, target, call); });
    } else {
        serve(request, target, call);
    }
}

void KeyValueServer::setFault(const Target& target, const CallPtr& call) {
    const auto mode = target.m_query.find("mode");
    if (mode != target.m_query.end()) {
        m_mode = mode->second;
    }
    m_delay = Millis(static_cast<std::int64_t>(target.getNumber("ms")));
    call->answer(makeText(HTTP_OK, m_mode));
}

void KeyValueServer::serve(const HttpServerRequest& request, const Target& target,
                           const CallPtr& call) {
    const std::string& path = target.m_path;
    if (path.starts_with("/kv/")) {
        handleKey(request, target, call);
    } else if (path.starts_with("/watch/")) {
        const Millis wait(static_cast<std::int64_t>(target.getNumber("wait")));
        m_store.watch(afterPrefix(path, "/watch/"), target.getNumber("known"), wait,
                      [this, call](const KeyValueReply& r) { reply(r, call); });
    } else if (path == "/keys") {
        const auto prefix = target.m_query.find("prefix");
        const nlohmann::json keys =
                m_store.list(prefix == target.m_query.end() ? "" : prefix->second);
        reply(makeText(HTTP_OK, keys.dump()), call);
    } else if (path.starts_with("/lease")) {
        handleLease(request, target, call);
    } else {
        reply(makeText(HTTP_NOT_FOUND, ""), call);
    }
}

void KeyValueServer::handleKey(const HttpServerRequest& request, const Target& target,
                               const CallPtr& call) {
    const std::string key = afterPrefix(target.m_path, "/kv/");
    if (request.m_method == "PUT") {
        reply(m_store.compareAndSwap(key, target.getNumber("expect"), request.m_body,
                                     KeyValueLease(target.getNumber("lease"))),
              call);
    } else if (request.m_method == "DELETE") {
        reply(m_store.erase(key, target.getNumber("expect")), call);
    } else {
        reply(m_store.get(key), call);
    }
}

void KeyValueServer::handleLease(const HttpServerRequest& request, const Target& target,
                                 const CallPtr& call) {
    KeyValueLeaseReply lease;
    if (request.m_method == "POST") {
        lease = m_store.grantLease(Millis(static_cast<std::int64_t>(target.getNumber("ttl"))));
    } else {
        const std::string id = afterPrefix(target.m_path, "/lease/");
        std::uint64_t number = 0;
        std::from_chars(id.data(), id.data() + id.size(), number);
        lease = m_store.renewLease(KeyValueLease(number));
    }
    HttpServerAnswer answer = makeText(toHttpStatus(lease.m_status), "");
    answer.m_headers.push_back(
            {"Lease", std::to_string(static_cast<std::uint64_t>(lease.m_lease))});
    reply(answer, call);
}

void KeyValueServer::reply(const KeyValueReply& reply, const CallPtr& call) {
    HttpServerAnswer answer = makeText(toHttpStatus(reply.m_status), reply.m_value);
    answer.m_headers.push_back({"Revision", std::to_string(reply.m_revision)});
    this->reply(answer, call);
}

void KeyValueServer::reply(const HttpServerAnswer& answer, const CallPtr& call) {
    if (m_mode == "silent") {
        m_unanswered.push_back(call);
        return;
    }
    call->answer(answer);
}

void HostListServer::handle(const HttpServerRequest& request, const Target& target,
                            const CallPtr& call) {
    if (target.m_path != "/hosts") {
        call->answer(makeText(HTTP_NOT_FOUND, ""));
        return;
    }
    if (request.m_method == "PUT") {
        m_hosts = request.m_body;
    }
    call->answer(makeText(HTTP_OK, m_hosts));
}

void WorkerServer::handle(const HttpServerRequest& request, const Target& target,
                          const CallPtr& call) {
    const std::string& path = target.m_path;
    if (path == "/journal") {
        writeJournal(call);
    } else if (path == "/fault") {
        m_tasks.setFailing(target.getNumber("failing") != 0);
        call->answer(makeText(HTTP_OK, ""));
    } else if (path == "/tasks" && request.m_method == "POST") {
        list(Millis(static_cast<std::int64_t>(target.getNumber("renew"))), call);
    } else if (path.starts_with("/tasks/") && request.m_method == "PUT") {
        start(afterPrefix(path, "/tasks/"), request.m_body, call);
    } else if (path.starts_with("/tasks/") && request.m_method == "DELETE") {
        m_tasks.stop(afterPrefix(path, "/tasks/"));
        call->answer(makeText(HTTP_OK, ""));
    } else {
        call->answer(makeText(HTTP_NOT_FOUND, ""));
    }
}

void WorkerServer::start(const std::string& name, const std::string& body, const CallPtr& call) {
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("accelerators")) {
        call->answer(makeText(HTTP_BAD_REQUEST, "not a task"));
        return;
    }
    TaskSpec task;
    task.m_name = name;
    task.m_accelerators = parsed["accelerators"].get<std::vector<std::uint32_t>>();
    task.m_runTime = Millis(parsed.value("run_time_ms", std::int64_t(0)));
    const std::string problem = m_tasks.start(task);
    call->answer(makeText(problem.empty() ? HTTP_OK : HTTP_CONFLICT, problem));
}

void WorkerServer::list(Millis renew, const CallPtr& call) {
    nlohmann::json list = nlohmann::json::array();
    for (const TaskStatus& task : m_tasks.renewAndList(renew)) {
        list.push_back({{"name", task.m_name},
                        {"state", TASK_STATES.at(static_cast<std::size_t>(task.m_state))},
                        {"accelerators", task.m_accelerators}});
    }
    call->answer(makeText(HTTP_OK, list.dump()));
}

void WorkerServer::writeJournal(const CallPtr& call) {
    m_tasks.renewAndList(Millis(0));
    nlohmann::json journal = nlohmann::json::array();
    for (const WorkerEvent& event : m_tasks.getJournal()) {
        journal.push_back({{"at", event.m_at.count()},
                           {"task", event.m_task},
                           {"state", TASK_STATES.at(static_cast<std::size_t>(event.m_state))}});
    }
    call->answer(makeText(HTTP_OK, journal.dump()));
}

void EndpointServer::handle(const HttpServerRequest& request, const Target& target,
                            const CallPtr& call) {
    if (target.m_path == "/_ran") {
        call->answer(makeText(HTTP_OK, nlohmann::json(m_ran).dump()));
        return;
    }
    ++m_count;
    const std::string id(request.getHeader("X-Test-Id"));
    if (!id.empty()) {
        ++m_ran[id];
    }
    HttpServerAnswer answer = makeText(HTTP_OK, request.m_body);
    answer.m_headers = {{"X-Endpoint-Count", std::to_string(m_count)}, {"X-Echo-Id", id}};
    const Millis wait(static_cast<std::int64_t>(target.getNumber("sleep")));
    if (wait == Millis(0)) {
        call->answer(answer);
        return;
    }
    m_loop.callLater(wait, [call, answer] { call->answer(answer); });
}

}  // namespace pierbank::standin
