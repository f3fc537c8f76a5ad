// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/WorkerFence.h"

#include <algorithm>

namespace pierbank {

namespace {

/**
 * The lowest bits count what raised it over one link, the next ones links, the rest is the epoch: a
 * revision of the store, of which 29 bits are left below the 53 that every reader of numbers keeps
 * exactly. Raised more often over one link, or with more links in one epoch, it still rises for as
 * long as the sidecar lives.
 */
constexpr unsigned RAISE_BITS = 12;
constexpr unsigned LINK_BITS = 12;
constexpr std::uint64_t MOST_LINKS = (1U << LINK_BITS) - 1;

}  // namespace

void WorkerFence::handleLink(std::uint64_t epoch, std::uint64_t link) {
    const std::uint64_t links = std::min(link, MOST_LINKS);
    const std::uint64_t least = ((epoch << LINK_BITS) | links) << RAISE_BITS;
    m_value = std::max(m_value + 1, least);
}

}  // namespace pierbank
