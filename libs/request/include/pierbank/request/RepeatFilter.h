// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_REQUEST_REPEATFILTER_H
#define PIERBANK_REQUEST_REPEATFILTER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "pierbank/base/EventLoop.h"
#include "pierbank/platform/KeyValueService.h"
#include "pierbank/request/RequestFilter.h"

namespace pierbank {

/** How callers' own repeat keys are claimed. */
struct RepeatSettings {
    /** How long a key is remembered, at least. */
    Millis m_window{10 * 60'000};
    /** Claims a second, and how many may come at once: the service has other work too. */
    double m_claimsPerSecond = 50;
    double m_claimBurst = 100;
};

/**
 * Lets a request with a caller's own repeat key (`Idempotency-Key`) run at most once, whatever
 * gateways its repeats come to: before it runs, the key is claimed in the platform's service by
 * create-if-absent. A repeat is told that it did not run. When the first turns out not to have
 * run, the claim is taken back, so that the caller may come again with the same key.
 *
 * Claims expire with a lease of the service; one lease serves all claims of half a window, so that
 * a claim costs one call.
 */
class RepeatFilter final : public RequestFilter {
public:
    /** The references must outlive the filter. */
    RepeatFilter(EventLoop& loop, KeyValueService& service, RepeatSettings settings);
    ~RepeatFilter() override;

    void handle(const CallerExchangePtr& exchange, Next next) override;

    std::uint64_t getClaimCount() const noexcept { return m_claims; }

private:
    using LeaseReady = std::function<void(bool isReady)>;

    bool takeToken();
    void withLease(LeaseReady ready);
    void claim(const CallerExchangePtr& exchange, const Next& next);
    void handleClaim(const CallerExchangePtr& exchange, const std::string& key,
                     const KeyValueReply& reply, const Next& next);
    void release(const std::string& key, Revision revision);

    EventLoop& m_loop;
    KeyValueService& m_service;
    const RepeatSettings m_settings;
    double m_tokens;
    Millis m_tokensAt{0};
    KeyValueLease m_lease = KeyValueLease::NONE;
    Millis m_leaseSince{0};
    std::uint64_t m_claims = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_REQUEST_REPEATFILTER_H
