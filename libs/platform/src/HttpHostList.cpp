// SPDX-License-Identifier: Apache-2.0
#include "pierbank/platform/HttpHostList.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/platform/HttpStatus.h"

namespace pierbank {

namespace {

/** More accelerators than any worker has; a larger count is a mistake in the list. */
constexpr std::uint32_t MAX_ACCELERATORS = 64;

std::string getText(const nlohmann::json& object, const char* key) {
    const auto found = object.find(key);
    const bool isText = found != object.end() && found->is_string();
    return isText ? found->get<std::string>() : std::string();
}

std::optional<HostRole> parseRole(std::string_view text) {
    if (text == "gateway") {
        return HostRole::GATEWAY;
    }
    if (text == "endpoint") {
        return HostRole::ENDPOINT;
    }
    if (text == "worker") {
        return HostRole::WORKER;
    }
    return std::nullopt;
}

std::optional<Host> parseHost(const nlohmann::json& object) {
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto role = parseRole(getText(object, "role"));
    const auto address = Address::parse(getText(object, "address"));
    Host host;
    host.m_name = getText(object, "name");
    if (!role.has_value() || !address.has_value() || host.m_name.empty()) {
        return std::nullopt;
    }
    host.m_role = *role;
    host.m_address = *address;
    host.m_region = getText(object, "region");
    host.m_failureDomain = getText(object, "failure_domain");
    host.m_rack = getText(object, "rack");
    host.m_service = getText(object, "service");
    host.m_isLeaving = getText(object, "state") == "leaving";
    const auto accelerators = object.find("accelerators");
    if (accelerators != object.end() && accelerators->is_number_unsigned()) {
        host.m_accelerators = std::min(accelerators->get<std::uint32_t>(), MAX_ACCELERATORS);
    }
    return host;
}

}  // namespace

std::optional<std::vector<Host>> parseHosts(std::string_view text) {
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_array()) {
        return std::nullopt;
    }
    std::vector<Host> hosts;
    for (const auto& element : parsed) {
        auto host = parseHost(element);
        if (host.has_value()) {
            hosts.push_back(*std::move(host));
        } else {
            logEvent(Severity::WARNING, "host-list", "bad-host", {});
        }
    }
    return hosts;
}

HttpHostList::HttpHostList(HttpClient& client, Address address, Millis timeout)
        : m_client(client), m_address(std::move(address)), m_timeout(timeout) {}

void HttpHostList::fetch(Callback done) {
    HttpCall call;
    call.m_address = m_address;
    call.m_target = "/hosts";
    call.m_timeout = m_timeout;
    m_client.send(call, [done = std::move(done)](const HttpResult& result) {
        done(result.m_status == HTTP_OK ? parseHosts(result.m_body) : std::nullopt);
    });
}

}  // namespace pierbank
