// SPDX-License-Identifier: Apache-2.0
#include "pierbank/platform/HttpWorker.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "pierbank/platform/HttpStatus.h"

namespace pierbank {

namespace {

constexpr std::array<std::string_view, 4> STATE_NAMES = {"running", "ended", "failed", "stopped"};

std::optional<TaskStatus> parseTask(const nlohmann::json& object) {
    if (!object.is_object() || !object.contains("name") || !object.contains("state")) {
        return std::nullopt;
    }
    if (!object["name"].is_string() || !object["state"].is_string()) {
        return std::nullopt;
    }
    TaskStatus task;
    task.m_name = object["name"].get<std::string>();
    const auto accelerators = object.find("accelerators");
    const bool hasList = accelerators != object.end() && accelerators->is_array();
    for (const auto& accelerator : hasList ? *accelerators : nlohmann::json::array()) {
        if (accelerator.is_number_unsigned()) {
            task.m_accelerators.push_back(accelerator.get<std::uint32_t>());
        }
    }
    const auto state = object["state"].get<std::string>();
    for (std::size_t i = 0; i < STATE_NAMES.size(); ++i) {
        if (STATE_NAMES.at(i) == state) {
            task.m_state = static_cast<TaskState>(i);
            return task;
        }
    }
    return std::nullopt;
}

std::optional<std::vector<TaskStatus>> parseTasks(const HttpResult& result) {
    const auto parsed = nlohmann::json::parse(result.m_body, nullptr, false);
    if (result.m_status != HTTP_OK || !parsed.is_array()) {
        return std::nullopt;
    }
    std::vector<TaskStatus> tasks;
    for (const auto& element : parsed) {
        auto task = parseTask(element);
        if (!task.has_value()) {
            return std::nullopt;
        }
        tasks.push_back(*std::move(task));
    }
    return tasks;
}

HttpClient::Callback toDone(WorkerPort::DoneCallback done) {
    return [done = std::move(done)](const HttpResult& result) {
        const bool isDone = result.m_status == HTTP_OK;
        done(isDone, result.m_status == 0 ? result.m_reason : result.m_body);
    };
}

}  // namespace

HttpWorker::HttpWorker(HttpClient& client, Address address, Millis timeout)
        : m_client(client), m_address(std::move(address)), m_timeout(timeout) {}

HttpCall HttpWorker::makeCall(std::string method, std::string target) const {
    HttpCall call;
    call.m_method = std::move(method);
    call.m_address = m_address;
    call.m_target = std::move(target);
    call.m_timeout = m_timeout;
    return call;
}

void HttpWorker::startTask(const TaskSpec& task, DoneCallback done) {
    HttpCall call = makeCall("PUT", "/tasks/" + escapeUri(task.m_name));
    nlohmann::json body;
    body["accelerators"] = task.m_accelerators;
    body["run_time_ms"] = task.m_runTime.count();
    call.m_body = body.dump();
    m_client.send(call, toDone(std::move(done)));
}

void HttpWorker::stopTask(std::string_view name, Millis grace, DoneCallback done) {
    HttpCall call = makeCall(
            "DELETE", "/tasks/" + escapeUri(name) + "?grace=" + std::to_string(grace.count()));
    call.m_timeout = m_timeout + grace;
    m_client.send(call, toDone(std::move(done)));
}

void HttpWorker::renewAndList(Millis timeToLive, ListCallback done) {
    HttpCall call = makeCall("POST", "/tasks?renew=" + std::to_string(timeToLive.count()));
    m_client.send(call,
                  [done = std::move(done)](const HttpResult& result) { done(parseTasks(result)); });
}

}  // namespace pierbank
