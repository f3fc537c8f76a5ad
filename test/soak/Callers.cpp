// SPDX-License-Identifier: Apache-2.0
#include "Callers.h"
#include "pierbank/http/HttpStatus.h"

#include <utility>

namespace pierbank::testing {

namespace {

constexpr Millis CALL_TIMEOUT{3000};
constexpr Millis RETRY_PAUSE{400};
constexpr unsigned MAX_TRIES = 5;
/** A key that was taken away longer ago is served nowhere (users' bound, and a little more). */
constexpr Millis REVOKE_BOUND{5500};

std::string makeId(std::uint64_t number) {
    constexpr std::size_t DIGITS = 16;
    std::string id(DIGITS, '0');
    const std::string digits = std::to_string(number);
    return id.replace(DIGITS - digits.size(), digits.size(), digits);
}

bool isUnknown(std::uint32_t status) {
    return status == 0 || status == HTTP_BAD_GATEWAY || status == HTTP_TIMEOUT;
}

}  // namespace

Callers::Callers(EventLoop& loop, HttpClient& client, Promises& promises,
                 std::vector<Address> fronts, std::uint64_t seed)
        : m_loop(loop),
          m_client(client),
          m_promises(promises),
          m_fronts(std::move(fronts)),
          m_random(seed) {}

void Callers::setKey(std::string key) {
    if (!m_key.empty()) {
        m_retired.push_back({m_key, m_loop.now()});
    }
    m_key = std::move(key);
}

void Callers::start() {
    submitSoon();
    askSoon();
}

HttpCall Callers::makeCall(const std::string& method, const std::string& target,
                           std::size_t gateway, const std::string& key) const {
    HttpCall call;
    call.m_method = method;
    call.m_address = m_fronts[gateway];
    call.m_target = target;
    call.m_headers = {{"Host", "jobs"},
                      {"X-Api-Key", key},
                      {"X-Pierbank-Deadline", std::to_string(CALL_TIMEOUT.count())}};
    call.m_timeout = CALL_TIMEOUT;
    return call;
}

void Callers::submitSoon() {
    const Millis pause(60 + static_cast<std::int64_t>(m_random.below(240)));
    m_loop.callLater(pause, [this, alive = std::weak_ptr(m_isAlive)] {
        if (alive.expired() || m_isStopped) {
            return;
        }
        submitOne();
        submitSoon();
    });
}

void Callers::submitOne() {
    SoakJob job;
    job.m_id = makeId(m_next++);
    const std::uint64_t kind = m_random.below(10);
    job.m_queue = kind == 0 ? "/poison/" : kind <= 2 ? "/urgent/" : "/batch/";
    job.m_isPoison = kind == 0;
    job.m_isGang = m_random.below(4) == 0;
    job.m_tasks = job.m_isGang ? 2 : 1 + static_cast<std::uint32_t>(m_random.below(3));
    const std::uint64_t length = 50 + m_random.below(2500);
    const std::string payload = (job.m_isPoison ? "!" : "") + std::to_string(length);
    m_bodies[job.m_id] = R"({"spec":")" + payload + R"(","steps":[{"count":)" +
                         std::to_string(job.m_tasks) + R"(,"cpu":)" +
                         std::to_string(500 + 500 * m_random.below(4)) + R"(,"gpu":)" +
                         std::to_string(1 + m_random.below(4)) + R"(,"est_ms":)" +
                         std::to_string(length) + (job.m_isGang ? R"(,"gang":true)" : "") +
                         (m_random.below(2) == 0 ? R"(,"saves_progress":true)" : "") + "}]}";
    const std::string id = m_promises.add(std::move(job)).m_id;
    send(id, 1);
    if (m_random.below(6) == 0) {
        m_loop.callLater(Millis(static_cast<std::int64_t>(m_random.below(3000))),
                         [this, id, alive = std::weak_ptr(m_isAlive)] {
                             if (!alive.expired()) {
                                 cancel(id, 1);
                             }
                         });
    }
}

void Callers::send(const std::string& id, unsigned tries) {
    const SoakJob& job = m_promises.getJobs().at(id);
    HttpCall call = makeCall("POST", job.m_queue + id, pickGateway(), m_key);
    call.m_headers.push_back({"Content-Type", "application/json"});
    call.m_body = m_bodies.at(id);
    m_client.send(call,
                  [this, id, tries, alive = std::weak_ptr(m_isAlive)](const HttpResult& result) {
                      if (!alive.expired()) {
                          handleSent(id, tries, result.m_isRefused ? 0 : result.m_status);
                      }
                  });
}

void Callers::handleSent(const std::string& id, unsigned tries, std::uint32_t status) {
    SoakJob& job = m_promises.getJobs().at(id);
    m_promises.noteSubmitted(job, status);
    // Sometimes also after its acceptance: it stays one job.
    const bool isAgain = status == HTTP_OK ? m_random.below(12) == 0 : true;
    const unsigned most = isUnknown(status) ? 2 * MAX_TRIES : MAX_TRIES;
    if (!isAgain || tries >= most || job.m_isCancelRequested) {
        return;
    }
    m_loop.callLater(RETRY_PAUSE, [this, id, tries, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            send(id, tries + 1);
        }
    });
}

void Callers::askSoon() {
    constexpr Millis INTERVAL{150};
    m_loop.callLater(INTERVAL, [this, alive = std::weak_ptr(m_isAlive)] {
        if (alive.expired()) {
            return;
        }
        std::vector<std::string> open;
        for (const auto& [id, job] : m_promises.getJobs()) {
            if (job.m_isAccepted && (!job.m_isToldOver || m_random.below(200) == 0)) {
                open.push_back(id);
            }
        }
        constexpr std::size_t AT_ONCE = 6;
        for (std::size_t i = 0; i < AT_ONCE && !open.empty(); ++i) {
            askState(open[m_random.below(open.size())]);
        }
        probeRetired();
        askSoon();
    });
}

void Callers::askState(const std::string& id) {
    SoakJob& job = m_promises.getJobs().at(id);
    m_client.send(makeCall("GET", job.m_queue + id, pickGateway(), m_key),
                  [this, &job, askedAt = m_loop.now(),
                   alive = std::weak_ptr(m_isAlive)](const HttpResult& result) {
                      if (!alive.expired()) {
                          m_promises.noteState(job, result.m_status, result.m_body, askedAt,
                                               m_loop.now());
                      }
                  });
}

void Callers::cancel(const std::string& id, unsigned tries) {
    SoakJob& job = m_promises.getJobs().at(id);
    job.m_isCancelRequested = true;
    const bool wasAccepted = job.m_isAccepted;
    m_client.send(makeCall("DELETE", job.m_queue + id, pickGateway(), m_key),
                  [this, id, tries, wasAccepted,
                   alive = std::weak_ptr(m_isAlive)](const HttpResult& result) {
                      if (alive.expired()) {
                          return;
                      }
                      m_promises.noteCancelled(m_promises.getJobs().at(id), result.m_status,
                                               wasAccepted);
                      if (result.m_status != HTTP_OK && tries < MAX_TRIES) {
                          m_loop.callLater(RETRY_PAUSE, [this, id, tries, alive] {
                              if (!alive.expired()) {
                                  cancel(id, tries + 1);
                              }
                          });
                      }
                  });
}

void Callers::probeRetired() {
    for (const RetiredKey& retired : m_retired) {
        if (m_loop.now() - retired.m_at < REVOKE_BOUND || m_random.below(6) != 0) {
            continue;
        }
        const std::size_t gateway = pickGateway();
        m_client.send(makeCall("GET", "/batch/", gateway, retired.m_key),
                      [this, gateway, alive = std::weak_ptr(m_isAlive)](const HttpResult& result) {
                          if (!alive.expired()) {
                              m_promises.noteRevokedKey(result.m_status,
                                                        "gateway-" + std::to_string(gateway + 1));
                          }
                      });
    }
}

}  // namespace pierbank::testing
