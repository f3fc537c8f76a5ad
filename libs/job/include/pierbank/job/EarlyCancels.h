// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_EARLYCANCELS_H
#define PIERBANK_JOB_EARLYCANCELS_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** A caller's request to cancel a job that was not accepted yet. */
struct EarlyCancel {
    /** Organisation of the caller; the request applies to its jobs only. */
    std::string m_organisation;
    /** Wall time of the request. */
    Millis m_requestedAt{0};
};

/**
 * The requests to cancel one job that was not accepted yet: the last one of each organisation. Any
 * organisation can name the id of another one's job, so no request may replace that of another
 * organisation.
 */
class EarlyCancels {
public:
    /** Adds a request, unless a later one of the same organisation is known. */
    void add(const EarlyCancel& request);
    /** Adds all requests of `other`. */
    void merge(const EarlyCancels& other);
    /** Returns the last request of an organisation, or null; valid until the next change. */
    const EarlyCancel* find(std::string_view organisation) const;
    /** Returns the wall time of the last request; zero if there is none. */
    Millis getLastRequestedAt() const;
    /** Returns the requests, one for each organisation, in the order of their first addition. */
    std::span<const EarlyCancel> list() const noexcept { return m_requests; }

private:
    std::vector<EarlyCancel> m_requests;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_EARLYCANCELS_H
