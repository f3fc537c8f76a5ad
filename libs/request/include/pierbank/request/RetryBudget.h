// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_REQUEST_RETRYBUDGET_H
#define PIERBANK_REQUEST_RETRYBUDGET_H

#include <algorithm>

namespace pierbank {

/**
 * Bounds retries to a share of the requests, so that retries cannot multiply the load when
 * everything fails: each request earns a part of a retry, up to a reserve.
 */
class RetryBudget {
public:
    /** @param share retries a request, 0 to 1. @param reserve most retries saved up. */
    RetryBudget(double share, double reserve)
            : m_share(share), m_reserve(reserve), m_saved(reserve) {}

    void noteRequest() noexcept { m_saved = std::min(m_saved + m_share, m_reserve); }

    /** Takes one retry. @return false when the budget is used up. */
    bool take() noexcept {
        if (m_saved < 1.0) {
            return false;
        }
        m_saved -= 1.0;
        return true;
    }

private:
    double m_share;
    double m_reserve;
    double m_saved;
};

}  // namespace pierbank

#endif  // PIERBANK_REQUEST_RETRYBUDGET_H
