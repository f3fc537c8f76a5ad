// SPDX-License-Identifier: Apache-2.0
#include "pierbank/request/RepeatFilter.h"

#include <glib.h>

#include <algorithm>
#include <utility>

#include "pierbank/platform/HttpStatus.h"

namespace pierbank {

namespace {

constexpr Millis COME_BACK{1000};
constexpr double MILLIS_PER_SECOND = 1000.0;

/** The service's key for a caller's key: a hash, for callers may put anything into theirs. */
std::string getClaimKey(const CallerRequest& request) {
    const std::string text =
            request.m_organisation + "\n" + request.m_service + "\n" + request.m_repeatKey;
    gchar* digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text.c_str(),
                                                  static_cast<gssize>(text.size()));
    std::string key = std::string("repeat/") + digest;
    g_free(digest);
    return key;
}

}  // namespace

RepeatFilter::RepeatFilter(EventLoop& loop, KeyValueService& service, RepeatSettings settings)
        : m_loop(loop),
          m_service(service),
          m_settings(settings),
          m_tokens(settings.m_claimBurst),
          m_tokensAt(loop.now()) {}

RepeatFilter::~RepeatFilter() {
    *m_isAlive = false;
}

void RepeatFilter::handle(const CallerExchangePtr& exchange, Next next) {
    if (exchange->getRequest().m_repeatKey.empty()) {
        next();
        return;
    }
    if (!takeToken()) {
        exchange->answer(makeNotRun(HTTP_UNAVAILABLE,
                                    "too many repeat keys are being claimed just now", COME_BACK));
        return;
    }
    withLease([this, exchange, next = std::move(next)](bool isReady) {
        if (isReady) {
            claim(exchange, next);
            return;
        }
        exchange->answer(makeNotRun(HTTP_UNAVAILABLE,
                                    "repeat keys cannot be claimed: the platform's key-value "
                                    "service does not answer",
                                    COME_BACK));
    });
}

bool RepeatFilter::takeToken() {
    const Millis now = m_loop.now();
    const double earned = static_cast<double>((now - m_tokensAt).count()) / MILLIS_PER_SECOND *
                          m_settings.m_claimsPerSecond;
    m_tokens = std::min(m_tokens + earned, m_settings.m_claimBurst);
    m_tokensAt = now;
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

void RepeatFilter::withLease(LeaseReady ready) {
    const bool isFresh =
            m_lease != KeyValueLease::NONE && m_loop.now() - m_leaseSince < m_settings.m_window / 2;
    if (isFresh) {
        ready(true);
        return;
    }
    const auto onLease = [this, alive = m_isAlive,
                          ready = std::move(ready)](const KeyValueLeaseReply& reply) {
        if (!*alive) {
            return;
        }
        if (reply.m_status == KeyValueStatus::OK) {
            m_lease = reply.m_lease;
            m_leaseSince = m_loop.now();
        }
        ready(reply.m_status == KeyValueStatus::OK);
    };
    // It lapses half a window after the last claim under it is a whole window old.
    m_service.grantLease(m_settings.m_window * 3 / 2, onLease);
}

void RepeatFilter::claim(const CallerExchangePtr& exchange, const Next& next) {
    if (exchange->isDone()) {
        return;
    }
    ++m_claims;
    const std::string key = getClaimKey(exchange->getRequest());
    m_service.compareAndSwap(
            key, 0, "claimed", m_lease,
            [this, alive = m_isAlive, exchange, key, next](const KeyValueReply& reply) {
                if (*alive) {
                    handleClaim(exchange, key, reply, next);
                }
            });
}

void RepeatFilter::handleClaim(const CallerExchangePtr& exchange, const std::string& key,
                               const KeyValueReply& reply, const Next& next) {
    if (reply.m_status == KeyValueStatus::OK) {
        const Revision revision = reply.m_revision;
        if (exchange->isDone()) {
            release(key, revision);
            return;
        }
        exchange->onDone([this, alive = m_isAlive, key, revision](const CallerAnswer* answer) {
            const bool isProved = answer != nullptr && answer->m_outcome == CallerOutcome::NOT_RUN;
            if (*alive && isProved) {
                release(key, revision);
            }
        });
        next();
        return;
    }
    if (reply.m_status == KeyValueStatus::CONFLICT) {
        exchange->answer(makeNotRun(HTTP_CONFLICT,
                                    "a request with this Idempotency-Key was taken before; this "
                                    "repeat did not run",
                                    Millis(0)));
        return;
    }
    // After a lost answer the key may be claimed: repeats then get the answer above, and nothing
    // runs, until the claim expires.
    exchange->answer(makeNotRun(HTTP_UNAVAILABLE,
                                "the repeat key could not be claimed: the platform's key-value "
                                "service does not answer",
                                COME_BACK));
}

void RepeatFilter::release(const std::string& key, Revision revision) {
    m_service.erase(key, revision, [](const KeyValueReply&) {});
}

}  // namespace pierbank
