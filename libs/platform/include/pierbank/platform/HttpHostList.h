// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_PLATFORM_HTTPHOSTLIST_H
#define PIERBANK_PLATFORM_HTTPHOSTLIST_H

#include <string_view>

#include "pierbank/platform/HostList.h"
#include "pierbank/platform/HttpClient.h"

namespace pierbank {

/** HostList over the stand-in's HTTP form: `GET /hosts`, a JSON array of objects. */
class HttpHostList final : public HostList {
public:
    HttpHostList(HttpClient& client, Address address, Millis timeout);

    void fetch(Callback done) override;

private:
    HttpClient& m_client;
    Address m_address;
    Millis m_timeout;
};

/** Reads the JSON array; hosts that cannot be read are left out and logged. */
std::optional<std::vector<Host>> parseHosts(std::string_view text);

}  // namespace pierbank

#endif  // PIERBANK_PLATFORM_HTTPHOSTLIST_H
