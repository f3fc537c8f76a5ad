// SPDX-License-Identifier: Apache-2.0
#include "Callers.h"
#include "pierbank/http/HttpStatus.h"

#include <utility>

namespace pierbank::testing {

namespace {

constexpr Millis CALL_TIMEOUT{3000};
constexpr Millis RETRY_DELAY{400};
constexpr unsigned MAX_TRIES = 5;
/**
 * Time after which no gateway may serve a revoked key: the bound required by the platform's
 * contract plus a small margin.
 */
constexpr Millis MAX_REVOCATION_DELAY{5500};

/** Longest delay of a submission after the acknowledgement of its cancelling, in ms. */
constexpr std::uint64_t MAX_SUBMISSION_DELAY = 4000;
/** Distinguishes the numbers drawn for jobs that are cancelled in advance. */
constexpr std::uint64_t EARLY_CANCEL_SEED = 0x65;
/** Number of the first job that is cancelled in advance; the other jobs have lower numbers. */
constexpr std::uint64_t FIRST_EARLY_CANCEL = 1'000'000;

/** Returns the number as a job id: decimal, padded with zeros to 16 digits. */
std::string makeId(std::uint64_t number) {
    constexpr std::size_t DIGITS = 16;
    std::string id(DIGITS, '0');
    const std::string digits = std::to_string(number);
    return id.replace(DIGITS - digits.size(), digits.size(), digits);
}

/** True if the job may or may not have been accepted: no response, 502 or a timeout. */
bool isOutcomeUnknown(std::uint32_t status) {
    return status == 0 || status == HTTP_BAD_GATEWAY || status == HTTP_TIMEOUT;
}

}  // namespace

Callers::Callers(EventLoop& loop, HttpClient& client, Promises& promises,
                 std::vector<Address> fronts, std::uint64_t seed)
        : m_loop(loop),
          m_client(client),
          m_promises(promises),
          m_fronts(std::move(fronts)),
          m_random(seed),
          m_earlyCancelRandom(seed ^ EARLY_CANCEL_SEED) {}

void Callers::setKey(std::string key) {
    if (!m_key.empty()) {
        m_revokedKeys.push_back({m_key, m_loop.now()});
    }
    m_key = std::move(key);
}

void Callers::start() {
    scheduleSubmission();
    scheduleEarlyCancel();
    schedulePolling();
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

void Callers::scheduleSubmission() {
    const Millis pause(60 + static_cast<std::int64_t>(m_random.below(240)));
    m_loop.callLater(pause, [this, alive = std::weak_ptr(m_isAlive)] {
        if (alive.expired() || m_isStopped) {
            return;
        }
        submitOne();
        scheduleSubmission();
    });
}

void Callers::submitOne() {
    SoakJob job;
    job.m_id = makeId(m_nextNumber++);
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

void Callers::scheduleEarlyCancel() {
    const Millis pause(200 + static_cast<std::int64_t>(m_earlyCancelRandom.below(800)));
    m_loop.callLater(pause, [this, alive = std::weak_ptr(m_isAlive)] {
        if (alive.expired() || m_isStopped) {
            return;
        }
        SoakJob job;
        job.m_id = makeId(FIRST_EARLY_CANCEL + m_nextEarlyCancel++);
        job.m_queue = m_earlyCancelRandom.below(2) == 0 ? "/urgent/" : "/batch/";
        job.m_isCancelRequested = true;
        m_bodies[job.m_id] =
                R"({"spec":"500","steps":[{"count":1,"cpu":500,"gpu":1,"est_ms":500}]})";
        cancelInAdvance(m_promises.add(std::move(job)).m_id, 1);
        scheduleEarlyCancel();
    });
}

void Callers::cancelInAdvance(const std::string& id, unsigned tries) {
    const SoakJob& job = m_promises.getJobs().at(id);
    m_client.send(makeCall("DELETE", job.m_queue + id, pickGateway(), m_key),
                  [this, id, tries, alive = std::weak_ptr(m_isAlive)](const HttpResult& result) {
                      if (alive.expired()) {
                          return;
                      }
                      SoakJob& cancelled = m_promises.getJobs().at(id);
                      m_promises.recordEarlyCancellation(cancelled, result.m_status);
                      const Millis delay =
                              cancelled.m_isCancelledInAdvance
                                      ? Millis(static_cast<std::int64_t>(
                                                m_earlyCancelRandom.below(MAX_SUBMISSION_DELAY)))
                                      : RETRY_DELAY;
                      if (!cancelled.m_isCancelledInAdvance && tries >= MAX_TRIES) {
                          return;
                      }
                      m_loop.callLater(delay, [this, id, tries, alive] {
                          if (alive.expired()) {
                              return;
                          }
                          if (m_promises.getJobs().at(id).m_isCancelledInAdvance) {
                              send(id, 1);
                          } else {
                              cancelInAdvance(id, tries + 1);
                          }
                      });
                  });
}

void Callers::send(const std::string& id, unsigned tries) {
    const SoakJob& job = m_promises.getJobs().at(id);
    HttpCall call = makeCall("POST", job.m_queue + id, pickGateway(), m_key);
    call.m_headers.push_back({"Content-Type", "application/json"});
    call.m_body = m_bodies.at(id);
    m_client.send(call,
                  [this, id, tries, alive = std::weak_ptr(m_isAlive)](const HttpResult& result) {
                      if (!alive.expired()) {
                          handleSubmitResult(id, tries, result.m_isRefused ? 0 : result.m_status);
                      }
                  });
}

void Callers::handleSubmitResult(const std::string& id, unsigned tries, std::uint32_t status) {
    SoakJob& job = m_promises.getJobs().at(id);
    m_promises.recordSubmission(job, status);
    // Some accepted jobs are submitted again as well: a repeated id must not create a second job.
    const bool shouldResend = status == HTTP_OK ? m_random.below(12) == 0 : true;
    const unsigned maxTries = isOutcomeUnknown(status) ? 2 * MAX_TRIES : MAX_TRIES;
    const bool isGivenUp = job.m_isCancelRequested && !job.m_isCancelledInAdvance;
    if (!shouldResend || tries >= maxTries || isGivenUp) {
        return;
    }
    m_loop.callLater(RETRY_DELAY, [this, id, tries, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            send(id, tries + 1);
        }
    });
}

void Callers::schedulePolling() {
    constexpr Millis INTERVAL{150};
    m_loop.callLater(INTERVAL, [this, alive = std::weak_ptr(m_isAlive)] {
        if (alive.expired()) {
            return;
        }
        std::vector<std::string> candidates;
        for (const auto& [id, job] : m_promises.getJobs()) {
            if (job.m_isAccepted && (!job.m_isReportedFinished || m_random.below(200) == 0)) {
                candidates.push_back(id);
            }
        }
        constexpr std::size_t POLLS_PER_ROUND = 6;
        for (std::size_t i = 0; i < POLLS_PER_ROUND && !candidates.empty(); ++i) {
            pollState(candidates[m_random.below(candidates.size())]);
        }
        probeRevokedKeys();
        schedulePolling();
    });
}

void Callers::pollState(const std::string& id) {
    SoakJob& job = m_promises.getJobs().at(id);
    m_client.send(makeCall("GET", job.m_queue + id, pickGateway(), m_key),
                  [this, &job, requestedAt = m_loop.now(),
                   alive = std::weak_ptr(m_isAlive)](const HttpResult& result) {
                      if (!alive.expired()) {
                          m_promises.recordState(job, result.m_status, result.m_body, requestedAt,
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
                      m_promises.recordCancellation(m_promises.getJobs().at(id), result.m_status,
                                                    wasAccepted);
                      if (result.m_status != HTTP_OK && tries < MAX_TRIES) {
                          m_loop.callLater(RETRY_DELAY, [this, id, tries, alive] {
                              if (!alive.expired()) {
                                  cancel(id, tries + 1);
                              }
                          });
                      }
                  });
}

void Callers::probeRevokedKeys() {
    for (const RevokedKey& revoked : m_revokedKeys) {
        if (m_loop.now() - revoked.m_at < MAX_REVOCATION_DELAY || m_random.below(6) != 0) {
            continue;
        }
        const std::size_t gateway = pickGateway();
        m_client.send(makeCall("GET", "/batch/", gateway, revoked.m_key),
                      [this, gateway, alive = std::weak_ptr(m_isAlive)](const HttpResult& result) {
                          if (!alive.expired()) {
                              m_promises.recordRevokedKeyProbe(
                                      result.m_status, "gateway-" + std::to_string(gateway + 1));
                          }
                      });
    }
}

}  // namespace pierbank::testing
