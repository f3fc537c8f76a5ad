// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/EarlyCancels.h"

#include <algorithm>

namespace pierbank {

void EarlyCancels::add(const EarlyCancel& request) {
    const auto found =
            std::find_if(m_requests.begin(), m_requests.end(), [&](const EarlyCancel& known) {
                return known.m_organisation == request.m_organisation;
            });
    if (found == m_requests.end()) {
        m_requests.push_back(request);
    } else {
        found->m_requestedAt = std::max(found->m_requestedAt, request.m_requestedAt);
    }
}

void EarlyCancels::merge(const EarlyCancels& other) {
    for (const EarlyCancel& request : other.m_requests) {
        add(request);
    }
}

const EarlyCancel* EarlyCancels::find(std::string_view organisation) const {
    const auto found = std::find_if(
            m_requests.begin(), m_requests.end(),
            [&](const EarlyCancel& known) { return known.m_organisation == organisation; });
    return found == m_requests.end() ? nullptr : &*found;
}

Millis EarlyCancels::getLastRequestedAt() const {
    Millis last{0};
    for (const EarlyCancel& request : m_requests) {
        last = std::max(last, request.m_requestedAt);
    }
    return last;
}

}  // namespace pierbank
