// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SOAK_CALLERS_H
#define PIERBANK_TEST_SOAK_CALLERS_H

#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/base/Random.h"
#include "pierbank/http/HttpClient.h"
#include "Promises.h"

namespace pierbank::testing {

/**
 * Callers that hand in jobs at any gateway, ask again as the users' clients do, look at states and
 * cancel. They keep connections open.
 */
class Callers {
public:
    /** The references must outlive the callers. */
    Callers(EventLoop& loop, HttpClient& client, Promises& promises, std::vector<Address> fronts,
            std::uint64_t seed);
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    /** From now on calls bear this key; `retired` was taken away `age` ago. */
    void setKey(std::string key);
    void start();
    /** No new jobs; states are still asked for. */
    void stop() { m_isStopped = true; }

private:
    void submitSoon();
    void submitOne();
    void send(const std::string& id, unsigned tries);
    void handleSent(const std::string& id, unsigned tries, std::uint32_t status);
    void askSoon();
    void askState(const std::string& id);
    void cancel(const std::string& id, unsigned tries);
    void probeRetired();
    HttpCall makeCall(const std::string& method, const std::string& target, std::size_t gateway,
                      const std::string& key) const;
    std::size_t pickGateway() { return m_random.below(m_fronts.size()); }

    struct RetiredKey {
        std::string m_key;
        Millis m_at{0};
    };

    EventLoop& m_loop;
    HttpClient& m_client;
    Promises& m_promises;
    const std::vector<Address> m_fronts;
    Random m_random;
    std::string m_key;
    std::vector<RetiredKey> m_retired;
    std::map<std::string, std::string> m_bodies;
    bool m_isStopped = false;
    std::uint64_t m_next = 1;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SOAK_CALLERS_H
