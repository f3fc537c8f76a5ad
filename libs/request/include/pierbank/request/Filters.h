// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_REQUEST_FILTERS_H
#define PIERBANK_REQUEST_FILTERS_H

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "pierbank/base/EventLoop.h"
#include "pierbank/request/RequestFilter.h"

namespace pierbank {

/** Bounds of a single request, and of all together. */
struct RequestLimits {
    std::size_t m_maxBodyBytes = 4U << 20U;
    std::size_t m_maxPathBytes = 4096;
    std::size_t m_maxHeaderBytes = 32U << 10U;
    Millis m_defaultTimeout{10'000};
    Millis m_maxTimeout{120'000};
    /** Requests of one organisation that may be in the gateway at a time. */
    std::size_t m_maxPerOrganisation = 256;
    /** Requests that may be in the gateway at a time. */
    std::size_t m_maxRequests = 1024;
};

/** Refuses what is too large or not well formed. Reads the system's own headers. */
class LimitsFilter final : public RequestFilter {
public:
    explicit LimitsFilter(const RequestLimits& limits) : m_limits(limits) {}
    void handle(const CallerExchangePtr& exchange, Next next) override;

private:
    const RequestLimits& m_limits;
};

/**
 * Refuses requests without a known organisation, and those of an organisation that has too many in
 * the gateway already, so that one's burst does not push out another's requests.
 */
class OrganisationFilter final : public RequestFilter {
public:
    using IsKnown = std::function<bool(std::string_view organisation)>;

    OrganisationFilter(const RequestLimits& limits, IsKnown isKnown)
            : m_limits(limits), m_isKnown(std::move(isKnown)) {}
    void handle(const CallerExchangePtr& exchange, Next next) override;

private:
    const RequestLimits& m_limits;
    IsKnown m_isKnown;
    std::map<std::string, std::size_t, std::less<>> m_counts;
};

/** Sets the deadline; the Forwarder answers when it passes. */
class DeadlineFilter final : public RequestFilter {
public:
    explicit DeadlineFilter(const RequestLimits& limits) : m_limits(limits) {}
    void handle(const CallerExchangePtr& exchange, Next next) override;

private:
    const RequestLimits& m_limits;
};

/** Refuses at once when the gateway holds too many requests, or is leaving. */
class AdmissionFilter final : public RequestFilter {
public:
    explicit AdmissionFilter(const RequestLimits& limits) : m_limits(limits) {}
    void handle(const CallerExchangePtr& exchange, Next next) override;

    /** From now on new requests are refused; `whenEmpty` is called when none is left. */
    void leave(std::function<void()> whenEmpty);
    std::size_t getCount() const noexcept { return m_count; }

private:
    void release();

    const RequestLimits& m_limits;
    std::size_t m_count = 0;
    bool m_isLeaving = false;
    std::function<void()> m_whenEmpty;
};

}  // namespace pierbank

#endif  // PIERBANK_REQUEST_FILTERS_H
