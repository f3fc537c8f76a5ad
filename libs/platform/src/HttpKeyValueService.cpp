// SPDX-License-Identifier: Apache-2.0
#include "pierbank/platform/HttpKeyValueService.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "pierbank/platform/HttpStatus.h"

namespace pierbank {

namespace {

KeyValueStatus toStatus(const HttpResult& result) {
    switch (result.m_status) {
        case HTTP_OK:
            return KeyValueStatus::OK;
        case HTTP_NOT_FOUND:
            return KeyValueStatus::NOT_FOUND;
        case HTTP_PRECONDITION_FAILED:
            return KeyValueStatus::CONFLICT;
        case HTTP_TOO_LARGE:
            return KeyValueStatus::TOO_LARGE;
        case HTTP_UNAVAILABLE:
            return KeyValueStatus::UNAVAILABLE;
        default:
            return result.m_isRefused ? KeyValueStatus::UNAVAILABLE : KeyValueStatus::UNKNOWN;
    }
}

std::uint64_t toNumber(std::string_view text) {
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

HttpClient::Callback toReply(KeyValueService::ReplyCallback done) {
    return [done = std::move(done)](const HttpResult& result) {
        KeyValueReply reply;
        reply.m_status = toStatus(result);
        reply.m_revision = toNumber(result.getHeader("Revision"));
        if (reply.m_status == KeyValueStatus::OK) {
            reply.m_value = result.m_body;
        }
        done(reply);
    };
}

}  // namespace

HttpKeyValueService::HttpKeyValueService(HttpClient& client, Address address, Millis timeout)
        : m_client(client), m_address(std::move(address)), m_timeout(timeout) {}

HttpCall HttpKeyValueService::makeCall(std::string method, std::string target) const {
    HttpCall call;
    // A write that libsoup sends twice conflicts with itself; CertainWriter finds its own mark.
    call.m_mayRepeat = true;
    call.m_method = std::move(method);
    call.m_address = m_address;
    call.m_target = std::move(target);
    call.m_timeout = m_timeout;
    return call;
}

void HttpKeyValueService::get(std::string_view key, ReplyCallback done) {
    m_client.send(makeCall("GET", "/kv/" + escapeUri(key)), toReply(std::move(done)));
}

void HttpKeyValueService::compareAndSwap(std::string_view key, Revision expected,
                                         std::string_view value, KeyValueLease lease,
                                         ReplyCallback done) {
    const auto leaseNumber = static_cast<std::uint64_t>(lease);
    HttpCall call =
            makeCall("PUT", "/kv/" + escapeUri(key) + "?expect=" + std::to_string(expected) +
                                    "&lease=" + std::to_string(leaseNumber));
    call.m_body = value;
    m_client.send(call, toReply(std::move(done)));
}

void HttpKeyValueService::erase(std::string_view key, Revision expected, ReplyCallback done) {
    const std::string query = "?expect=" + std::to_string(expected);
    m_client.send(makeCall("DELETE", "/kv/" + escapeUri(key) + query), toReply(std::move(done)));
}

void HttpKeyValueService::list(std::string_view prefix, ListCallback done) {
    const auto onResult = [done = std::move(done)](const HttpResult& result) {
        KeyValueListReply reply;
        reply.m_status = toStatus(result);
        const auto parsed = nlohmann::json::parse(result.m_body, nullptr, false);
        if (reply.m_status == KeyValueStatus::OK && !parsed.is_array()) {
            reply.m_status = KeyValueStatus::UNKNOWN;
        }
        if (reply.m_status == KeyValueStatus::OK) {
            for (const auto& key : parsed) {
                reply.m_keys.push_back(key.is_string() ? key.get<std::string>() : std::string());
            }
        }
        done(reply);
    };
    m_client.send(makeCall("GET", "/keys?prefix=" + escapeUri(prefix)), onResult);
}

void HttpKeyValueService::callLease(const HttpCall& call, LeaseCallback done) {
    const auto onResult = [done = std::move(done)](const HttpResult& result) {
        KeyValueLeaseReply reply;
        reply.m_status = toStatus(result);
        reply.m_lease = KeyValueLease(toNumber(result.getHeader("Lease")));
        done(reply);
    };
    m_client.send(call, onResult);
}

void HttpKeyValueService::grantLease(Millis timeToLive, LeaseCallback done) {
    callLease(makeCall("POST", "/lease?ttl=" + std::to_string(timeToLive.count())),
              std::move(done));
}

void HttpKeyValueService::renewLease(KeyValueLease lease, LeaseCallback done) {
    const auto number = static_cast<std::uint64_t>(lease);
    callLease(makeCall("PUT", "/lease/" + std::to_string(number)), std::move(done));
}

void HttpKeyValueService::watch(std::string_view key, Revision known, Millis wait,
                                ReplyCallback done) {
    HttpCall call = makeCall("GET", "/watch/" + escapeUri(key) + "?known=" + std::to_string(known) +
                                            "&wait=" + std::to_string(wait.count()));
    call.m_timeout = m_timeout + wait;
    m_client.send(call, toReply(std::move(done)));
}

}  // namespace pierbank
