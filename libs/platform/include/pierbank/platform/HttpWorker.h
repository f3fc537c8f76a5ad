// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_PLATFORM_HTTPWORKER_H
#define PIERBANK_PLATFORM_HTTPWORKER_H

#include "pierbank/platform/HttpClient.h"
#include "pierbank/platform/WorkerPort.h"

namespace pierbank {

/**
 * WorkerPort over the stand-in's HTTP form: `PUT /tasks/NAME` (JSON), `DELETE
 * /tasks/NAME?grace=MS`, `POST /tasks?renew=MS` (answers the list).
 */
class HttpWorker final : public WorkerPort {
public:
    HttpWorker(HttpClient& client, Address address, Millis timeout);

    void startTask(const TaskSpec& task, DoneCallback done) override;
    void stopTask(std::string_view name, Millis grace, DoneCallback done) override;
    void renewAndList(Millis timeToLive, ListCallback done) override;

private:
    HttpCall makeCall(std::string method, std::string target) const;

    HttpClient& m_client;
    Address m_address;
    Millis m_timeout;
};

}  // namespace pierbank

#endif  // PIERBANK_PLATFORM_HTTPWORKER_H
