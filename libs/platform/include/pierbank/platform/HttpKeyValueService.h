// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_PLATFORM_HTTPKEYVALUESERVICE_H
#define PIERBANK_PLATFORM_HTTPKEYVALUESERVICE_H

#include "pierbank/platform/HttpClient.h"
#include "pierbank/platform/KeyValueService.h"

namespace pierbank {

/**
 * KeyValueService over the stand-in's HTTP form:
 * `GET|PUT|DELETE /kv/KEY?expect=REVISION&lease=LEASE`, `GET /keys?prefix=P`,
 * `POST /lease?ttl=MS`, `PUT /lease/ID`, `GET /watch/KEY?known=REVISION&wait=MS`. Values are raw
 * bodies; revisions stand in the `Revision` header.
 */
class HttpKeyValueService final : public KeyValueService {
public:
    /** @param timeout for each call; watches have their own wait on top. */
    HttpKeyValueService(HttpClient& client, Address address, Millis timeout);

    void get(std::string_view key, ReplyCallback done) override;
    void compareAndSwap(std::string_view key, Revision expected, std::string_view value,
                        KeyValueLease lease, ReplyCallback done) override;
    void erase(std::string_view key, Revision expected, ReplyCallback done) override;
    void list(std::string_view prefix, ListCallback done) override;
    void grantLease(Millis timeToLive, LeaseCallback done) override;
    void renewLease(KeyValueLease lease, LeaseCallback done) override;
    void watch(std::string_view key, Revision known, Millis wait, ReplyCallback done) override;

private:
    HttpCall makeCall(std::string method, std::string target) const;
    void callLease(const HttpCall& call, LeaseCallback done);

    HttpClient& m_client;
    Address m_address;
    Millis m_timeout;
};

}  // namespace pierbank

#endif  // PIERBANK_PLATFORM_HTTPKEYVALUESERVICE_H
